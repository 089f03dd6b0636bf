package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// patternedBody returns n bytes of a pattern that reveals misplaced parts.
func patternedBody(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>9)
	}
	return string(b)
}

// readAll reads a response body to its end.
func readAll(response Response) (string, error) {
	if response.Remainder == nil {
		return string(response.Body), nil
	}
	rest, err := io.ReadAll(response.Remainder)
	return string(response.Body) + string(rest), err
}

// Guards against long responses that are withheld, truncated or rejected as malformed. With each framing exactly the body has to arrive,
// and the connection has to be reused if its state is known.
func TestLongAnswers(t *testing.T) {
	body := patternedBody(3 << 20)
	chunks := func() string {
		var b bytes.Buffer
		for i := 0; i < len(body); i += 70000 {
			part := body[i:min(len(body), i+70000)]
			fmt.Fprintf(&b, "%x;ext=\"1\"\r\n%s\r\n", len(part), part)
		}
		return b.String() + "0\r\nX-Trailer: 1\r\n\r\n"
	}()
	closes := func(text string) func(net.Conn, fakes.Got) bool {
		return func(c net.Conn, _ fakes.Got) bool {
			_, _ = io.WriteString(c, text)
			c.Close()
			return true
		}
	}
	for _, c := range []struct {
		name   string
		answer func(net.Conn, fakes.Got) bool
		length int64
		idle   int // idle connections afterwards
	}{
		{"a length", fakes.Says(fakes.OK200(body)), int64(len(body)), 1},
		{"chunked", fakes.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n" + chunks), -1, 1},
		{"body ends with the connection", closes("HTTP/1.1 200 OK\r\n\r\n" + body), -1, 0},
		{"a length and Connection: close", closes("HTTP/1.1 200 OK\r\nConnection: close\r\n" +
			strings.TrimPrefix(fakes.OK200(body), "HTTP/1.1 200 OK\r\n")), int64(len(body)), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testutil.Raw(t, c.answer)
			pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{})
			if response.Result != balancer.OK || response.Remainder == nil || response.Remainder.Length != c.length {
				t.Fatalf("the response is not passed through as expected: %+v", response)
			}
			got, err := readAll(response)
			if err != nil || got != body || response.Remainder.Result() != balancer.OK {
				t.Errorf("got %d bytes, error %v, result %d, want the complete body", len(got), err, response.Remainder.Result())
			}
			response.Remainder.End()
			response.Remainder.End() // a second call has no effect
			if n := pool.IdleCount(); n != c.idle {
				t.Errorf("the pool has %d idle connections, want %d", n, c.idle)
			}
		})
	}
}

// Guards against a response that breaks off in the middle and counts as complete, with each framing of the body.
func TestLongAnswersThatBreak(t *testing.T) {
	part := patternedBody(300 << 10)
	for name, c := range map[string]struct {
		text string
		want balancer.Result
	}{
		"a length":          {"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + part, balancer.Reset},
		"within a chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf0000\r\n" + part, balancer.Reset},
		"no last chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4b000\r\n" + part + "\r\n", balancer.Reset},
		"broken chunk size": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4b000\r\n" + part + "\r\nzz\r\n", balancer.Malformed},
		"a reset":           {"HTTP/1.1 200 OK\r\n\r\n" + part, balancer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			s := testutil.Raw(t, func(conn net.Conn, _ fakes.Got) bool {
				_, _ = io.WriteString(conn, c.text)
				if c.want == balancer.Malformed { // the connection stays open, but must not be reused
					<-hold
				}
				return false
			})
			defer close(hold)
			pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{})
			if response.Result != balancer.OK { // the response broke off before any of it was passed on
				if response.Result != c.want {
					t.Errorf("attempt ended with result %d, want %d", response.Result, c.want)
				}
				return
			}
			_, err := readAll(response)
			if err == nil || response.Remainder.Result() != c.want {
				t.Errorf("error %v, result %d, want an error and result %d", err, response.Remainder.Result(), c.want)
			}
			response.Remainder.End()
			if pool.IdleCount() != 0 {
				t.Error("the connection of a broken response is idle in the pool")
			}
		})
	}
}

// Guards against a response that is read faster than its client reads it: the upstream cannot write more than the buffers hold, and
// cancelling the request ends the response.
func TestLongAnswerWaitsForItsClient(t *testing.T) {
	const bodyBytes = 48 << 20
	written := make(chan int, 1)
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		n, part := 0, make([]byte, 64<<10)
		for n < bodyBytes {
			m, err := c.Write(part)
			if n += m; err != nil {
				break
			}
		}
		written <- n
		return false
	})
	pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	response := pool.Attempt(ctx, "s", testRequest("GET", ""), time.Time{})
	if response.Remainder == nil {
		t.Fatalf("the response is not passed through as expected: %+v", response)
	}
	cancel()
	if n := <-written; n == bodyBytes {
		t.Error("the upstream wrote the complete body although nobody read it")
	}
	if _, err := readAll(response); err == nil || response.Remainder.Result() != balancer.Cancelled {
		t.Errorf("error %v, result %d, want an error and a cancelled attempt", err, response.Remainder.Result())
	}
	response.Remainder.End()
	testutil.Eventually(t, "all connection slots are free", func() bool { return pool.connectionSlots.TryAcquire("", 4) })
}
