package routes

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"orchiddrift/internal/httpheader"
)

// platformHeaders are the headers of the platform's protocol. A request may have each once at most, in one spelling only, even if no route
// reads it, because an upstream may read it.
var platformHeaders = []string{httpheader.RequestID, httpheader.Class, httpheader.Tenant, httpheader.Timeout, httpheader.Cost,
	httpheader.Attributes, httpheader.RetryMarker, httpheader.IdempotencyKey}

// overrideHeaders make some servers use another method or path than that of the request line.
var overrideHeaders = []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override", "X-Original-Url",
	"X-Rewrite-Url", "X-Original-Method"}

// framingHeaders must not be spelled with underscores, like the decisive headers.
var framingHeaders = []string{"Content-Length", "Transfer-Encoding", "Host"}

// preconditionHeaders and partialAnswerHeaders ask an upstream for an answer other than the complete representation. If such answers count
// as failures, a client could use these headers to have upstreams ejected. In that case, requests that are not idempotent are rejected if
// they have preconditions, and other requests are forwarded without these headers.
var (
	preconditionHeaders  = []string{"If-Match", "If-Unmodified-Since"}
	partialAnswerHeaders = []string{"Range", "If-Range", "If-None-Match", "If-Modified-Since"}
)

// checkHeaders returns what is wrong with a request's headers regardless of its route, or an empty text.
func (t *Table) checkHeaders(header http.Header) string {
	for _, name := range t.decisiveHeaders {
		if len(header[name]) > 1 { // readers differ in which one counts
			return name + " stands there more than once"
		}
	}
	for _, name := range t.singleValueHeaders {
		if strings.Contains(header.Get(name), ",") {
			return name + " names more than one"
		}
	}
	for _, name := range overrideHeaders {
		if _, given := header[name]; given {
			return name + " is not taken: an upstream may follow it"
		}
	}
	if problem := t.checkUnderscores(header); problem != "" {
		return problem
	}
	return t.checkConnection(header)
}

// checkUnderscores finds headers that CGI and its successors cannot distinguish from decisive headers: servers that use CGI or a successor
// read X_Request_ID as X-Request-ID.
func (t *Table) checkUnderscores(header http.Header) string {
	for name := range header {
		if !strings.Contains(name, "_") {
			continue
		}
		dashed := http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
		if slices.Contains(t.decisiveHeaders, dashed) || slices.Contains(overrideHeaders, dashed) || slices.Contains(framingHeaders, dashed) {
			return fmt.Sprintf("%s may be taken for %s", name, dashed)
		}
	}
	return ""
}

// checkConnection finds decisive headers that the Connection header lists: a proxy on the way to the upstream removes them.
func (t *Table) checkConnection(header http.Header) string {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if slices.Contains(t.decisiveHeaders, name) {
				return "Connection names " + name + ", which has to go on"
			}
		}
	}
	return ""
}

// isUsableKey reports whether every server reads an idempotency key as exactly one key. A key in quotes is a string of RFC 8941.
func isUsableKey(key string) bool {
	if len(key) >= 2 && key[0] == '"' {
		return len(key) > 2 && strings.IndexByte(key[1:], '"') == len(key)-2
	}
	return key != "" && !strings.ContainsAny(key, "\",")
}
