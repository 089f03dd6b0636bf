// Package admissionsim simulates clients' requests to an admission control, the real balancer and modelled nodes in
// virtual time. It shows how a queueing discipline or a concurrency limit affects the fairness between principals, the
// number of answers within the latency objective and the retries of rejected clients, under loads at which measurements
// on sockets would be noisy. The same seed gives the same run.
//
// The admission control is an admission.Queue, or a Queue of this package: one of the disciplines (disciplines.go) with
// one of the limits (limits.go) that docs/design/door.md compares it with. Those are minimal implementations for
// measurements only.
//
// One goroutine drives a run: everything happens in the events of a virtualtime.Time.
package admissionsim
