// Package loadgen is an open-loop load generator for HTTP/1.1 and gRPC: it sends requests at a given rate, independent of the responses.
//
// Latency counts from the scheduled time of a request. When a server stalls, all requests scheduled meanwhile therefore show the delay (no
// coordinated omission). A Schedule computes the requests one after another. A dispatcher passes each request, when it is due, to one of the
// workers, of which each has one connection. Workers put retries into a heap, from which the dispatcher takes them when they are due. Memory
// is bounded for runs of any length. The package opens sockets and reads the wall clock; it imports nothing else of this module.
package loadgen
