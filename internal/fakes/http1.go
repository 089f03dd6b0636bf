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

// OperationHeader names the client's operation to a node, as a metadata key too. Only fakes use it.
const OperationHeader = "X-Operation"

// ListenHTTP makes the node serve the platform's HTTP/1.1 at address ("127.0.0.1:0": a free port), and returns where.
func (n *Node) ListenHTTP(address string) (string, error) {
	return n.listen(address, func(c net.Conn) { n.serveHTTP(c, platformJob) })
}

// spoken is what a request is to the core, and the texts of its protocol. A refusal ends the request before the core.
type spoken struct {
	job              Job
	refusal          string                   // a status line; empty: it is a request
	answer           func(body []byte) []byte // nil: as it is
	headers          string                   // of answers
	unrunned, failed []byte                   // bodies of the protocol's own errors; nil: it has none
}

// platformJob reads the platform's requests.
func platformJob(req *http.Request, payload []byte) spoken {
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	s := spoken{job: Job{ID: req.Header.Get("X-Request-ID"), Class: class, Key: req.Header.Get("Idempotency-Key"),
		Op: req.Header.Get(OperationHeader), Payload: payload}}
	if us, err := strconv.ParseFloat(req.Header.Get("X-Cost"), 64); err == nil {
		s.job.Work = time.Duration(us * float64(time.Microsecond))
	}
	if s.job.ID == "" {
		s.refusal = "404 Not Found"
	}
	return s
}

// serveHTTP serves one connection. What reads it runs beside what answers, so that a client that leaves is seen.
func (n *Node) serveHTTP(c net.Conn, read func(*http.Request, []byte) spoken) {
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
		if !n.answerHTTP(ctx, c, req, read) {
			break
		}
	}
	c.Close() // ends the reader
	for range requests {
	}
}

// answerHTTP tells whether the connection goes on.
func (n *Node) answerHTTP(ctx context.Context, c net.Conn, req *http.Request, read func(*http.Request, []byte) spoken) bool {
	payload, _ := io.ReadAll(req.Body) // it is in memory
	if req.URL.Path == "/-/load" {
		if n.waitWhileFrozen(ctx) != nil {
			return false
		}
		return say(c, "200 OK", "", n.loadReport())
	}
	s := read(req, payload)
	if s.refusal != "" {
		return say(c, s.refusal, s.headers, s.failed)
	}
	v := n.serve(ctx, s.job)
	if s.answer != nil {
		v.body = s.answer(v.body)
	}
	switch {
	case v.kind == errorNotExecuted && s.unrunned != nil:
		return say(c, "200 OK", s.headers, s.unrunned)
	case v.kind == errorExecuted && s.failed != nil:
		return say(c, "200 OK", s.headers, s.failed)
	}
	switch v.kind {
	case answer:
		return say(c, "200 OK", s.headers, v.body)
	case rejected, refuseStream, errorNotExecuted:
		return say(c, "503 Service Unavailable", "X-Not-Processed: 1\r\n", nil)
	case goAway:
		say(c, "503 Service Unavailable", "X-Not-Processed: 1\r\nConnection: close\r\n", nil)
	case serverError, errorExecuted:
		return say(c, "500 Internal Server Error", "", nil)
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

func say(c net.Conn, status, headers string, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err == nil
}
