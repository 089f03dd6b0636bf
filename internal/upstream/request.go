package upstream

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"orchiddrift/internal/httpheader"
)

// Request is a request to an upstream. Each attempt writes the same bytes, except for the timeout header.
type Request struct {
	head   []byte // request line and headers, without the timeout header of an attempt
	body   []byte
	isHead bool // the method is HEAD: the response has no body
	// Upload is the part of the body that follows the field body. If it is nil, body is the complete body.
	Upload *Upload
	// Gate is entered before the first byte of each attempt is written. If it is nil, attempts are always allowed.
	Gate Gate
	// Written, unless nil, is called once the last byte of an attempt has been written.
	Written func()
	// CompleteOnly requests that each response is read completely, up to Options.MaxAnswerBytes. Otherwise the rest of a long response's
	// body is read from Response.Remainder.
	CompleteOnly bool
}

// Gate allows attempts to begin while it is open. Its owner can close it, and then wait for the writes that have entered it.
type Gate interface {
	// Enter is called before the first byte of an attempt is written. If it returns false, the gate is closed and the attempt must not be
	// written.
	Enter() bool
	// Leave is called after a successful Enter, once the first bytes have been written or their write has failed.
	Leave()
}

// rewrittenHeaders are not copied from the client's request: the new request has its own values for them, or leaves them out.
var rewrittenHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect", httpheader.Timeout}

// NewRequest returns a request that keeps method, target and body byte for byte. The caller passes the end-to-end headers only
// (httpheader.EndToEnd). All values come from a request that a server has parsed, so none of them contains a line break.
func NewRequest(method, target, host string, header http.Header, body []byte) *Request {
	const expectedHeadBytes = 512
	head := make([]byte, 0, expectedHeadBytes)
	head = append(head, method...)
	head = append(head, ' ')
	head = append(head, target...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = appendHeader(head, "Host", host)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if slices.Contains(rewrittenHeaders, name) {
			continue
		}
		for _, value := range header[name] {
			head = appendHeader(head, name, value)
		}
	}
	if method != http.MethodGet || len(body) > 0 {
		head = appendContentLength(head, int64(len(body)))
	}
	return &Request{head: head, body: body, isHead: method == http.MethodHead}
}

// NewUpload is NewRequest for a body that is forwarded as it arrives. The parameter first is the part that has arrived already.
func NewUpload(method, target, host string, header http.Header, first []byte, rest *Upload) *Request {
	r := NewRequest(method, target, host, header, nil)
	if method != http.MethodGet { // NewRequest has written a length of zero
		r.head = r.head[:len(r.head)-len("Content-Length: 0\r\n")]
	}
	if rest.Length >= 0 {
		r.head = appendContentLength(r.head, rest.Length)
	} else {
		r.head = appendHeader(r.head, "Transfer-Encoding", "chunked")
	}
	r.body, r.Upload, rest.pump = first, rest, newBodyPump()
	rest.pump.pieceBytes = rest.pieceBytes()
	return r
}

func appendHeader(head []byte, name, value string) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

func appendContentLength(head []byte, length int64) []byte {
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, length, 10)
	return append(head, "\r\n"...)
}

// appendTo appends the bytes of the request for an attempt with the given deadline; if the deadline is zero, it is not sent. A body that
// is written while the response is read is left out.
func (r *Request) appendTo(out []byte, deadline time.Time) []byte {
	out = append(out, r.head...)
	if !deadline.IsZero() {
		remaining := max(time.Until(deadline).Microseconds(), 1)
		if r.Upload != nil {
			remaining = r.Upload.Timeout.Microseconds()
		}
		out = append(out, httpheader.Timeout+": "...)
		out = strconv.AppendInt(out, remaining, 10)
		out = append(out, "u\r\n"...)
	}
	out = append(out, "\r\n"...)
	if r.streamsBody() {
		return out
	}
	return append(out, r.body...)
}
