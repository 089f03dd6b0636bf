package upstream

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// failDials has the first n connects of a pool fail with an error, as the system tells it of one call.
func failDials(u *Pool, n int64, call string, errno syscall.Errno) (tried *atomic.Int64) {
	tried = &atomic.Int64{}
	dial := u.dialTCP
	u.dialTCP = func(ctx context.Context, address string) (net.Conn, error) {
		if tried.Add(1) <= n {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
		}
		return dial(ctx, address)
	}
	return tried
}

// Guards against a healthy upstream that is blamed, and ejected after two connects, for what this machine lacks: descriptors, memory, ports.
func TestConnectsThatThisMachineFails(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("ok")))
	for _, c := range []struct {
		call  string
		errno syscall.Errno
	}{
		{"socket", syscall.EMFILE}, {"socket", syscall.ENFILE}, {"socket", syscall.ENOBUFS}, {"socket", syscall.ENOMEM},
		{"connect", syscall.EADDRNOTAVAIL}, {"connect", syscall.EAGAIN}, {"connect", syscall.ENOBUFS},
	} {
		u := testPool(t, 8, testutil.Entry("s", s.Address, "Ready"))
		tried := failDials(u, 3, c.call, c.errno)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		if rep := u.Attempt(ctx, "s", testRequest("GET", ""), time.Time{}); rep.Result != balancer.OK || tried.Load() != 4 {
			t.Errorf("%s, %v: %v after %d tries", c.call, c.errno, rep.Result, tried.Load())
		}
		cancel()

		u = testPool(t, 8, testutil.Entry("s", s.Address, "Ready"))
		tried = failDials(u, 1<<40, c.call, c.errno)
		ctx, cancel = context.WithTimeout(t.Context(), 150*time.Millisecond)
		if rep := u.Attempt(ctx, "s", testRequest("POST", "x"), time.Time{}); rep.Result != balancer.NotSent || tried.Load() > 40 {
			t.Errorf("%s, %v, throughout: %v after %d tries", c.call, c.errno, rep.Result, tried.Load())
		}
		cancel()
	}
}

// The other side of it: what the upstream or the way to it fails is told of the upstream, and is not tried again.
func TestConnectsThatFailElsewhere(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("ok")))
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT,
		syscall.EPERM, syscall.EACCES} {
		u := testPool(t, 8, testutil.Entry("s", s.Address, "Ready"))
		tried := failDials(u, 1, "connect", errno)
		if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); rep.Result != balancer.ConnectFailed || tried.Load() != 1 {
			t.Errorf("%v: %v after %d tries", errno, rep.Result, tried.Load())
		}
	}
}
