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

// small is a configuration whose memory holds few bodies.
func small(t *testing.T, entries ...string) *config.Config {
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

// pattern is n bytes that differ from place to place.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>9)
	}
	return b
}

// Bodies of every size and framing reach the upstream as they were, and are answered. Guards against bodies that are cut, joined or
// turned down, those that are kept whole and those that go on as they come.
func TestBodiesOfAnySize(t *testing.T) {
	var got atomic.Pointer[fakes.Got]
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		got.Store(&g)
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	r := start(t, small(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
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
				t.Errorf("%d bytes by %s: %s %q", size, framing, resp.Status, text)
				continue
			}
			if g := got.Load(); g.Body != string(body) {
				t.Errorf("%d bytes by %s: the upstream got %d", size, framing, len(g.Body))
			}
		}
	}
}

// Guards against slow clients that are cut, and against ones that say nothing and are not: half of 64 kB a second is enough, in
// whatever pieces, and less is not.
func TestSlowBodies(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("a")))
	r := start(t, small(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	const size = 160 << 10
	var clients sync.WaitGroup
	defer clients.Wait()
	for name, c := range map[string]struct {
		piece int
		every time.Duration
		want  int
	}{
		"64 kB a second": {3277, 50 * time.Millisecond, 200}, "in drops": {328, 5 * time.Millisecond, 200}, "nothing": {0, time.Second, 408},
		"a byte now and then": {1, 100 * time.Millisecond, 408},
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
				t.Errorf("%s: %v", name, err)
				return
			}
			if resp.StatusCode != c.want {
				t.Errorf("%s: %s, want %d", name, resp.Status, c.want)
			}
		})
	}
}

// Guards against a process that falls over the memory that many large bodies and answers take at once: they go through it in pieces,
// no faster than the slower side takes them.
func TestManyLargeOnesAtOnce(t *testing.T) {
	const size, clients = 8 << 20, 12
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	part := make([]byte, 64<<10)
	echo := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != size {
			w.WriteHeader(500)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for range size / len(part) {
			_, _ = w.Write(part)
		}
	})}
	go echo.Serve(l)
	defer echo.Close()
	r := start(t, small(t, testutil.Entry("s", l.Addr().String(), "Ready")), "127.0.0.1:0")
	var most atomic.Uint64 // bytes of live and not yet collected heap, the clients' and the upstream's included
	stop := make(chan struct{})
	var looking sync.WaitGroup
	looking.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				most.Store(max(most.Load(), m.HeapAlloc))
			}
		}
	})
	defer func() {
		close(stop)
		looking.Wait()
		if n := most.Load(); n > clients*size/2 { // both ways at once it is twice clients*size
			t.Errorf("%d MB of heap", n>>20)
		}
	}()
	var all sync.WaitGroup
	for range clients {
		req := testutil.Request(t, r.address, "confirm", "")
		req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), size
		all.Go(func() {
			resp, err := r.client.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size || resp.StatusCode != 200 {
				t.Errorf("%s, %d bytes, %v", resp.Status, n, err)
			}
		})
	}
	all.Wait()
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// Guards against a body that is sent again though it can't be had whole: one that went on as it came is sent once, and what is known of
// it decides between a refusal and a failure.
func TestAStreamedBodyIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(net.Conn, *bufio.Reader) // with the head read
		want   int
	}{
		"turned away at its beginning": {func(c net.Conn, in *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, in, 2*alwaysBufferedBytes)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
		}, 503},
		"broken off in the middle": {func(c net.Conn, in *bufio.Reader) { _, _ = io.CopyN(io.Discard, in, 2<<20) }, 503},
		"broken off behind it":     {func(c net.Conn, in *bufio.Reader) { _, _ = io.CopyN(io.Discard, in, 8<<20) }, 502},
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
			r := start(t, small(t, testutil.Entry("s", l.Addr().String(), "Ready")), "127.0.0.1:0")
			req := testutil.Request(t, r.address, "confirm", "")
			req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, 8<<20)), 8<<20
			resp, err := r.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != c.want {
				t.Errorf("answered %s, want %d", resp.Status, c.want)
			}
			if n := heads.Load(); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// Guards against an early answer that ends the client's sending for good: a body of which nothing was passed on yet is sent again, and
// what comes of it later still comes. Breaking off the read made the second attempt look like a client that had left (400), or
// cancelled the request (502).
func TestTurnedAwayBeforeTheRestCame(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			const rest = 2 << 20
			first := alwaysBufferedBytes // what is taken before an upstream is chosen
			if framing == "chunks" {
				first = 1 << 20
			}
			var n atomic.Int32
			again := make(chan struct{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			up := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if n.Add(1) == 1 {
					w.Header().Set("X-Not-Processed", "1")
					w.Header().Set("Connection", "close")
					w.WriteHeader(503)
					return
				}
				close(again)
				if size, err := io.Copy(io.Discard, r.Body); err != nil || size != int64(first+rest) {
					t.Errorf("the upstream got %d bytes, %v", size, err)
				}
			})}
			go up.Serve(l)
			defer up.Close()
			r := start(t, small(t, testutil.Entry("s", l.Addr().String(), "Ready")), "127.0.0.1:0")
			conn, in := dialRaw(t, r.address)
			defer conn.Close()
			framed := fmt.Sprintf("Content-Length: %d", first+rest)
			piece := func(b []byte) { _, _ = conn.Write(b) }
			if framing == "chunks" {
				framed = "Transfer-Encoding: chunked"
				piece = func(b []byte) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(b), b) }
			}
			fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: again\r\nX-Timeout: 9000m\r\n%s\r\n\r\n", framed)
			piece(pattern(first))
			select {
			case <-again:
			case <-time.After(testutil.Timeout):
				t.Fatalf("sent %d times", n.Load())
			}
			piece(pattern(rest))
			if framing == "chunks" {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 {
				t.Errorf("%+v, %v", resp, err)
			}
		})
	}
}

// A body that was kept whole is sent again, where its class allows that.
func TestAKeptBodyIsSentAgain(t *testing.T) {
	body := string(pattern(200 << 10))
	var n atomic.Int32
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if g.Body != body {
			t.Errorf("the upstream got %d bytes", len(g.Body))
		}
		if n.Add(1) == 1 {
			return fakes.Says("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")(c, g)
		}
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	r := start(t, small(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	if resp, _ := r.do(t, testutil.Request(t, r.address, "confirm", body)); resp.StatusCode != 200 || n.Load() != 2 {
		t.Errorf("%s after %d sends", resp.Status, n.Load())
	}
}

// Guards against a request that hides in the body of one that is framed twice: neither is passed on.
func TestFramedTwiceIsRefused(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("a")))
	r := start(t, small(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	hidden := "POST /confirm/2 HTTP/1.1\r\nHost: s\r\nX-Request-ID: hidden\r\nContent-Length: 0\r\n\r\n"
	conn, in := dialRaw(t, r.address)
	fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: shown\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
		len(hidden)+5, hidden)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusLengthRequired || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if _, err := http.ReadResponse(in, nil); err == nil {
		t.Error("the hidden one is answered")
	}
	if n := len(s.Requests()); n != 0 {
		t.Errorf("%d of them reached the upstream", n)
	}
}

// A long answer that breaks off is cut before its client's eyes, and counts as failed.
func TestALongAnswerThatBreaksIsCut(t *testing.T) {
	s := testutil.Raw(t, func(c net.Conn, _ fakes.Got) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, pattern(400<<10))
		return false
	})
	r, call := startWithControl(t, small(t, testutil.Entry("s", s.Address, "Ready")))
	resp, err := r.client.Do(testutil.Request(t, r.address, "confirm", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil || !bytes.HasPrefix(pattern(400<<10), body) {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	testutil.Eventually(t, "it has failed", func() bool { return readMetrics(t, call)["downstream_requests.confirm.failed"] == 1 })
}

// Guards against clients that wait for leave to send their body, for ever.
func TestExpectContinue(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("a")))
	r := start(t, small(t, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	conn, in := dialRaw(t, r.address)
	_, _ = io.WriteString(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: e\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("%+v, %v", resp, err)
	}
	_, _ = io.WriteString(conn, "ab")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("%+v, %v", resp, err)
	}
	if got := s.Requests(); len(got) != 1 || got[0].Body != "ab" || got[0].Header.Get("Expect") != "" {
		t.Errorf("%+v", got)
	}
}

// Guards against a request that runs and is taken for one that was never sent, so that a reload that ends its route decides it anew: an attempt
// counts from before its first byte until it is proved not to have run, and not only once it has ended.
func TestAttemptsCountFromBeforeTheyBegin(t *testing.T) {
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		<-release
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	pool := upstream.New(upstream.Options{ConnectTimeout: testutil.Timeout, IdleTimeout: time.Minute, MaxConnections: 2, MaxAnswerBytes: 1 << 20})
	dir := endpoints.New(clock.New(), pool.CloseUpstream)
	pool.SetRegistry(dir)
	dir.Apply(testutil.EndpointList(t, 1, true, testutil.Entry("s", s.Address, "Ready"), testutil.Entry("nobody", base.FreeAddress(t), "Ready")))
	defer pool.CloseUpstream("s")
	x := &transport{pool: pool, request: upstream.NewRequest("POST", "/confirm/1", "s", nil, []byte("a"))}
	over := make(chan balancer.Result, 1)
	go func() { over <- x.attempt(t.Context(), engine.Attempt{Upstream: "s"}).Result }()
	testutil.Eventually(t, "the upstream has it", func() bool { return len(s.Requests()) == 1 })
	if n := x.started.Load(); n != 1 {
		t.Errorf("%d attempts count while one is out", n)
	}
	if r := x.attempt(t.Context(), engine.Attempt{Upstream: "nobody"}).Result; r != balancer.ConnectFailed || x.started.Load() != 1 {
		t.Errorf("result %d, %d count after one that was not sent", r, x.started.Load())
	}
	close(release)
	if r := <-over; r != balancer.OK || x.started.Load() != 1 {
		t.Errorf("result %d, %d count at the end", r, x.started.Load())
	}
}
