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

// failingListener fails each accept with one error while it is to.
type failingListener struct {
	*net.TCPListener
	mu    sync.Mutex
	err   error
	until time.Time
	tries int
}

func (l *failingListener) fail(err error, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err, l.until, l.tries = err, until, 0
}

func (l *failingListener) tried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries
}

func (l *failingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && time.Now().Before(l.until) {
		l.tries++
		c.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return c, err
}

// acceptErrors are those that accept(2) names, but for the ones of a wrong call.
var acceptErrors = []syscall.Errno{syscall.EAGAIN, syscall.ECONNABORTED, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENONET, syscall.ENOPROTOOPT,
	syscall.EOPNOTSUPP, syscall.EPERM, syscall.EPROTO, syscall.ETIMEDOUT}

// Guards against a process that ends, or waits for longer than a deadline, because the system could not hand it one connection: net/http ends
// a server whose accept fails with ENOBUFS, ENOMEM, EPROTO, ENETUNREACH or EHOSTUNREACH ("serving: ..."), and rests for up to 1 s behind EMFILE.
func TestAcceptFails(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("ok")))
	d := testutil.Quiet(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{TCPListener: tcp.(*net.TCPListener)}
	r := startOn(t, testutil.Config(t, d.Address, testutil.Entry("s", s.Address, "Ready")), l, nil)
	for _, errno := range acceptErrors {
		l.fail(errno, time.Now().Add(time.Hour))
		for range 8 { // a series; each connection is lost to its client
			if c, err := net.Dial("tcp", r.address); err == nil {
				c.Close()
			}
		}
		testutil.Eventually(t, "the accepts fail", func() bool { return l.tried() >= 8 })
		l.fail(nil, time.Time{})
		begun := time.Now()
		if resp, body := r.do(t, testutil.Request(t, r.address, "search", "")); resp.StatusCode != 200 || body != "ok" {
			t.Fatalf("behind %v: %s %q", errno, resp.Status, body)
		}
		if took := time.Since(begun); took > 150*time.Millisecond {
			t.Errorf("behind %v: answered after %v", errno, took)
		}
	}
}
