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

// Guards against answers that differ from what the upstream sent.
func TestServedUnchanged(t *testing.T) {
	body := "\x00\xff answer\r\n"
	s := testutil.Raw(t, fakes.Says("HTTP/1.1 200 OK\r\nContent-Type: application/x-seat\r\n"+
		"Content-Encoding: x-seat\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 11\r\n\r\n"+body))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	for _, class := range []string{"search", "record", "confirm"} {
		resp, text := r.do(t, testutil.Request(t, r.address, class, ""))
		if resp.StatusCode != 200 || text != body || resp.Header.Get("Content-Type") != "application/x-seat" {
			t.Errorf("class %s: got %s with body %q, want 200, the upstream's body and its Content-Type", class, resp.Status, text)
		}
		// End-to-end headers are forwarded, hop-by-hop headers are not.
		if resp.Header.Get("Content-Encoding") != "x-seat" || resp.Header.Get("X-Hop") != "" {
			t.Errorf("class %s: got headers %v, want Content-Encoding and not the hop-by-hop X-Hop", class, resp.Header)
		}
	}
}

// Guards against an unsafe request that runs twice, and against a 503 for an unsafe request that may have run. Such
// a request is sent once, and its failure is answered with 502 without delay.
func TestUnsafeThatMayHaveRunFailsAtOnce(t *testing.T) {
	s := testutil.Raw(t, func(net.Conn, fakes.Got) bool { return false })
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	startedAt := time.Now()
	resp, _ := r.do(t, testutil.Request(t, r.address, "confirm", "seat 4"))
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Retry-After") != "" {
		t.Errorf("unsafe request that may have run: got %s with Retry-After %q, want 502 without Retry-After", resp.Status, resp.Header.Get("Retry-After"))
	}
	if elapsed := time.Since(startedAt); elapsed > 4*time.Second { // the request's deadline is 9 s
		t.Errorf("the failure was answered after %v, want at most 4s", elapsed)
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the request was sent %d times, want 1", n)
	}
}

// Guards against a 502 for a request that the upstream rejected. The request has not run, so that 503, which invites a
// retry, is safe. Retry-After reaches the client with its fraction of a second.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	s := testutil.Raw(t, fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	resp, _ := r.do(t, testutil.Request(t, r.address, "confirm", "seat 4"))
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1.5" {
		t.Errorf("request that the upstream rejected: got %s with Retry-After %q, want 503 with 1.5", resp.Status, resp.Header.Get("Retry-After"))
	}
	if n := len(s.Requests()); n != 5 {
		t.Errorf("the request was sent %d times, want 5, which is SendCap", n)
	}
}

// Guards against panics at malformed requests, and against wrong statuses, with which a client might retry such a request.
// No malformed request may reach an upstream.
func TestMalformedRequests(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	const id = "X-Request-ID: 9b1f03aa5c7e2d41\r\n"
	for name, c := range map[string]struct{ head, want string }{
		"no request id":     {"GET /search/1 HTTP/1.1\r\nHost: s\r\n", "400"},
		"two request ids":   {"GET /search/1 HTTP/1.1\r\nHost: s\r\n" + id + id, "400"},
		"unknown class":     {"GET /nothing/1 HTTP/1.1\r\nHost: s\r\n" + id, "404"},
		"unknown in header": {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Priority-Class: nothing\r\n" + id, "404"},
		"other in header":   {"GET /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Priority-Class: search\r\n" + id, "400"},
		"dot segments":      {"GET /search/../confirm/1 HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"encoded slashes":   {"GET /search%2f..%2f..%2fconfirm/1 HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"class repeated":    {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Priority-Class: search\r\nX-Priority-Class: confirm\r\n" + id, "400"},
		"key hop-by-hop":    {"POST /record/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\nIdempotency-Key: k\r\nConnection: Idempotency-Key\r\n" + id, "400"},
		"two hosts":         {"GET /search/1 HTTP/1.1\r\nHost: s\r\nHost: t\r\n" + id, "400"},
		"unsafe by GET":     {"GET /confirm/1 HTTP/1.1\r\nHost: s\r\n" + id, "405"},
		"method":            {"PUT /search/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n" + id, "405"},
		"options":           {"OPTIONS * HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"absolute target":   {"GET http://h/search/1 HTTP/1.1\r\nHost: s\r\n" + id, "400"},
		"no key":            {"POST /record/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n" + id, "400"},
		"key not expected":  {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\nIdempotency-Key: k\r\n" + id, "400"},
		"body of a GET":     {"GET /search/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 1\r\n" + id + "\r\nx", "400"},
		"timeout":           {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: soon\r\n" + id, "400"},
		"timeout's unit":    {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: 480\r\n" + id, "400"},
		"negative timeout":  {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: -480m\r\n" + id, "400"},
		"NaN timeout":       {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: NaNm\r\n" + id, "400"},
		"cost":              {"GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Cost: much\r\n" + id, "400"},
		"body too large":    {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 33554433\r\n" + id, "413"},
		"two framings":      {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n" + id + "\r\n0\r\n", "411"},
		"unknown framing":   {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked, identity\r\n" + id, "501"},
		"chunked HTTP/1.0":  {"POST /confirm/1 HTTP/1.0\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n" + id + "\r\n0\r\n\r\n", "505"},
		"two lengths":       {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nContent-Length: 6\r\n" + id, "400"},
		"signed length":     {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: +5\r\n" + id, "400"},
		"negative length":   {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: -5\r\n" + id, "400"},
		"huge length":       {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: 99999999999999999999\r\n" + id, "400"},
		"body not sent":     {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Timeout: 50m\r\nContent-Length: 9\r\n" + id, "408"},
		"length":            {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nContent-Length: many\r\n" + id, "400"},
		"not HTTP":          {"\x00\x01\x02\r\n", "400"},
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
			t.Errorf("%s: got the status line %q and error %v, want %s", name, line, err, c.want)
		}
		conn.Close()
	}
	if n := len(s.Requests()); n != 0 {
		t.Errorf("%d malformed requests reached the upstream, want 0", n)
	}
	if resp, _ := r.do(t, testutil.Request(t, r.address, "search", "")); resp.StatusCode != 200 {
		t.Errorf("a valid request after the malformed ones got %s, want 200", resp.Status)
	}
}

// Guards against a request that gets no answer because its deadline has already passed when it arrives.
func TestExpiredOnArrivalIsAnswered(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	req := testutil.Request(t, r.address, "search", "")
	req.Header.Set("X-Timeout", "0m")
	if resp, _ := r.do(t, req); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request whose deadline has passed: got %s, want 503", resp.Status)
	}
	if n := len(s.Requests()); n != 0 {
		t.Errorf("an expired request was sent %d times, want 0", n)
	}
}

// Guards against two answers to one request, and against a second request with the same ID that waits forever, since
// the balancer ignores a request whose ID is already in use.
func TestDuplicateID(t *testing.T) {
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		<-release
		_, err := io.WriteString(c, fakes.OK200("once"))
		return err == nil
	})
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	first := testutil.Request(t, r.address, "confirm", "")
	firstResult := r.doAsync(first)
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	again := testutil.Request(t, r.address, "confirm", "")
	again.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))
	if resp, _ := r.do(t, again); resp.StatusCode != http.StatusConflict {
		t.Errorf("the second request with the id got %s, want 409", resp.Status)
	}
	close(release)
	if got := <-firstResult; got != "200 once" {
		t.Errorf("the first request with the id got %s, want 200 once", got)
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d requests were forwarded, want 1", n)
	}
}

// Guards against retries for clients that have disconnected. A request that fails after that must not be sent again.
func TestClientGone(t *testing.T) {
	breakConnection := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		<-breakConnection
		return false
	})
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := r.client.Do(testutil.Request(t, r.address, "search", "").WithContext(ctx)); err == nil {
			resp.Body.Close()
		}
	}()
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	disconnect()
	<-ended
	// Gives the sidecar time to notice that the client closed its connection.
	time.Sleep(50 * time.Millisecond)
	close(breakConnection)
	r.stop()
	<-r.ended
	if n := len(s.Requests()); n != 1 {
		t.Errorf("the request was sent %d times, want 1", n)
	}
}

// Guards against clients that occupy connections without sending a complete request. The sidecar's own time limits
// apply, whatever X-Timeout a client sends.
func TestSlowClientsAreEnded(t *testing.T) {
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", "127.0.0.1:1", "Ready")), "127.0.0.1:0")
	results := make(chan string, 3)
	for _, text := range []string{"", "GET /search/1 HTTP/1.1\r\nHost:",
		"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\nX-Timeout: 3600000m\r\nContent-Length: 9\r\n\r\nhalf"} {
		go func() {
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				results <- err.Error()
				return
			}
			defer conn.Close()
			startedAt := time.Now()
			_ = conn.SetDeadline(startedAt.Add(testutil.Timeout))
			_, _ = io.WriteString(conn, text)
			if _, err := io.ReadAll(conn); err != nil {
				results <- err.Error()
			} else if elapsed := time.Since(startedAt); elapsed > testutil.Timeout/2 {
				results <- fmt.Sprintf("a connection on which %q was sent was closed only after %v", text, elapsed)
			} else {
				results <- ""
			}
		}()
	}
	for range 3 {
		if failure := <-results; failure != "" {
			t.Error(failure)
		}
	}
	if p := testutil.Config(t, "127.0.0.1:1").Plan(); p.HeadTimeout+p.BodyTimeout >= 3*time.Second {
		t.Error("the timeouts for a request's head and body must be less than 3 s in total")
	}
}

// Guards against connections without requests that displace the connections of active clients. At the limit of
// connections, the sidecar first closes connections that have had no request.
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
	sendRequest := func() {
		t.Helper()
		if err := testutil.Request(t, r.address, "search", "").Write(conn); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("request of the active client: got %v and error %v, want 200", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	sendRequest()
	closed := make(chan struct{}, 8)
	for range 8 {
		time.Sleep(510 * time.Millisecond) // after this time the sidecar may close the earlier silent connections
		silent, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		go func() {
			_, _ = io.ReadAll(silent)
			closed <- struct{}{}
		}()
	}
	for range 4 {
		select {
		case <-closed:
		case <-time.After(testutil.Timeout):
			t.Fatal("fewer than four silent connections were closed")
		}
	}
	sendRequest()
}

// Guards against a connection that is closed without an answer. A canceled context does not prove that the client has
// disconnected: net/http also cancels the context if a read deadline expires as the body ends.
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
		t.Errorf("request with a canceled context: got %d with headers %v, want 502 with Connection: close", w.Code, w.Header())
	}
}

// Guards against running out of file descriptors. At the limit of connections, the sidecar closes an idle connection for a
// new one.
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
		t.Errorf("%d requests were forwarded, want %d", len(s.Requests()), len(clients))
	}
}

// Guards against lost requests at a planned restart. After SIGTERM, requests on new and existing connections are
// still answered, and requests in flight are completed. Once the process has ended, the next process can use the address.
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
	inFlight := r.doAsync(testutil.Request(t, r.address, "confirm", ""))
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	r.stop()
	newClient := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{}}
	testutil.Eventually(t, "answers close their connections", func() bool {
		resp, err := newClient.Do(testutil.Request(t, r.address, "search", ""))
		if err != nil {
			t.Fatalf("a request on a new connection after SIGTERM failed: %v", err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("a request after SIGTERM got %s, want 200", resp.Status)
		}
		return resp.Close
	})
	close(release)
	if got := <-inFlight; got != "200 done" {
		t.Errorf("the request in flight at SIGTERM got %s, want 200 done", got)
	}
	<-r.ended
	if r.err != nil {
		t.Errorf("the process ended with error %v, want none", r.err)
	}
	restarted := start(t, testutil.Config(t, d.Address, testutil.Entry("s", s.Address, "Ready")), r.address)
	if resp, _ := restarted.do(t, testutil.Request(t, r.address, "search", "")); resp.StatusCode != 200 {
		t.Errorf("a request after the restart got %s, want 200", resp.Status)
	}
}

// Guards against requests that get no answer because SIGKILL ends the process. Requests that cannot be completed in time
// are answered with 502 before that.
func TestStopFailsWhatCannotBeFinished(t *testing.T) {
	s := testutil.Raw(t, fakes.Silent)
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	inFlight := r.doAsync(testutil.Request(t, r.address, "confirm", ""))
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	r.stop()
	if got := <-inFlight; !strings.HasPrefix(got, "502 ") {
		t.Errorf("the request in flight at SIGTERM got %s, want 502", got)
	}
	<-r.ended
	if r.err != nil {
		t.Errorf("the process ended with error %v, want none", r.err)
	}
}
