// Package routes decides from a request's method, host, target and headers which service it goes to, and its class, idempotency key, tenant,
// cost, id, deadline and largest body. It does no I/O; a Table is immutable, and a reload makes a new one.
//
// Patterns are those of net/http, with its order of precedence: of two that match, the one that matches a subset of the other's requests
// comes first, and one with a host before one without. If neither holds the two conflict, and New reports them.
//
// An upstream may read a request differently from this package. So every check follows one rule: the class, the key and the id that are
// acted on must be those that any upstream would read. A request that two readers may understand in two ways is rejected, or accepted only
// if the class decided on is at least as strict as that of any other reading.
//
// table.go decides on a request: target.go and headers.go check its head, readings.go lists other readings of its path, tree.go finds its
// route, request_fields.go reads the values of the route's sources. pattern.go parses patterns, relation.go compares them and conflicts.go
// finds those that conflict. declaration.go is a route of the operator's file, platform.go the platform's own rules.
package routes
