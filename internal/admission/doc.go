// Package admission decides, before the balancer sees a request, whether the request is admitted, waits or is rejected,
// in which order those that wait are admitted, and when a client that was rejected should come back. It is fair between
// principals, the tenants or clients that requests come from: one that floods only delays itself.
//
// A Queue is a pure state machine. Each call brings the time of one clock and appends the actions to take. It does no
// I/O, reads no clock, draws random numbers from its seed alone, and is not safe for concurrent use; package
// admission/controller drives it.
//
//	Arrive   a request has arrived: it is admitted, waits or is rejected; another one may be rejected in its place
//	Cancel   the client of a request that waits has disconnected
//	Done     an admitted request has its answer
//	Wake     the time of Next has come
//
// # Model
//
// A request's cost is how long it is in flight, in seconds. The concurrency limit is what there is too little of: a
// principal's service rate is its share of the limit, and its waiting time is its backlog of cost over that rate. A cost
// is estimated when the request is dispatched and corrected when it has ended.
//
// Principals form two levels: groups, named by the first of Options.PrincipalSources, and the flows of each group, named
// by the second. Both levels are shared by start-time fair queueing (fair_queueing.go, level.go). Within a flow the
// order is: clients that return at their reserved time, then by priority weight, then by arrival.
//
// The concurrency limit is found in rounds as by TCP Vegas (concurrency_limit.go). Rejected clients reserve a time to
// come back (calendar.go, reservation.go), and their retries are bounded by a retry budget (retry_budget.go).
//
// # Bounds
//
// At most Options.MaxQueued requests wait. At most Options.MaxPrincipals groups and flows are known, of one group a 16th
// at most, and 16 overflow groups beside them. A principal takes under 700 bytes with its name, and what waits and is
// reserved 1 MB at the defaults: 12 MB at 16,384 principals (TestMemory).
//
// A principal is forgotten when nothing of it waits or is in flight, its finish tag is not ahead of virtual time, and it
// has no reservation. None of that depends on how many others there are, so that a flood of names neither keeps nor
// evicts any principal.
package admission
