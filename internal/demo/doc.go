// Package demo demonstrates the load balancing without any preparation: a fleet of fake nodes, their discovery, a daemon or gRPC balancer with
// the real balancer, and client load, all in one process on loopback.
//
// A script slows one node down, freezes others and replaces half of the fleet. In the same run, plain random choice gets the same script,
// arrivals and seeds on a fleet of its own. The package owns all that it starts and closes it at the end; only cmd/orchiddrift imports it.
package demo
