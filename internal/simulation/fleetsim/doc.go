// Package fleetsim simulates a fleet in virtual time: up to some hundred sidecars, each with the real balancer and the real
// subset, in front of thousands of modelled upstreams (nodes). It shows what measurements on sockets cannot show at
// that size: the load of each node, its open connections from all sidecars, and which nodes are overloaded during slow
// start. The same seed gives the same run.
//
// The model covers nodes (one core, a queue, slow start and overload, restarts), the endpoint list (it reaches each sidecar
// after a delay of its own), connections (opened at a cost when none is idle, closed after an idle timeout) and clients
// (Poisson arrivals). It does not cover the daemon's I/O, limits of file descriptors or packet loss.
//
// One goroutine drives a run: everything happens in the events of a virtualtime.Time. Play does not use the wall clock.
package fleetsim
