// Package fleetsim simulates a fleet in virtual time: up to some hundred sidecars in front of thousands of modelled
// upstreams (nodes). Each sidecar has the real balancer and the real subset. The package shows what cannot be measured with
// sockets at that size: the load of each node, the open connections from all sidecars to a node, and which nodes are
// overloaded during slow start. The same seed gives the same run.
//
// The model covers nodes (one core, a queue, slow start, overload and restarts), the endpoint list (each sidecar receives
// it after its own delay), connections (opened at a cost if none is idle, and closed after an idle timeout) and clients
// (Poisson arrivals). It does not cover the daemon's I/O, limits of file descriptors or packet loss.
//
// One goroutine drives a run: everything happens in the events of a virtualtime.Time. Play does not use the wall clock.
package fleetsim
