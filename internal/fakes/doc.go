// Package fakes holds fakes of the systems that orchiddrift talks to in production, for tests, the demo and benchmarks. The
// daemon and the gRPC balancer never import it. All fakes listen on loopback only.
//
//   - Node fakes an upstream: cores, a queue, slow start with overload, and scheduled faults. It speaks the platform's
//     HTTP/1.1, gRPC over HTTP/2 (RFC 9113) and GraphQL over HTTP, and records arrivals and executions in a Ledger. A Node
//     sleeps for the service time of a request and uses no CPU for it.
//   - Discovery fakes the platform's discovery service: an endpoint list with polls and watches, as the platform documents
//     them. It can stop answering, break watches, go down and move to another address. ScriptedDiscovery sends the lines of a
//     script instead, which may violate the protocol.
//   - Eureka fakes a Netflix Eureka server, according to its published REST operations: leases, overrides, deltas with the
//     hash code of the applications, a response cache, JSON and XML. Several of them can replicate writes to each other.
//     Regions are not supported.
//   - Etcd fakes one etcd server, according to the published v3 API: KV, Lease, Watch and Auth. It has one member, no
//     Raft, no persistence and no nested transactions, and keeps a fixed number of revisions.
//   - Raw is an upstream that records requests and answers them with bytes that a test chooses, for malformed traffic.
//   - CA issues certificates for TLS tests. Reservation keeps a loopback port from other processes.
//
// The protocol fakes are written from the published specifications and share no code with orchiddrift's clients, so that a
// mistake in a client is not repeated in the fake.
package fakes
