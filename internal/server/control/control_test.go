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

func startServer(t *testing.T, answer Handler) (*Server, string) {
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

func answerYes(Call) Answer { return Answer{Status: http.StatusOK, Body: "yes"} }

func readStatus(t *testing.T, c net.Conn) int {
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

// Parses each prefix of valid calls. Guards against calls that are accepted before they are complete, and against valid calls that are
// rejected or never complete.
func TestReadOfEveryBeginning(t *testing.T) {
	for name, text := range map[string]string{
		"plain":    get,
		"a body":   "POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":   "POST /drain HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.0": "GET /ready HTTP/1.0\r\n\r\n",
		"bare LFs": "GET /ready HTTP/1.1\nHost: s\n\n",
		"a query":  "GET /ready?a=b HTTP/1.1\r\nHost: s\r\n\r\n",
	} {
		for n := range text {
			if _, p, bad := ParseCall([]byte(text[:n])); p != Incomplete {
				t.Errorf("%s, prefix %q: state %v, answer %+v; want Incomplete", name, text[:n], p, bad)
			}
		}
		call, p, bad := ParseCall([]byte(text))
		if p != Complete || call.Path != "/ready" && call.Path != "/drain" {
			t.Errorf("%s: state %v, call %+v, answer %+v; want a complete call", name, p, call, bad)
		}
		if _, p, _ := ParseCall([]byte(text + "and more")); p != Complete {
			t.Errorf("%s, followed by more bytes: state %v, want Complete", name, p)
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
			t.Errorf("%.60q: state %v, status %d; want Invalid and status %d", text, p, bad.Status, want)
		}
	}
}

// Guards against an answer that waits for other callers that hold a connection and send nothing, half a call, or single bytes at intervals.
// Each such connection has to time out, and the number of descriptors has to stay bounded.
func TestAnswersBesideHundredsOfHolders(t *testing.T) {
	_, address := startServer(t, answerYes)
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
			if got := readStatus(t, own); got != 200 {
				t.Errorf("a call beside open connections got status %d, want 200", got)
			}
			if took := time.Since(begun); took > time.Second {
				t.Errorf("with %d incomplete calls open an answer took %v, want at most 1 s", i, took)
			}
		}
	}
}

// Guards against a number of waiting connections that grows with the callers: at most MaxWaiting connections wait, and one more closes the
// connection that has waited longest.
func TestTheOldestGivesWay(t *testing.T) {
	s, address := startServer(t, answerYes)
	oldest := base.Dial(t, address)
	countWaiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waiting)
	}
	base.Eventually(t, "the first connection waits", func() bool { return countWaiting() == 1 })
	for range 3 * MaxWaiting {
		base.Dial(t, address)
		if n := countWaiting(); n > MaxWaiting {
			t.Fatalf("%d connections wait, more than MaxWaiting", n)
		}
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the connection that has waited longest got bytes, want it closed")
	}
	base.Eventually(t, "MaxWaiting connections wait", func() bool { return countWaiting() == MaxWaiting })
}

// Guards against calls that are lost because they arrive in pieces, and answers that are lost to a reset because not all bytes were read.
func TestPiecesAndExcess(t *testing.T) {
	var calls atomic.Int64
	_, address := startServer(t, func(c Call) Answer {
		calls.Add(1)
		return Answer{Status: http.StatusOK, Body: c.Method + " " + c.Path}
	})
	slow := base.Dial(t, address)
	for _, b := range []byte("POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n\r\nab") {
		if _, err := slow.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	if got := readStatus(t, slow); got != 200 {
		t.Errorf("a call in pieces got status %d, want 200", got)
	}
	large := base.Dial(t, address)
	go func() { _, _ = large.Write(bytes.Repeat([]byte("x"), 1<<20)) }()
	if got := readStatus(t, large); got != 431 && got != 400 {
		t.Errorf("a megabyte of bytes got status %d, want 431 or 400", got)
	}
	half := base.Dial(t, address)
	_, _ = io.WriteString(half, "GET /ready HTTP/1.1\r\n")
	_ = half.(*net.TCPConn).CloseWrite()
	if got := readStatus(t, half); got != 400 {
		t.Errorf("half a call got status %d, want 400", got)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("the handler got %d calls, want 1", n)
	}
}

// Checks that the answer to HEAD states the length of the body and has no body.
func TestHead(t *testing.T) {
	_, address := startServer(t, answerYes)
	c := base.Dial(t, address)
	_, _ = io.WriteString(c, "HEAD /ready HTTP/1.1\r\nHost: s\r\n\r\n")
	all, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(all), "Content-Length: 4\r\n") || !strings.HasSuffix(string(all), "\r\n\r\n") {
		t.Errorf("the answer to HEAD is %q, error %v; want Content-Length 4 and no body", all, err)
	}
}

// FuzzRead checks that no bytes make ParseCall panic, and that its result for a prefix is final: a complete call stays complete and an
// invalid one stays invalid, whatever bytes follow.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{get, "POST /drain HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\nhello",
		"POST /x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "\r\n\r\n", "GET", "\x00"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		if cut < 0 || cut > len(b) {
			return
		}
		prefixCall, prefixState, bad := ParseCall(b[:cut])
		fullCall, fullState, _ := ParseCall(b)
		switch {
		case prefixState == Complete && (fullState != Complete || fullCall != prefixCall):
			t.Errorf("%q is a complete call, but followed by more bytes it has state %v or is another call", b[:cut], fullState)
		case prefixState == Invalid && fullState != Invalid:
			t.Errorf("%q is invalid (status %d), but followed by more bytes it has state %v", b[:cut], bad.Status, fullState)
		case prefixState == Invalid && (bad.Status < 400 || bad.Status > 505 || bad.Body == ""):
			t.Errorf("%q gets the answer %+v, which has no error status or no body", b[:cut], bad)
		}
		if fullState == Invalid {
			resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(bad.appendTo(nil, ""))), nil)
			if prefixState == Invalid && (err != nil || resp.StatusCode != bad.Status) {
				t.Errorf("the answer cannot be parsed or has another status: %v", err)
			}
		}
	})
}
