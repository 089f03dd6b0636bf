// Package endpoints holds the endpoint registry of a service, which says where its upstreams take requests now, and the types of an
// endpoint list: List, Endpoint, Source and Sink.
//
// # Who may write the endpoint list
//
// A service has one Registry. Its only writer is discovery.RegistrySink, through Registry.Apply, in the order in which lists arrive. The
// connection pool, the engine and the protocol adapters read it.
//
// An update is applied here first and handed to the balancer afterwards, so that a request that the balancer decided on before is
// stopped when it is about to be written.
//
// The package does no I/O. It may import the balancer's types and internal/clock.
package endpoints
