// Package admission decides, before the balancer sees a request, whether the request is admitted, waits or is rejected,
// in which order queued requests are admitted, and when a client whose request was rejected should come back. It is
// fair between principals, the tenants or clients that requests come from: a principal that floods delays only itself.
//
// A Queue is a pure state machine. Each call passes the current time of one clock and appends the actions to take. A
// Queue does no I/O, reads no clock, draws random numbers from its seed alone, and is not safe for concurrent use;
// package admission/controller drives it.
//
//	Arrive   a request has arrived: it is admitted, queued or rejected; queued requests may be rejected in its place
//	Cancel   the client of a queued request has disconnected
//	Done     an admitted request has ended
//	Wake     the time that Next returned has come
//
// # Model
//
// A request's cost is the time that it is in flight, in seconds. The concurrency limit is the scarce resource: a
// principal's service rate is its share of the limit, and its waiting time is its backlog of cost divided by that rate.
// A request is charged its estimated cost when it is dispatched, and the difference from the actual cost when it has
// ended.
//
// Principals form two levels: groups, named by the first of Options.PrincipalSources, and the flows of each group,
// named by the second. The members of each level share its capacity by start-time fair queueing (fair_queueing.go,
// level.go). Within a flow, requests of clients that return at their reserved time go first; the others are ordered by
// descending priority weight and then by arrival.
//
// The concurrency limit is adapted in rounds, as in TCP Vegas (concurrency_limit.go). A rejected client gets a reserved
// time to come back if one is free (calendar.go, reservation.go). Retries without a reservation are bounded by a retry
// budget (retry_budget.go).
//
// # Bounds
//
// At most Options.MaxQueued requests wait. At most Options.MaxPrincipals groups and flows are known, and 16 overflow
// groups beside them; one group has at most a 16th of MaxPrincipals as flows. A principal takes less than 700 bytes
// with its name, and queued requests and reservations take 1 MB at the defaults: 12 MB in total at 16,384 principals
// (TestMemory).
//
// A principal is forgotten when it has no request queued or in flight, its finish tag is not ahead of virtual time, and
// it has no reservation. These conditions do not depend on the number of other principals, so that a flood of names
// neither keeps nor evicts any principal.
package admission
