package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/config"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/upstream"
)

// smallMemoryConfig returns a configuration whose memory limit leaves space for few bodies.
func smallMemoryConfig(t *testing.T, entries ...string) *config.Config {
	t.Helper()
	c := testutil.Config(t, testutil.Quiet(t).Address, entries...)
	c.Limits.MemoryMB = 32
	return c
}

// dialRaw opens a connection to a sidecar.
func dialRaw(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c := base.Dial(t, address)
	return c, bufio.NewReader(c)
}

// pattern returns n bytes whose values depend on their position.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>9)
	}
	return b
}

// Guards against bodies that are truncated, joined or rejected. Bodies of various sizes and of both framings, buffered or streamed, must
// reach the upstream unchanged.
func TestBodiesOfAnySize(t *testing.T) {
	var got atomic.Pointer[fakes.Got]
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		got.Store(&g)
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	r := start(t, smallMemoryConfig(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	for _, size := range []int{0, 1, 4095, 4096, 4097, alwaysBufferedBytes - 1, alwaysBufferedBytes, alwaysBufferedBytes + 1, 300 << 10, 1 << 20, 1<<20 + 1, 5 << 20} {
		for _, framing := range []string{"length", "chunks"} {
			body := pattern(size)
			req := testutil.Request(t, r.address, "confirm", "")
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
			if framing == "chunks" {
				req.ContentLength = -1
			}
			resp, text := r.do(t, req)
			if resp.StatusCode != 200 || text != "a" {
				t.Errorf("a body of %d bytes, framed by %s, got %s with body %q, want 200 a", size, framing, resp.Status, text)
				continue
			}
			if g := got.Load(); g.Body != string(body) {
				t.Errorf("a body of %d bytes, framed by %s, reached the upstream changed, with %d bytes", size, framing, len(g.Body))
			}
		}
	}
}

// Tests the lowest rate at which clients may send. A client that sends 64 kB/s, which is twice minClientRate, is served whatever the size
// of its pieces. A client that sends less than minClientRate gets 408.
func TestSlowBodies(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("a")))
	r := start(t, smallMemoryConfig(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	const size = 160 << 10
	var clients sync.WaitGroup
	defer clients.Wait()
	for name, c := range map[string]struct {
		piece int
		every time.Duration
		want  int
	}{
		"64 kB a second": {3277, 50 * time.Millisecond, 200}, "small pieces": {328, 5 * time.Millisecond, 200}, "nothing": {0, time.Second, 408},
		"ten bytes a second": {1, 100 * time.Millisecond, 408},
	} {
		clients.Go(func() {
			conn, in := dialRaw(t, r.address)
			fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: slow%s\r\nX-Timeout: 9000m\r\nContent-Length: %d\r\n\r\n",
				strings.ReplaceAll(name, " ", ""), size)
			go func() {
				for left := size; left > 0; left -= c.piece {
					if _, err := conn.Write(make([]byte, min(c.piece, left))); err != nil {
						return
					}
					time.Sleep(c.every)
				}
			}()
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Errorf("client that sends %s: no answer: %v", name, err)
				return
			}
			if resp.StatusCode != c.want {
				t.Errorf("client that sends %s: got %s, want %d", name, resp.Status, c.want)
			}
		})
	}
}

// Guards against a process that runs out of memory when many large bodies and answers are in flight. Bodies and answers must be streamed in
// pieces, and no faster than the receiver reads them.
func TestManyLargeOnesAtOnce(t *testing.T) {
	const size, clients = 8 << 20, 12
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 64<<10)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != size {
			w.WriteHeader(500)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for range size / len(chunk) {
			_, _ = w.Write(chunk)
		}
	})}
	go server.Serve(l)
	defer server.Close()
	r := start(t, smallMemoryConfig(t, testutil.Entry("s", l.Addr().String(), "Ready")), "127.0.0.1:0")
	var maxHeap atomic.Uint64 // largest heap in bytes, including garbage, and including the clients and the upstream in this test process
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				maxHeap.Store(max(maxHeap.Load(), m.HeapAlloc))
			}
		}
	})
	defer func() {
		close(stop)
		sampler.Wait()
		if n := maxHeap.Load(); n > clients*size/2 { // buffering requests and answers would take 2*clients*size
			t.Errorf("the heap grew to %d MiB, want at most 48: bodies are not streamed", n>>20)
		}
	}()
	var requests sync.WaitGroup
	for range clients {
		req := testutil.Request(t, r.address, "confirm", "")
		req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), size
		requests.Go(func() {
			resp, err := r.client.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size || resp.StatusCode != 200 {
				t.Errorf("got %s with %d bytes and error %v, want 200 with 8 MiB", resp.Status, n, err)
			}
		})
	}
	requests.Wait()
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// Guards against a retry with an incomplete body: a request whose body is streamed is sent only once. The answer is 503 if the request is
// known not to have run, else 502.
func TestAStreamedBodyIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(net.Conn, *bufio.Reader) // called after the request's head is read
		want   int
	}{
		"rejected after its beginning": {func(c net.Conn, in *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, in, 2*alwaysBufferedBytes)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
		}, 503},
		"connection closed within the body": {func(c net.Conn, in *bufio.Reader) { _, _ = io.CopyN(io.Discard, in, 2<<20) }, 503},
		"connection closed after the body":  {func(c net.Conn, in *bufio.Reader) { _, _ = io.CopyN(io.Discard, in, 8<<20) }, 502},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var heads atomic.Int32
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					in := bufio.NewReader(conn)
					if _, err := http.ReadRequest(in); err == nil {
						heads.Add(1)
						c.answer(conn, in)
					}
					conn.Close()
				}
			}()
			r := start(t, smallMemoryConfig(t, testutil.Entry("s", l.Addr().String(), "Ready")), "127.0.0.1:0")
			req := testutil.Request(t, r.address, "confirm", "")
			req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, 8<<20)), 8<<20
			resp, err := r.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != c.want {
				t.Errorf("streamed request that failed: got %s, want %d", resp.Status, c.want)
			}
			if n := heads.Load(); n != 1 {
				t.Errorf("the request was sent %d times, want 1", n)
			}
		})
	}
}

// Guards against an early rejection that ends the client's upload although the request can be retried. A request that is rejected before
// anything of its body was streamed is sent again, with the part of the body that arrives later. Interrupting the read of that part made
// the second attempt fail as if the client had disconnected (400), or canceled the request (502).
func TestTurnedAwayBeforeTheRestCame(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			const rest = 2 << 20
			first := alwaysBufferedBytes // read before an upstream is chosen
			if framing == "chunks" {
				first = 1 << 20
			}
			var attempts atomic.Int32
			retried := make(chan struct{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					w.Header().Set("X-Not-Processed", "1")
					w.Header().Set("Connection", "close")
					w.WriteHeader(503)
					return
				}
				close(retried)
				if size, err := io.Copy(io.Discard, r.Body); err != nil || size != int64(first+rest) {
					t.Errorf("the second attempt reached the upstream with a body of %d bytes and error %v, want the complete body", size, err)
				}
			})}
			go server.Serve(l)
			defer server.Close()
			r := start(t, smallMemoryConfig(t, testutil.Entry("s", l.Addr().String(), "Ready")), "127.0.0.1:0")
			conn, in := dialRaw(t, r.address)
			defer conn.Close()
			framingHeader := fmt.Sprintf("Content-Length: %d", first+rest)
			writePiece := func(b []byte) { _, _ = conn.Write(b) }
			if framing == "chunks" {
				framingHeader = "Transfer-Encoding: chunked"
				writePiece = func(b []byte) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(b), b) }
			}
			fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: again\r\nX-Timeout: 9000m\r\n%s\r\n\r\n", framingHeader)
			writePiece(pattern(first))
			select {
			case <-retried:
			case <-time.After(testutil.Timeout):
				t.Fatalf("the rejected request was not retried: it was sent %d times, want 2", attempts.Load())
			}
			writePiece(pattern(rest))
			if framing == "chunks" {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 {
				t.Errorf("request that was rejected before its body had arrived: got %+v and error %v, want 200 from its second attempt", resp, err)
			}
		})
	}
}

// Tests that a request whose body is completely buffered is sent again after a rejection, with the same body.
func TestAKeptBodyIsSentAgain(t *testing.T) {
	body := string(pattern(200 << 10))
	var attempts atomic.Int32
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if g.Body != body {
			t.Errorf("the upstream got a changed body, of %d bytes", len(g.Body))
		}
		if attempts.Add(1) == 1 {
			return fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")(c, g)
		}
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	r := start(t, smallMemoryConfig(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	if resp, _ := r.do(t, testutil.Request(t, r.address, "confirm", body)); resp.StatusCode != 200 || attempts.Load() != 2 {
		t.Errorf("request with a buffered body, rejected once: got %s after %d attempts, want 200 after 2", resp.Status, attempts.Load())
	}
}

// Guards against request smuggling: a request has both Content-Length and Transfer-Encoding, and its body hides a second request. Neither
// of the two is forwarded.
func TestFramedTwiceIsRefused(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("a")))
	r := start(t, smallMemoryConfig(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	hidden := "POST /confirm/2 HTTP/1.1\r\nHost: s\r\nX-Request-ID: hidden\r\nContent-Length: 0\r\n\r\n"
	conn, in := dialRaw(t, r.address)
	fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: shown\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
		len(hidden)+5, hidden)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusLengthRequired || !resp.Close {
		t.Errorf("request with two framings: got %+v and error %v, want 411 with Connection: close", resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if _, err := http.ReadResponse(in, nil); err == nil {
		t.Error("the second request, hidden in the body of the first, was answered")
	}
	if n := len(s.Requests()); n != 0 {
		t.Errorf("%d of the two requests reached the upstream, want 0", n)
	}
}

// Tests that, if the upstream connection breaks in the middle of a streamed answer, the sidecar closes the client's connection and counts
// the request as failed.
func TestALongAnswerThatBreaksIsCut(t *testing.T) {
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, pattern(400<<10))
		return false
	})
	r, call := startWithControl(t, smallMemoryConfig(t, testutil.Entry("s", s.Address, "Ready")))
	resp, err := r.client.Do(testutil.Request(t, r.address, "confirm", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil || !bytes.HasPrefix(pattern(400<<10), body) {
		t.Errorf("read of an answer that broke off: got %d bytes and error %v, want the answer's beginning and an error", len(body), err)
	}
	testutil.Eventually(t, "the request counts as failed", func() bool { return readMetrics(t, call)["downstream_requests.confirm.failed"] == 1 })
}

// Guards against a sidecar that does not send 100 Continue to a client that expects it, so that the client waits forever with its body.
func TestExpectContinue(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("a")))
	r := start(t, smallMemoryConfig(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	conn, in := dialRaw(t, r.address)
	_, _ = io.WriteString(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: e\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("before the body: got %+v and error %v, want 100 Continue", resp, err)
	}
	_, _ = io.WriteString(conn, "ab")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("after the body: got %+v and error %v, want 200", resp, err)
	}
	if got := s.Requests(); len(got) != 1 || got[0].Body != "ab" || got[0].Header.Get("Expect") != "" {
		t.Errorf("the upstream got %+v, want one request with the body and without Expect", got)
	}
}

// Guards against a request that is routed again by a reload although an attempt for it is in flight. An attempt counts as started from
// before its first byte is sent, and not only once it has ended. It stops counting only if nothing of it was sent.
func TestAttemptsCountFromBeforeTheyBegin(t *testing.T) {
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		<-release
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	pool := upstream.New(upstream.Options{ConnectTimeout: testutil.Timeout, IdleTimeout: time.Minute, MaxConnections: 2, MaxAnswerBytes: 1 << 20})
	registry := endpoints.New(clock.New(), pool.CloseUpstream)
	pool.SetRegistry(registry)
	registry.Apply(testutil.EndpointList(t, 1, true, testutil.Entry("s", s.Address, "Ready"), testutil.Entry("unreachable", base.FreeAddress(t), "Ready")))
	defer pool.CloseUpstream("s")
	tr := &transport{pool: pool, request: upstream.NewRequest("POST", "/confirm/1", "s", nil, []byte("a"))}
	result := make(chan balancer.Result, 1)
	go func() { result <- tr.attempt(t.Context(), engine.Attempt{Upstream: "s"}).Result }()
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	if n := tr.started.Load(); n != 1 {
		t.Errorf("%d attempts count as started while one is in flight, want 1", n)
	}
	if r := tr.attempt(t.Context(), engine.Attempt{Upstream: "unreachable"}).Result; r != balancer.ConnectFailed || tr.started.Load() != 1 {
		t.Errorf("an attempt without connection has result %d, and %d attempts count as started, want ConnectFailed and 1", r, tr.started.Load())
	}
	close(release)
	if r := <-result; r != balancer.OK || tr.started.Load() != 1 {
		t.Errorf("the answered attempt has result %d, and %d attempts count as started, want OK and 1", r, tr.started.Load())
	}
}
