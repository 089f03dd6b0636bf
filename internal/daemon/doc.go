// Package daemon implements the sidecar process. It serves HTTP/1.1 to clients, forwards their requests to upstreams, and follows the
// upstreams' endpoint lists. It makes no balancing decisions: it performs the I/O, keeps to the configured limits, and manages the
// process's lifecycle.
//
// Requests: server.go receives a request, package downstream checks it, and request.go reads its body (body.go), waits for admission
// (admission.go) and has the service's engine answer it. transport.go carries out the engine's attempts; idempotency.go handles requests
// with an idempotency key, and graphql.go GraphQL operations. response.go writes the answer.
//
// Configuration: reload.go reads the files and applies a plan completely or not at all. service.go starts, changes and retires services,
// service_source.go opens and changes their endpoint sources, and resources.go holds the resources that services share. routing.go holds
// the immutable state by which requests are routed.
//
// Process: daemon.go starts and ends the process, lifecycle.go drives package lifecycle (serving, draining, stopping), upgrade.go hands
// over to a successor process (package handover), control.go answers operators, and fleet.go takes part in the fleet's leases and tasks.
package daemon
