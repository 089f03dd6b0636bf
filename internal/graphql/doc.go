// Package graphql decides what a GraphQL request over HTTP is: which operation a node would run, as which class, at what
// cost, under which key, and what of a node's answer counts as a failure. It does no I/O and reads no clock.
//
// It follows two rules. The class decided on is at least as strict as any reading of the request that a node may
// have: a request with two readings is rejected, and what is forwarded is encoded anew, in one form (Params.encode). And nothing
// that a client says of itself makes its operation less strict: a name, a header and an alias are the client's, root fields
// and the operation's kind are what the node will run.
//
// The published texts are the GraphQL specification (October 2021), the GraphQL-over-HTTP specification, the automatic
// persisted queries protocol, and IBM's cost directives specification.
package graphql
