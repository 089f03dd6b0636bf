package loadgen

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// Outcome is how a try ended.
type Outcome int

// The kinds.
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

// attemptResult is what a try brought.
type attemptResult struct {
	kind    Outcome
	retryIn time.Duration // as the server asks; 0: it does not
}

// sender sends one request at a time over a connection of its own. It makes the connection anew after it broke.
type sender interface {
	send(d ScheduledRequest, timeout time.Duration) attemptResult
	close()
}

// http1 is a sender of HTTP/1.1. Its requests are written out before the run but for their numbers; of an answer it reads what tells
// where it ends, and passes over the rest.
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
	safe       bool
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
		k := httpClass{body: newTemplate(string(c.Body)), bodyless: c.Method == "HEAD", safe: c.Method == "GET" || c.Method == "HEAD"}
		if k.fixed = len(k.body) == 1; k.fixed {
			if len(c.Body) > 0 || !k.safe {
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
	until := time.Now().Add(timeout)
	used := h.conn != nil
	o, heard, err := h.try(c, d.Number, until)
	if err != nil && used && !heard && c.safe && time.Now().Before(until) { // a server may close what stood idle
		h.close()
		o, _, err = h.try(c, d.Number, until)
	}
	if err != nil {
		h.close()
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			return attemptResult{kind: TimedOut}
		}
		return attemptResult{kind: Broken}
	}
	return o
}

// try is one request. heard: an answer's first byte came.
func (h *http1) try(c *httpClass, n uint64, until time.Time) (o attemptResult, heard bool, err error) {
	if h.conn == nil {
		if h.conn, err = (&net.Dialer{Deadline: until}).Dial("tcp", h.address); err != nil {
			h.conn = nil
			return o, false, err
		}
		h.r.Reset(h.conn)
	}
	if err := h.conn.SetDeadline(until); err != nil {
		return o, false, err
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
		return o, false, err
	}
	return h.answer(c.bodyless)
}

var errMalformedResponse = errors.New("what came is no answer")

// answer reads one, interim ones before it passed over.
func (h *http1) answer(bodyless bool) (o attemptResult, heard bool, err error) {
	for {
		status, length, chunked, closes, retry, err := h.head(&heard)
		if err != nil {
			return o, heard, err
		}
		if status < 200 {
			if status == 101 {
				return o, heard, errMalformedResponse
			}
			continue
		}
		switch {
		case bodyless || status == 204 || status == 304:
		case chunked:
			err = h.chunks()
		case length >= 0:
			_, err = h.r.Discard(length)
		default:
			closes = true
			_, err = io.Copy(io.Discard, h.r)
		}
		if err != nil {
			return o, heard, err
		}
		if closes {
			h.close()
		}
		return attemptResult{httpOutcome(status), retry}, heard, nil
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

// head reads a status line and headers. length is -1 where none is told.
func (h *http1) head(heard *bool) (status, length int, chunked, closes bool, retry time.Duration, err error) {
	length = -1
	line, err := h.line()
	if err != nil {
		return
	}
	*heard = true
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		err = errMalformedResponse
		return
	}
	if status, err = strconv.Atoi(string(line[9:12])); err != nil || status < 100 {
		err = errMalformedResponse
		return
	}
	closes = line[7] == '0'
	for size := 0; ; {
		if line, err = h.line(); err != nil {
			return
		}
		if len(line) == 0 {
			return
		}
		if size += len(line); size > maxHeaderBytes {
			err = errMalformedResponse
			return
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			err = errMalformedResponse
			return
		}
		value = bytes.TrimSpace(value)
		switch {
		case len(name) == 14 && bytes.EqualFold(name, []byte("Content-Length")):
			n, convErr := strconv.Atoi(string(value))
			if convErr != nil || n < 0 || length >= 0 && n != length {
				err = errMalformedResponse
				return
			}
			length = n
		case len(name) == 17 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked = bytes.EqualFold(value, []byte("chunked"))
		case len(name) == 10 && bytes.EqualFold(name, []byte("Connection")):
			closes = bytes.EqualFold(value, []byte("close")) || closes && !bytes.EqualFold(value, []byte("keep-alive"))
		case len(name) == 11 && bytes.EqualFold(name, []byte("Retry-After")):
			if n, convErr := strconv.Atoi(string(value)); convErr == nil && n >= 0 {
				retry = time.Duration(n) * time.Second
			}
		}
	}
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
