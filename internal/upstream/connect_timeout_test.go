package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// Guards against a connect timeout that ignores how long it took to open recent connections, or exceeds the configured timeout.
func TestConnectPatience(t *testing.T) {
	const configured = 250 * time.Millisecond
	for _, c := range []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"no connects recorded", nil, configured},
		{"few connects recorded", []time.Duration{1e6, 1e6, 1e6}, configured},
		{"nearby upstreams", make([]time.Duration, connectTimesNeeded), minConnectTimeout},
		{"distant upstreams", append(make([]time.Duration, connectTimesNeeded), 8*time.Millisecond), 80 * time.Millisecond},
		{"slower than the configured timeout", append(make([]time.Duration, connectTimesNeeded), time.Second), configured},
		{"slow connect no longer recent", append([]time.Duration{time.Second}, make([]time.Duration, connectTimesKept)...), minConnectTimeout},
	} {
		var times connectTimes
		for _, d := range c.took {
			times.record(d)
		}
		if got := times.timeout(configured); got != c.want {
			t.Errorf("%s: timeout %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a request that waits for the whole configured timeout when its upstream does not respond to connection attempts, as on a
// failed machine. The connect timeout has to follow recent connect durations. The test fills the upstream's accept
// queue, so that the kernel drops SYN segments.
func TestConnectToALostMachine(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	full := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for range 4 { // fills the accept queue
		if c, err := net.DialTimeout("tcp", full.String(), 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	good := testutil.Raw(t, fakes.Says(fakes.OK200("body")))
	pool := testPool(t, 32, testutil.Entry("good", good.Address, "Ready"), testutil.Entry("lost", full.String(), "Ready"))
	for range connectTimesNeeded {
		if got := pool.Attempt(t.Context(), "good", testRequest("GET", ""), time.Time{}); got.Result != balancer.OK {
			t.Fatalf("request to a reachable upstream failed: %+v", got)
		}
		pool.CloseUpstream("good")
	}
	started := time.Now()
	got := pool.Attempt(context.Background(), "lost", testRequest("GET", ""), time.Time{})
	if took := time.Since(started); got.Result != balancer.ConnectFailed || took > time.Second { // the configured timeout is 2 s
		t.Errorf("result %v after %v, want a failed connect within 1s", got.Result, took)
	}
}
