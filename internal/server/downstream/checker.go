// Package downstream decides what is taken from a client of the daemon: it holds a request's framing against what can be read
// in one way only, has package routes say what the request is, and tells what of it goes on to an upstream. It does no
// I/O. conns.go bounds the clients' connections.
package downstream

import (
	"net/http"

	"orchiddrift/balancer"
	"orchiddrift/internal/routes"
)

// Request is a well-formed request, as the module and the upstreams are to see it.
type Request struct {
	routes.Decision
	Method, Target, Host string
	Header               http.Header // what goes on; X-Timeout is the attempt's
	Body                 []byte
}

// Rejection answers a request that is not taken.
type Rejection = routes.Rejection

// Checker takes requests by a table of routes. It is safe for concurrent use.
type Checker struct{ table *routes.Table }

// NewChecker returns a Checker for these routes.
func NewChecker(t *routes.Table) *Checker { return &Checker{t} }

// NewPlatformChecker returns a Checker for the platform's own rules.
func NewPlatformChecker(classes []balancer.Class) *Checker {
	t, conflicts := routes.New(routes.Platform("", classes))
	if len(conflicts) > 0 {
		panic("intake: two classes of one name") // the settings' check finds that
	}
	return NewChecker(t)
}

// Check looks at a request's head. The body is still to be read, and may hold r.ContentLength bytes, or where that is -1 as many as
// its route allows. chunks says that a body in chunks is framed by nothing else.
func (c *Checker) Check(r *http.Request, chunks bool) (Request, *Rejection) {
	// Guards against requests hidden in a body: two framings at once may be read in two ways, and of two the
	// library shows only the chunks.
	if len(r.TransferEncoding) > 0 && !chunks {
		return Request{}, &Rejection{Status: http.StatusLengthRequired,
			Text: "the body needs a Content-Length, without Transfer-Encoding"}
	}
	if !r.ProtoAtLeast(1, 1) { // there the library passes over Transfer-Encoding, and others may not
		return Request{}, &Rejection{Status: http.StatusHTTPVersionNotSupported, Text: "HTTP/1.1 is needed"}
	}
	d, bad := c.table.Decide(routes.Request{Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: r.Header,
		ContentLength: r.ContentLength})
	if bad != nil {
		return Request{}, bad
	}
	return Request{Decision: d, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: d.Forward(r.Header)}, nil
}
