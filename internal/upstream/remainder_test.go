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

// long is n bytes that differ from place to place.
func long(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>9)
	}
	return string(b)
}

// readAll reads an answer to its end, as whoever passes it on does.
func readAll(rep Response) (string, error) {
	if rep.Remainder == nil {
		return string(rep.Body), nil
	}
	rest, err := io.ReadAll(rep.Remainder)
	return string(rep.Body) + string(rest), err
}

// Answers that are passed on as they come, in each framing: all of it and nothing else, and the connection goes on where its state is
// known. Guards against long answers that are held back, cut, or taken for spoilt.
func TestLongAnswers(t *testing.T) {
	body := long(3 << 20)
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
		kept   int // connections afterwards
	}{
		{"a length", fakes.Says(fakes.OK200(body)), int64(len(body)), 1},
		{"chunks", fakes.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n" + chunks), -1, 1},
		{"the end of the connection", closes("HTTP/1.1 200 OK\r\n\r\n" + body), -1, 0},
		{"a length, and the last on its connection", closes("HTTP/1.1 200 OK\r\nConnection: close\r\n" +
			strings.TrimPrefix(fakes.OK200(body), "HTTP/1.1 200 OK\r\n")), int64(len(body)), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testutil.Raw(t, c.answer)
			u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{})
			if rep.Result != balancer.OK || rep.Remainder == nil || rep.Remainder.Length != c.length {
				t.Fatalf("%+v", rep)
			}
			got, err := readAll(rep)
			if err != nil || got != body || rep.Remainder.Result() != balancer.OK {
				t.Errorf("%d bytes, %v, result %d", len(got), err, rep.Remainder.Result())
			}
			rep.Remainder.End()
			rep.Remainder.End() // does nothing
			if n := u.IdleCount(); n != c.kept {
				t.Errorf("%d connections are kept, want %d", n, c.kept)
			}
		})
	}
}

// An answer that breaks off in the middle is not whole, by whatever framing: the client has to be able to tell.
func TestLongAnswersThatBreak(t *testing.T) {
	part := long(300 << 10)
	for name, c := range map[string]struct {
		text string
		want balancer.Result
	}{
		"a length":     {"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + part, balancer.Reset},
		"a chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf0000\r\n" + part, balancer.Reset},
		"no last":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4b000\r\n" + part + "\r\n", balancer.Reset},
		"broken frame": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4b000\r\n" + part + "\r\nzz\r\n", balancer.Malformed},
		"a reset":      {"HTTP/1.1 200 OK\r\n\r\n" + part, balancer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			s := testutil.Raw(t, func(conn net.Conn, _ fakes.Got) bool {
				_, _ = io.WriteString(conn, c.text)
				if c.want == balancer.Malformed { // it stays open, and is of no further use
					<-hold
				}
				return false
			})
			defer close(hold)
			u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{})
			if rep.Result != balancer.OK { // it broke before it was passed on
				if rep.Result != c.want {
					t.Errorf("result %d, want %d", rep.Result, c.want)
				}
				return
			}
			_, err := readAll(rep)
			if err == nil || rep.Remainder.Result() != c.want {
				t.Errorf("%v, result %d, want %d", err, rep.Remainder.Result(), c.want)
			}
			rep.Remainder.End()
			if u.IdleCount() != 0 {
				t.Error("its connection is kept")
			}
		})
	}
}

// Guards against an answer that is read ahead of its client: what nobody takes stays with the upstream, and calling it off ends it.
func TestLongAnswerWaitsForItsClient(t *testing.T) {
	const all = 48 << 20
	written := make(chan int, 1)
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", all)
		n, part := 0, make([]byte, 64<<10)
		for n < all {
			m, err := c.Write(part)
			if n += m; err != nil {
				break
			}
		}
		written <- n
		return false
	})
	u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	rep := u.Attempt(ctx, "s", testRequest("GET", ""), time.Time{})
	if rep.Remainder == nil {
		t.Fatalf("%+v", rep)
	}
	cancel()
	if n := <-written; n == all {
		t.Error("all of it was written though nobody read")
	}
	if _, err := readAll(rep); err == nil || rep.Remainder.Result() != balancer.Cancelled {
		t.Errorf("%v, result %d", err, rep.Remainder.Result())
	}
	rep.Remainder.End()
	testutil.Eventually(t, "its slot is free", func() bool { return u.connectionSlots.TryAcquire("", 4) })
}
