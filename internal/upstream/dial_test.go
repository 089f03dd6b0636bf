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

// failDials makes the first n dials of a pool fail with an error of a system call, and counts all dials.
func failDials(pool *Pool, n int64, call string, errno syscall.Errno) (dials *atomic.Int64) {
	dials = &atomic.Int64{}
	dial := pool.dialTCP
	pool.dialTCP = func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) <= n {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
		}
		return dial(ctx, address)
	}
	return dials
}

// Guards against a healthy upstream that is ejected after two failed connection attempts although this machine lacks descriptors,
// memory or ports.
func TestConnectsThatThisMachineFails(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("ok")))
	for _, c := range []struct {
		call  string
		errno syscall.Errno
	}{
		{"socket", syscall.EMFILE}, {"socket", syscall.ENFILE}, {"socket", syscall.ENOBUFS}, {"socket", syscall.ENOMEM},
		{"connect", syscall.EADDRNOTAVAIL}, {"connect", syscall.EAGAIN}, {"connect", syscall.ENOBUFS},
	} {
		pool := testPool(t, 8, testutil.Entry("s", s.Address, "Ready"))
		dials := failDials(pool, 3, c.call, c.errno)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		if response := pool.Attempt(ctx, "s", testRequest("GET", ""), time.Time{}); response.Result != balancer.OK || dials.Load() != 4 {
			t.Errorf("first three %s calls fail with %v: result %v after %d dials, want OK after 4 dials", c.call, c.errno, response.Result, dials.Load())
		}
		cancel()

		pool = testPool(t, 8, testutil.Entry("s", s.Address, "Ready"))
		dials = failDials(pool, 1<<40, c.call, c.errno)
		ctx, cancel = context.WithTimeout(t.Context(), 150*time.Millisecond)
		if response := pool.Attempt(ctx, "s", testRequest("POST", "x"), time.Time{}); response.Result != balancer.NotSent || dials.Load() > 40 {
			t.Errorf("all %s calls fail with %v: result %v after %d dials, want a result of not sent and at most 40 dials", c.call, c.errno, response.Result, dials.Load())
		}
		cancel()
	}
}

// Guards against failures of the upstream or the network that are treated as failures of this machine. Such a failure has to count against
// the upstream, and the dial must not be repeated.
func TestConnectsThatFailElsewhere(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("ok")))
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT,
		syscall.EPERM, syscall.EACCES} {
		pool := testPool(t, 8, testutil.Entry("s", s.Address, "Ready"))
		dials := failDials(pool, 1, "connect", errno)
		if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); response.Result != balancer.ConnectFailed || dials.Load() != 1 {
			t.Errorf("connect fails with %v: result %v after %d dials, want a failed connect after 1 dial", errno, response.Result, dials.Load())
		}
	}
}
