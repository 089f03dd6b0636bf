package routes

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"orchiddrift/internal/httpheader"
)

// platformHeaders are those of the platform's protocol. A request may carry each once at most, spelled in one way only,
// whether or not a route reads it: an upstream may.
var platformHeaders = []string{httpheader.RequestID, httpheader.Class, httpheader.Tenant, httpheader.Timeout, httpheader.Cost,
	httpheader.Attributes, httpheader.RetryMarker, httpheader.IdempotencyKey}

// overrideHeaders headers make some servers take a request for another one than its request line says.
var overrideHeaders = []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override", "X-Original-Url",
	"X-Rewrite-Url", "X-Original-Method"}

// preconditionHeaders and partial make an upstream answer with something other than the whole. Where that is the only answer that
// counts as served, a client could so have upstreams ejected: where they guard a write they are then turned down, else
// left out.
var (
	preconditionHeaders  = []string{"If-Match", "If-Unmodified-Since"}
	partialAnswerHeaders = []string{"Range", "If-Range", "If-None-Match", "If-Modified-Since"}
)

// checkHeaders names what is wrong with a request's headers, whatever its route; or nothing.
func (t *Table) checkHeaders(h http.Header) string {
	for _, name := range t.decisiveHeaders {
		if len(h[name]) > 1 { // which one counts is for each reader to choose
			return name + " stands there more than once"
		}
	}
	for _, name := range t.singleValueHeaders {
		if strings.Contains(h.Get(name), ",") {
			return name + " names more than one"
		}
	}
	for _, name := range overrideHeaders {
		if _, has := h[name]; has {
			return name + " is not taken: an upstream may follow it"
		}
	}
	for name := range h {
		// CGI and its heirs read X_Request_ID and X-Request-ID as one.
		if strings.Contains(name, "_") {
			if dashed := http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-")); slices.Contains(t.decisiveHeaders, dashed) ||
				slices.Contains(overrideHeaders, dashed) || dashed == "Content-Length" || dashed == "Transfer-Encoding" ||
				dashed == "Host" {
				return fmt.Sprintf("%s may be taken for %s", name, dashed)
			}
		}
	}
	for _, list := range h["Connection"] { // what it names is taken off on the way
		for name := range strings.SplitSeq(list, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); slices.Contains(t.decisiveHeaders, name) {
				return "Connection names " + name + ", which has to go on"
			}
		}
	}
	return ""
}

// isUsableKey is false for what may be read as no key or as several. A key in quotes is a string as RFC 8941 has it.
func isUsableKey(key string) bool {
	if len(key) >= 2 && key[0] == '"' {
		return len(key) > 2 && strings.IndexByte(key[1:], '"') == len(key)-2
	}
	return key != "" && !strings.ContainsAny(key, "\",")
}
