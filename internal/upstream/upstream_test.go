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

func testPool(t *testing.T, maxConnections int, entries ...string) *Pool {
	t.Helper()
	pool := New(Options{ConnectTimeout: 2 * time.Second, IdleTimeout: 15 * time.Second, MaxConnections: maxConnections, MaxAnswerBytes: maxAnswer})
	pool.SetRegistry(endpoints.New(clock.New(), pool.CloseUpstream))
	pool.restTime = 0
	list := testutil.EndpointList(t, 1, true, entries...)
	pool.registry.Apply(list)
	t.Cleanup(func() {
		for _, e := range list.Endpoints {
			pool.CloseUpstream(e.Name)
		}
	})
	return pool
}

const maxAnswer = 3 << 20

func testRequest(method, body string) *Request {
	return NewRequest(method, "/search/a%2Fb?x=%20y&z", "service.internal",
		http.Header{"X-Request-Id": {"9b1f03aa5c7e2d41"}, "Idempotency-Key": {"k"}, "X-Timeout": {"1m"}}, []byte(body))
}

// Guards against a result that claims more than the bytes on the socket prove: a request that may have run must
// never be reported as not executed.
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
		{"rejected", fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Rejected},
		{"rejected with 504", fakes.Says("HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Rejected},
		{"503 without X-Not-Processed", fakes.Says("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"500 with X-Not-Processed", fakes.Says("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"reset", func(net.Conn, fakes.Got) bool { return false }, balancer.Reset},
		{"garbage", fakes.Says("\x00\x01 no HTTP\r\n\r\n"), balancer.Malformed},
		{"truncated", func(c net.Conn, _ fakes.Got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, balancer.Reset},
		{"delimited by the end of the connection", func(c net.Conn, _ fakes.Got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
			c.Close()
			return true
		}, balancer.OK},
		{"delimited by a reset", func(c net.Conn, _ fakes.Got) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			return false
		}, balancer.Reset},
		{"too large", fakes.Says(fakes.OK200(strings.Repeat("x", maxAnswer+1))), balancer.Malformed},
		{"longer than a request body may be", fakes.Says(fakes.OK200(strings.Repeat("x", 400<<10))), balancer.OK},
		{"too large in chunks", fakes.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" +
			strings.Repeat("x", 4<<20) + "\r\n0\r\n\r\n"), balancer.Malformed},
		{"switching protocols", fakes.Says("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"),
			balancer.ServerError},
		{"status without a number", fakes.Says("HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n"), balancer.Malformed},
		{"two lengths", fakes.Says("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"), balancer.Malformed},
		{"broken chunks", fakes.Says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nmany\r\n"), balancer.Malformed},
		{"length of 3 GB", fakes.Says("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody"), balancer.Malformed},
		{"informational responses", fakes.Says("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + fakes.OK200("body")), balancer.OK},
		{"too many informational responses", fakes.Says(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)), balancer.Malformed},
		{"unreadable load report", fakes.Says("HTTP/1.1 200 OK\r\nX-Server-Load: TEXT ,,=\xff\r\nContent-Length: 0\r\n\r\n"), balancer.OK},
		{"headers too large", fakes.Says("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*httpheader.MaxBytes) + "\r\n\r\n"), balancer.Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testutil.Raw(t, c.answer)
			pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
			defer cancel()
			req := testRequest("POST", "b")
			req.CompleteOnly = strings.Contains(c.name, "too large")
			response := pool.Attempt(ctx, "s", req, time.Time{})
			if response.Result != c.want {
				t.Errorf("attempt ended with result %d, want %d", response.Result, c.want)
			}
			if response.Remainder != nil {
				response.Remainder.End()
			}
			if n := len(s.Requests()); n != 1 {
				t.Errorf("the upstream received %d requests, want 1", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		pool := testPool(t, 4, testutil.Entry("s", refused, "Ready"))
		if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); response.Result != balancer.ConnectFailed {
			t.Errorf("attempt ended with result %d, want a failed connect", response.Result)
		}
	})
}

// Guards against attempts that continue after their timeout or cancellation: the upstream must see the connection
// end.
func TestTimeoutAndCancelCloseTheConnection(t *testing.T) {
	for _, want := range []balancer.Result{balancer.Timeout, balancer.Cancelled} {
		s := testutil.Raw(t, fakes.Silent)
		pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
		ctx, cancel := context.WithCancel(context.Background())
		if want == balancer.Timeout {
			ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
		}
		ended := make(chan Response, 1)
		go func() { ended <- pool.Attempt(ctx, "s", testRequest("GET", ""), time.Time{}) }()
		testutil.Eventually(t, "the upstream has received the request", func() bool { return len(s.Requests()) == 1 })
		if want == balancer.Cancelled {
			cancel()
		}
		if response := <-ended; response.Result != want {
			t.Errorf("attempt ended with result %d, want %d", response.Result, want)
		}
		cancel()
		testutil.Eventually(t, "the upstream sees the connection closed", func() bool { return s.Closed.Load() == 1 })
		if n := pool.connectionSlots.Used(""); n != 0 {
			t.Errorf("%d connection slots in use after the attempt, want 0", n)
		}
	}
}

// Guards against a wrong result of a request that was never written completely, and so cannot have run. net/http
// would report such a request as written, since its buffer took the bytes.
func TestBrokenBeforeTheLastByteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and does not read from them
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pool := testPool(t, 4, testutil.Entry("s", l.Addr().String(), "Ready"))
	c, _, err := pool.connection(t.Context(), nil, "s", endpoints.Instance{Address: l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil { // the write will fail
		t.Fatal(err)
	}
	response, after := pool.exchange(t.Context(), c, testRequest("POST", "b"), AttemptOptions{})
	reusable := after == reuseConnection
	pool.discard(c)
	if response.Result != balancer.ConnectFailed || reusable {
		t.Errorf("result %d, connection reusable: %v, want a failed connect and no reuse", response.Result, reusable)
	}
}

// Guards against requests to an upstream that begins to drain after it was chosen and before the request is written.
func TestDrainIsCheckedAtTheWrite(t *testing.T) {
	for _, status := range []string{"Terminating", "Gone"} {
		s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
		pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
		c, _, err := pool.connection(t.Context(), nil, "s", endpoints.Instance{Address: s.Address})
		if err != nil {
			t.Fatal(err)
		}
		pool.registry.Apply(testutil.EndpointList(t, 2, false, testutil.Entry("s", s.Address, status)))
		if response, _ := pool.exchange(t.Context(), c, testRequest("GET", ""), AttemptOptions{}); response.Result != balancer.NotSent {
			t.Errorf("%s: result %d of a request with an open connection, want not sent", status, response.Result)
		}
		pool.discard(c)
		if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); response.Result != balancer.NotSent {
			t.Errorf("%s: result %d of a later request, want not sent", status, response.Result)
		}
		if n := len(s.Requests()); n != 0 {
			t.Errorf("%s: the upstream received %d requests, want 0", status, n)
		}
	}
}

// Guards against changed requests: upstreams deduplicate and count requests by their content.
func TestRequestGoesOnUnchanged(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	body := "\x00binary\r\n" + strings.Repeat("y", 60<<10)
	pool.Attempt(ctx, "s", testRequest("POST", body), time.Now().Add(testutil.Timeout))
	g := s.Requests()[0]
	if g.Method != "POST" || g.Target != "/search/a%2Fb?x=%20y&z" || g.Body != body {
		t.Errorf("the upstream received %s %s with a body of %d bytes, which differs from the request", g.Method, g.Target, len(g.Body))
	}
	if g.Header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || g.Header.Get("Idempotency-Key") != "k" {
		t.Errorf("the upstream received other headers: %v", g.Header)
	}
	if d, err := routes.ParseTimeout(g.Header.Get("X-Timeout")); err != nil || d <= 0 || d > testutil.Timeout {
		t.Errorf("X-Timeout %q is parsed as %v with error %v, want a positive time up to the deadline", g.Header.Get("X-Timeout"), d, err)
	}
}

// Guards against a new connection for each request, and against requests on connections that the upstream has
// closed or is about to close.
func TestPool(t *testing.T) {
	n, idleSeen := atomic.Int32{}, make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		_, _ = io.WriteString(c, fakes.OK200(""))
		if n.Add(1) != 3 {
			return true
		}
		<-idleSeen // the connection of the third response is reset once it is idle
		return false
	})
	pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	send := func(want balancer.Result) {
		t.Helper()
		if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); response.Result != want {
			t.Fatalf("request ended with result %d, want %d", response.Result, want)
		}
	}
	send(balancer.OK)
	send(balancer.OK)
	if n := s.Opened.Load(); n != 1 {
		t.Fatalf("%d connections for two requests, want 1", n)
	}

	// The upstream resets an idle connection: the next request uses a new one.
	send(balancer.OK)
	idle := pool.idle["s"][0]
	close(idleSeen)
	testutil.Eventually(t, "the pool sees that the upstream has closed the connection", func() bool { return !idle.isIdle() })
	send(balancer.OK)
	if n := s.Opened.Load(); n != 2 {
		t.Fatalf("%d connections after a reset, want 2", n)
	}

	// The pool closes an idle connection before the upstream does.
	pool.idleTimeout, pool.sweepInterval = time.Millisecond, time.Millisecond
	send(balancer.OK)
	sweeping, stop := context.WithCancel(t.Context())
	swept := make(chan struct{})
	go func() {
		pool.Sweep(sweeping)
		close(swept)
	}()
	testutil.Eventually(t, "the idle connection is closed", func() bool { return s.Closed.Load() == 2 })

	stop()
	<-swept

	// The upstream leaves: its idle connections are closed.
	pool.idleTimeout = time.Hour
	send(balancer.OK)
	pool.registry.Apply(testutil.EndpointList(t, 2, false, testutil.Entry("s", s.Address, "Gone")))
	testutil.Eventually(t, "the connections of the upstream that left are closed", func() bool { return s.Closed.Load() == 3 })

	// The upstream moves to another address: no connection to the old address is used.
	pool.registry.Apply(testutil.EndpointList(t, 3, false, testutil.Entry("s", s.Address, "Ready")))
	send(balancer.OK)
	moved := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	pool.registry.Apply(testutil.EndpointList(t, 4, false, testutil.Entry("s", moved.Address, "Ready")))
	testutil.Eventually(t, "the connection to the old address is closed", func() bool { return s.Closed.Load() == 4 })
	send(balancer.OK)
	if len(moved.Requests()) != 1 {
		t.Error("the new address did not receive exactly one request")
	}

	// A new incarnation starts at the same address: connections to the old one no longer work, even if they look open.
	newIncarnation := strings.Replace(testutil.Entry("s", moved.Address, "Ready"), `"since_ms":0`, `"since_ms":1000`, 1)
	pool.registry.Apply(testutil.EndpointList(t, 5, false, newIncarnation))
	testutil.Eventually(t, "the connection to the old incarnation is closed", func() bool { return moved.Closed.Load() == 1 })
}

// Guards against hidden retries: net/http's Transport sends a request again by itself if a reused connection
// breaks, which is an attempt that the balancer did not decide on.
func TestBrokenRequestIsNotSentAgain(t *testing.T) {
	n := atomic.Int32{}
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		if n.Add(1) > 1 {
			return false
		}
		_, err := io.WriteString(c, fakes.OK200(""))
		return err == nil
	})
	pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	for _, want := range []balancer.Result{balancer.OK, balancer.Reset} {
		if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); response.Result != want {
			t.Errorf("request ended with result %d, want %d", response.Result, want)
		}
	}
	if got := s.Requests(); len(got) != 2 || got[1].Conn != 1 {
		t.Errorf("the upstream received %d requests, the last on connection %d, which is not as expected", len(got), got[len(got)-1].Conn)
	}
}

// Guards against responses to the wrong request: bytes that follow a response, at once or while the connection is
// idle, must not be read as the response to the next request.
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
			pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
			if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); string(response.Body) != "first" {
				t.Fatalf("first request: result %d, body %q, want the first response", response.Result, response.Body)
			}
			if pooled := pool.idle["s"]; late {
				close(idle)
				testutil.Eventually(t, "unexpected bytes arrived on the idle connection", func() bool { return !pooled[0].isIdle() })
			}
			if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); string(response.Body) != "second" {
				t.Errorf("bytes %q after the response, late: %v: second request has result %d and body %q, want the second response", extra, late, response.Result, response.Body)
			}
			if got := s.Requests(); len(got) != 2 || got[1].Conn != 2 {
				t.Errorf("the upstream received %d requests, the last on connection %d, which is not as expected", len(got), got[len(got)-1].Conn)
			}
		}
	}
}

// Guards against responses to the wrong request if unexpected bytes arrive slightly after a response: a connection must
// not be reused before its rest time has passed.
func TestConnectionsRest(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	pool := testPool(t, 4, testutil.Entry("s", s.Address, "Ready"))
	pool.restTime = time.Hour
	for range 2 {
		if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); response.Result != balancer.OK {
			t.Fatalf("request failed with result %d, want OK", response.Result)
		}
	}
	if n := s.Opened.Load(); n != 2 {
		t.Errorf("%d connections for two requests within the rest time, want 2", n)
	}
}

// Guards against too many open connections: at the limit, the connection that has been idle longest is closed. If all
// are in use, an attempt waits for one. It ends as not sent if none becomes free, which is not a failure of its
// upstream.
func TestConnectionLimit(t *testing.T) {
	a, b := testutil.Raw(t, fakes.Says(fakes.OK200(""))), testutil.Raw(t, fakes.Silent)
	pool := testPool(t, 1, testutil.Entry("a", a.Address, "Ready"), testutil.Entry("b", b.Address, "Ready"))
	if response := pool.Attempt(t.Context(), "a", testRequest("GET", ""), time.Time{}); response.Result != balancer.OK {
		t.Fatalf("request failed with result %d, want OK", response.Result)
	}
	ctx, cancel := context.WithCancel(t.Context())
	busy, waiting := make(chan Response, 1), make(chan Response, 1)
	go func() { busy <- pool.Attempt(ctx, "b", testRequest("GET", ""), time.Time{}) }()
	testutil.Eventually(t, "the idle connection is closed for the request to the other upstream", func() bool { return a.Closed.Load() == 1 && len(b.Requests()) == 1 })
	short, end := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer end()
	if response := pool.Attempt(short, "a", testRequest("GET", ""), time.Time{}); response.Result != balancer.NotSent {
		t.Errorf("result %d of an attempt that got no connection, want not sent", response.Result)
	}
	go func() { waiting <- pool.Attempt(t.Context(), "a", testRequest("GET", ""), time.Time{}) }()
	testutil.Eventually(t, "an attempt waits", func() bool { return pool.connectionSlots.Waiting("") == 1 })
	cancel()
	<-busy
	if response := <-waiting; response.Result != balancer.OK {
		t.Errorf("result %d of the attempt that waited for a connection, want OK", response.Result)
	}
}

// Guards against load reports with invalid values that are accepted.
func TestReadLoad(t *testing.T) {
	for report, want := range map[string]string{"TEXT inflight=7, queue=2, util=0.61": "7 0s", "queue=3": "3 0s", "TEXT queue=4, latency_ms=2.5\n": "4 2.5ms",
		"inflight=1e99": "1048576 0s", "inflight=-1": "", "inflight=NaN": "", "util=1": "", "": "", "inflight=x, queue=1": "1 0s", "queue=1, latency_ms=1e30": "1 1h0m0s"} {
		var r balancer.ProbeResult
		got := ""
		if parseLoadReport(&r, []byte(report)) {
			got = fmt.Sprint(r.InFlight, " ", r.Latency)
		}
		if got != want {
			t.Errorf("load report %q is parsed as %q, want %q", report, got, want)
		}
	}
}
