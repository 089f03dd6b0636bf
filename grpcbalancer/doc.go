// Package grpcbalancer balances the calls of a google.golang.org/grpc client inside the calling process. It follows the same rules as the
// orchiddrift daemon (package balancer) to decide which upstream a call is sent to, whether the call may be retried, and when it is
// rejected.
//
//	p, err := grpcbalancer.New(options)
//	conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(creds))...)
//
// A process needs one Plugin for each service, and any number of ClientConns can share it. A call takes this path:
//
//   - The interceptors (unary.go, stream.go) turn it into a call (call.go), wait for admission (admission.go), and pass it to package
//     engine, which decides on every attempt. A unary call with an idempotency key goes through package executor first (idempotency.go).
//   - Each attempt is an RPC of its own, with the attempt (attempt.go) as its context.
//   - grpc-go asks the picker (picker.go) for a connection. The picker returns the SubConn to the attempt's upstream. The balancer
//     (balancer.go) keeps a SubConn for each endpoint that the resolver (resolver.go) passes on.
//   - The end of the RPC is evidence of what the upstream did (outcome.go). The engine updates its estimates with it, and decides on a
//     retry.
//   - A final answer that is not served becomes a status error (status.go).
//
// grpc-go's own retries are off. Its transparent retries are denied, and the engine decides on them instead. Methods are mapped to classes
// (methods.go); see Options.Methods.
//
// A rejected call reaches the caller as UNAVAILABLE with RetryInfo: retrying it is harmless. A failed call that may have run never has that
// code. MayHaveRun distinguishes the two cases. docs/operate/grpc.md is the guide for users.
//
// A Plugin owns its engine, its endpoint list and sources (sources.go), and the goroutines that keep them current. All methods of a Plugin
// are safe for concurrent use. The only global state is the load balancing policy that the package registers with grpc-go.
package grpcbalancer
