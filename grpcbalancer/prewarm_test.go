package grpcbalancer_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// With [service.warm], the Plugin also connects to upstreams that no call has been sent to, and connects again to an upstream that
// restarted.
func TestPrewarming(t *testing.T) {
	f := newFleet(t, make([]fakes.NodeOptions, 6)...)
	proxies := make([]*countingProxy, len(f.endpoints))
	for i, e := range f.endpoints {
		proxies[i] = newCountingProxy(t, e.Address)
		f.endpoints[i].Address = proxies[i].address
	}
	file := base.File(t, "o.toml", []byte("[[service]]\nname = \"service\"\n[service.warm]\non = true\nspread = \"100ms\"\n"))
	conn, p := f.dial(t, func(o *grpcbalancer.Options) { o.File = file })
	if _, err := invoke(t.Context(), conn, search); err != nil {
		t.Fatal(err)
	}
	for i, c := range proxies {
		base.Eventually(t, fmt.Sprint("one connection is open to node ", i), func() bool { return c.open.Load() == 1 })
	}
	f.endpoints[0].Since = time.Now()
	if err := p.SetEndpoints(f.endpoints); err != nil {
		t.Fatal(err)
	}
	base.Eventually(t, "node 0 has only a new connection", func() bool { return proxies[0].made.Load() == 2 && proxies[0].open.Load() == 1 })
	for i, c := range proxies[1:] {
		if n := c.made.Load(); n != 1 {
			t.Errorf("%d connections were made to node %d, want 1", n, i+1)
		}
	}
}

// countingProxy forwards connections to an address, and counts them.
type countingProxy struct {
	address    string
	made, open atomic.Int32
}

// newCountingProxy starts a countingProxy that ends with the test.
func newCountingProxy(t *testing.T, to string) *countingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &countingProxy{address: l.Addr().String()}
	var wg sync.WaitGroup
	t.Cleanup(func() { l.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			c.made.Add(1)
			c.open.Add(1)
			end := sync.OnceFunc(func() { in.Close(); out.Close(); c.open.Add(-1) })
			wg.Go(func() { _, _ = io.Copy(in, out); end() }) // when one direction ends, both connections are closed
			wg.Go(func() { _, _ = io.Copy(out, in); end() })
		}
	})
	return c
}
