// Package demo demonstrates the load balancing without any preparation. It runs a fleet of fake nodes, their discovery, a daemon or gRPC
// balancer, and client load, all in one process on loopback.
//
// A script slows one node down, freezes others and replaces half of the fleet. For comparison, plain random choice runs at the same time on a
// separate fleet, with the same script, arrivals and seeds. The package closes everything that it starts. Only cmd/orchiddrift imports it.
package demo
