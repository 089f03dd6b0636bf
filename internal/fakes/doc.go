// Package fakes is the project's own stand-ins for what orchiddrift meets in service: nodes, discovery, and peers that
// break the protocol. Tests, the demo and benchmarks use it; the daemon's and the plug-in's normal path never does.
//
// A Node has cores, a queue, a cold start that falls over when overdriven, and faults scripted by time. It speaks the
// platform's HTTP/1.1 (http1.go) and gRPC (grpc.go) over the same core (node.go), and writes to one Ledger what came,
// what ran and what came after a drain. A Discovery keeps a list and serves watches on it. Raw and ScriptedDiscovery
// send whatever bytes a test wants. All listen on loopback.
package fakes
