package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"granitehinge/balancer"
)

const (
	maxBody    = 64 << 10 // of requests
	answerPart = 64       // an answer may have this fraction of the memory: many are in hand at once
	maxHeader  = 16 << 10
	maxInterim = 5 // 1xx answers ahead of the final one
	headerLoad = "X-Server-Load"
)

// reply is how an attempt ended; the rest belongs to an answer.
type reply struct {
	result balancer.Result
	header http.Header
	body   []byte
}

// attempt sends a request to an upstream once, and waits for its end or that of ctx.
func (u *upstreams) attempt(ctx context.Context, name string, r *clientRequest) reply {
	at, ok := u.dir.place(name)
	if !ok {
		return reply{result: balancer.Moot}
	}
	for {
		c, reused, err := u.connection(ctx, name, at)
		switch {
		case errors.Is(err, errSaturated): // says nothing of the upstream
			return reply{result: balancer.Moot}
		case err != nil && errors.Is(ctx.Err(), context.Canceled):
			return reply{result: balancer.Cancelled}
		case err != nil:
			return reply{result: balancer.ConnectFailed}
		}
		rep, reusable := u.exchange(ctx, c, r)
		if reusable {
			u.put(c)
		} else {
			u.discard(c)
		}
		if reused && rep.result == balancer.ConnectFailed {
			continue // closed as the request was written: not sent whole, and says nothing of the upstream
		}
		return rep
	}
}

// exchange writes the request and reads its answer, with nothing else of the connection's running beside it: what
// was written and what came is known here to the byte. A connection is reusable only if nothing is left of it.
func (u *upstreams) exchange(ctx context.Context, c *upstreamConn, r *clientRequest) (rep reply, reusable bool) {
	running := context.AfterFunc(ctx, func() { c.Close() })
	defer func() { reusable = running() && reusable }()
	ended := func(otherwise balancer.Result) reply {
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			return reply{result: balancer.Timeout}
		case ctx.Err() != nil:
			return reply{result: balancer.Cancelled}
		}
		return reply{result: otherwise}
	}
	req := r.outgoing(ctx, c.at.address)
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return reply{result: balancer.Moot}, true // nothing of it was sent
	}
	// Guards against sends to an upstream that discovery reported draining between the decision and the write,
	// while a connection was made, say.
	if !u.dir.ready(c.name, c.at) {
		return reply{result: balancer.Moot}, false
	}
	if _, err := c.Write(out.Bytes()); err != nil { // then its last byte was not written
		return ended(balancer.ConnectFailed), false
	}
	in := newAnswerReader(c)
	defer in.release()
	resp, err := in.head(req)
	if err != nil {
		return ended(in.failure()), false
	}
	// The body is not closed: that would first read the rest of it.
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	var body []byte
	whole := delimited && resp.ContentLength <= int64(u.maxAnswer) && resp.StatusCode >= 200
	if whole {
		body, err = in.body(resp, u.maxAnswer)
		if err != nil && resp.StatusCode == http.StatusOK {
			return ended(in.failure()), false
		}
		whole = err == nil
	}
	reusable = whole && !resp.Close && in.Buffered() == 0
	switch status := resp.StatusCode; {
	case status == http.StatusOK && !whole: // of no end, or of too much: what came is not served in parts
		return reply{result: balancer.Garbled}, false
	case status == http.StatusOK:
		header := endToEnd(resp.Header)
		header.Del(headerLoad)
		return reply{balancer.OK, header, body}, reusable
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		return reply{result: balancer.Overloaded}, reusable
	}
	return reply{result: balancer.ServerError}, reusable
}

// answerReader reads one answer. It never takes in more than an answer may have.
type answerReader struct {
	*bufio.Reader
	limited limited
}

// limited passes on no more than left from a connection.
type limited struct {
	from  io.Reader
	left  int
	broke bool // the connection ended or broke
}

func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.broke = l.broke || err != nil
	return n, err
}

var errTooLarge = errors.New("the answer is too large")

var readers = sync.Pool{New: func() any { return &answerReader{Reader: bufio.NewReader(nil)} }}

func newAnswerReader(from io.Reader) *answerReader {
	in := readers.Get().(*answerReader)
	in.limited = limited{from: from, left: maxHeader}
	in.Reader.Reset(&in.limited)
	return in
}

func (in *answerReader) release() {
	in.limited.from = nil
	readers.Put(in)
}

// head reads up to the final answer's body.
func (in *answerReader) head(req *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(in.Reader, req)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
	return nil, errTooLarge
}

// body reads the body to its end.
func (in *answerReader) body(resp *http.Response, most int) ([]byte, error) {
	in.limited.left = most + most/4 + maxHeader // chunks have heads of their own
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	if err == nil && len(body) > most {
		err = errTooLarge
	}
	return body, err
}

// failure is the outcome where no whole answer could be read: it may have run. An upstream that writes what can't
// be read is alive.
func (in *answerReader) failure() balancer.Result {
	if in.limited.broke {
		return balancer.Reset
	}
	return balancer.Garbled
}

// outgoing is the request as an upstream gets it.
func (r *clientRequest) outgoing(ctx context.Context, address string) *http.Request {
	// Opaque keeps path and query byte for byte.
	req := &http.Request{Method: r.method, URL: &url.URL{Scheme: "http", Host: address, Opaque: r.target},
		Host: r.host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.header.Clone()}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Microseconds(), 1)
		req.Header.Set("X-Timeout", strconv.FormatInt(left, 10)+"u")
	}
	if len(r.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body))
	}
	return req.WithContext(ctx)
}
