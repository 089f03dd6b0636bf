// Package endpoints provides the endpoint registry of a service, which maps each upstream to the address that accepts its requests at
// present, and the types for endpoint lists: List, Endpoint, Source and Sink.
//
// # Who may write the endpoint list
//
// A service has one Registry. Its only writer is discovery.RegistrySink, through Registry.Apply, in the order in which lists arrive. The
// connection pool, the engine and the protocol adapters read it.
//
// An update is applied to the registry first and passed to the balancer afterwards. The registry can therefore still stop a request for
// which the balancer chose an endpoint by the previous list: the endpoint is checked again just before the request is written.
//
// The package does no I/O. It may import the balancer's types and internal/clock.
package endpoints
