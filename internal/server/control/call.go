// Package control serves the address for operators. A connection carries one HTTP/1.1 call, which is answered at once whatever clients and
// other callers do. call.go parses calls and does no I/O. server.go handles the connections.
package control

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
)

// Bounds of a call, in bytes.
const (
	MaxHead = 8 << 10
	MaxBody = 4 << 10
)

// Call is a request of an operator.
type Call struct {
	Method, Path string
	Query        string
}

// Answer is the response to a call.
type Answer struct {
	Status int
	Body   string
	Allow  string // the methods of the path, if the call's method is not one of them
}

// ParseState says how far a call has been parsed.
type ParseState int

// The parse states.
const (
	Incomplete ParseState = iota // more bytes are needed
	Complete
	Invalid // the bytes cannot become a call; the Answer says why
)

// ParseCall parses a call from all bytes that a connection has received so far. Bytes after a complete call are ignored.
func ParseCall(b []byte) (Call, ParseState, Answer) {
	end := headEnd(b)
	if end < 0 {
		if len(b) > MaxHead {
			return Call{}, Invalid, Answer{Status: http.StatusRequestHeaderFieldsTooLarge, Body: "the head is too large"}
		}
		if bad := invalidRequestLine(b); bad {
			return Call{}, Invalid, malformed("no request line")
		}
		return Call{}, Incomplete, Answer{}
	}
	if end > MaxHead {
		return Call{}, Invalid, Answer{Status: http.StatusRequestHeaderFieldsTooLarge, Body: "the head is too large"}
	}
	from := bufio.NewReaderSize(bytes.NewReader(b), len(b)) // its buffer holds all of b
	r, err := http.ReadRequest(from)
	if err != nil {
		return Call{}, Invalid, malformed("the head can't be read")
	}
	if !r.ProtoAtLeast(1, 0) || r.ProtoAtLeast(2, 0) {
		return Call{}, Invalid, Answer{Status: http.StatusHTTPVersionNotSupported, Body: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 && len(r.Header["Content-Length"]) > 0 {
		return Call{}, Invalid, malformed("the body is framed twice")
	}
	if r.ContentLength > MaxBody {
		return Call{}, Invalid, tooLarge
	}
	body := io.LimitReader(from, max(r.ContentLength, 0))
	chunked := len(r.TransferEncoding) > 0
	if chunked {
		body = httputil.NewChunkedReader(from) // reads up to the last chunk; net/http's Body does not distinguish a complete trailer from a missing one
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, MaxBody+1))
	rest, _ := from.Peek(from.Buffered()) // cannot fail for bytes that are buffered
	switch {
	case n > MaxBody || chunked && len(b) > end+2*MaxBody: // also limits the bytes that frame chunks
		return Call{}, Invalid, tooLarge
	case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
		return Call{}, Invalid, malformed("the body can't be read")
	case err != nil || !chunked && n < r.ContentLength || chunked && headEnd(rest) < 0:
		return Call{}, Incomplete, Answer{}
	}
	return Call{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery}, Complete, Answer{}
}

func malformed(text string) Answer { return Answer{Status: http.StatusBadRequest, Body: text} }

var tooLarge = Answer{Status: http.StatusRequestEntityTooLarge, Body: "the body is too large"}

// headEnd returns the index after the empty line that ends the head, or -1 if there is no such line. Like net/http it accepts line feeds
// without carriage returns.
func headEnd(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return -1
		}
		line := bytes.TrimSuffix(b[i:i+n], []byte{'\r'})
		i += n + 1
		if len(line) == 0 {
			return i
		}
	}
}

// invalidRequestLine reports whether the first line, as far as it has arrived, cannot begin a request.
func invalidRequestLine(b []byte) bool {
	line, _, complete := bytes.Cut(b, []byte{'\n'})
	if complete {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if bytes.Count(line, []byte{' '}) != 2 || !bytes.Contains(line, []byte(" HTTP/")) {
			return true
		}
	}
	for _, c := range line {
		if c < ' ' && c != '\r' || c >= 0x7f {
			return true
		}
	}
	return false
}

// appendTo appends the encoded answer to out. The answer to a HEAD call has no body.
func (a Answer) appendTo(out []byte, method string) []byte {
	body := a.Body
	if body != "" && !strings.HasSuffix(body, "\n") {
		body += "\n"
	}
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(a.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(a.Status)...)
	out = append(out, "\r\n"...)
	if a.Allow != "" {
		out = append(out, "Allow: "...)
		out = append(out, a.Allow...)
		out = append(out, "\r\n"...)
	}
	out = append(out, "Content-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nConnection: close\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	if method == http.MethodHead {
		return out
	}
	return append(out, body...)
}
