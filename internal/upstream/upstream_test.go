package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

func testPool(t *testing.T, most int, entries ...string) *Pool {
	t.Helper()
	u := New(Options{ConnectTimeout: 2 * time.Second, IdleTimeout: 15 * time.Second, MaxConnections: most, MaxAnswerBytes: maxAnswer})
	u.SetRegistry(endpoints.New(clock.New(), u.CloseUpstream))
	u.restTime = 0
	known := testutil.EndpointList(t, 1, true, entries...)
	u.registry.Apply(known)
	t.Cleanup(func() {
		for _, e := range known.Endpoints {
			u.CloseUpstream(e.Name)
		}
	})
	return u
}

const maxAnswer = 3 << 20

func testRequest(method, body string) *Request {
	return NewRequest(method, "/search/a%2Fb?x=%20y&z", "service.internal",
		http.Header{"X-Request-Id": {"9b1f03aa5c7e2d41"}, "Idempotency-Key": {"k"}, "X-Timeout": {"1m"}}, []byte(body))
}

// Guards against claims about attempts that the sockets do not bear out: a request that may have run must
// never be reported as one that did not.
func TestOutcomes(t *testing.T) {
	refused := base.FreeAddress(t)
	for _, c := range []struct {
		name   string
		answer func(net.Conn, fakes.Got) bool
		want   balancer.Result
	}{
		{"served", fakes.Says(fakes.OK200("body")), balancer.OK},
		{"empty body", fakes.Says(fakes.OK200("")), balancer.OK},
		{"chunked", fakes.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), balancer.OK},
		{"error", fakes.Says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"redirect", fakes.Says("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"turned away", fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Rejected},
		{"turned away late", fakes.Says("HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Rejected},
		{"503 without the mark", fakes.Says("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"500 with the mark", fakes.Says("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"reset", func(net.Conn, fakes.Got) bool { return false }, balancer.Reset},
		{"garbage", fakes.Says("\x00\x01 no HTTP\r\n\r\n"), balancer.Malformed},
		{"truncated", func(c net.Conn, _ fakes.Got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, balancer.Reset},
		{"delimited by the end", func(c net.Conn, _ fakes.Got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
			c.Close()
			return true
		}, balancer.OK},
		{"delimited by a reset", func(c net.Conn, _ fakes.Got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			return false
		}, balancer.Reset},
		{"too large", fakes.Says(fakes.OK200(strings.Repeat("x", maxAnswer+1))), balancer.Malformed},
		{"more than a request may have", fakes.Says(fakes.OK200(strings.Repeat("x", 400<<10))), balancer.OK},
		{"too large in chunks", fakes.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" +
			strings.Repeat("x", 4<<20) + "\r\n0\r\n\r\n"), balancer.Malformed},
		{"another protocol", fakes.Says("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"),
			balancer.ServerError},
		{"no number for a status", fakes.Says("HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n"), balancer.Malformed},
		{"two lengths", fakes.Says("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"), balancer.Malformed},
		{"broken chunks", fakes.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nmany\r\n"), balancer.Malformed},
		{"3 GB", fakes.Says("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody"), balancer.Malformed},
		{"interim answers", fakes.Says("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + fakes.OK200("body")), balancer.OK},
		{"interim answers for ever", fakes.Says(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)), balancer.Malformed},
		{"unreadable load", fakes.Says("HTTP/1.1 200 OK\r\nX-Server-Load: TEXT ,,=\xff\r\nContent-Length: 0\r\n\r\n"), balancer.OK},
		{"headers too large", fakes.Says("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*httpheader.MaxBytes) + "\r\n\r\n"), balancer.Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testutil.Raw(t, c.answer)
			u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
			defer cancel()
			req := testRequest("POST", "b")
			req.CompleteOnly = strings.Contains(c.name, "too large")
			rep := u.Attempt(ctx, "s", req, time.Time{})
			if rep.Result != c.want {
				t.Errorf("result %d, want %d", rep.Result, c.want)
			}
			if rep.Remainder != nil {
				rep.Remainder.End()
			}
			if n := len(s.Requests()); n != 1 {
				t.Errorf("the upstream got %d copies", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		u := testPool(t, 4, testutil.Entry("s", refused, "Ready"))
		if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); rep.Result != balancer.ConnectFailed {
			t.Errorf("result %d", rep.Result)
		}
	})
}

// Guards against attempts that outlive their time or are called off in name only: the upstream must see the
// connection end.
func TestTimeoutAndCancelCloseTheConnection(t *testing.T) {
	for _, want := range []balancer.Result{balancer.Timeout, balancer.Cancelled} {
		s := testutil.Raw(t, fakes.Silent)
		u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
		ctx, cancel := context.WithCancel(context.Background())
		if want == balancer.Timeout {
			ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
		}
		end := make(chan Response, 1)
		go func() { end <- u.Attempt(ctx, "s", testRequest("GET", ""), time.Time{}) }()
		testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
		if want == balancer.Cancelled {
			cancel()
		}
		if rep := <-end; rep.Result != want {
			t.Errorf("result %d, want %d", rep.Result, want)
		}
		cancel()
		testutil.Eventually(t, "connection closed", func() bool { return s.Closed.Load() == 1 })
		if n := u.connectionSlots.Used(""); n != 0 {
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
	u := testPool(t, 4, testutil.Entry("s", l.Addr().String(), "Ready"))
	c, _, err := u.connection(t.Context(), nil, "s", endpoints.Instance{Address: l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil { // the write will fail
		t.Fatal(err)
	}
	rep, after := u.exchange(t.Context(), c, testRequest("POST", "b"), AttemptOptions{})
	reusable := after == reuseConnection
	u.discard(c)
	if rep.Result != balancer.ConnectFailed || reusable {
		t.Errorf("result %d, reusable %v", rep.Result, reusable)
	}
}

// Guards against sends to an upstream that drains: the news came between the decision and the write.
func TestDrainIsCheckedAtTheWrite(t *testing.T) {
	for _, status := range []string{"Terminating", "Gone"} {
		s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
		u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
		c, _, err := u.connection(t.Context(), nil, "s", endpoints.Instance{Address: s.Address})
		if err != nil {
			t.Fatal(err)
		}
		u.registry.Apply(testutil.EndpointList(t, 2, false, testutil.Entry("s", s.Address, status)))
		if rep, _ := u.exchange(t.Context(), c, testRequest("GET", ""), AttemptOptions{}); rep.Result != balancer.NotSent {
			t.Errorf("%s: result %d", status, rep.Result)
		}
		u.discard(c)
		if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); rep.Result != balancer.NotSent {
			t.Errorf("%s: later result %d", status, rep.Result)
		}
		if n := len(s.Requests()); n != 0 {
			t.Errorf("%s: the upstream got %d requests", status, n)
		}
	}
}

// Guards against changed requests: upstreams drop repeats and count copies by what stands in them.
func TestRequestGoesOnUnchanged(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	body := "\x00binary\r\n" + strings.Repeat("y", 60<<10)
	u.Attempt(ctx, "s", testRequest("POST", body), time.Now().Add(testutil.Timeout))
	g := s.Requests()[0]
	if g.Method != "POST" || g.Target != "/search/a%2Fb?x=%20y&z" || g.Body != body {
		t.Errorf("got %s %s and %d bytes", g.Method, g.Target, len(g.Body))
	}
	if g.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || g.Header.Get("Idempotency-Key") != "k" {
		t.Errorf("headers %v", g.Header)
	}
	if d, err := routes.ParseTimeout(g.Header.Get("X-Timeout")); err != nil || d <= 0 || d > testutil.Timeout {
		t.Errorf("X-Timeout %q: %v, %v", g.Header.Get("X-Timeout"), d, err)
	}
}

// Guards against a handshake for each request, and against requests on connections that the upstream closed
// or is about to close.
func TestPool(t *testing.T) {
	n, pooled := atomic.Int32{}, make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		_, _ = io.WriteString(c, fakes.OK200(""))
		if n.Add(1) != 3 {
			return true
		}
		<-pooled // the third answer's connection is reset when idle
		return false
	})
	u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	send := func(want balancer.Result) {
		t.Helper()
		if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); rep.Result != want {
			t.Fatalf("result %d, want %d", rep.Result, want)
		}
	}
	send(balancer.OK)
	send(balancer.OK)
	if n := s.Opened.Load(); n != 1 {
		t.Fatalf("%d connections for two requests", n)
	}

	// A reset while idle: the next request takes a new connection.
	send(balancer.OK)
	idle := u.idle["s"][0]
	close(pooled)
	testutil.Eventually(t, "the upstream's close is seen", func() bool { return !idle.isIdle() })
	send(balancer.OK)
	if n := s.Opened.Load(); n != 2 {
		t.Fatalf("%d connections", n)
	}

	// Retired while idle, before the upstream would.
	u.idleTimeout, u.sweepInterval = time.Millisecond, time.Millisecond
	send(balancer.OK)
	sweeping, stop := context.WithCancel(t.Context())
	swept := make(chan struct{})
	go func() {
		u.Sweep(sweeping)
		close(swept)
	}()
	testutil.Eventually(t, "idle connection retired", func() bool { return s.Closed.Load() == 2 })

	stop()
	<-swept

	// Gone: the pool goes too.
	u.idleTimeout = time.Hour
	send(balancer.OK)
	u.registry.Apply(testutil.EndpointList(t, 2, false, testutil.Entry("s", s.Address, "Gone")))
	testutil.Eventually(t, "pool dropped", func() bool { return s.Closed.Load() == 3 })

	// Back at another address: no connection to the old one is used.
	u.registry.Apply(testutil.EndpointList(t, 3, false, testutil.Entry("s", s.Address, "Ready")))
	send(balancer.OK)
	moved := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	u.registry.Apply(testutil.EndpointList(t, 4, false, testutil.Entry("s", moved.Address, "Ready")))
	testutil.Eventually(t, "old address dropped", func() bool { return s.Closed.Load() == 4 })
	send(balancer.OK)
	if len(moved.Requests()) != 1 {
		t.Error("the new address got nothing")
	}

	// A new process at the same address: connections to the old one are dead, if silently.
	again := strings.Replace(testutil.Entry("s", moved.Address, "Ready"), `"since_ms":0`, `"since_ms":1000`, 1)
	u.registry.Apply(testutil.EndpointList(t, 5, false, again))
	testutil.Eventually(t, "old process dropped", func() bool { return moved.Closed.Load() == 1 })
}

// Guards against hidden copies: a library that sends a request again by itself, as net/http's Transport does
// on a connection that it reuses, makes an attempt that nobody decided on.
func TestBrokenRequestIsNotSentAgain(t *testing.T) {
	n := atomic.Int32{}
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		if n.Add(1) > 1 {
			return false
		}
		_, err := io.WriteString(c, fakes.OK200(""))
		return err == nil
	})
	u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	for _, want := range []balancer.Result{balancer.OK, balancer.Reset} {
		if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); rep.Result != want {
			t.Errorf("result %d, want %d", rep.Result, want)
		}
	}
	if got := s.Requests(); len(got) != 2 || got[1].Conn != 1 {
		t.Errorf("%d requests, the last on connection %d", len(got), got[len(got)-1].Conn)
	}
}

// Guards against answers that are not this request's: what comes behind an answer, with it or while the connection
// is idle, must not be read as the answer to the next request.
func TestWhatComesBehindAnAnswerIsNobodys(t *testing.T) {
	for _, extra := range []string{fakes.OK200("first"), "noise\r\n\r\n"} {
		for _, late := range []bool{false, true} {
			n, idle := atomic.Int32{}, make(chan struct{})
			s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
				if n.Add(1) > 1 {
					_, err := io.WriteString(c, fakes.OK200("second"))
					return err == nil
				}
				text := fakes.OK200("first")
				if late {
					_, _ = io.WriteString(c, text)
					<-idle
					text = ""
				}
				_, err := io.WriteString(c, text+extra)
				return err == nil
			})
			u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); string(rep.Body) != "first" {
				t.Fatalf("result %d, %q", rep.Result, rep.Body)
			}
			if pooled := u.idle["s"]; late {
				close(idle)
				testutil.Eventually(t, "something came", func() bool { return !pooled[0].isIdle() })
			}
			if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); string(rep.Body) != "second" {
				t.Errorf("extra %q, late %v: result %d, %q", extra, late, rep.Result, rep.Body)
			}
			if got := s.Requests(); len(got) != 2 || got[1].Conn != 2 {
				t.Errorf("%d requests, the last on connection %d", len(got), got[len(got)-1].Conn)
			}
		}
	}
}

// Guards against the same where it comes a moment late: a connection rests before its next request.
func TestConnectionsRest(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	u := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	u.restTime = time.Hour
	for range 2 {
		if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); rep.Result != balancer.OK {
			t.Fatalf("result %d", rep.Result)
		}
	}
	if n := s.Opened.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// Guards against too many descriptors: at the limit the connection idle for longest gives way. Where all are busy
// an attempt waits for one, and ends as one that was never sent if none comes: that says nothing of its upstream.
func TestConnectionLimit(t *testing.T) {
	a, b := testutil.Raw(t, fakes.Says(fakes.OK200(""))), testutil.Raw(t, fakes.Silent)
	u := testPool(t, 1, testutil.Entry("a", a.Address, "Ready"), testutil.Entry("b", b.Address, "Ready"))
	if rep := u.Attempt(t.Context(), "a", testRequest("GET", ""), time.Time{}); rep.Result != balancer.OK {
		t.Fatalf("result %d", rep.Result)
	}
	ctx, cancel := context.WithCancel(t.Context())
	busy, waits := make(chan Response, 1), make(chan Response, 1)
	go func() { busy <- u.Attempt(ctx, "b", testRequest("GET", ""), time.Time{}) }()
	testutil.Eventually(t, "the idle connection gave way", func() bool { return a.Closed.Load() == 1 && len(b.Requests()) == 1 })
	short, end := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer end()
	if rep := u.Attempt(short, "a", testRequest("GET", ""), time.Time{}); rep.Result != balancer.NotSent {
		t.Errorf("result %d over the limit", rep.Result)
	}
	go func() { waits <- u.Attempt(t.Context(), "a", testRequest("GET", ""), time.Time{}) }()
	testutil.Eventually(t, "an attempt waits", func() bool { return u.connectionSlots.Waiting("") == 1 })
	cancel()
	<-busy
	if rep := <-waits; rep.Result != balancer.OK {
		t.Errorf("result %d after the wait", rep.Result)
	}
}

// Guards against a report that is believed in nonsense.
func TestReadLoad(t *testing.T) {
	for report, want := range map[string]string{"TEXT inflight=7, queue=2, util=0.61": "7 0s", "queue=3": "3 0s", "TEXT queue=4, latency_ms=2.5\n": "4 2.5ms",
		"inflight=1e99": "1048576 0s", "inflight=-1": "", "inflight=NaN": "", "util=1": "", "": "", "inflight=x, queue=1": "1 0s", "queue=1, latency_ms=1e30": "1 1h0m0s"} {
		var r balancer.ProbeResult
		got := ""
		if parseLoadReport(&r, []byte(report)) {
			got = fmt.Sprint(r.InFlight, " ", r.Latency)
		}
		if got != want {
			t.Errorf("%q is %q, want %q", report, got, want)
		}
	}
}
