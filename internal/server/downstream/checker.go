// Package downstream is the clients' side of the daemon: it bounds the number of their connections, tracks the state of each connection,
// and checks requests.
//
// Connections is the listener: it bounds the number of connections and evicts those that are needed least (connections.go). A connection
// detects that its client disconnects while a request is in flight, is closed only when no request can get lost, and lingers so that the
// client can read the last response (connection.go, read_ahead.go). Checker rejects requests whose framing can be read in two ways, and
// has package routes classify the others (checker.go). It does no I/O.
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
	Header               http.Header // to forward; each attempt sets X-Timeout
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
		panic("downstream: two classes have the same name") // the check of the settings reports this first
	}
	return NewChecker(t)
}

// Check accepts or rejects a request by its head. The body is still unread. Its length is r.ContentLength; if that is -1, the length is
// unknown and may be as large as the route allows. unambiguous says that a chunked body is known to be framed in no other way.
func (c *Checker) Check(r *http.Request, unambiguous bool) (Request, *Rejection) {
	// A body that is framed in two ways may hide a request. If a head has both framings, net/http reports only the chunked one.
	if len(r.TransferEncoding) > 0 && !unambiguous {
		return Request{}, &Rejection{Status: http.StatusLengthRequired,
			Text: "the body needs a Content-Length, without Transfer-Encoding"}
	}
	if !r.ProtoAtLeast(1, 1) { // net/http ignores Transfer-Encoding of HTTP/1.0, and upstreams may not
		return Request{}, &Rejection{Status: http.StatusHTTPVersionNotSupported, Text: "HTTP/1.1 is needed"}
	}
	decision, rejection := c.table.Decide(routes.Request{Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: r.Header,
		ContentLength: r.ContentLength})
	if rejection != nil {
		return Request{}, rejection
	}
	return Request{Decision: decision, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: decision.Forward(r.Header)}, nil
}
