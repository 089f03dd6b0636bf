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

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	OK       Outcome = iota
	Refused          // 429, 503; UNAVAILABLE and RESOURCE_EXHAUSTED with RetryInfo
	Rejected         // another 4xx: the request is wrong
	Failed           // another 5xx
	Broken           // the connection, or what came over it
	TimedOut
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"ok", "refused", "rejected", "failed", "broken", "timed out"}

func (k Outcome) String() string { return outcomeNames[k] }

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome    Outcome
	retryAfter time.Duration // the wait that the server asked for; 0: none
}

// sender sends one request at a time over a connection of its own, and reconnects after a fault.
type sender interface {
	send(d ScheduledRequest, timeout time.Duration) attemptResult
	close()
}

// http1 is a sender of HTTP/1.1. Its requests are formatted before the run, but for their numbers. Of a response it parses only what is
// needed to find its end and the time of a retry, which keeps the CPU time of a request low.
type http1 struct {
	address string
	classes []httpClass
	conn    net.Conn
	r       *bufio.Reader
	buf     []byte
	body    []byte
}

type httpClass struct {
	head, body template
	fixed      bool // the body's length is the same for all
	bodyless   bool // HEAD
	idempotent bool
}

const maxHeaderBytes = 64 << 10

func newHTTP1(address string, classes []Class) *http1 {
	h := &http1{address: address, r: bufio.NewReaderSize(nil, 16<<10)}
	for _, c := range classes {
		head := c.Method + " " + c.Path + " HTTP/1.1\r\n"
		host := false
		for _, x := range c.Headers {
			head += x.Name + ": " + x.Value + "\r\n"
			host = host || bytes.EqualFold([]byte(x.Name), []byte("host"))
		}
		if !host {
			head += "Host: " + address + "\r\n"
		}
		k := httpClass{body: newTemplate(string(c.Body)), bodyless: c.Method == "HEAD", idempotent: c.idempotent()}
		if k.fixed = len(k.body) == 1; k.fixed {
			if len(c.Body) > 0 || !k.idempotent {
				head += "Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n"
			}
			head += "\r\n" + string(c.Body)
		}
		k.head = newTemplate(head)
		h.classes = append(h.classes, k)
	}
	return h
}

func (h *http1) close() {
	if h.conn != nil {
		h.conn.Close()
		h.conn = nil
	}
}

func (h *http1) send(d ScheduledRequest, timeout time.Duration) attemptResult {
	c := &h.classes[d.Class]
	deadline := time.Now().Add(timeout)
	used := h.conn != nil
	result, started, err := h.attempt(c, d.Number, deadline)
	if err != nil && used && !started && c.idempotent && time.Now().Before(deadline) { // the server may have closed the idle connection
		h.close()
		result, _, err = h.attempt(c, d.Number, deadline)
	}
	if err != nil {
		h.close()
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			return attemptResult{outcome: TimedOut}
		}
		return attemptResult{outcome: Broken}
	}
	return result
}

// attempt sends a request once and reads the response. started: its first line came.
func (h *http1) attempt(c *httpClass, n uint64, deadline time.Time) (result attemptResult, started bool, err error) {
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
	h.buf = c.head.appendTo(h.buf[:0], n)
	if !c.fixed {
		h.body = c.body.appendTo(h.body[:0], n)
		h.buf = append(h.buf, "Content-Length: "...)
		h.buf = strconv.AppendInt(h.buf, int64(len(h.body)), 10)
		h.buf = append(h.buf, "\r\n\r\n"...)
		h.buf = append(h.buf, h.body...)
	}
	if _, err := h.conn.Write(h.buf); err != nil {
		return result, false, err
	}
	return h.response(c.bodyless)
}

var errMalformedResponse = errors.New("malformed response")

// response reads the final response; interim ones before it are skipped. started: its first line came.
func (h *http1) response(bodyless bool) (result attemptResult, started bool, err error) {
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
			err = h.chunks()
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

// responseHead is what the status line and the headers say about the end of the response and about retries.
type responseHead struct {
	status     int
	length     int // Content-Length; -1: absent
	chunked    bool
	closes     bool // the server closes the connection after the response
	retryAfter time.Duration
}

// statusLineLength is the length of "HTTP/1.1 200", the least that a status line has.
const statusLineLength = 12

// head reads a status line and headers. It sets started once the first line is read.
func (h *http1) head(started *bool) (responseHead, error) {
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

// addHeader takes over a header line if it is one that matters here.
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

func (h *http1) line() ([]byte, error) {
	line, err := h.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			err = fmt.Errorf("%w: a line over %d bytes", errMalformedResponse, h.r.Size())
		}
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (h *http1) chunks() error {
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
		line, err := h.line() // trailers
		if err != nil || len(line) == 0 {
			return err
		}
	}
}
