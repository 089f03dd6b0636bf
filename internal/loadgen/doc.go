// Package loadgen is an open-loop load generator for HTTP/1.1 and gRPC. It sends requests at a given rate that does not depend on the
// responses.
//
// The latency of a request counts from its scheduled time. If a server stalls, all requests that are scheduled during the stall therefore
// show the delay, which avoids the error known as coordinated omission.
//
// A Schedule computes the requests one after another. A dispatcher passes each request to a worker when the request is due. Each worker has
// one connection. Workers put retries into a heap, from which the dispatcher takes them when they are due. Memory use is bounded for runs of
// any length. The package opens sockets and reads the wall clock. It imports no other package of this module.
package loadgen
