// Package downstream is the side of the daemon that faces its clients: it bounds their connections, follows the life of each, and checks
// requests.
//
// Connections is the listener: it bounds the number of connections and evicts those that are needed least (connections.go). A connection
// notices a client that disconnects while its request is in flight, is closed only where no request can get lost, and lingers so that the
// last response is not reset (connection.go, read_ahead.go). Checker rejects requests whose framing can be read in two ways, and lets
// package routes decide what a request is (checker.go); it does no I/O.
package downstream

import (
	"net/http"

	"orchiddrift/balancer"
	"orchiddrift/internal/routes"
)

// Request is a well-formed request, as the balancer and the upstreams see it.
type Request struct {
	routes.Decision
	Method, Target, Host string
	Header               http.Header // that is forwarded; X-Timeout is written by each attempt
	Body                 []byte
}

// Rejection is the response to a request that is rejected.
type Rejection = routes.Rejection

// Checker checks requests against a table of routes. It is safe for concurrent use.
type Checker struct{ table *routes.Table }

// NewChecker returns a Checker for these routes.
func NewChecker(t *routes.Table) *Checker { return &Checker{t} }

// NewPlatformChecker returns a Checker for the platform's own rules.
func NewPlatformChecker(classes []balancer.Class) *Checker {
	t, conflicts := routes.New(routes.Platform("", classes))
	if len(conflicts) > 0 {
		panic("downstream: two classes of one name") // the settings' check finds them
	}
	return NewChecker(t)
}

// Check decides on a request's head. The body is still unread: it may have r.ContentLength bytes, or if that is -1 as many as its route
// allows. chunks says that a chunked body is known to be framed in no other way.
func (c *Checker) Check(r *http.Request, chunks bool) (Request, *Rejection) {
	// A body that is framed in two ways may hide a request; of two framings net/http shows the chunks only.
	if len(r.TransferEncoding) > 0 && !chunks {
		return Request{}, &Rejection{Status: http.StatusLengthRequired,
			Text: "the body needs a Content-Length, without Transfer-Encoding"}
	}
	if !r.ProtoAtLeast(1, 1) { // net/http ignores Transfer-Encoding there, and others may not
		return Request{}, &Rejection{Status: http.StatusHTTPVersionNotSupported, Text: "HTTP/1.1 is needed"}
	}
	d, bad := c.table.Decide(routes.Request{Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: r.Header,
		ContentLength: r.ContentLength})
	if bad != nil {
		return Request{}, bad
	}
	return Request{Decision: d, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: d.Forward(r.Header)}, nil
}
