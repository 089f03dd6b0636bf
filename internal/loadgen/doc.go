// Package loadgen is an open-loop load generator for HTTP/1.1 and gRPC: it sends requests at a given rate, independent of the answers.
//
// Latency counts from the scheduled time of a request, so that a stalled server delays all requests scheduled meanwhile (no coordinated
// omission). A Schedule computes the requests one after another, a dispatcher hands them at their times to one worker for each connection,
// and workers put retries back into a heap. Memory is bounded for runs of any length. The package opens sockets and reads the wall clock; it
// imports nothing else of this module.
package loadgen
