// Package routes determines the service, class, idempotency key, tenant, cost, id, deadline and largest body of a request from its method,
// host, target and headers. It does no I/O. A Table is immutable; a reload makes a new one.
//
// Patterns and their precedence are those of net/http. Of two patterns that match, a pattern that matches only a subset of the other's
// requests takes precedence, and a pattern with a host takes precedence over one without. If neither rule applies, the two patterns
// conflict, and New reports them.
//
// An upstream may read a request differently from this package. The class, the key and the id that this package determines must therefore
// be those that any upstream would read. A request that can be read in two ways is rejected, or accepted only if its class is at least as
// strict as that of every other reading.
//
// table.go decides on a request: target.go and headers.go check its head, readings.go lists other readings of its path, tree.go finds its
// route, request_fields.go reads the values of the route's sources. pattern.go parses patterns, relation.go compares them and conflicts.go
// finds those that conflict. declaration.go is a route of the operator's file, platform.go the platform's own rules.
package routes
