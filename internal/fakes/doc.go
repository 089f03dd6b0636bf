// Package fakes holds fakes of the systems that orchiddrift meets in service, for tests, the demo and benchmarks. The
// daemon and the gRPC balancer never import it. All fakes listen on loopback only.
//
//   - Node fakes an upstream: cores, a queue, slow start with overload, and faults by time. It speaks the platform's
//     HTTP/1.1, gRPC over HTTP/2 (RFC 9113) and GraphQL over HTTP, and records arrivals and executions in a Ledger. Service
//     times are waited for, not computed: a Node uses no CPU for them.
//   - Discovery fakes the platform's discovery service: a list with polls and watches, as the platform's pages describe them.
//     It can fall silent, break watches, go down and move to another address. ScriptedDiscovery sends the lines of a script
//     instead, also such as break the protocol.
//   - Eureka fakes a Netflix Eureka server, after its published REST operations: leases, overrides, deltas with the
//     hash code of the applications, a response cache, JSON and XML. Fakes can replicate
//     writes to each other. There are no regions.
//   - Etcd fakes one etcd server, after the published v3 API: KV, Lease, Watch and Auth. It has one member, no raft, no
//     persistence and no nested transactions; revisions are kept up to a fixed number.
//   - Raw sends and records bytes as a test wants them, for malformed traffic.
//   - CA issues certificates for TLS tests. Reservation keeps a loopback port from other processes.
//
// The fakes of protocols are written from what is published of them and share no code with orchiddrift's clients, so that
// both cannot share a mistake.
package fakes
