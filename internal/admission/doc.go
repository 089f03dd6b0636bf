// Package admission decides, before the balancer sees a request, who goes on, who waits and in which order, and who is turned
// away with what word on when to come back. It is fair between principals, the tenants or clients that requests come from:
// one that floods takes from itself.
//
// A Door is a pure state machine: every call brings the time and appends what is to be done. It does no I/O, reads no clock,
// and is not safe for concurrent use; package doorkeeper drives it. All random numbers come from its seed.
//
//	Arrive   a request has come: it goes on, waits, or is refused; somebody else who waits may be refused for it
//	Leave    one that waits has lost its client
//	Done     one that went on has its answer
//	Wake     the time of Next has come
//
// Files: sfq.go shares places between principals, limit.go finds how many there are, cost.go what a request takes of them,
// promise.go when who was refused may come back, budget.go bounds repeats, principal.go names principals.
//
// Bounds: Options.MaxQueued requests wait; Options.MaxPrincipals groups and flows are known, of one group a 16th at most, beside 16
// shared ones; one of them takes under 700 bytes with its name, and what waits and was promised 1 MB at the defaults,
// so 12 MB at 16,384 (TestMemory). A principal is forgotten
// when nothing of it waits or is in hand, it owes nothing (its finish is no later than virtual time) and no promise to it
// stands. None of that depends on how many others there are, so that a flood of names neither keeps nor ousts anybody.
package admission
