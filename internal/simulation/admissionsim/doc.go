// Package admissionsim simulates requests of clients that pass through an admission control and the real balancer to
// modelled nodes, in virtual time. It shows how a queueing discipline or a concurrency limit affects the fairness
// between principals, the number of answers within the latency objective, and the retries of rejected clients.
// Measurements on sockets would be noisy at such loads. The same seed gives the same run.
//
// The admission control is an admission.Queue, or a Queue of this package. A Queue of this package combines a discipline
// (disciplines.go) with a limit (limits.go); docs/design/door.md compares such queues with admission.Queue. These
// disciplines and limits are minimal implementations for measurements only.
//
// One goroutine drives a run: everything happens in the events of a virtualtime.Time.
package admissionsim
