package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// startWithControl starts a sidecar with an operators' address, and returns it with a function that sends a request to that address. It waits
// until the operators' GET /ready says yes, which is later than the clients' page: the process can be replaced by then.
func startWithControl(t *testing.T, c *config.Config) (*running, func(method, path string) (int, string)) {
	t.Helper()
	c.Control = base.FreeAddress(t)
	r := start(t, c, "127.0.0.1:0")
	client := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	call := func(method, path string) (int, string) {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+c.Control+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(body)
	}
	testutil.Eventually(t, "the operators' address says yes", func() bool {
		status, _ := call("GET", "/ready")
		return status == http.StatusOK
	})
	return r, call
}

// readMetrics returns the values of GET /metrics by name.
func readMetrics(t *testing.T, call func(method, path string) (int, string)) map[string]int {
	t.Helper()
	status, text := call("GET", "/metrics")
	if status != 200 {
		t.Fatalf("GET /metrics: got status %d, want 200", status)
	}
	values := map[string]int{}
	for line := range strings.Lines(text) {
		var n int
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if _, err := fmt.Sscan(value, &n); err != nil {
			t.Fatalf("metrics line %q has no number as value: %v", line, err)
		}
		values[name] = n
	}
	return values
}

// Guards against operators' requests that are accepted on the clients' address, and against requests with a wrong path or method that are
// accepted on the operators' address.
func TestOperatorsCalls(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("a")))
	r, call := startWithControl(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")))
	for _, c := range []struct {
		method, path string
		want         int
	}{{"GET", "/ready", 200}, {"HEAD", "/ready", 200}, {"POST", "/ready", 405}, {"GET", "/metrics", 200}, {"GET", "/drain", 405},
		{"GET", "/undrain", 405}, {"PUT", "/drain", 405}, {"GET", "/", 404}, {"POST", "/drain/", 404}, {"GET", "/-/ready", 404},
		{"POST", "/undrain", 200}} {
		if got, text := call(c.method, c.path); got != c.want {
			t.Errorf("%s %s on the operators' address: got %d %q, want %d", c.method, c.path, got, text, c.want)
		}
	}
	for _, path := range []string{"/drain", "/-/drain"} {
		resp, err := r.client.Post("http://"+r.address+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode < 400 {
			t.Errorf("POST %s on the clients' address succeeded, want an error status", path)
		}
	}
	if resp, err := r.client.Get("http://" + r.address + "/-/ready"); err != nil || resp.StatusCode != 200 {
		t.Errorf("the sidecar is not ready after invalid requests to drain it: error %v", err)
	}
}

// Guards against wrong metrics of completed, rejected, failed and pending requests, and of attempts. A request for an unknown class is not
// counted.
func TestFiguresAreWhatHappened(t *testing.T) {
	hold := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, got fakes.Got) bool {
		switch {
		case strings.Contains(got.Target, "full"):
			return fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")(c, got)
		case strings.Contains(got.Target, "break"):
			return false
		case strings.Contains(got.Target, "hold"):
			<-hold
		}
		return fakes.Says(fakes.OK200("a"))(c, got)
	})
	r, call := startWithControl(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready"),
		testutil.Entry("t", "127.0.0.1:1", "Terminating")))
	metrics := readMetrics(t, call)
	for _, class := range []string{"search", "record", "confirm"} {
		for _, outcome := range []string{"completed", "rejected", "failed"} {
			if n, present := metrics["downstream_requests."+class+"."+outcome]; !present || n != 0 {
				t.Errorf("downstream_requests of class %s, %s, at the start: got %d, present: %v; want 0, present", class, outcome, n, present)
			}
		}
	}
	if metrics["members"] != 2 || metrics["members_unavailable"] != 1 {
		t.Errorf("got members %d, members_unavailable %d; want 2 and 1", metrics["members"], metrics["members_unavailable"])
	}
	request := func(class, path string) int {
		req := testutil.Request(t, r.address, class, "")
		req.URL.Path = "/" + class + path
		resp, _ := r.do(t, req)
		return resp.StatusCode
	}
	for range 3 {
		if got := request("search", "/1"); got != 200 {
			t.Fatalf("GET /search/1: got status %d, want 200", got)
		}
	}
	if got := request("confirm", "/full"); got != 503 { // five attempts, all written
		t.Fatalf("request that every attempt rejects: got status %d, want 503", got)
	}
	if got := request("confirm", "/break"); got != 502 {
		t.Fatalf("request whose connection the upstream breaks: got status %d, want 502", got)
	}
	if got := request("nothing", "/1"); got != 404 { // not counted
		t.Fatalf("request for an unknown class: got status %d, want 404", got)
	}
	req := testutil.Request(t, r.address, "record", "")
	req.URL.Path = "/record/hold"
	response := r.doAsync(req)
	testutil.Eventually(t, "one request is pending", func() bool { return readMetrics(t, call)["pending"] == 1 })
	close(hold)
	if got := <-response; !strings.HasPrefix(got, "200") {
		t.Fatalf("held request: got %s, want status 200", got)
	}
	testutil.Eventually(t, "no request is pending", func() bool { return readMetrics(t, call)["pending"] == 0 })
	metrics = readMetrics(t, call)
	for name, want := range map[string]int{"downstream_requests.search.completed": 3, "downstream_requests.search.failed": 0,
		"downstream_requests.confirm.rejected": 1, "downstream_requests.confirm.failed": 1, "downstream_requests.confirm.completed": 0,
		"downstream_requests.record.completed": 1, "upstream_requests": 3 + 5 + 1 + 1} {
		if metrics[name] != want {
			t.Errorf("metric %s: got %d, want %d", name, metrics[name], want)
		}
	}
	if n := len(s.Requests()); n != metrics["upstream_requests"] {
		t.Errorf("the upstream received %d requests, but the metric upstream_requests is %d", n, metrics["upstream_requests"])
	}
}

// Guards against a drain that loses requests or keeps connections open. The readiness check fails at once. A connection with further
// requests ends with the next answer, a request in flight is answered, and an idle connection is closed once clients open no new
// connections, within 4 s. After an undrain the process serves as before.
func TestDrainAndUndrain(t *testing.T) {
	hold := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, got fakes.Got) bool {
		if strings.Contains(got.Target, "hold") {
			<-hold
		}
		return fakes.Says(fakes.OK200("a"))(c, got)
	})
	r, call := startWithControl(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")))
	ready := func() int {
		resp, err := http.Get("http://" + r.address + "/-/ready")
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	type client struct {
		net.Conn
		in *bufio.Reader
	}
	dial := func() client {
		c, in := dialRaw(t, r.address)
		return client{c, in}
	}
	n := 0
	send := func(c client, path string) {
		n++
		fmt.Fprintf(c, "GET /search/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: d%d\r\nX-Timeout: 9000m\r\n\r\n", path, n)
	}
	answer := func(c client) (int, bool, error) {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return 0, false, err
		}
		_, err = io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Close, err
	}
	busy, idle, held := dial(), dial(), dial()
	for _, c := range []client{busy, idle} {
		send(c, "1")
		if got, closes, err := answer(c); err != nil || got != 200 || closes {
			t.Fatalf("before the drain: got status %d, connection closes: %v, error %v; want 200 on a connection that stays open", got, closes, err)
		}
	}
	send(held, "hold")
	testutil.Eventually(t, "the upstream holds the request", func() bool { return readMetrics(t, call)["pending"] == 1 })
	begun := time.Now()
	if status, _ := call("POST", "/drain"); status != 200 {
		t.Fatalf("POST /drain: got status %d, want 200", status)
	}
	if got := ready(); got == 200 {
		t.Error("the readiness check still succeeds during the drain")
	}
	if status, text := call("GET", "/ready"); status != 200 {
		t.Errorf("GET /ready during the drain, while an upstream is ready: got %d %s, want 200", status, text)
	}
	send(busy, "2")
	if got, closes, err := answer(busy); err != nil || got != 200 || !closes {
		t.Errorf("next request on a busy connection: got status %d, connection closes: %v, error %v; want 200 and Connection: close", got, closes, err)
	}
	fresh := dial()
	send(fresh, "3")
	if got, closes, err := answer(fresh); err != nil || got != 200 || !closes {
		t.Errorf("request on a new connection: got status %d, connection closes: %v, error %v; want 200 and Connection: close", got, closes, err)
	}
	if status, _ := call("POST", "/drain"); status != 200 {
		t.Errorf("second POST /drain: got status %d, want 200", status)
	}
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read from the idle connection: got %v, want EOF", err)
	}
	if took := time.Since(begun); took > 4*time.Second {
		t.Errorf("the idle connection was closed %v after the drain began, want at most 4s", took)
	}
	close(hold)
	if got, closes, err := answer(held); err != nil || got != 200 || !closes {
		t.Errorf("request in flight at the drain: got status %d, connection closes: %v, error %v; want 200 and Connection: close", got, closes, err)
	}
	if status, _ := call("POST", "/undrain"); status != 200 || ready() != 200 {
		t.Errorf("POST /undrain: got status %d, then readiness status %d, want 200 for both", status, ready())
	}
	c := dial()
	for range 2 {
		send(c, "4")
		if got, closes, err := answer(c); err != nil || got != 200 || closes {
			t.Errorf("after the undrain: got status %d, connection closes: %v, error %v; want 200 on a connection that stays open", got, closes, err)
		}
	}
}

// Guards against a process that does not end when it is stopped during a drain, and against an undrain that reverts the stop.
func TestStopWithinADrain(t *testing.T) {
	hold := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, got fakes.Got) bool {
		<-hold
		return fakes.Says(fakes.OK200("a"))(c, got)
	})
	r, call := startWithControl(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")))
	response := r.doAsync(testutil.Request(t, r.address, "search", ""))
	testutil.Eventually(t, "the upstream holds the request", func() bool { return readMetrics(t, call)["pending"] == 1 })
	call("POST", "/drain")
	r.stop()
	testutil.Eventually(t, "the process is stopping", func() bool { status, _ := call("GET", "/ready"); return status == 503 })
	if status, text := call("POST", "/undrain"); status != 503 || !strings.Contains(text, "stopping") {
		t.Errorf("POST /undrain while the process stops: got %d %q, want 503 and a text that says that it is stopping", status, text)
	}
	close(hold)
	if got := <-response; !strings.HasPrefix(got, "200") {
		t.Errorf("held request: got %s, want status 200", got)
	}
	<-r.ended
	if r.err != nil {
		t.Error(r.err)
	}
}
