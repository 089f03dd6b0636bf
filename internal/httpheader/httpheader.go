// Package httpheader names the platform's HTTP headers, returns the end-to-end headers of a message, and parses sets of HTTP statuses. It
// keeps no state.
package httpheader

import (
	"net/http"
	"strings"
)

// The platform's headers, in net/http's canonical form.
const (
	RequestID      = "X-Request-Id"
	Class          = "X-Priority-Class"
	Tenant         = "X-Tenant-Id"
	Timeout        = "X-Timeout"
	Cost           = "X-Cost"
	Attributes     = "X-Attrs"
	RetryMarker    = "X-Retried"
	IdempotencyKey = "Idempotency-Key"
	LoadReport     = "X-Server-Load"   // in responses: a load report
	NotProcessed   = "X-Not-Processed" // in responses: "1" means that the request was not processed
)

// MaxBytes is the largest size of the head of a request or response.
const MaxBytes = 16 << 10

// hopByHop lists headers that belong to one connection and are not forwarded.
var hopByHop = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// EndToEnd returns a copy of the headers without the hop-by-hop ones (RFC 9110, section 7.6.1). The values are shared with h.
func EndToEnd(h http.Header) http.Header {
	forwarded := make(http.Header, len(h)+1)
	for name, values := range h {
		forwarded[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(forwarded, name)
	}
	return forwarded
}
