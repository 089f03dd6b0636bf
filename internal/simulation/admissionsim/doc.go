// Package admissionsim plays clients' requests through an admission control, the real balancer and modelled nodes in
// virtual time. It shows what a queueing discipline or a concurrency limit does to principals, to answers within the
// latency objective, and to rejected clients that come back, under loads that would be noisy on sockets. The same seed
// gives the same run.
//
// The admission control is an admission.Queue, or a Queue of this package: one of the disciplines (disciplines.go) with
// one of the limits (limits.go) that docs/design/door.md compares it with. Those are as small as their sources allow, and
// serve measurements alone.
//
// A run is driven by one goroutine, in the events of a virtualtime.Time.
package admissionsim
