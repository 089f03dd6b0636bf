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

// startWithControl starts a sidecar that operators can call.
func startWithControl(t *testing.T, c *config.Config) (*running, func(method, path string) (int, string)) {
	t.Helper()
	c.Control = base.FreeAddress(t)
	r := start(t, c, "127.0.0.1:0")
	client := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return r, func(method, path string) (int, string) {
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
}

// readMetrics reads the figures into a map.
func readMetrics(t *testing.T, call func(method, path string) (int, string)) map[string]int {
	t.Helper()
	status, text := call("GET", "/metrics")
	if status != 200 {
		t.Fatalf("figures: %d", status)
	}
	of := map[string]int{}
	for line := range strings.Lines(text) {
		var n int
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if _, err := fmt.Sscan(value, &n); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		of[name] = n
	}
	return of
}

// Guards against calls that are taken on the clients' address, and against a wrong path or method that does something.
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
			t.Errorf("%s %s: %d %q, want %d", c.method, c.path, got, text, c.want)
		}
	}
	for _, path := range []string{"/drain", "/-/drain"} {
		resp, err := r.client.Post("http://"+r.address+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode < 400 {
			t.Errorf("clients may drain by %s", path)
		}
	}
	if resp, err := r.client.Get("http://" + r.address + "/-/ready"); err != nil || resp.StatusCode != 200 {
		t.Errorf("it drains: %v", err)
	}
}

// Guards against figures that differ from what happened: served, refused, failed and abandoned requests, attempts that were written
// whole and those that never were, and requests that are not taken at all.
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
	f := readMetrics(t, call)
	for _, class := range []string{"search", "record", "confirm"} {
		for _, end := range []string{"completed", "rejected", "failed"} {
			if n, has := f["downstream_requests."+class+"."+end]; !has || n != 0 {
				t.Errorf("%s %s at the start: %d, %v", class, end, n, has)
			}
		}
	}
	if f["members"] != 2 || f["members_unavailable"] != 1 {
		t.Errorf("members %d, unavailable %d", f["members"], f["members_unavailable"])
	}
	ask := func(class, path string) int {
		req := testutil.Request(t, r.address, class, "")
		req.URL.Path = "/" + class + path
		resp, _ := r.do(t, req)
		return resp.StatusCode
	}
	for range 3 {
		if got := ask("search", "/1"); got != 200 {
			t.Fatalf("answered %d", got)
		}
	}
	if got := ask("confirm", "/full"); got != 503 { // five attempts, all written
		t.Fatalf("answered %d", got)
	}
	if got := ask("confirm", "/break"); got != 502 {
		t.Fatalf("answered %d", got)
	}
	if got := ask("nothing", "/1"); got != 404 { // not taken
		t.Fatalf("answered %d", got)
	}
	req := testutil.Request(t, r.address, "record", "")
	req.URL.Path = "/record/hold"
	later := r.doAsync(req)
	testutil.Eventually(t, "one is pending", func() bool { return readMetrics(t, call)["pending"] == 1 })
	close(hold)
	if got := <-later; !strings.HasPrefix(got, "200") {
		t.Fatalf("answered %s", got)
	}
	testutil.Eventually(t, "none is pending", func() bool { return readMetrics(t, call)["pending"] == 0 })
	f = readMetrics(t, call)
	for name, want := range map[string]int{"downstream_requests.search.completed": 3, "downstream_requests.search.failed": 0,
		"downstream_requests.confirm.rejected": 1, "downstream_requests.confirm.failed": 1, "downstream_requests.confirm.completed": 0,
		"downstream_requests.record.completed": 1, "upstream_requests": 3 + 5 + 1 + 1} {
		if f[name] != want {
			t.Errorf("%s: %d, want %d", name, f[name], want)
		}
	}
	if n := len(s.Requests()); n != f["upstream_requests"] {
		t.Errorf("the upstream has seen %d, counted are %d", n, f["upstream_requests"])
	}
}

// A drain: the front is told at once, no request is lost, a connection that is never left to rest ends with its next answer, one that
// is in the middle of a request gets its answer, and one that idles is closed once new ones have ceased. All are gone within 4 s, and
// the process serves again as soon as it is told to.
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
	ask := func(c client, path string) {
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
		ask(c, "1")
		if got, last, err := answer(c); err != nil || got != 200 || last {
			t.Fatalf("%d %v %v", got, last, err)
		}
	}
	ask(held, "hold")
	testutil.Eventually(t, "it is held", func() bool { return readMetrics(t, call)["pending"] == 1 })
	begun := time.Now()
	if status, _ := call("POST", "/drain"); status != 200 {
		t.Fatalf("drain: %d", status)
	}
	if got := ready(); got == 200 {
		t.Error("it is still ready")
	}
	if status, text := call("GET", "/ready"); status != 200 {
		t.Errorf("a process that drains can serve: %d %s", status, text)
	}
	ask(busy, "2")
	if got, last, err := answer(busy); err != nil || got != 200 || !last {
		t.Errorf("its next answer: %d, the last %v, %v", got, last, err)
	}
	fresh := dial()
	ask(fresh, "3")
	if got, last, err := answer(fresh); err != nil || got != 200 || !last {
		t.Errorf("on a new connection: %d, the last %v, %v", got, last, err)
	}
	if status, _ := call("POST", "/drain"); status != 200 {
		t.Errorf("a second time: %d", status)
	}
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle one: %v", err)
	}
	if took := time.Since(begun); took > 4*time.Second {
		t.Errorf("idle ones are closed after %v", took)
	}
	close(hold)
	if got, last, err := answer(held); err != nil || got != 200 || !last {
		t.Errorf("the one that was held: %d, the last %v, %v", got, last, err)
	}
	if status, _ := call("POST", "/undrain"); status != 200 || ready() != 200 {
		t.Errorf("undrain: %d, ready %d", status, ready())
	}
	c := dial()
	for range 2 {
		ask(c, "4")
		if got, last, err := answer(c); err != nil || got != 200 || last {
			t.Errorf("afterwards: %d, the last %v, %v", got, last, err)
		}
	}
}

// A stop within a drain goes on to its end, and no undrain takes it back.
func TestStopWithinADrain(t *testing.T) {
	hold := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, got fakes.Got) bool {
		<-hold
		return fakes.Says(fakes.OK200("a"))(c, got)
	})
	r, call := startWithControl(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")))
	later := r.doAsync(testutil.Request(t, r.address, "search", ""))
	testutil.Eventually(t, "it is held", func() bool { return readMetrics(t, call)["pending"] == 1 })
	call("POST", "/drain")
	r.stop()
	testutil.Eventually(t, "it stops", func() bool { status, _ := call("GET", "/ready"); return status == 503 })
	if status, text := call("POST", "/undrain"); status != 503 || !strings.Contains(text, "stopping") {
		t.Errorf("undrain: %d %q", status, text)
	}
	close(hold)
	if got := <-later; !strings.HasPrefix(got, "200") {
		t.Errorf("answered %s", got)
	}
	<-r.ended
	if r.err != nil {
		t.Error(r.err)
	}
}
