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

// When a node leaves the list, its calls in flight finish and no new one is sent there.
func TestDrainDuringCalls(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 300 * time.Millisecond}, fakes.NodeOptions{DefaultServiceTime: 300 * time.Millisecond})
	conn, plugin := f.dial(t, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if _, err := invoke(context.Background(), conn, confirm); err != nil {
				t.Errorf("in flight as it drained: %v", err)
			}
		})
	}
	testutil.Eventually(t, "both have calls in flight", func() bool { return f.nodes[0].InFlight() > 0 && f.nodes[0].InFlight()+f.nodes[1].InFlight() == 8 })
	if err := plugin.SetEndpoints(f.endpoints[1:]); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].Drain()
	for range 20 {
		wg.Go(func() {
			if name, err := invoke(context.Background(), conn, confirm); err != nil || name != "n1" {
				t.Errorf("after the drain: %q, %v", name, err)
			}
		})
	}
	wg.Wait()
	if n := f.ledger.Nodes()["n0"].AfterDrain; n != 0 {
		t.Errorf("%d came after the drain", n)
	}
}

// Calls that wait for the node's stream limit are sent elsewhere once the node drains, and never there.
func TestDrainWhileStreamsWait(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 500 * time.Millisecond, MaxConcurrentStreams: 1}, fakes.NodeOptions{})
	conn, plugin := f.dial(t, func(o *grpcbalancer.Options) { o.Endpoints = f.endpoints[:1] })
	ended := make(chan string, 4)
	for range 4 { // one is in flight, the others wait in grpc-go
		go func() {
			name, err := invoke(context.Background(), conn, confirm)
			ended <- fmt.Sprint(name, err)
		}()
	}
	testutil.Eventually(t, "one is in flight, all are decided", func() bool { return f.nodes[0].InFlight() == 1 && plugin.InHand() == 4 })
	time.Sleep(20 * time.Millisecond) // where the others get a moment more to wait in, it is the same test
	if err := plugin.SetEndpoints(f.endpoints[1:]); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].Drain()
	got := map[string]int{}
	for range 4 {
		got[<-ended]++
	}
	if got["n0<nil>"] != 1 || got["n1<nil>"] != 3 {
		t.Errorf("answers %v", got)
	}
	if n := f.ledger.Nodes()["n0"]; n.Arrived != 1 || n.AfterDrain != 0 {
		t.Errorf("the one that drains: %+v", n)
	}
}
