package fakes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// OperationHeader is the header that carries Job.Op. In gRPC the metadata key is the same name in lower case. Only fakes
// use it.
const OperationHeader = "X-Operation"

// ListenHTTP makes the node serve HTTP/1.1 in the form of the platform at address, and returns the address.
// "127.0.0.1:0" stands for a free port.
func (n *Node) ListenHTTP(address string) (string, error) {
	return n.listen(address, func(c net.Conn) { n.serveHTTP(c, platformJob) })
}

// parsedRequest holds a request as a Job, and the texts with which its protocol answers. A request with an errorStatus
// is not executed.
type parsedRequest struct {
	job                        Job
	errorStatus                string                   // status code and reason phrase; empty for a valid request
	answer                     func(body []byte) []byte // formats the body of the answer; if nil, the body is sent unchanged
	headers                    string                   // header lines of the answers
	notExecutedBody, errorBody []byte                   // bodies of answers that report an error in the protocol's own form; nil if the protocol has no such form
}

// platformJob converts a request in the HTTP/1.1 form of the platform to a Job.
func platformJob(req *http.Request, payload []byte) parsedRequest {
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	s := parsedRequest{job: Job{ID: req.Header.Get("X-Request-ID"), Class: class, Key: req.Header.Get("Idempotency-Key"),
		Op: req.Header.Get(OperationHeader), Payload: payload}}
	if us, err := strconv.ParseFloat(req.Header.Get("X-Cost"), 64); err == nil {
		s.job.Work = time.Duration(us * float64(time.Microsecond))
	}
	if s.job.ID == "" {
		s.errorStatus = "404 Not Found"
	}
	return s
}

// serveHTTP serves one connection. One goroutine reads requests while another answers them, so that the node notices at
// once when the client closes the connection.
func (n *Node) serveHTTP(c net.Conn, parse func(*http.Request, []byte) parsedRequest) {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	requests := make(chan *http.Request)
	n.wg.Go(func() {
		defer cancel()
		defer close(requests)
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			req.Body = io.NopCloser(strings.NewReader(string(body)))
			select {
			case requests <- req:
			case <-ctx.Done():
				return
			}
		}
	})
	for req := range requests {
		if !n.answerHTTP(ctx, c, req, parse) {
			break
		}
	}
	c.Close() // ends the reading goroutine
	for range requests {
	}
}

// answerHTTP answers one request and reports whether the connection stays open.
func (n *Node) answerHTTP(ctx context.Context, c net.Conn, req *http.Request, parse func(*http.Request, []byte) parsedRequest) bool {
	payload, _ := io.ReadAll(req.Body) // reads from memory do not fail
	if req.URL.Path == "/-/load" {
		if n.waitWhileFrozen(ctx) != nil {
			return false
		}
		return writeResponse(c, "200 OK", "", n.loadReport())
	}
	s := parse(req, payload)
	if s.errorStatus != "" {
		return writeResponse(c, s.errorStatus, s.headers, s.errorBody)
	}
	v := n.serve(ctx, s.job)
	if s.answer != nil {
		v.body = s.answer(v.body)
	}
	switch {
	case v.kind == errorNotExecuted && s.notExecutedBody != nil:
		return writeResponse(c, "200 OK", s.headers, s.notExecutedBody)
	case v.kind == errorExecuted && s.errorBody != nil:
		return writeResponse(c, "200 OK", s.headers, s.errorBody)
	}
	switch v.kind {
	case answer:
		return writeResponse(c, "200 OK", s.headers, v.body)
	case rejected, refuseStream, errorNotExecuted:
		return writeResponse(c, "503 Service Unavailable", "X-Not-Processed: 1\r\n", nil)
	case goAway:
		writeResponse(c, "503 Service Unavailable", "X-Not-Processed: 1\r\nConnection: close\r\n", nil)
	case serverError, errorExecuted:
		return writeResponse(c, "500 Internal Server Error", "", nil)
	case malformed:
		_, _ = io.WriteString(c, "\x16\x03\x01 no HTTP\r\n\r\n")
		<-ctx.Done()
	case truncated:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(v.body)+10, v.body)
		reset(c)
	case resetConnection:
		reset(c)
	}
	return false
}

func writeResponse(c net.Conn, status, headers string, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err == nil
}
