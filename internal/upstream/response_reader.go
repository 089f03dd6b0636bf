package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// maxInformational is the maximum number of 1xx responses before the final one.
const maxInformational = 5

var errTooLarge = errors.New("upstream response too large")

// headRequest makes net/http parse a response to a HEAD request, which has no body.
var headRequest = &http.Request{Method: http.MethodHead}

// responseReader reads one response, and never more bytes than its limit allows.
type responseReader struct {
	*bufio.Reader
	limit limitedReader
}

// limitedReader reads from a connection, but no more bytes than its field remaining allows.
type limitedReader struct {
	source    io.Reader
	remaining int
	broken    bool // the connection has ended or failed
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.broken = l.broken || err != nil
	return n, err
}

var responseReaders = sync.Pool{New: func() any { return &responseReader{Reader: bufio.NewReader(nil)} }}

func newResponseReader(from io.Reader) *responseReader {
	reader := responseReaders.Get().(*responseReader)
	reader.limit = limitedReader{source: from, remaining: httpheader.MaxBytes}
	reader.Reader.Reset(&reader.limit)
	return reader
}

func (r *responseReader) release() {
	r.limit.source = nil
	responseReaders.Put(r)
}

// isUntouched reports whether no byte of a response has arrived. It holds while the head is read.
func (r *responseReader) isUntouched() bool { return r.limit.remaining == httpheader.MaxBytes }

// head reads the final response up to its body.
func (r *responseReader) head(request *Request) (*http.Response, error) {
	var parsedFor *http.Request // nil stands for a GET
	if request.isHead {
		parsedFor = headRequest
	}
	for range maxInformational + 1 {
		message, err := http.ReadResponse(r.Reader, parsedFor)
		if err != nil || message.StatusCode >= http.StatusOK || message.StatusCode == http.StatusSwitchingProtocols {
			return message, err
		}
	}
	return nil, errTooLarge
}

// body reads a body to its end; maxBytes bounds a body of unknown length.
func (r *responseReader) body(message *http.Response, maxBytes int) ([]byte, error) {
	r.limit.remaining = withChunkOverhead(maxBytes) + httpheader.MaxBytes
	if message.ContentLength >= 0 {
		body := make([]byte, message.ContentLength)
		_, err := io.ReadFull(message.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(message.Body, int64(maxBytes)+1))
	if err == nil && len(body) > maxBytes {
		err = errTooLarge
	}
	return body, err
}

// withChunkOverhead returns the maximum size on the connection of a body of the given size, including the size lines of chunked encoding.
func withChunkOverhead(bytes int) int { return bytes + bytes/4 }

// failure returns the result of an attempt whose response could not be read completely, and whose request may have run. The result is
// Malformed if the connection has not failed, since an upstream that sends an unreadable response is alive.
func (r *responseReader) failure() balancer.Result {
	if r.limit.broken {
		return balancer.Reset
	}
	return balancer.Malformed
}
