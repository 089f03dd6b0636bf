package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil"
)

// Guards against answers that no upstream made, and refusals without the advice when to come back.
func TestServedUnchanged(t *testing.T) {
	body := "\x00\xff answer\r\n"
	s := testutil.Raw(t, fakes.Says("HTTP/1.1 200 OK\r\nContent-Type: application/x-seat\r\n"+
		"Content-Encoding: x-seat\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 11\r\n\r\n"+body))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	for _, class := range []string{"search", "record", "confirm"} {
		resp, text := r.do(t, testutil.Request(t, r.address, class, ""))
		if resp.StatusCode != 200 || text != body || resp.Header.Get("Content-Type") != "application/x-seat" {
			t.Errorf("%s: %s %q", class, resp.Status, text)
		}
		// What tells how to read the body goes on, what belongs to the upstream's connection does not.
		if resp.Header.Get("Content-Encoding") != "x-seat" || resp.Header.Get("X-Hop") != "" {
			t.Errorf("%s: headers %v", class, resp.Header)
		}
	}
}

// Guards against an unsafe request that runs twice, and against a refusal for one that may have run: it is
// sent once, and its failure is told at once.
func TestUnsafeThatMayHaveRunFailsAtOnce(t *testing.T) {
	s := testutil.Raw(t, func(net.Conn, fakes.Got) bool { return false })
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	begun := time.Now()
	resp, _ := r.do(t, testutil.Request(t, r.address, "confirm", "seat 4"))
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Retry-After") != "" {
		t.Errorf("%s, Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(begun); took > 4*time.Second { // it might have been held for 9
		t.Errorf("told after %v", took)
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// Guards against failures where a refusal is safe: what was turned away never ran. The module's advice goes
// to the client with its decimals.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	s := testutil.Raw(t, fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	resp, _ := r.do(t, testutil.Request(t, r.address, "confirm", "seat 4"))
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1.5" {
		t.Errorf("%s, Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
	if n := len(s.Requests()); n != 5 {
		t.Errorf("sent %d times, SendCap is 5", n)
	}
}

// Guards against the library's answers and panics for what clients may send wrongly. None may be taken for a
// refusal, and none reaches an upstream.
func TestMalformedRequests(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	const id = "X-Request-ID: 9b1f03aa5c7e2d41\r\n"
	for name, c := range map[string]struct{ head, want string }{
		"no id":             {"GET /search/1 HTTP/1.1\r\nHost: s\r\n", "400"},
		"two ids":           {"GET /search/1 HTTP/1.1\r\nHost: s\r\n" + id + id, "400"},
		"unknown class":     {"GET /nothing/1 HTTP/1.1\r\nHost: s\r\n" + id, "404"},
		"unknown in head":   {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Priority-Class: nothing\r\n" + id, "404"},
		"two classes":       {"GET /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Priority-Class: search\r\n" + id, "400"},
		"dot segments":      {"GET /search/../confirm/1 HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"encoded slashes":   {"GET /search%2f..%2f..%2fconfirm/1 HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"classes repeated":  {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Priority-Class: search\r\nX-Priority-Class: confirm\r\n" + id, "400"},
		"key taken off":     {"POST /record/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\nIdempotency-Key: k\r\nConnection: Idempotency-Key\r\n" + id, "400"},
		"two hosts":         {"GET /search/1 HTTP/1.1\r\nHost: s\r\nHost: t\r\n" + id, "400"},
		"unsafe by GET":     {"GET /confirm/1 HTTP/1.1\r\nHost: s\r\n" + id, "405"},
		"method":            {"PUT /search/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n" + id, "405"},
		"options":           {"OPTIONS * HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"absolute target":   {"GET http://h/search/1 HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"no key":            {"POST /record/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n" + id, "400"},
		"key where none is": {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\nIdempotency-Key: k\r\n" + id, "400"},
		"body of a GET":     {"GET /search/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 1\r\n" + id + "\r\nx", "400"},
		"time-out":          {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: soon\r\n" + id, "400"},
		"time-out's unit":   {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: 480\r\n" + id, "400"},
		"negative":          {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: -480m\r\n" + id, "400"},
		"no number":         {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: NaNm\r\n" + id, "400"},
		"cost":              {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Cost: much\r\n" + id, "400"},
		"body too large":    {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 33554433\r\n" + id, "413"},
		"two framings":      {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n" + id + "\r\n0\r\n", "411"},
		"other framings":    {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked, identity\r\n" + id, "501"},
		"old framings":      {"POST /confirm/1 HTTP/1.0\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n" + id + "\r\n0\r\n\r\n", "505"},
		"two lengths":       {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nContent-Length: 6\r\n" + id, "400"},
		"signed length":     {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: +5\r\n" + id, "400"},
		"negative length":   {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: -5\r\n" + id, "400"},
		"huge length":       {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 99999999999999999999\r\n" + id, "400"},
		"body not sent":     {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: 50m\r\nContent-Length: 9\r\n" + id, "408"},
		"length":            {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: many\r\n" + id, "400"},
		"no HTTP":           {"\x00\x01\x02\r\n", "400"},
		"header too large":  {"GET /search/1 HTTP/1.1\r\nHost: s\r\n" + id + "X: " + strings.Repeat("x", 2*httpheader.MaxBytes) + "\r\n", "431"},
	} {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testutil.Timeout))
		_, _ = io.WriteString(conn, c.head+"\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.") || !strings.HasPrefix(line[len("HTTP/1.1"):], " "+c.want) {
			t.Errorf("%s: %q, %v; want %s", name, line, err, c.want)
		}
		conn.Close()
	}
	if n := len(s.Requests()); n != 0 {
		t.Errorf("%d of them reached the upstream", n)
	}
	if resp, _ := r.do(t, testutil.Request(t, r.address, "search", "")); resp.StatusCode != 200 {
		t.Errorf("afterwards: %s", resp.Status)
	}
}

// Guards against a connection that just ends where an answer is owed: also one whose time is up on arrival.
func TestExpiredOnArrivalIsAnswered(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	req := testutil.Request(t, r.address, "search", "")
	req.Header.Set("X-Timeout", "0m")
	if resp, _ := r.do(t, req); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answered %s", resp.Status)
	}
	if n := len(s.Requests()); n != 0 {
		t.Errorf("sent %d times", n)
	}
}

// Guards against two answers to one request, and against a second request of an id that waits for ever:
// the module ignores it.
func TestDuplicateID(t *testing.T) {
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		<-release
		_, err := io.WriteString(c, fakes.OK200("once"))
		return err == nil
	})
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	first := testutil.Request(t, r.address, "confirm", "")
	end := r.doAsync(first)
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	again := testutil.Request(t, r.address, "confirm", "")
	again.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))
	if resp, _ := r.do(t, again); resp.StatusCode != http.StatusConflict {
		t.Errorf("the second: %s", resp.Status)
	}
	close(release)
	if got := <-end; got != "200 once" {
		t.Errorf("the first: %s", got)
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// Guards against work for clients that have left: what fails then is not sent again.
func TestClientGone(t *testing.T) {
	left := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		<-left
		return false
	})
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := r.client.Do(testutil.Request(t, r.address, "search", "").WithContext(ctx)); err == nil {
			resp.Body.Close()
		}
	}()
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	leave()
	<-ended
	// The sidecar has seen the close once its own end of that connection is through with it: a later request on a new
	// connection is answered, and the one that was left is never sent again.
	time.Sleep(50 * time.Millisecond)
	close(left)
	r.stop()
	<-r.ended
	if n := len(s.Requests()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// Guards against clients that hold connections with nothing or half a request on them: the limits are the sidecar's,
// however long they say that they would wait.
func TestSlowClientsAreEnded(t *testing.T) {
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", "127.0.0.1:1", "Ready")), "127.0.0.1:0")
	ends := make(chan string, 3)
	for _, text := range []string{"", "GET /search/1 HTTP/1.1\r\nHost:",
		"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\nX-Timeout: 3600000m\r\nContent-Length: 9\r\n\r\nhalf"} {
		go func() {
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				ends <- err.Error()
				return
			}
			defer conn.Close()
			begun := time.Now()
			_ = conn.SetDeadline(begun.Add(testutil.Timeout))
			_, _ = io.WriteString(conn, text)
			if _, err := io.ReadAll(conn); err != nil {
				ends <- err.Error()
			} else if took := time.Since(begun); took > testutil.Timeout/2 {
				ends <- fmt.Sprintf("%q: ended after %v", text, took)
			} else {
				ends <- ""
			}
		}()
	}
	for range 3 {
		if end := <-ends; end != "" {
			t.Error(end)
		}
	}
	if p := testutil.Config(t, "127.0.0.1:1").Plan(); p.HeadTimeout+p.BodyTimeout >= 3*time.Second {
		t.Error("an end is owed within 3 s")
	}
}

// Guards against clients that say nothing at the cost of those that ask: silent connections give way first.
func TestSilentConnectionsGiveWayFirst(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	c := testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready"))
	c.Limits.Sockets = reservedDescriptors + 2*4
	r := start(t, c, "127.0.0.1:0")
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testutil.Timeout))
	in := bufio.NewReader(conn)
	ask := func() {
		t.Helper()
		if err := testutil.Request(t, r.address, "search", "").Write(conn); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("answer %v, %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	ask()
	ended := make(chan struct{}, 8)
	for range 8 {
		time.Sleep(510 * time.Millisecond) // those before have had their time
		silent, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		go func() {
			_, _ = io.ReadAll(silent)
			ended <- struct{}{}
		}()
	}
	for range 4 {
		select {
		case <-ended:
		case <-time.After(testutil.Timeout):
			t.Fatal("no silent connection gave way")
		}
	}
	ask()
}

// Guards against a connection that ends with no answer: a context that ends is no proof that the client left, a read
// deadline that fires as the body ends does the same.
func TestEndedContextIsAnswered(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	d := &daemon{plan: c.Plan(), log: logging.Discard(), background: t.Context()}
	if err := errors.Join(d.newSharedResources(8), d.apply(d.plan)); err != nil {
		t.Fatal(err)
	}
	defer d.endServices()
	s := &server{daemon: d, ids: newRequestIDs(1), lifecycleDriver: newLifecycleDriver(d.shared.clock, 0, nil)}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	req := httptest.NewRequest(http.MethodGet, "/search/1", nil).WithContext(ctx)
	req.Header.Set("X-Request-ID", "1")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, req)
	if w.Code != http.StatusBadGateway || w.Header().Get("Connection") != "close" {
		t.Errorf("answered %d, %v", w.Code, w.Header())
	}
}

// Guards against too many descriptors: at the limit a connection between requests gives way to a new one.
func TestClientConnectionLimit(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	c := testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready"))
	c.Limits.Sockets = reservedDescriptors + 2*3
	r := start(t, c, "127.0.0.1:0")
	var clients []*http.Client
	for range 8 {
		client := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		resp, err := client.Do(testutil.Request(t, r.address, "search", ""))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		clients = append(clients, client)
	}
	if len(s.Requests()) != len(clients) {
		t.Errorf("%d of %d were served", len(s.Requests()), len(clients))
	}
}

// Guards against lost requests at a planned restart: after SIGTERM clients still come on new connections and
// use old ones, and what was taken is finished. Then the address is free for the next process.
func TestStopFinishesWhatWasTaken(t *testing.T) {
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if strings.HasPrefix(g.Target, "/confirm") {
			<-release
		}
		_, err := io.WriteString(c, fakes.OK200("done"))
		return err == nil
	})
	d := testutil.Quiet(t)
	r := start(t, testutil.Config(t, d.Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	taken := r.doAsync(testutil.Request(t, r.address, "confirm", ""))
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	r.stop()
	fresh := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{}}
	testutil.Eventually(t, "answers end their connections", func() bool {
		resp, err := fresh.Do(testutil.Request(t, r.address, "search", ""))
		if err != nil {
			t.Fatalf("a new connection after SIGTERM: %v", err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("after SIGTERM: %s", resp.Status)
		}
		return resp.Close
	})
	close(release)
	if got := <-taken; got != "200 done" {
		t.Errorf("what was taken: %s", got)
	}
	<-r.ended
	if r.err != nil {
		t.Errorf("ended with %v", r.err)
	}
	again := start(t, testutil.Config(t, d.Address, testutil.Entry("s", s.Address, "Ready")), r.address)
	if resp, _ := again.do(t, testutil.Request(t, r.address, "search", "")); resp.StatusCode != 200 {
		t.Errorf("after the restart: %s", resp.Status)
	}
}

// Guards against requests that SIGKILL finds unanswered: what can't be finished by then is failed before.
func TestStopFailsWhatCannotBeFinished(t *testing.T) {
	s := testutil.Raw(t, fakes.Silent)
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	taken := r.doAsync(testutil.Request(t, r.address, "confirm", ""))
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	r.stop()
	if got := <-taken; !strings.HasPrefix(got, "502 ") {
		t.Errorf("answered %s", got)
	}
	<-r.ended
	if r.err != nil {
		t.Errorf("ended with %v", r.err)
	}
}
