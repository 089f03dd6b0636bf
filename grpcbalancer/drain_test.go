package grpcbalancer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// When a node leaves the endpoint list, its calls in flight finish, and no new call is sent to it.
func TestDrainDuringCalls(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 300 * time.Millisecond}, fakes.NodeOptions{DefaultServiceTime: 300 * time.Millisecond})
	conn, plugin := f.dial(t, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if _, err := invoke(context.Background(), conn, confirm); err != nil {
				t.Errorf("a call that was in flight when the node drained failed: %v", err)
			}
		})
	}
	testutil.Eventually(t, "all calls are in flight, some at n0", func() bool { return f.nodes[0].InFlight() > 0 && f.nodes[0].InFlight()+f.nodes[1].InFlight() == 8 })
	if err := plugin.SetEndpoints(f.endpoints[1:]); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].Drain()
	for range 20 {
		wg.Go(func() {
			if name, err := invoke(context.Background(), conn, confirm); err != nil || name != "n1" {
				t.Errorf("call after the drain: answered by %q with error %v, want n1", name, err)
			}
		})
	}
	wg.Wait()
	if n := f.ledger.Nodes()["n0"].AfterDrain; n != 0 {
		t.Errorf("%d requests reached n0 after its drain, want 0", n)
	}
}

// Calls that wait because a node has reached its stream limit are sent to another node once the node drains, and never to the draining
// node.
func TestDrainWhileStreamsWait(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 500 * time.Millisecond, MaxConcurrentStreams: 1}, fakes.NodeOptions{})
	conn, plugin := f.dial(t, func(o *grpcbalancer.Options) { o.Endpoints = f.endpoints[:1] })
	ended := make(chan string, 4)
	for range 4 { // one call is in flight at n0, and the others wait in grpc-go
		go func() {
			name, err := invoke(context.Background(), conn, confirm)
			ended <- fmt.Sprint(name, err)
		}()
	}
	testutil.Eventually(t, "one call is at n0, all are in flight", func() bool { return f.nodes[0].InFlight() == 1 && plugin.InHand() == 4 })
	time.Sleep(20 * time.Millisecond) // gives the other calls time to wait in grpc-go; the result must be the same without it
	if err := plugin.SetEndpoints(f.endpoints[1:]); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].Drain()
	got := map[string]int{}
	for range 4 {
		got[<-ended]++
	}
	if got["n0<nil>"] != 1 || got["n1<nil>"] != 3 {
		t.Errorf("answers by node and error: %v, want 1 from n0 and 3 from n1", got)
	}
	if n := f.ledger.Nodes()["n0"]; n.Arrived != 1 || n.AfterDrain != 0 {
		t.Errorf("requests to the draining node n0: %+v, want 1 arrival, before the drain", n)
	}
}
