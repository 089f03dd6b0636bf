package daemon

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// failingListener is a listener whose Accept fails with err until the time in its field until: Accept closes each connection that arrives
// before that time. The method fail sets both fields.
type failingListener struct {
	*net.TCPListener
	mu       sync.Mutex
	err      error
	until    time.Time
	failures int
}

func (l *failingListener) fail(err error, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err, l.until, l.failures = err, until, 0
}

func (l *failingListener) failureCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures
}

func (l *failingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && time.Now().Before(l.until) {
		l.failures++
		c.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return c, err
}

// acceptErrors are the errors that accept(2) documents, except those that only an invalid call returns.
var acceptErrors = []syscall.Errno{syscall.EAGAIN, syscall.ECONNABORTED, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENONET, syscall.ENOPROTOOPT,
	syscall.EOPNOTSUPP, syscall.EPERM, syscall.EPROTO, syscall.ETIMEDOUT}

// Guards against a process that ends, or accepts no connections for longer than a request's deadline, because accept(2) failed: net/http
// alone ends a server on ENOBUFS, ENOMEM, EPROTO, ENETUNREACH or EHOSTUNREACH, and waits for up to 1 s after EMFILE.
func TestAcceptFails(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("ok")))
	discovery := testutil.Quiet(t)
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &failingListener{TCPListener: tcpListener.(*net.TCPListener)}
	r := startOn(t, testutil.Config(t, discovery.Address, testutil.Entry("s", s.Address, "Ready")), listener, nil)
	for _, errno := range acceptErrors {
		listener.fail(errno, time.Now().Add(time.Hour))
		for range 8 { // the listener closes each of these connections
			if c, err := net.Dial("tcp", r.address); err == nil {
				c.Close()
			}
		}
		testutil.Eventually(t, "8 accepts have failed", func() bool { return listener.failureCount() >= 8 })
		listener.fail(nil, time.Time{})
		start := time.Now()
		if resp, body := r.do(t, testutil.Request(t, r.address, "search", "")); resp.StatusCode != 200 || body != "ok" {
			t.Fatalf("request after accept failed with %v: got %s %q, want 200 and body ok", errno, resp.Status, body)
		}
		if took := time.Since(start); took > 150*time.Millisecond {
			t.Errorf("request after accept failed with %v: answered after %v, want at most 150ms", errno, took)
		}
	}
}
