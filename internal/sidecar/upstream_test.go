package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"granitehinge/balancer"
)

func testUpstreams(t *testing.T, most int, entries ...string) *upstreams {
	t.Helper()
	c := testConfig(t, "127.0.0.1:1", entries...)
	u := newUpstreams(c, newClock(), most)
	u.rest = 0
	u.dir.apply(c.Known)
	t.Cleanup(func() {
		for _, e := range c.Known.Endpoints {
			u.drop(e.Name)
		}
	})
	return u
}

func testRequest(method, body string) *clientRequest {
	return &clientRequest{id: "1", method: method, target: "/search/a%2Fb?x=%20y&z", host: "service.internal",
		header: http.Header{"X-Request-Id": {"9b1f03aa5c7e2d41"}, "Idempotency-Key": {"k"}}, body: []byte(body)}
}

// Guards against claims about attempts that the sockets do not bear out: a request that may have run must
// never be reported as one that did not.
func TestOutcomes(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	for _, c := range []struct {
		name   string
		answer func(net.Conn, got) bool
		want   balancer.Result
	}{
		{"served", says(ok200("body")), balancer.OK},
		{"empty body", says(ok200("")), balancer.OK},
		{"chunked", says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), balancer.OK},
		{"error", says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"redirect", says("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"turned away", says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Overloaded},
		{"turned away late", says("HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Overloaded},
		{"503 without the mark", says("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"500 with the mark", says("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"reset", func(net.Conn, got) bool { return false }, balancer.Reset},
		{"garbage", says("\x00\x01 no HTTP\r\n\r\n"), balancer.Garbled},
		{"truncated", func(c net.Conn, _ got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, balancer.Reset},
		{"delimited by the end", func(c net.Conn, _ got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf?")
			c.Close()
			return true
		}, balancer.Garbled},
		{"too large", says(ok200(strings.Repeat("x", 192<<20/answerPart+1))), balancer.Garbled},
		{"more than a request may have", says(ok200(strings.Repeat("x", 400<<10))), balancer.OK},
		{"too large in chunks", says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" +
			strings.Repeat("x", 4<<20) + "\r\n0\r\n\r\n"), balancer.Garbled},
		{"another protocol", says("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"),
			balancer.ServerError},
		{"no number for a status", says("HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n"), balancer.Garbled},
		{"two lengths", says("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"), balancer.Garbled},
		{"broken chunks", says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nmany\r\n"), balancer.Garbled},
		{"3 GB", says("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody"), balancer.Garbled},
		{"interim answers", says("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok200("body")), balancer.OK},
		{"interim answers for ever", says(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)), balancer.Garbled},
		{"unreadable load", says("HTTP/1.1 200 OK\r\nX-Server-Load: TEXT ,,=\xff\r\nContent-Length: 0\r\n\r\n"), balancer.OK},
		{"headers too large", says("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeader) + "\r\n\r\n"), balancer.Garbled},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newUpstream(t, c.answer)
			u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			if rep := u.attempt(ctx, "s", testRequest("POST", "b")); rep.result != c.want {
				t.Errorf("result %d, want %d", rep.result, c.want)
			}
			if n := len(s.requests()); n != 1 {
				t.Errorf("the upstream got %d copies", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		u := testUpstreams(t, 4, entry("s", refused.Addr().String(), "Ready"))
		if rep := u.attempt(t.Context(), "s", testRequest("GET", "")); rep.result != balancer.ConnectFailed {
			t.Errorf("result %d", rep.result)
		}
	})
}

// Guards against attempts that outlive their time or are called off in name only: the upstream must see the
// connection end.
func TestTimeoutAndCancelCloseTheConnection(t *testing.T) {
	for _, want := range []balancer.Result{balancer.Timeout, balancer.Cancelled} {
		s := newUpstream(t, silent)
		u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
		ctx, cancel := context.WithCancel(context.Background())
		if want == balancer.Timeout {
			ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
		}
		end := make(chan reply, 1)
		go func() { end <- u.attempt(ctx, "s", testRequest("GET", "")) }()
		eventually(t, "request at the upstream", func() bool { return len(s.requests()) == 1 })
		if want == balancer.Cancelled {
			cancel()
		}
		if rep := <-end; rep.result != want {
			t.Errorf("result %d, want %d", rep.result, want)
		}
		cancel()
		eventually(t, "connection closed", func() bool { return s.closed.Load() == 1 })
		if n := len(u.slots); n != 0 {
			t.Errorf("%d connections counted", n)
		}
	}
}

// Guards against a refusal that is not safe, and a failure where one would be: what was never written whole
// has not run. The library reports such a request as written, from its buffer.
func TestBrokenBeforeTheLastByteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and leaves them alone
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := testUpstreams(t, 4, entry("s", l.Addr().String(), "Ready"))
	c, _, err := u.connection(t.Context(), "s", place{address: l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil { // the write will fail
		t.Fatal(err)
	}
	rep, reusable := u.exchange(t.Context(), c, testRequest("POST", "b"))
	u.discard(c)
	if rep.result != balancer.ConnectFailed || reusable {
		t.Errorf("result %d, reusable %v", rep.result, reusable)
	}
}

// Guards against sends to an upstream that drains: the news came between the decision and the write.
func TestDrainIsCheckedAtTheWrite(t *testing.T) {
	for _, status := range []string{"Terminating", "Gone"} {
		s := newUpstream(t, says(ok200("")))
		u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
		c, _, err := u.connection(t.Context(), "s", place{address: s.address})
		if err != nil {
			t.Fatal(err)
		}
		u.dir.apply(parsed(t, list(2, false, entry("s", s.address, status))))
		if rep, _ := u.exchange(t.Context(), c, testRequest("GET", "")); rep.result != balancer.Moot {
			t.Errorf("%s: result %d", status, rep.result)
		}
		u.discard(c)
		if rep := u.attempt(t.Context(), "s", testRequest("GET", "")); rep.result != balancer.Moot {
			t.Errorf("%s: later result %d", status, rep.result)
		}
		if n := len(s.requests()); n != 0 {
			t.Errorf("%s: the upstream got %d requests", status, n)
		}
	}
}

// Guards against changed requests: upstreams drop repeats and count copies by what stands in them.
func TestRequestGoesOnUnchanged(t *testing.T) {
	s := newUpstream(t, says(ok200("")))
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := "\x00binary\r\n" + strings.Repeat("y", 60<<10)
	u.attempt(ctx, "s", testRequest("POST", body))
	g := s.requests()[0]
	if g.method != "POST" || g.target != "/search/a%2Fb?x=%20y&z" || g.body != body {
		t.Errorf("got %s %s and %d bytes", g.method, g.target, len(g.body))
	}
	if g.header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || g.header.Get("Idempotency-Key") != "k" {
		t.Errorf("headers %v", g.header)
	}
	if d, err := parseTimeout(g.header.Get("X-Timeout")); err != nil || d <= 0 || d > patience {
		t.Errorf("X-Timeout %q: %v, %v", g.header.Get("X-Timeout"), d, err)
	}
}

// Guards against a handshake for each request, and against requests on connections that the upstream closed
// or is about to close.
func TestPool(t *testing.T) {
	n, pooled := atomic.Int32{}, make(chan struct{})
	s := newUpstream(t, func(c net.Conn, _ got) bool {
		_, _ = io.WriteString(c, ok200(""))
		if n.Add(1) != 3 {
			return true
		}
		<-pooled // the third answer's connection is reset when idle
		return false
	})
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	send := func(want balancer.Result) {
		t.Helper()
		if rep := u.attempt(t.Context(), "s", testRequest("GET", "")); rep.result != want {
			t.Fatalf("result %d, want %d", rep.result, want)
		}
	}
	send(balancer.OK)
	send(balancer.OK)
	if n := s.opened.Load(); n != 1 {
		t.Fatalf("%d connections for two requests", n)
	}

	// A reset while idle: the next request takes a new connection.
	send(balancer.OK)
	idle := u.idle["s"][0]
	close(pooled)
	eventually(t, "the upstream's close is seen", func() bool { return !idle.quiet() })
	send(balancer.OK)
	if n := s.opened.Load(); n != 2 {
		t.Fatalf("%d connections", n)
	}

	// Retired while idle, before the upstream would.
	u.maxIdle, u.sweepEvery = time.Millisecond, time.Millisecond
	send(balancer.OK)
	sweeping, stop := context.WithCancel(t.Context())
	swept := make(chan struct{})
	go func() {
		u.sweep(sweeping)
		close(swept)
	}()
	eventually(t, "idle connection retired", func() bool { return s.closed.Load() == 2 })

	stop()
	<-swept

	// Gone: the pool goes too.
	u.maxIdle = time.Hour
	send(balancer.OK)
	u.dir.apply(parsed(t, list(2, false, entry("s", s.address, "Gone"))))
	eventually(t, "pool dropped", func() bool { return s.closed.Load() == 3 })

	// Back at another address: no connection to the old one is used.
	u.dir.apply(parsed(t, list(3, false, entry("s", s.address, "Ready"))))
	send(balancer.OK)
	moved := newUpstream(t, says(ok200("")))
	u.dir.apply(parsed(t, list(4, false, entry("s", moved.address, "Ready"))))
	eventually(t, "old address dropped", func() bool { return s.closed.Load() == 4 })
	send(balancer.OK)
	if len(moved.requests()) != 1 {
		t.Error("the new address got nothing")
	}

	// A new process at the same address: connections to the old one are dead, if silently.
	again := strings.Replace(entry("s", moved.address, "Ready"), `"since_ms":0`, `"since_ms":1000`, 1)
	u.dir.apply(parsed(t, list(5, false, again)))
	eventually(t, "old process dropped", func() bool { return moved.closed.Load() == 1 })
}

// Guards against hidden copies: a library that sends a request again by itself, as net/http's Transport does
// on a connection that it reuses, makes an attempt that nobody decided on.
func TestBrokenRequestIsNotSentAgain(t *testing.T) {
	n := atomic.Int32{}
	s := newUpstream(t, func(c net.Conn, _ got) bool {
		if n.Add(1) > 1 {
			return false
		}
		_, err := io.WriteString(c, ok200(""))
		return err == nil
	})
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	for _, want := range []balancer.Result{balancer.OK, balancer.Reset} {
		if rep := u.attempt(t.Context(), "s", testRequest("GET", "")); rep.result != want {
			t.Errorf("result %d, want %d", rep.result, want)
		}
	}
	if got := s.requests(); len(got) != 2 || got[1].conn != 1 {
		t.Errorf("%d requests, the last on connection %d", len(got), got[len(got)-1].conn)
	}
}

// Guards against answers that are not this request's: what comes behind an answer, with it or while the connection
// is idle, must not be read as the answer to the next request.
func TestWhatComesBehindAnAnswerIsNobodys(t *testing.T) {
	for _, extra := range []string{ok200("first"), "noise\r\n\r\n"} {
		for _, late := range []bool{false, true} {
			n, idle := atomic.Int32{}, make(chan struct{})
			s := newUpstream(t, func(c net.Conn, _ got) bool {
				if n.Add(1) > 1 {
					_, err := io.WriteString(c, ok200("second"))
					return err == nil
				}
				text := ok200("first")
				if late {
					_, _ = io.WriteString(c, text)
					<-idle
					text = ""
				}
				_, err := io.WriteString(c, text+extra)
				return err == nil
			})
			u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
			if rep := u.attempt(t.Context(), "s", testRequest("GET", "")); string(rep.body) != "first" {
				t.Fatalf("result %d, %q", rep.result, rep.body)
			}
			if pooled := u.idle["s"]; late {
				close(idle)
				eventually(t, "something came", func() bool { return !pooled[0].quiet() })
			}
			if rep := u.attempt(t.Context(), "s", testRequest("GET", "")); string(rep.body) != "second" {
				t.Errorf("extra %q, late %v: result %d, %q", extra, late, rep.result, rep.body)
			}
			if got := s.requests(); len(got) != 2 || got[1].conn != 2 {
				t.Errorf("%d requests, the last on connection %d", len(got), got[len(got)-1].conn)
			}
		}
	}
}

// Guards against the same where it comes a moment late: a connection rests before its next request.
func TestConnectionsRest(t *testing.T) {
	s := newUpstream(t, says(ok200("")))
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	u.rest = time.Hour
	for range 2 {
		if rep := u.attempt(t.Context(), "s", testRequest("GET", "")); rep.result != balancer.OK {
			t.Fatalf("result %d", rep.result)
		}
	}
	if n := s.opened.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// Guards against too many descriptors: at the limit the connection idle for longest gives way. Where all are busy
// an attempt waits for one, and ends as one that was never sent if none comes: that says nothing of its upstream.
func TestConnectionLimit(t *testing.T) {
	a, b := newUpstream(t, says(ok200(""))), newUpstream(t, silent)
	u := testUpstreams(t, 1, entry("a", a.address, "Ready"), entry("b", b.address, "Ready"))
	if rep := u.attempt(t.Context(), "a", testRequest("GET", "")); rep.result != balancer.OK {
		t.Fatalf("result %d", rep.result)
	}
	ctx, cancel := context.WithCancel(t.Context())
	busy, waits := make(chan reply, 1), make(chan reply, 1)
	go func() { busy <- u.attempt(ctx, "b", testRequest("GET", "")) }()
	eventually(t, "the idle connection gave way", func() bool { return a.closed.Load() == 1 && len(b.requests()) == 1 })
	short, end := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer end()
	if rep := u.attempt(short, "a", testRequest("GET", "")); rep.result != balancer.Moot {
		t.Errorf("result %d over the limit", rep.result)
	}
	go func() { waits <- u.attempt(t.Context(), "a", testRequest("GET", "")) }()
	eventually(t, "an attempt waits", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.waiting == 1
	})
	cancel()
	<-busy
	if rep := <-waits; rep.result != balancer.OK {
		t.Errorf("result %d after the wait", rep.result)
	}
}
