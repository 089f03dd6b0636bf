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

// The patience for a connection follows what connections take, within the setting.
func TestConnectPatience(t *testing.T) {
	const most = 250 * time.Millisecond
	for _, c := range []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"nothing known", nil, most},
		{"little known", []time.Duration{1e6, 1e6, 1e6}, most},
		{"near", make([]time.Duration, connectTimesNeeded), minConnectTimeout},
		{"far", append(make([]time.Duration, connectTimesNeeded), 8*time.Millisecond), 80 * time.Millisecond},
		{"farther than the setting", append(make([]time.Duration, connectTimesNeeded), time.Second), most},
		{"long ago", append([]time.Duration{time.Second}, make([]time.Duration, connectTimesKept)...), minConnectTimeout},
	} {
		var k connectTimes
		for _, d := range c.took {
			k.record(d)
		}
		if got := k.timeout(most); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// An upstream that takes no connections any more, as one on a lost machine, holds a request up for as long as connections
// usually take and not for the whole setting. Its queue of connections is full, so that the system drops what asks for one.
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
	for range 4 { // fill it
		if c, err := net.DialTimeout("tcp", full.String(), 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	good := testutil.Raw(t, fakes.Says(fakes.OK200("body")))
	u := testPool(t, 32, testutil.Entry("good", good.Address, "Ready"), testutil.Entry("lost", full.String(), "Ready"))
	for range connectTimesNeeded {
		if got := u.Attempt(t.Context(), "good", testRequest("GET", ""), time.Time{}); got.Result != balancer.OK {
			t.Fatalf("%+v", got)
		}
		u.CloseUpstream("good")
	}
	begun := time.Now()
	got := u.Attempt(context.Background(), "lost", testRequest("GET", ""), time.Time{})
	if took := time.Since(begun); got.Result != balancer.ConnectFailed || took > time.Second { // the setting is 2 s
		t.Errorf("%v after %v", got.Result, took)
	}
}
