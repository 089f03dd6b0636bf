package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// options returns options with the given target and rate. If no classes are given, the requests are GET /.
func options(target, rate string, classes ...string) Options {
	o := Options{Target: target, Connections: 8, Timeout: 5 * time.Second, Seed: 1}
	o.Phases, _ = ParsePhases(rate, time.Second) // the tests pass valid rates only
	if len(classes) == 0 {
		classes = []string{"GET /"}
	}
	for _, text := range classes {
		c, _ := ParseClass(text)
		o.Classes = append(o.Classes, c)
	}
	return o
}

// runChecked runs a load. It checks that each request has one outcome, that each OK outcome has one latency, and that no request has too many
// attempts.
func runChecked(t *testing.T, ctx context.Context, o Options, w Observers) *Result {
	t.Helper()
	r, err := Run(ctx, o, w)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range r.Classes {
		sum := int64(0)
		for _, n := range c.Outcomes {
			sum += n
		}
		if sum != c.Requests || c.Latency.TotalCount() != c.Outcomes[OK] || c.Attempts > c.Requests*int64(1+o.Retries) {
			t.Errorf("class %s: the counts do not add up: %d requests, outcomes %v, %d attempts, %d latencies", c.Name, c.Requests, c.Outcomes, c.Attempts, c.Latency.TotalCount())
		}
	}
	return r
}

// Guards against coordinated omission. A server that stalls for a second delays all requests that are scheduled in this second. A load
// generator that waits for responses would record the delay only once for each connection.
func TestCoordinatedOmission(t *testing.T) {
	var mu sync.Mutex
	var firstRequest time.Time
	address := base.HTTP(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock() // the server handles one request at a time, so that all requests wait for the stalled one
		defer mu.Unlock()
		if firstRequest.IsZero() {
			firstRequest = time.Now()
		}
		if since := time.Since(firstRequest); since > 500*time.Millisecond && since < 1500*time.Millisecond {
			time.Sleep(1500*time.Millisecond - since)
		}
	})
	o := options("http://"+address, "200:2s")
	o.Steady = true
	r := runChecked(t, t.Context(), o, Observers{})
	all := r.Total()
	if all.Requests != 399 || all.Outcomes[OK] != all.Requests {
		t.Fatalf("%d requests with outcomes %v, want 399, all OK", all.Requests, all.Outcomes)
	}
	// The schedule has 200 requests in the second of the stall, and each of them waits for the rest of this second.
	slow := int64(0)
	for _, bar := range all.Latency.Distribution() {
		if bar.From > (200 * time.Millisecond).Microseconds() {
			slow += bar.Count
		}
	}
	if slow < 150 || slow > 220 {
		t.Errorf("%d requests took more than 200 ms, want about 160", slow)
	}
	if r.DelayedByConnections < 100 || len(r.Limits()) == 0 || !strings.Contains(strings.Join(r.Limits(), " "), "connections busy") {
		t.Errorf("%d requests were delayed by busy connections, want at least 100 and a limit that names the connections; limits %v", r.DelayedByConnections, r.Limits())
	}
}

// TestSchedule checks that a schedule has the configured rates and shares, is ordered by time, and is the same for the same seed.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Steady: rapid.Bool().Draw(t, "steady"), Seed: rapid.Uint64().Draw(t, "seed")}
		want, length := 0.0, time.Duration(0)
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			p := Phase{float64(rapid.IntRange(0, 2000).Draw(t, "rate")), time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond}
			o.Phases = append(o.Phases, p)
			want += p.Rate * p.For.Seconds()
			length += p.For
		}
		o.Classes = []Class{{Share: 3}, {Share: 1}}
		schedule, sameSeed := NewSchedule(o), NewSchedule(o)
		n, ofFirstClass, last := 0, 0, time.Duration(0)
		for {
			x, ok := schedule.Next()
			y, okY := sameSeed.Next()
			if x != y || ok != okY {
				t.Fatalf("two schedules with the same seed differ: %+v and %+v", x, y)
			}
			if !ok {
				break
			}
			n++
			if x.At < last || x.At >= length || x.Number != uint64(n) {
				t.Fatalf("request %+v does not follow a request at %v: want ascending times below %v and consecutive numbers", x, last, length)
			}
			last = x.At
			if x.Class == 0 {
				ofFirstClass++
			}
		}
		if allowed := 5*math.Sqrt(want) + 2; math.Abs(float64(n)-want) > allowed || o.Steady && math.Abs(float64(n)-want) > 2 {
			t.Fatalf("%d requests scheduled, want about %.0f", n, want)
		}
		if math.Abs(float64(ofFirstClass)-0.75*float64(n)) > 5*math.Sqrt(float64(n))/2+2 {
			t.Fatalf("%d of %d requests are of the class with a share of 3 in 4, which is too far from the share", ofFirstClass, n)
		}
	})
}

// scriptedServer is a TCP server that answers everything that it reads with the same bytes.
type scriptedServer struct {
	listener    net.Listener
	connections atomic.Int64
	handlers    sync.WaitGroup
}

// startScriptedServer starts a scriptedServer on loopback. If keepOpen is set, connections stay open after an answer.
func startScriptedServer(t *testing.T, answer string, keepOpen bool) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener}
	s.handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			s.handlers.Go(func() { answerReads(conn, answer, keepOpen) })
		}
	})
	return s
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func (s *scriptedServer) stop() {
	s.listener.Close()
	s.handlers.Wait()
}

func answerReads(conn net.Conn, answer string, keepOpen bool) {
	defer conn.Close()
	buf := make([]byte, 4096)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil || !keepOpen {
			return
		}
	}
}

// TestAnswers checks that each response gives the expected outcome, and that the next request reuses the connection only if the response
// allows it. Otherwise valid responses would count as faults, or a request would be sent on a connection that the server closes.
func TestAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, answer string
		want         Outcome
		again        bool // the next request has to use the same connection
	}{
		{"body with a length", head + "Content-Length: 3\r\n\r\nabc", OK, true},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: 1\r\n\r\n", OK, true},
		{"until the connection closes", head + "\r\nabc", OK, false},
		{"Connection: close", head + "Connection: close\r\nContent-Length: 0\r\n\r\n", OK, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", OK, false},
		{"204 without a body", "HTTP/1.1 204 No Content\r\n\r\n", OK, true},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", OK, true},
		{"refused", "HTTP/1.1 503 S\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n", Refused, true},
		{"too many requests", "HTTP/1.1 429 T\r\nContent-Length: 0\r\n\r\n", Refused, true},
		{"rejected", "HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n", Rejected, true},
		{"failed", "HTTP/1.1 502 B\r\nContent-Length: 0\r\n\r\n", Failed, true},
		{"truncated body", head + "Content-Length: 9\r\n\r\nabc", Broken, false},
		{"truncated chunk", head + "Transfer-Encoding: chunked\r\n\r\n9\r\nabc", Broken, false},
		{"malformed chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", Broken, false},
		{"chunk longer than its size", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", Broken, false},
		{"different lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", Broken, false},
		{"negative length", head + "Content-Length: -1\r\n\r\n", Broken, false},
		{"malformed header", head + "nonsense\r\n\r\n", Broken, false},
		{"not HTTP", "SSH-2.0-OpenSSH\r\n", Broken, false},
		{"a long line", head + "X: " + strings.Repeat("x", 20<<10), Broken, false},
		{"a long head", head + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 70), Broken, false},
		{"switches protocols", "HTTP/1.1 101 S\r\n\r\n", Broken, false},
		{"empty", "", Broken, false},
	} {
		server := startScriptedServer(t, c.answer, c.again)
		h := newHTTP1Sender(server.address(), options("", "1", "CALL /{n}").Classes)
		for range 2 {
			if result := h.send(ScheduledRequest{Number: 1}, 5*time.Second); result.outcome != c.want || c.name == "refused" && result.retryAfter != 7*time.Second {
				t.Errorf("response %q: got the unexpected result %+v", c.name, result)
			}
		}
		if want := map[bool]int64{true: 1, false: 2}[c.again]; server.connections.Load() != want {
			t.Errorf("response %q: two requests used %d connections, which is wrong for this response", c.name, server.connections.Load())
		}
		h.close()
		server.stop()
	}
	rapid.Check(t, func(t *rapid.T) { // the parser has to return on any input
		noise := append([]byte(rapid.SampledFrom([]string{"", head, head + "Transfer-Encoding: chunked\r\n\r\n"}).Draw(t, "head")), rapid.SliceOf(rapid.Byte()).Draw(t, "noise")...)
		h := newHTTP1Sender("", nil)
		h.r.Reset(bytes.NewReader(noise))
		_, _, _ = h.readResponse(false)
	})
}

// loggedCounts returns the number of latencies in a log by class.
func loggedCounts(t *testing.T, log io.Reader) map[string]int64 {
	t.Helper()
	logged := map[string]int64{}
	reader := hdr.NewHistogramLogReader(log)
	for {
		h, err := reader.NextIntervalHistogram()
		if err != nil {
			t.Fatal(err)
		}
		if h == nil {
			break
		}
		logged[h.Tag()] += h.TotalCount()
	}
	return logged
}

// TestRetries checks that a refused request is always retried, and a request with a broken connection only if the request is idempotent,
// because the server may have executed it. It also checks that the log has as many latencies as the result has requests with the outcome OK.
func TestRetries(t *testing.T) {
	var refusableAttempts, aborted atomic.Int64
	seen := sync.Map{}
	address := base.HTTP(t, nil, func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		key := request.Header.Get("X-Key") + string(body)
		n, _ := seen.LoadOrStore(key, new(atomic.Int64))
		first := n.(*atomic.Int64).Add(1) == 1
		switch {
		case strings.HasPrefix(request.URL.Path, "/refuses/"):
			if refusableAttempts.Add(1); first {
				w.Header().Set("Retry-After", "0")
				w.WriteHeader(503)
			}
		case first && (request.URL.Path == "/breaks" || request.URL.Path == "/unsafe"):
			aborted.Add(1)
			panic(http.ErrAbortHandler)
		}
	})
	o := options("http://"+address, "150", "a=1:POST /refuses/{n}", "b=1:GET /breaks", "c=1:POST /unsafe")
	o.Retries, o.RetryBackoff = 2, 20*time.Millisecond
	for i := range o.Classes {
		o.Classes[i].Headers = []Header{{"X-Key", o.Classes[i].Name + "{n}"}}
	}
	o.Classes[0].Body = []byte("body {n}")
	var log bytes.Buffer
	r := runChecked(t, t.Context(), o, Observers{Log: &log})
	a, b, c := r.Classes[0], r.Classes[1], r.Classes[2]
	if a.Requests < 20 || a.Outcomes[OK] != a.Requests || a.Attempts != 2*a.Requests || refusableAttempts.Load() != a.Attempts || Quantile(a.Latency, 0) < 19*time.Millisecond {
		t.Errorf("refused requests: %+v, %d attempts at the server; want two attempts for each request, the last one with outcome OK", a, refusableAttempts.Load())
	}
	if b.Outcomes[OK] != b.Requests {
		t.Errorf("GET requests whose first connection broke: %+v; want all OK", b)
	}
	if c.Outcomes[Broken] != c.Requests || c.Attempts != c.Requests {
		t.Errorf("POST requests whose connection broke: %+v; want one attempt for each request", c)
	}
	logged := loggedCounts(t, &log)
	if logged["a"] != a.Outcomes[OK] || logged["b"] != b.Outcomes[OK] || logged["c"] != 0 {
		t.Errorf("latencies in the log: %v; want as many as there are OK outcomes in %v and %v", logged, a.Outcomes, b.Outcomes)
	}
}

// Guards against memory use that grows as long as a server refuses requests. At most MaxWaitingRetries requests may wait for a retry. In a run
// that is stopped, each request still has to have one outcome.
func TestWaitingRetriesAreBounded(t *testing.T) {
	address := base.HTTP(t, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	o := options("http://"+address, "200:1m", "GET /never")
	o.Retries, o.MaxWaitingRetries, o.RetryBackoff = 50, 10, time.Minute
	ctx, stop := context.WithCancel(t.Context())
	maxWaiting := 0
	r := runChecked(t, ctx, o, Observers{Progress: func(p Progress) { maxWaiting = max(maxWaiting, p.Waiting); stop() }})
	if !r.Stopped || maxWaiting != 10 || r.Classes[0].GivenUp < 50 || r.Classes[0].Outcomes[Refused] != r.Classes[0].Requests {
		t.Errorf("%d requests waited for a retry at the same time, want 10, with the others given up and all outcomes refused: %+v", maxWaiting, r.Classes[0])
	}
}

// TestGRPC checks that gRPC calls are counted by their status: OK, a client error, and a failed connection.
func TestGRPC(t *testing.T) {
	node := fakes.NewNode(fakes.NodeOptions{Name: "n", Cores: 8, Ledger: fakes.NewLedger(), Answer: func(fakes.Job) []byte { return nil }})
	t.Cleanup(node.Close)
	address, err := node.ListenGRPC("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := options("grpc://"+address, "100", "ok=1:CALL /p.S/M", "bad=1:CALL /p.S/M")
	o.Classes[1].Headers = []Header{{fakes.StatusKey, "3"}}
	r := runChecked(t, t.Context(), o, Observers{})
	if a, b := r.Classes[0], r.Classes[1]; a.Outcomes[OK] != a.Requests || b.Outcomes[Rejected] != b.Requests || a.Requests == 0 {
		t.Errorf("not all calls were OK in the first class and rejected in the second:\n%+v\n%+v", a, b)
	}
	node.Close()
	o = options("grpc://"+address, "50", "CALL /p.S/M")
	if r := runChecked(t, t.Context(), o, Observers{}); r.Classes[0].Outcomes[Broken] != r.Classes[0].Requests {
		t.Errorf("calls without a server: %+v; want all broken", r.Classes[0])
	}
}

// TestLimits checks that the report names what limited the run: the load generator, the connections, or only the server.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name      string
		r         Result
		sendDelay time.Duration
		want      string
	}{
		{"the server alone", Result{Took: time.Second, CPU: time.Second, Cores: 2}, time.Millisecond, ""},
		{"cores", Result{Took: time.Second, CPU: 1900 * time.Millisecond, Cores: 2}, 0, "this tool used 95%"},
		{"send delay", Result{Took: time.Second, Cores: 2}, 5 * time.Millisecond, "more than 5ms late"},
		{"connections", Result{Took: time.Second, Cores: 2, DelayedByConnections: 5, Blocked: time.Second / 2}, 0, "all connections busy"},
		{"dispatching", Result{Took: time.Second, Cores: 2, DelayedByConnections: 5}, 0, "it was the limit"},
	} {
		c.r.SendDelay = NewHistogram()
		Record(c.r.SendDelay, c.sendDelay)
		c.r.Classes = []ClassResult{{Requests: 100, Latency: NewHistogram()}}
		if got := strings.Join(c.r.Limits(), ";"); c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("run limited by %s: Limits returned the wrong text %q", c.name, got)
		}
	}
	var out strings.Builder
	r := Result{Classes: []ClassResult{{Name: "a", Latency: NewHistogram()}, {Name: "b", Latency: NewHistogram()}}, SendDelay: NewHistogram()}
	if err := r.Print(&out); err != nil || !strings.Contains(out.String(), "all") {
		t.Errorf("Print returned %v, and its output must have a line for all classes:\n%s", err, out.String())
	}
}

// TestCheck checks that invalid options and arguments are rejected with an error that names them.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(o *Options)
	}{
		{"target", func(o *Options) { o.Target = "ftp://127.0.0.1:1" }},
		{"missing port", func(o *Options) { o.Target = "http://127.0.0.1" }},
		{"rate above 0", func(o *Options) { o.Phases = []Phase{{0, time.Second}} }},
		{"phases", func(o *Options) { o.Phases = nil }},
		{"connections", func(o *Options) { o.Connections = 0 }},
		{"classes", func(o *Options) { o.Classes = nil }},
		{"two classes have the name", func(o *Options) { o.Classes = append(o.Classes, o.Classes[0]) }},
		{"timeout", func(o *Options) { o.Timeout = 0 }},
		{"retries", func(o *Options) { o.Retries = -1 }},
	} {
		o := options("http://127.0.0.1:1", "1")
		c.change(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("invalid options: want an error that contains %q, got %v", c.want, err)
		}
	}
	for _, text := range []string{"x", "-1", "1:", "1:-1s", "1:x", "1e9", "NaN"} {
		if p, err := ParsePhases(text, time.Second); err == nil {
			t.Errorf("invalid rate %q accepted as %v", text, p)
		}
	}
	for _, text := range []string{"", "GET", "GET x", "a=0:GET /", "a=x:GET /", "GET /a b", "GET /\r\nX: y"} {
		if c, err := ParseClass(text); err == nil {
			t.Errorf("invalid class %q accepted as %+v", text, c)
		}
	}
	for _, text := range []string{"", "x", ": y", "a b: c", "a: b\r\nc: d"} {
		if h, err := ParseHeader(text); err == nil {
			t.Errorf("invalid header %q accepted as %v", text, h)
		}
	}
	if c, err := ParseClass("search=3:GET /search?q=a=1:2"); err != nil || fmt.Sprint(c) != fmt.Sprint(Class{Name: "search", Share: 3, Method: "GET", Path: "/search?q=a=1:2"}) {
		t.Errorf("class with = and : in its path: parsed as %+v, error %v", c, err)
	}
}

// TestQuantile checks that quantiles are within a thousandth of the exact values, and that values beyond the bounds count as the bounds.
func TestQuantile(t *testing.T) {
	h := NewHistogram()
	if Quantile(h, 50) != 0 {
		t.Errorf("quantile of an empty histogram: %v, want 0", Quantile(h, 50))
	}
	for i := range 1000 {
		Record(h, time.Duration(i+1)*time.Millisecond)
	}
	for percent, want := range map[float64]float64{50: 500, 95: 950, 99: 990, 100: 1000} {
		if got := Quantile(h, percent).Seconds() * 1000; math.Abs(got-want) > want/1000 {
			t.Errorf("%v%% quantile: got %v ms, want %v within a thousandth", percent, got, want)
		}
	}
	Record(h, -time.Second)
	Record(h, 24*time.Hour)
	if Quantile(h, 0) > time.Millisecond || Quantile(h, 100) < time.Hour-10*time.Second || h.TotalCount() != 1002 {
		t.Errorf("values beyond the bounds: quantiles from %v to %v, want 1 us to 1 h", Quantile(h, 0), Quantile(h, 100))
	}
}
