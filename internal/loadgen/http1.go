package loadgen

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Outcome is the way in which an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	OK       Outcome = iota
	Refused          // HTTP status 429 or 503; gRPC status UNAVAILABLE or RESOURCE_EXHAUSTED with RetryInfo
	Rejected         // any other 4xx status, which means that the request is invalid
	Failed           // any other 5xx status
	Broken           // the connection failed, or the response was malformed
	TimedOut
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"ok", "refused", "rejected", "failed", "broken", "timed out"}

func (o Outcome) String() string { return outcomeNames[o] }

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome    Outcome
	retryAfter time.Duration // time for which the server asked to wait before a retry; 0 if it named no time
}

// sender sends one request at a time over its own connection. It reconnects after a fault.
type sender interface {
	send(d ScheduledRequest, timeout time.Duration) attemptResult
	close()
}

// http1Sender sends HTTP/1.1 requests. To keep the CPU time per request low, it formats requests before the run, except for their numbers.
// Of a response it parses only the status, the end and the time of a retry.
type http1Sender struct {
	address string
	classes []httpClass
	conn    net.Conn
	r       *bufio.Reader
	buf     []byte
	body    []byte
}

// httpClass holds the formatted requests of one class.
type httpClass struct {
	head, body template
	fixed      bool // all requests have the same body, which is part of head
	bodyless   bool // responses have no body, as for the method HEAD
	idempotent bool
}

// maxHeaderBytes is the maximum accepted size of the headers of a response.
const maxHeaderBytes = 64 << 10

func newHTTP1Sender(address string, classes []Class) *http1Sender {
	h := &http1Sender{address: address, r: bufio.NewReaderSize(nil, 16<<10)}
	for _, class := range classes {
		head := class.Method + " " + class.Path + " HTTP/1.1\r\n"
		hasHost := false
		for _, header := range class.Headers {
			head += header.Name + ": " + header.Value + "\r\n"
			hasHost = hasHost || bytes.EqualFold([]byte(header.Name), []byte("host"))
		}
		if !hasHost {
			head += "Host: " + address + "\r\n"
		}
		prepared := httpClass{body: newTemplate(string(class.Body)), bodyless: class.Method == "HEAD", idempotent: class.idempotent()}
		if prepared.fixed = len(prepared.body) == 1; prepared.fixed {
			if len(class.Body) > 0 || !prepared.idempotent {
				head += "Content-Length: " + strconv.Itoa(len(class.Body)) + "\r\n"
			}
			head += "\r\n" + string(class.Body)
		}
		prepared.head = newTemplate(head)
		h.classes = append(h.classes, prepared)
	}
	return h
}

func (h *http1Sender) close() {
	if h.conn != nil {
		h.conn.Close()
		h.conn = nil
	}
}

func (h *http1Sender) send(request ScheduledRequest, timeout time.Duration) attemptResult {
	class := &h.classes[request.Class]
	deadline := time.Now().Add(timeout)
	reused := h.conn != nil
	result, started, err := h.roundTrip(class, request.Number, deadline)
	if err != nil && reused && !started && class.idempotent && time.Now().Before(deadline) { // the server may have closed the connection while it was idle
		h.close()
		result, _, err = h.roundTrip(class, request.Number, deadline)
	}
	if err != nil {
		h.close()
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return attemptResult{outcome: TimedOut}
		}
		return attemptResult{outcome: Broken}
	}
	return result
}

// roundTrip sends a request once and reads the response. The result started reports whether the first line of the response arrived.
func (h *http1Sender) roundTrip(class *httpClass, number uint64, deadline time.Time) (result attemptResult, started bool, err error) {
	if h.conn == nil {
		if h.conn, err = (&net.Dialer{Deadline: deadline}).Dial("tcp", h.address); err != nil {
			h.conn = nil
			return result, false, err
		}
		h.r.Reset(h.conn)
	}
	if err := h.conn.SetDeadline(deadline); err != nil {
		return result, false, err
	}
	h.buf = class.head.appendTo(h.buf[:0], number)
	if !class.fixed {
		h.body = class.body.appendTo(h.body[:0], number)
		h.buf = append(h.buf, "Content-Length: "...)
		h.buf = strconv.AppendInt(h.buf, int64(len(h.body)), 10)
		h.buf = append(h.buf, "\r\n\r\n"...)
		h.buf = append(h.buf, h.body...)
	}
	if _, err := h.conn.Write(h.buf); err != nil {
		return result, false, err
	}
	return h.readResponse(class.bodyless)
}

var errMalformedResponse = errors.New("malformed response")

// readResponse reads the final response. It skips interim (1xx) responses. The result started reports whether the first line of a response
// arrived.
func (h *http1Sender) readResponse(bodyless bool) (result attemptResult, started bool, err error) {
	for {
		head, err := h.head(&started)
		if err != nil {
			return result, started, err
		}
		if head.status == http.StatusSwitchingProtocols {
			return result, started, errMalformedResponse
		}
		if head.status < http.StatusOK {
			continue
		}
		switch {
		case bodyless || head.status == http.StatusNoContent || head.status == http.StatusNotModified:
		case head.chunked:
			err = h.discardChunks()
		case head.length >= 0:
			_, err = h.r.Discard(head.length)
		default:
			head.closes = true
			_, err = io.Copy(io.Discard, h.r)
		}
		if err != nil {
			return result, started, err
		}
		if head.closes {
			h.close()
		}
		return attemptResult{httpOutcome(head.status), head.retryAfter}, started, nil
	}
}

// httpOutcome returns the outcome for a status code.
func httpOutcome(status int) Outcome {
	switch {
	case status == 429 || status == 503:
		return Refused
	case status >= 500:
		return Failed
	case status >= 400:
		return Rejected
	}
	return OK
}

// responseHead holds what the status line and the headers of a response say about its status, its end and a retry.
type responseHead struct {
	status     int
	length     int // value of Content-Length, or -1 if the header is absent
	chunked    bool
	closes     bool // the server closes the connection after the response
	retryAfter time.Duration
}

// statusLineLength is the length of the shortest valid status line, such as "HTTP/1.1 200".
const statusLineLength = 12

// head reads a status line and headers. It sets *started to true once it has read the status line.
func (h *http1Sender) head(started *bool) (responseHead, error) {
	head := responseHead{length: -1}
	line, err := h.line()
	if err != nil {
		return head, err
	}
	*started = true
	if len(line) < statusLineLength || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return head, errMalformedResponse
	}
	if head.status, err = strconv.Atoi(string(line[9:statusLineLength])); err != nil || head.status < 100 {
		return head, errMalformedResponse
	}
	head.closes = line[7] == '0'
	for size := 0; ; {
		if line, err = h.line(); err != nil || len(line) == 0 {
			return head, err
		}
		if size += len(line); size > maxHeaderBytes {
			return head, errMalformedResponse
		}
		if err := head.addHeader(line); err != nil {
			return head, err
		}
	}
}

// addHeader stores the value of a header line if responseHead has a field for the header. It ignores all other headers.
func (h *responseHead) addHeader(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return errMalformedResponse
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.Atoi(string(value))
		if err != nil || n < 0 || h.length >= 0 && n != h.length {
			return errMalformedResponse
		}
		h.length = n
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.chunked = bytes.EqualFold(value, []byte("chunked"))
	case bytes.EqualFold(name, []byte("Connection")):
		h.closes = bytes.EqualFold(value, []byte("close")) || h.closes && !bytes.EqualFold(value, []byte("keep-alive"))
	case bytes.EqualFold(name, []byte("Retry-After")):
		if n, err := strconv.Atoi(string(value)); err == nil && n >= 0 {
			h.retryAfter = time.Duration(n) * time.Second
		}
	}
	return nil
}

// line returns the next line without its line end. The line is valid until the next read.
func (h *http1Sender) line() ([]byte, error) {
	line, err := h.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			err = fmt.Errorf("%w: a line is longer than %d bytes", errMalformedResponse, h.r.Size())
		}
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// discardChunks reads and discards a chunked body and its trailers.
func (h *http1Sender) discardChunks() error {
	for {
		line, err := h.line()
		if err != nil {
			return err
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return errMalformedResponse
		}
		if n == 0 {
			break
		}
		if _, err := h.r.Discard(int(n)); err != nil {
			return err
		}
		if line, err = h.line(); err != nil || len(line) > 0 {
			return errors.Join(errMalformedResponse, err)
		}
	}
	for {
		line, err := h.line() // the line is a trailer, or the empty line that ends the body
		if err != nil || len(line) == 0 {
			return err
		}
	}
}
