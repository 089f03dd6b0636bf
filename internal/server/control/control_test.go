package control

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, answer Handler) (*Server, string) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", answer, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		s.Run()
		close(done)
	}()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	return s, s.Addr().String()
}

func yes(Call) Answer { return Answer{Status: http.StatusOK, Body: "yes"} }

func status(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

const get = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"

// What is made of the bytes so far, cut anywhere. Guards against calls that are taken before they are whole, and against waiting for
// what can't become one.
func TestReadOfEveryBeginning(t *testing.T) {
	for name, text := range map[string]string{
		"plain":    get,
		"a body":   "POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":   "POST /drain HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: 1\r\n\r\n",
		"old":      "GET /ready HTTP/1.0\r\n\r\n",
		"bare LFs": "GET /ready HTTP/1.1\nHost: s\n\n",
		"a query":  "GET /ready?a=b HTTP/1.1\r\nHost: s\r\n\r\n",
	} {
		for n := range text {
			if _, p, bad := ParseCall([]byte(text[:n])); p != Incomplete {
				t.Errorf("%s, %q: %v %+v", name, text[:n], p, bad)
			}
		}
		call, p, bad := ParseCall([]byte(text))
		if p != Complete || call.Path != "/ready" && call.Path != "/drain" {
			t.Errorf("%s: %v %+v %+v", name, p, call, bad)
		}
		if _, p, _ := ParseCall([]byte(text + "and more")); p != Complete {
			t.Errorf("%s and more: %v", name, p)
		}
	}
}

func TestReadOfWhatIsNoCall(t *testing.T) {
	for text, want := range map[string]int{
		"\x16\x03\x01":                           400,
		"hello\r\n":                              400,
		"GET /ready\r\n":                         400,
		"GET /ready HTTP/1.1 x\n":                400,
		"GET /ready HTTP/1.1\r\nHost s\r\n\r\n":  400,
		"GET /ready HTTP/2.0\r\nHost: s\r\n\r\n": 505,
		"POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: -1\r\n\r\n":                                             400,
		"POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 4097\r\n\r\n":                                           413,
		"POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 99999999999999999999\r\n\r\n":                           400,
		"POST /drain HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                               400,
		"POST /drain HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n" + strings.Repeat("x", 4097): 413,
		"GET /ready HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHead):                                                 431,
		"GET /ready HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHead) + "\r\n\r\n":                                    431,
	} {
		if _, p, bad := ParseCall([]byte(text)); p != Invalid || bad.Status != want {
			t.Errorf("%.60q: %v %d, want %d", text, p, bad.Status, want)
		}
	}
}

// Guards against an answer that waits for callers who hold a connection and say nothing, half a call, or a byte now and then: each is
// timed, and descriptors stay bounded.
func TestAnswersBesideHundredsOfHolders(t *testing.T) {
	_, address := start(t, yes)
	stop := make(chan struct{})
	defer close(stop)
	for i := range 300 {
		c := base.Dial(t, address)
		switch i % 3 {
		case 1:
			_, _ = io.WriteString(c, "GET /rea")
		case 2: // byte by byte
			go func() {
				for _, b := range []byte(get[:len(get)-1]) {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						if _, err := c.Write([]byte{b}); err != nil {
							return
						}
					}
				}
			}()
		}
		if i%10 == 9 {
			begun := time.Now()
			own := base.Dial(t, address)
			_, _ = io.WriteString(own, get)
			if got := status(t, own); got != 200 {
				t.Errorf("answered %d", got)
			}
			if took := time.Since(begun); took > time.Second {
				t.Errorf("beside %d holders: %v", i, took)
			}
		}
	}
}

// Guards against a table that grows with callers: at most Most connections are held, and the one that has waited longest gives way.
func TestTheOldestGivesWay(t *testing.T) {
	s, address := start(t, yes)
	oldest := base.Dial(t, address)
	held := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waiting)
	}
	base.Eventually(t, "the first is held", func() bool { return held() == 1 })
	for range 3 * MaxWaiting {
		base.Dial(t, address)
		if n := held(); n > MaxWaiting {
			t.Fatalf("%d are held", n)
		}
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest was told something")
	}
	base.Eventually(t, "the table is full", func() bool { return held() == MaxWaiting })
}

// Guards against calls that are lost because they come in pieces, and answers that are lost to a reset because not all was read.
func TestPiecesAndExcess(t *testing.T) {
	var calls atomic.Int64
	_, address := start(t, func(c Call) Answer {
		calls.Add(1)
		return Answer{Status: http.StatusOK, Body: c.Method + " " + c.Path}
	})
	slow := base.Dial(t, address)
	for _, b := range []byte("POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n\r\nab") {
		if _, err := slow.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	if got := status(t, slow); got != 200 {
		t.Errorf("in pieces: %d", got)
	}
	large := base.Dial(t, address)
	go func() { _, _ = large.Write(bytes.Repeat([]byte("x"), 1<<20)) }()
	if got := status(t, large); got != 431 && got != 400 {
		t.Errorf("a megabyte: %d", got)
	}
	half := base.Dial(t, address)
	_, _ = io.WriteString(half, "GET /ready HTTP/1.1\r\n")
	_ = half.(*net.TCPConn).CloseWrite()
	if got := status(t, half); got != 400 {
		t.Errorf("half a call: %d", got)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("%d calls", n)
	}
}

// HEAD is told the length of a body that does not come.
func TestHead(t *testing.T) {
	_, address := start(t, yes)
	c := base.Dial(t, address)
	_, _ = io.WriteString(c, "HEAD /ready HTTP/1.1\r\nHost: s\r\n\r\n")
	all, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(all), "Content-Length: 4\r\n") || !strings.HasSuffix(string(all), "\r\n\r\n") {
		t.Errorf("%q, %v", all, err)
	}
}

// FuzzRead: no bytes make it panic, and what it says of a beginning it does not take back: what is whole stays whole, what is bad
// stays bad, whatever follows.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{get, "POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\nhello",
		"POST /x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "\r\n\r\n", "GET", "\x00"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		if cut < 0 || cut > len(b) {
			return
		}
		begun, p, bad := ParseCall(b[:cut])
		whole, q, _ := ParseCall(b)
		switch {
		case p == Complete && (q != Complete || whole != begun):
			t.Errorf("%q is whole and then %v", b[:cut], q)
		case p == Invalid && q != Invalid:
			t.Errorf("%q is bad (%d) and then %v", b[:cut], bad.Status, q)
		case p == Invalid && (bad.Status < 400 || bad.Status > 505 || bad.Body == ""):
			t.Errorf("%q is told %+v", b[:cut], bad)
		}
		if q == Invalid {
			resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(bad.appendTo(nil, ""))), nil)
			if p == Invalid && (err != nil || resp.StatusCode != bad.Status) {
				t.Errorf("the answer can't be read: %v", err)
			}
		}
	})
}
