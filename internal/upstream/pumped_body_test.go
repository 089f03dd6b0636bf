package upstream

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// attemptContext ends with its attempt's time as the engine's does: its owner may let a streamed answer outlast it.
type attemptContext struct {
	context.Context
	deadline time.Time
}

func (c attemptContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Long answers without a length that an upstream gave slowly were cut off: all of the first 64 KiB was awaited. Such an answer is forwarded
// while it is still given, and one that stops or trickles ends with its attempt's time, so that another attempt can follow.
func TestSlowAnswersWithoutLength(t *testing.T) {
	const attemptTime = 500 * time.Millisecond
	for _, c := range []struct {
		name   string
		pieces int
		size   int
		pause  time.Duration
		want   balancer.Result
	}{
		{"long and slow", 12, 8 << 10, 100 * time.Millisecond, balancer.OK},
		{"short and slow", 4, 8 << 10, 150 * time.Millisecond, balancer.OK},
		{"short and at once", 2, 100, 0, balancer.OK},
		{"stops behind its beginning", 1, 100, time.Hour, balancer.Timeout},
		{"trickles", 100, 100, 50 * time.Millisecond, balancer.Timeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			body := patternedBody(c.size * c.pieces)
			ended := make(chan struct{})
			defer close(ended)
			s := testutil.Raw(t, func(conn net.Conn, _ fakes.Got) bool {
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for i := range c.pieces {
					_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", c.size, body[i*c.size:(i+1)*c.size])
					select {
					case <-time.After(c.pause):
					case <-ended:
						return false
					}
				}
				_, _ = fmt.Fprint(conn, "0\r\n\r\n")
				return true
			})
			pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			timer := time.AfterFunc(attemptTime, func() { cancel(context.DeadlineExceeded) })
			defer timer.Stop()
			response := pool.Attempt(attemptContext{ctx, time.Now().Add(attemptTime)}, "s", testRequest("GET", ""), time.Time{})
			if response.Result != c.want {
				t.Fatalf("the attempt ended with result %d, want %d", response.Result, c.want)
			}
			if response.Result != balancer.OK {
				return
			}
			if response.Remainder != nil {
				timer.Stop()
				defer response.Remainder.End()
			}
			if got, err := readAll(response); err != nil || got != body {
				t.Errorf("got %d bytes and error %v, want the complete body of %d", len(got), err, len(body))
			}
		})
	}
}
