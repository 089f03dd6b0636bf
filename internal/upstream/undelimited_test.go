package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// Answers that have to be complete, such as those to payments with a stored key, were thrown away if they had no length: their end is the
// orderly end of their connection. A reset is no end, and an answer that is too long is not kept.
func TestCompleteAnswersWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for _, c := range []struct {
		name, text string
		reset      bool
		want       balancer.Result
		body       string
	}{
		{"an answer that ends with its connection", head + "paid", false, balancer.OK, "paid"},
		{"an empty one", head, false, balancer.OK, ""},
		{"a reset", head + "paid", true, balancer.Reset, ""},
		{"one that is too long", head + string(make([]byte, maxAnswer+1)), false, balancer.Malformed, ""},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n", false, balancer.OK, "paid"},
		{"chunks that end with the connection", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n", false, balancer.Reset, ""},
		{"a length, and less of a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npaid", false, balancer.Reset, ""},
		{"a failure", "HTTP/1.1 500 Error\r\n\r\nfailed", false, balancer.ServerError, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testutil.Raw(t, func(conn net.Conn, _ fakes.Got) bool {
				_, _ = io.WriteString(conn, c.text)
				if c.reset {
					time.Sleep(20 * time.Millisecond) // the text arrives before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
				return true
			})
			pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			request := testRequest("POST", "x")
			request.CompleteOnly = true
			response := pool.Attempt(t.Context(), "s", request, time.Time{})
			if response.Result != c.want || string(response.Body) != c.body || response.Remainder != nil {
				t.Errorf("the attempt ended with result %d and body %q, want %d and %q", response.Result, response.Body, c.want, c.body)
			}
			if n := pool.IdleCount(); n != 0 && c.text[:len(head)] == head {
				t.Errorf("%d connections are idle behind an answer that ends with its connection, want none", n)
			}
		})
	}
}
