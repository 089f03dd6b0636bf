// Package httpheader names the platform's HTTP headers and distinguishes end-to-end from hop-by-hop headers.
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
	LoadReport     = "X-Server-Load"   // a load report, on answers
	NotProcessed   = "X-Not-Processed" // on answers: "1" says that the request never ran
)

// MaxBytes bounds a head, of a request and of an answer.
const MaxBytes = 16 << 10

// hopByHop headers belong to one connection and do not go on.
var hopByHop = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// EndToEnd copies the headers that go on: all but those of one connection, RFC 9110 section 7.6.1. The values are
// shared with h.
func EndToEnd(h http.Header) http.Header {
	kept := make(http.Header, len(h)+1)
	for name, values := range h {
		kept[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(kept, name)
	}
	return kept
}
