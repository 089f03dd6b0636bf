// Package upstream sends requests to upstreams over HTTP/1.1, one attempt at a time. A bounded pool holds the connections, and each
// connection carries one request at a time.
//
// The result of an attempt claims no more than the bytes on the socket prove. An attempt counts as not sent or as a failed connection
// only if its last byte never left this process; in every other case the request may have run (write_count.go, upload.go). Nothing is
// written to an upstream that the endpoint registry no longer lists as ready, for a client that has disconnected, or after the time by
// which a retry has to reach its upstream: all three conditions are checked again at the write.
//
// Files: request.go and response.go hold the messages, attempt.go runs one attempt, exchange.go is the exchange on one connection,
// response_reader.go and remainder.go read responses, upload.go and body_pump.go forward request bodies as they arrive, pool.go holds
// the idle connections, eviction.go chooses the connection to close at the limit, dial.go, connect_timeout.go and local_errors.go open
// connections, connection.go is one connection, prewarming.go opens connections ahead of use, load_probe.go sends load probes.
//
// A Pool is safe for concurrent use. Its mutex guards the idle connections. Semaphores that all services share bound the number of
// connections and the bytes of response bodies in memory.
package upstream
