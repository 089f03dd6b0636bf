// Package graphql determines which operation of a GraphQL request over HTTP an upstream would run, and the operation's
// class, cost and idempotency key. It also determines which answers of an upstream count as failures. It does no I/O and
// reads no clock.
//
// It follows two rules. First, the class is at least as strict as that of any reading of the request that an upstream may
// have: a request with two readings is rejected, and what is forwarded is encoded anew, in one form (Params.encode).
// Second, nothing that a client can choose freely makes the class less strict. Names, headers and aliases are the client's
// choice, while the root fields and the kind of the operation are what the upstream runs.
//
// The published texts are the GraphQL specification (October 2021), the GraphQL-over-HTTP specification, the automatic
// persisted queries protocol, and IBM's cost directives specification.
package graphql
