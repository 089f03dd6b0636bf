// Package daemon is the sidecar as a process of its own: HTTP/1.1 towards clients on one side, upstreams and their endpoint lists on the
// other. It makes no balancing decisions; it adds I/O within the configured limits, and the life of the process.
//
// A request: server.go receives it, package downstream checks it, request.go takes its body (body.go), waits for admission
// (admission.go), and has the service's engine answer it (transport.go carries out the attempts, idempotency.go those with an idempotency
// key, graphql.go those of GraphQL operations); response.go writes the answer.
//
// A configuration: reload.go reads the files and applies a plan, all of it or nothing: service.go starts, changes and retires the
// services, service_source.go their endpoint sources, resources.go what services share; routing.go holds the immutable routing that
// requests are decided by.
//
// A process: daemon.go starts and ends it, lifecycle.go drives package lifecycle (serving, draining, stopping), upgrade.go hands over to a
// successor process (package handover), control.go answers operators, fleet.go takes part in the fleet's leases and tasks.
package daemon
