package grpcbalancer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/metadata"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// delayedNode starts a proxy that accepts connections to a node, and forwards nothing until release is called. Until then, no connection to
// the node becomes ready.
func delayedNode(t *testing.T, node string) (address string, release func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	var serving sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		l.Close()
		release()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", node)
			if err != nil {
				in.Close()
				continue
			}
			mu.Lock()
			conns = append(conns, in, out)
			mu.Unlock()
			end := sync.OnceFunc(func() { in.Close(); out.Close() })
			serving.Go(func() { <-released; _, _ = io.Copy(in, out); end() }) // when one direction ends, both connections are closed
			serving.Go(func() { <-released; _, _ = io.Copy(out, in); end() })
		}
	})
	return l.Addr().String(), release
}

// A call whose caller leaves while it waits for a connection is never sent. This includes calls with an idempotency key, whose attempts do
// not run in the caller's goroutine because other callers may wait for the answer.
func TestCallersDisconnectWhileConnecting(t *testing.T) {
	for _, method := range []string{search, confirm, record} {
		f := newFleet(t, fakes.NodeOptions{})
		address, release := delayedNode(t, f.endpoints[0].Address)
		f.endpoints[0].Address = address
		conn, plugin := f.dial(t, func(o *grpcbalancer.Options) {
			o.File = base.File(t, "o.toml", []byte("[[repeats]]\nservice = \"service\"\ntenant_part = 1.0\n"))
			o.Settings.ConnectTimeout = base.Timeout
			for i := range o.Settings.Classes {
				o.Settings.Classes[i].Deadline, o.Settings.Classes[i].LatencyObjective = base.Timeout, base.Timeout
			}
		})
		const callers = 8
		ctx, leave := context.WithCancel(metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.IdempotencyKey, "k"))
		if method != record {
			ctx, leave = context.WithCancel(t.Context())
		}
		var calls sync.WaitGroup
		for range callers {
			calls.Go(func() {
				if _, err := invoke(ctx, conn, method); err == nil {
					t.Errorf("%s: a call whose caller left was answered", method)
				}
			})
		}
		testutil.Eventually(t, "the calls are in flight", func() bool { return plugin.InHand() == callers || method == record && plugin.InHand() == 1 })
		leave()
		calls.Wait()
		// If calls are still in flight after this wait, they are sent after release, and the check of the executed calls fails.
		for end := time.Now().Add(500 * time.Millisecond); plugin.InHand() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		release()
		if _, err := invoke(t.Context(), conn, confirm); err != nil {
			t.Errorf("%s: the call after release failed: %v", method, err)
		}
		if ran := f.ledger.Nodes()["n0"].Executed; ran != 1 {
			t.Errorf("%s: %d calls ran on the node, want 1: the call after release", method, ran)
		}
	}
}
