package daemon

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// pausingListener accepts connections on which a test can pause the server after it has read bytes from the socket and before it processes
// them. A watched connection also reports when the server has begun to close it.
type pausingListener struct {
	net.Listener
	pauseNextRead atomic.Bool   // the next read that returns bytes is paused before it returns
	paused        chan struct{} // receives a value once the paused read has its bytes
	resume        chan struct{} // the test closes this channel, and the paused read returns
	watchNext     atomic.Bool   // the next accepted connection is watched
	closing       chan struct{} // closed once the server has closed the watched connection, or its write side
	once          sync.Once
}

func newPausingListener(t *testing.T) *pausingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &pausingListener{Listener: l, paused: make(chan struct{}, 1), resume: make(chan struct{}), closing: make(chan struct{})}
}

func (l *pausingListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

func (l *pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{c.(*net.TCPConn), l, l.watchNext.CompareAndSwap(true, false)}, nil
}

type pausingConn struct {
	*net.TCPConn
	l       *pausingListener
	watched bool
}

func (c *pausingConn) reportClosing() {
	if c.watched {
		c.l.once.Do(func() { close(c.l.closing) })
	}
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.l.pauseNextRead.CompareAndSwap(true, false) {
		c.l.paused <- struct{}{}
		<-c.l.resume
	}
	return n, err
}

func (c *pausingConn) CloseWrite() error {
	defer c.reportClosing()
	return c.TCPConn.CloseWrite()
}

func (c *pausingConn) Close() error {
	defer c.reportClosing()
	return c.TCPConn.Close()
}

// clientConn is the client's end of one connection.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, address string, control func(fd uintptr)) *clientConn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		if control == nil {
			return nil
		}
		return raw.Control(control)
	}}
	c, err := d.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testutil.Timeout))
	return &clientConn{c, bufio.NewReader(c)}
}

func (c *clientConn) send(t *testing.T, class, body string) {
	t.Helper()
	if err := testutil.Request(t, c.RemoteAddr().String(), class, body).Write(c); err != nil {
		t.Fatal(err)
	}
}

// answer reads the next answer and its body.
func (c *clientConn) answer() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against a request that runs although its client cannot get the answer: at a shutdown, the server reads the request at the moment
// at which it closes the idle connection. The request is not forwarded. Its client sees only the end of the connection, and can retry
// elsewhere.
func TestReadAsItsConnectionIsShut(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	l := newPausingListener(t)
	r := startOn(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), l, nil)
	r.ready(t)
	r.client.CloseIdleConnections()
	l.watchNext.Store(true)
	c := dial(t, r.address, nil)
	c.send(t, "confirm", "one")
	if resp, _, err := c.answer(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("first request: got %v and error %v, want 200", resp, err)
	}
	l.pauseNextRead.Store(true)
	c.send(t, "confirm", "two")
	<-l.paused // the request has been read from the socket, but not passed to the server yet
	r.stop()
	<-l.closing
	close(l.resume)
	if resp, _, err := c.answer(); err == nil {
		t.Errorf("second request: got %s on a connection that the server had closed, want no answer", resp.Status)
	}
	c.Close()
	<-r.ended
	if got := s.Requests(); len(got) != 1 {
		t.Errorf("%d requests were forwarded, want only the one whose answer could be delivered", len(got))
	}
}

// Guards against a request that is cut off at a shutdown although its first bytes arrived before the server closed idle connections.
func TestBegunBeforeItsConnectionIsShut(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("whole")))
	l := newPausingListener(t)
	r := startOn(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), l, nil)
	r.ready(t)
	r.client.CloseIdleConnections()
	c, other := dial(t, r.address, nil), dial(t, r.address, nil)
	for _, c := range []*clientConn{other, c} {
		c.send(t, "search", "")
		if resp, _, err := c.answer(); err != nil || resp.Close {
			t.Fatalf("first request: got %v and error %v, want an answer that keeps the connection open", resp, err)
		}
	}
	var text strings.Builder
	_ = testutil.Request(t, r.address, "confirm", "").Write(&text)
	l.pauseNextRead.Store(true)
	if _, err := io.WriteString(c, text.String()[:20]); err != nil {
		t.Fatal(err)
	}
	<-l.paused
	close(l.resume)
	r.stop()
	if _, err := other.in.ReadByte(); !errors.Is(err, io.EOF) { // the server is closing idle connections
		t.Fatalf("reading from an idle connection at a shutdown: got error %v, want EOF", err)
	}
	if _, err := io.WriteString(c, text.String()[20:]); err != nil {
		t.Fatal(err)
	}
	resp, body, err := c.answer()
	if err != nil || resp.StatusCode != 200 || body != "whole" || !resp.Close {
		t.Errorf("request begun before the shutdown: got %v with body %q and error %v, want 200 and Connection: close", resp, body, err)
	}
	<-r.ended
}

// Guards against an answer that is lost because the connection is reset: after the request, further bytes arrive that the server does not
// read. Closing a connection with unread bytes resets it, so that the client cannot read the rest of the answer.
func TestLastAnswerOverUnreadBytes(t *testing.T) {
	release := make(chan struct{})
	body := strings.Repeat("answer ", 40<<10)
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if strings.HasPrefix(g.Target, "/confirm") {
			<-release
		}
		return fakes.Says(fakes.OK200(body))(c, g)
	})
	l := newPausingListener(t)
	r := startOn(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), l, nil)
	r.ready(t)
	r.client.CloseIdleConnections()
	l.watchNext.Store(true)
	c := dial(t, r.address, func(fd uintptr) { // a small receive buffer, so that most of the answer is not delivered before the client reads
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	c.send(t, "confirm", "")
	testutil.Eventually(t, "request at the upstream", func() bool { return len(s.Requests()) == 1 })
	c.send(t, "confirm", strings.Repeat("behind ", 10<<10))
	r.stop()
	testutil.Eventually(t, "answers close their connections", func() bool {
		resp, err := r.client.Do(testutil.Request(t, r.address, "nothing", ""))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.Close
	})
	r.client.CloseIdleConnections()
	close(release)
	<-l.closing
	resp, got, err := c.answer()
	if err != nil || resp.StatusCode != 200 || got != body || !resp.Close {
		t.Errorf("last answer on the connection: got %d of %d bytes and error %v, want the complete answer with 200 and Connection: close", len(got), len(body), err)
	}
	c.Close()
	<-r.ended
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d requests were forwarded, want 1", n)
	}
}
