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

// read parses a request as the server does.
func read(t testing.TB, lines ...string) *http.Request {
	t.Helper()
	text := strings.Join(lines, "\r\n") + "\r\nHost: s\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return r
}

const id = "X-Request-ID: 1"

// Guards against a class that is not the one that an upstream reads. The first two were found by probing: both were
// taken as the safe class and passed on as written.
func TestTargetsThatReadInTwoWays(t *testing.T) {
	for _, target := range []string{
		"/seat-search/../confirm-booking/1",
		"/seat%2dsearch%2f..%2f..%2fconfirm-booking/1",
		"/seat-search/./1",
		"/seat-search/1/..",
		"/seat-search/%2e%2e/confirm-booking/1",
		"/seat-search/.%2E/confirm-booking/1",
		"/seat-search/%252e%252e/confirm-booking/1", // for two decodings
		"/seat-search/..;x=1/confirm-booking/1",     // path parameters come off first in some servers
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
		r := read(t, "GET "+target+" HTTP/1.1", id)
		if req, bad := testChecker().Check(r, false); bad == nil || bad.Status != http.StatusBadRequest {
			t.Errorf("%s: taken as %+v, %+v", target, req.Class, bad)
		}
	}
	for _, target := range []string{"/seat-search", "/seat-search/", "/seat-search/a.b", "/seat-search/...",
		"/seat-search/a%20b", "/seat-search/100%25", "/seat-search/z%C3%BCg?x=%2F..%2f&y=a/../b", "/seat-search/a;b=1",
		"/seat-search//1"} {
		r := read(t, "GET "+target+" HTTP/1.1", id)
		if req, bad := testChecker().Check(r, false); bad != nil || req.Class.Name != "seat-search" || req.Target != target {
			t.Errorf("%s: %+v, %+v", target, req, bad)
		}
	}
}

// Guards against the same by headers: what stands there twice, in a list or under a spelling that some servers take for
// it; headers that make a server read another method or path; and a Connection header that takes the key off on
// the way, so that upstreams can't drop repeats. The first was found by probing.
func TestHeadersThatReadInTwoWays(t *testing.T) {
	get, post := "GET /seat-search/1 HTTP/1.1", "POST /confirm-booking/1 HTTP/1.1"
	keyed := "POST /payment-record/1 HTTP/1.1"
	for name, lines := range map[string][]string{
		"two classes":          {get, id, "X-Priority-Class: seat-search", "X-Priority-Class: confirm-booking"},
		"the same class twice": {get, id, "X-Priority-Class: seat-search", "X-Priority-Class: seat-search"},
		"a list of classes":    {get, id, "X-Priority-Class: seat-search, confirm-booking"},
		"class by underscore":  {get, id, "X_Priority_Class: confirm-booking"},
		"id by underscore":     {get, id, "X-Request_ID: 2"},
		"key by underscore":    {post, id, "Idempotency_Key: 2"},
		"length by underscore": {post, id, "Content_Length: 5"},
		"two ids":              {get, id, "x-request-id: 1"},
		"empty id":             {get, "X-Request-ID:"},
		"two keys":             {keyed, id, "Idempotency-Key: a", "Idempotency-Key: b"},
		"a list of keys":       {keyed, id, "Idempotency-Key: a, b"},
		"empty and a key":      {keyed, id, "Idempotency-Key:", "Idempotency-Key: b"},
		"empty key":            {keyed, id, "Idempotency-Key:"},
		"half a quoted key":    {keyed, id, `Idempotency-Key: "a`},
		"two quoted keys":      {keyed, id, `Idempotency-Key: "a", "b"`},
		"empty key, unsafe":    {post, id, "Idempotency-Key:"},
		"two time-outs":        {get, id, "X-Timeout: 1m", "X-Timeout: 1000m"},
		"a list of time-outs":  {get, id, "X-Timeout: 1m, 1000m"},
		"two tenants":          {get, id, "X-Tenant-Id: a", "X-Tenant-Id: b"},
		"two costs":            {get, id, "X-Cost: 1", "X-Cost: 2"},
		"method override":      {get, id, "X-HTTP-Method-Override: POST"},
		"override, underscore": {get, id, "X_HTTP_Method_Override: POST"},
		"another path":         {get, id, "X-Original-URL: /confirm-booking/1"},
		"key taken off":        {keyed, id, "Idempotency-Key: a", "Connection: idempotency-key"},
		"id taken off":         {post, id, "Connection: close, X-Request-ID"},
		"precondition":         {post, id, "If-Match: \"1\""},
	} {
		if req, bad := testChecker().Check(read(t, lines...), false); bad == nil || bad.Status != http.StatusBadRequest {
			t.Errorf("%s: %+v, %+v", name, req, bad)
		}
	}
}

// Guards against clients that have upstreams ejected: what asks for less than the whole answer does not go on.
func TestPartialAnswersAreNotAskedFor(t *testing.T) {
	req, bad := testChecker().Check(read(t, "GET /seat-search/1 HTTP/1.1", id, "Range: bytes=0-1", "If-None-Match: *",
		"If-Modified-Since: x", "Accept: text/plain", "X-Timeout: 250m"), false)
	if bad != nil || len(req.Header) != 2 || req.Header.Get("Accept") == "" || req.Timeout != 250*time.Millisecond {
		t.Errorf("%+v, %+v", req, bad)
	}
}

// Guards against what the module and upstreams are told wrongly of a good request.
func TestTaken(t *testing.T) {
	req, bad := testChecker().Check(read(t, "POST /payment-record/7f3a HTTP/1.1", "X-Request-ID: 9b1f", "X-Tenant-Id: acme",
		`Idempotency-Key: "5c0f, 6e"`, "X-Timeout: 90000m", "X-Cost: 1500.5", "Connection: close, X-Hop", "X-Hop: 1",
		"Content-Length: 0"), false)
	if bad != nil {
		t.Fatalf("%+v", bad)
	}
	if req.ID != "9b1f" || req.Class.Name != "payment-record" || req.Tenant != "acme" || req.IdempotencyKey != `"5c0f, 6e"` ||
		req.Class.Idempotency != balancer.IdempotentWithKey || req.Timeout != 4*time.Second || req.CostHint != 1500500 || req.Method != "POST" ||
		req.Host != "s" || req.Header.Get("X-Hop") != "" || req.Header.Get(httpheader.Timeout) != "" ||
		req.Header.Get(httpheader.IdempotencyKey) == "" {
		t.Errorf("%+v", req)
	}
}

// Guards against a paused listener that takes a connection, or closes those that there are, and against one that stays paused.
func TestPausedConnsLeaveTheQueueAlone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := NewConnections(l, 2, nil)
	defer c.Close()
	took := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := c.Accept()
			if err != nil {
				return
			}
			c.State(conn, http.StateNew)
			c.State(conn, http.StateIdle)
			took <- conn
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
	<-took
	c.Pause(true)
	defer dial().Close() // the Accept that waits already takes this one
	<-took
	third := dial()
	defer third.Close()
	select {
	case <-took:
		t.Error("a paused one takes a third")
	case <-time.After(50 * time.Millisecond):
	}
	if n := c.Count(); n != 2 {
		t.Errorf("%d are open", n)
	}
	c.Pause(false) // there is room for two: the one that is needed least gives way
	base.Eventually(t, "one gives way", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for conn, is := range c.conns {
			if is.closing {
				go c.State(conn, http.StateClosed)
				return true
			}
		}
		return false
	})
	<-took
}
