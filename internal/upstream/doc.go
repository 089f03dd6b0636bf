// Package upstream carries out attempts over HTTP/1.1: a bounded pool of connections, each with one request at a time, and the exchange
// of request and response on one of them.
//
// The result of an attempt claims no more than the bytes on the socket prove. An attempt counts as not sent or as a failed connection
// only where its last byte never left this process; anything later may have run (write_count.go, upload.go). Nothing is written to an
// upstream that the endpoint registry no longer lists as ready, for a client that has disconnected, or after the time by which a retry
// has to reach its upstream: all three are checked again at the write.
//
// Files: request.go and response.go hold the messages, attempt.go the way of one attempt, exchange.go the exchange on one connection,
// response_reader.go and remainder.go the reading, upload.go and body_pump.go request bodies that are forwarded as they arrive, pool.go
// the idle connections, eviction.go who gives a connection up at the limit, dial.go, connect_timeout.go and local_errors.go new
// connections, connection.go one connection, prewarming.go connections that are opened ahead, load_probe.go load probes.
//
// A Pool is safe for concurrent use. Its mutex guards the idle connections; connection slots and bytes of answers are bounded by
// semaphores that services share.
package upstream
