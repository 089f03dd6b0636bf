package downstream

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"

	"orchiddrift/internal/testing/testutil/base"
)

func testChecker() *Checker {
	class := func(name string, e balancer.Idempotency) balancer.Class {
		return balancer.Class{Name: name, Idempotency: e, Deadline: 4 * time.Second}
	}
	return NewPlatformChecker([]balancer.Class{class("seat-search", balancer.Idempotent), class("payment-record", balancer.IdempotentWithKey),
		class("confirm-booking", balancer.NonIdempotent)})
}

// readRequest parses a request as the server does.
func readRequest(t testing.TB, lines ...string) *http.Request {
	t.Helper()
	text := strings.Join(lines, "\r\n") + "\r\nHost: s\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatalf("the request %q cannot be parsed: %v", text, err)
	}
	return r
}

const id = "X-Request-ID: 1"

// Guards against targets that an upstream may read as another class than the Checker does. The first two were actual
// faults: the Checker took both for the idempotent class and they were forwarded unchanged.
func TestTargetsThatReadInTwoWays(t *testing.T) {
	for _, target := range []string{
		"/seat-search/../confirm-booking/1",
		"/seat%2dsearch%2f..%2f..%2fconfirm-booking/1",
		"/seat-search/./1",
		"/seat-search/1/..",
		"/seat-search/%2e%2e/confirm-booking/1",
		"/seat-search/.%2E/confirm-booking/1",
		"/seat-search/%252e%252e/confirm-booking/1", // for servers that decode twice
		"/seat-search/..;x=1/confirm-booking/1",     // some servers remove path parameters first
		"/seat-search/..%3bx/confirm-booking/1",
		"/seat-search/a%2f..%2f..%2fconfirm-booking",
		"/seat-search/a%2Fb",
		"/seat-search/a%252Fb",
		"/seat-search%2f1",
		"/seat-search/a%5c..%5cb",
		"/seat-search/%c0%ae%c0%ae/confirm-booking", // overlong dots
		"/seat-search/a%00b",
		"/seat-search/a%0d%0aX-Priority-Class:%20confirm-booking",
		"/seat-search/1#/confirm-booking",
		"/seat%2dsearch/1",
		"/seat%2Dsearch",
		"//seat-search/1",
		"/seat-search/1?a=\\",
	} {
		r := readRequest(t, "GET "+target+" HTTP/1.1", id)
		if req, bad := testChecker().Check(r, false); bad == nil || bad.Status != http.StatusBadRequest {
			t.Errorf("%s: classified as %+v, rejection %+v; want status 400", target, req.Class, bad)
		}
	}
	for _, target := range []string{"/seat-search", "/seat-search/", "/seat-search/a.b", "/seat-search/...",
		"/seat-search/a%20b", "/seat-search/100%25", "/seat-search/z%C3%BCg?x=%2F..%2f&y=a/../b", "/seat-search/a;b=1",
		"/seat-search//1"} {
		r := readRequest(t, "GET "+target+" HTTP/1.1", id)
		if req, bad := testChecker().Check(r, false); bad != nil || req.Class.Name != "seat-search" || req.Target != target {
			t.Errorf("%s: got request %+v, rejection %+v; want class seat-search and an unchanged target", target, req, bad)
		}
	}
}

// Guards against headers that an upstream may read in another way than the Checker does: a header that is given twice, as
// a list, or in a spelling that some servers treat as the same name; headers that make a server use another method or
// path; and a Connection header that removes the idempotency key on the way, so that upstreams cannot drop repeated
// requests. The first case was an actual fault.
func TestHeadersThatReadInTwoWays(t *testing.T) {
	get, post := "GET /seat-search/1 HTTP/1.1", "POST /confirm-booking/1 HTTP/1.1"
	keyed := "POST /payment-record/1 HTTP/1.1"
	for name, lines := range map[string][]string{
		"two classes":               {get, id, "X-Priority-Class: seat-search", "X-Priority-Class: confirm-booking"},
		"the same class twice":      {get, id, "X-Priority-Class: seat-search", "X-Priority-Class: seat-search"},
		"a list of classes":         {get, id, "X-Priority-Class: seat-search, confirm-booking"},
		"class by underscore":       {get, id, "X_Priority_Class: confirm-booking"},
		"id by underscore":          {get, id, "X-Request_ID: 2"},
		"key by underscore":         {post, id, "Idempotency_Key: 2"},
		"length by underscore":      {post, id, "Content_Length: 5"},
		"two ids":                   {get, id, "x-request-id: 1"},
		"empty id":                  {get, "X-Request-ID:"},
		"two keys":                  {keyed, id, "Idempotency-Key: a", "Idempotency-Key: b"},
		"a list of keys":            {keyed, id, "Idempotency-Key: a, b"},
		"empty and a key":           {keyed, id, "Idempotency-Key:", "Idempotency-Key: b"},
		"empty key":                 {keyed, id, "Idempotency-Key:"},
		"half a quoted key":         {keyed, id, `Idempotency-Key: "a`},
		"two quoted keys":           {keyed, id, `Idempotency-Key: "a", "b"`},
		"empty key, not idempotent": {post, id, "Idempotency-Key:"},
		"two time-outs":             {get, id, "X-Timeout: 1m", "X-Timeout: 1000m"},
		"a list of time-outs":       {get, id, "X-Timeout: 1m, 1000m"},
		"two tenants":               {get, id, "X-Tenant-Id: a", "X-Tenant-Id: b"},
		"two costs":                 {get, id, "X-Cost: 1", "X-Cost: 2"},
		"method override":           {get, id, "X-HTTP-Method-Override: POST"},
		"override, underscore":      {get, id, "X_HTTP_Method_Override: POST"},
		"another path":              {get, id, "X-Original-URL: /confirm-booking/1"},
		"key removed":               {keyed, id, "Idempotency-Key: a", "Connection: idempotency-key"},
		"id removed":                {post, id, "Connection: close, X-Request-ID"},
		"precondition":              {post, id, "If-Match: \"1\""},
	} {
		if req, bad := testChecker().Check(readRequest(t, lines...), false); bad == nil || bad.Status != http.StatusBadRequest {
			t.Errorf("%s: got request %+v, rejection %+v; want status 400", name, req, bad)
		}
	}
}

// Guards against clients that cause upstreams to be ejected: headers that ask for a partial or conditional response, whose
// status is not 200, are not forwarded.
func TestPartialAnswersAreNotAskedFor(t *testing.T) {
	req, bad := testChecker().Check(readRequest(t, "GET /seat-search/1 HTTP/1.1", id, "Range: bytes=0-1", "If-None-Match: *",
		"If-Modified-Since: x", "Accept: text/plain", "X-Timeout: 250m"), false)
	if bad != nil || len(req.Header) != 2 || req.Header.Get("Accept") == "" || req.Timeout != 250*time.Millisecond {
		t.Errorf("got request %+v, rejection %+v; want only the Accept header and a time-out of 250 ms", req, bad)
	}
}

// Guards against wrong values in the Request that the balancer and the upstreams get for a valid request.
func TestTaken(t *testing.T) {
	req, bad := testChecker().Check(readRequest(t, "POST /payment-record/7f3a HTTP/1.1", "X-Request-ID: 9b1f", "X-Tenant-Id: acme",
		`Idempotency-Key: "5c0f, 6e"`, "X-Timeout: 90000m", "X-Cost: 1500.5", "Connection: close, X-Hop", "X-Hop: 1",
		"Content-Length: 0"), false)
	if bad != nil {
		t.Fatalf("a valid request is rejected: %+v", bad)
	}
	if req.ID != "9b1f" || req.Class.Name != "payment-record" || req.Tenant != "acme" || req.IdempotencyKey != `"5c0f, 6e"` ||
		req.Class.Idempotency != balancer.IdempotentWithKey || req.Timeout != 4*time.Second || req.CostHint != 1500500 || req.Method != "POST" ||
		req.Host != "s" || req.Header.Get("X-Hop") != "" || req.Header.Get(httpheader.Timeout) != "" ||
		req.Header.Get(httpheader.IdempotencyKey) == "" {
		t.Errorf("Check returned a request with a wrong field: %+v", req)
	}
}

// Guards against a paused listener that accepts a connection or closes open ones, and against a listener that accepts no
// connections after its pause.
func TestPausedConnsLeaveTheQueueAlone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := NewConnections(l, 2, nil)
	defer c.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := c.Accept()
			if err != nil {
				return
			}
			c.State(conn, http.StateNew)
			c.State(conn, http.StateIdle)
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	defer dial().Close()
	<-accepted
	c.Pause(true)
	defer dial().Close() // accepted by the call of Accept that is waiting already
	<-accepted
	third := dial()
	defer third.Close()
	select {
	case <-accepted:
		t.Error("a paused listener accepts a third connection")
	case <-time.After(50 * time.Millisecond):
	}
	if n := c.Count(); n != 2 {
		t.Errorf("%d connections are open, want 2", n)
	}
	c.Pause(false) // the limit is two: the connection that is needed least is evicted
	base.Eventually(t, "one connection is evicted", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for conn, info := range c.conns {
			if info.closing {
				go c.State(conn, http.StateClosed)
				return true
			}
		}
		return false
	})
	<-accepted
}
