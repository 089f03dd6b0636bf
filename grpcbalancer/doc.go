// Package grpcbalancer balances the calls of a google.golang.org/grpc client inside the calling process, with the same decision rules as the
// orchiddrift daemon (package balancer): which upstream answers a call, whether it may be sent again, and when it is rejected.
//
//	p, err := grpcbalancer.New(options)
//	conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(creds))...)
//
// One Plugin serves a process and a service, and any number of ClientConns. A call takes this path:
//
//   - The interceptors (unary.go, stream.go) make it a call (call.go), wait for admission (admission.go), and hand it to package engine,
//     which decides on every attempt. A unary call with an idempotency key goes through package executor first (idempotency.go).
//   - Each attempt is an RPC of its own, with the attempt (attempt.go) as its context.
//   - grpc-go asks the picker (picker.go) for a connection. It returns the SubConn to the attempt's upstream, which the balancer
//     (balancer.go) keeps for each endpoint that the resolver (resolver.go) passes on.
//   - The RPC's end is evidence of what the upstream did (outcome.go), which the engine learns from, and by which it may try again.
//   - An answer that is not a served one becomes a status error (status.go).
//
// grpc-go's own retries are off, and its transparent retry is denied and decided by the engine instead. Methods are mapped to classes
// (methods.go); see Options.Methods.
//
// A rejected call reaches the caller as UNAVAILABLE with RetryInfo: retrying it is harmless. A failed call that may have run never has that
// code; MayHaveRun tells them apart. docs/operate/grpc.md is the guide for users.
//
// A Plugin owns its engine, its endpoint list and sources (sources.go), and the goroutines that follow them. All methods of a Plugin are
// safe for concurrent use; the only state outside it is the load balancing policy that the package registers with grpc-go.
package grpcbalancer
