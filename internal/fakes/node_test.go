package fakes

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSlowStartNodeStopsOnOverload checks that a node in slow start stops for good when it receives more than the overload multiple. It also
// checks that less load, or the same load after slow start, does not stop it.
func TestSlowStartNodeStopsOnOverload(t *testing.T) {
	for name, c := range map[string]struct {
		load      float64 // as a fraction of the full capacity
		slowStart bool
		wantDown  bool
	}{
		"overload in slow start":     {1.5, true, true}, // the limit is 3 x 0.3 = 0.9 of the full capacity
		"lower load in slow start":   {0.6, true, false},
		"same load after slow start": {1.5, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := NodeOptions{Name: "n", Cores: 4, MaxQueue: 10000, SlowStartMinCapacity: 0.3, SlowStartWindow: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}
			if c.slowStart {
				o.Started = time.Now()
			}
			n := NewNode(o)
			defer n.Close()
			var wg sync.WaitGroup
			const work = 10 * time.Millisecond
			gap := time.Duration(float64(work) / 4 / c.load)
			for i := range int(3 * time.Second / gap) {
				wg.Go(func() { n.serve(context.Background(), Job{ID: fmt.Sprint(i), Class: "c", Work: work}) })
				time.Sleep(gap)
			}
			wg.Wait()
			if n.Down() != c.wantDown || n.Ledger().Nodes()["n"].Overloaded != c.wantDown {
				t.Errorf("%s: node down is %v; this state or Overloaded in the ledger is wrong", name, n.Down())
			}
		})
	}
}

// TestServiceTimeAndCapacity checks how ServiceRate, slow start, a Slow fault and a Freeze fault change the service time. It also checks that
// the cores and the queue limit the requests in flight, and that a request ends when its client cancels it.
func TestServiceTimeAndCapacity(t *testing.T) {
	const work = 100 * time.Millisecond
	serviceTime := func(t *testing.T, o NodeOptions, before time.Duration) time.Duration {
		n := NewNode(o)
		defer n.Close()
		time.Sleep(before)
		start := time.Now()
		if v := n.serve(context.Background(), Job{ID: "1", Work: work}); v.kind != answer {
			t.Errorf("the request was not answered: response kind %d", v.kind)
		}
		return time.Since(start)
	}
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			o      NodeOptions
			before time.Duration
			want   time.Duration
		}{
			"defaults":            {NodeOptions{}, 0, work},
			"double service rate": {NodeOptions{ServiceRate: 2}, 0, work / 2},
			"slow start":          {NodeOptions{Started: time.Now(), SlowStartMinCapacity: 0.5, SlowStartWindow: time.Hour}, 0, 2 * work},
			"Slow fault":          {NodeOptions{Faults: []Fault{{Kind: Slow, Factor: 4, From: time.Second}}}, time.Second, 4 * work},
			"before a Slow fault": {NodeOptions{Faults: []Fault{{Kind: Slow, Factor: 4, From: time.Second}}}, 0, work},
			"Freeze fault": {NodeOptions{Faults: []Fault{{Kind: Freeze, Every: time.Second, For: 300 * time.Millisecond}}},
				100 * time.Millisecond, 300 * time.Millisecond},
		} {
			if got := serviceTime(t, c.o, c.before); got < c.want-time.Millisecond || got > c.want+time.Millisecond {
				t.Errorf("%s: service time %v, want %v", name, got, c.want)
			}
		}
		n := NewNode(NodeOptions{Name: "n", Cores: 2, MaxQueue: 2})
		defer n.Close()
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 6 {
			wg.Go(func() { n.serve(ctx, Job{ID: fmt.Sprint(i), Work: time.Hour}) })
		}
		synctest.Wait()
		if c := n.Ledger().Nodes()["n"]; c.Executed != 2 || c.Rejected != 2 || n.InFlight() != 4 {
			t.Errorf("got counts %+v, %d in flight; want 2 executed, 2 rejected, 4 in flight", c, n.InFlight())
		}
		cancel()
		wg.Wait()
		if n.InFlight() != 0 {
			t.Errorf("%d requests in flight after their client cancelled them, want 0", n.InFlight())
		}
	})
}

// TestLedgerCountsExecutionsByKey checks that the ledger records repeated executions on two nodes, and that it records no execution for a
// stored answer.
func TestLedgerCountsExecutionsByKey(t *testing.T) {
	ledger, keys := NewLedger(), NewIdempotencyKeys(time.Minute)
	a := NewNode(NodeOptions{Name: "a", Ledger: ledger, Keys: keys})
	defer a.Close()
	b := NewNode(NodeOptions{Name: "b", Ledger: ledger, Keys: keys})
	defer b.Close()
	for _, n := range []*Node{a, b, a} {
		n.serve(t.Context(), Job{ID: "u", Class: "unsafe"})
		n.serve(t.Context(), Job{ID: "k", Class: "keyed", Key: "key"})
	}
	if twice := ledger.ExecutedTwice("unsafe"); len(twice) != 1 || len(ledger.Operation("u").Executions) != 3 {
		t.Errorf("operations executed more than once: %v, want only u; record of u: %+v, want 3 executions", twice, ledger.Operation("u"))
	}
	if twice := ledger.ExecutedTwice("keyed"); len(twice) != 0 || ledger.Nodes()["a"].StoredAnswers+ledger.Nodes()["b"].StoredAnswers != 2 {
		t.Errorf("operations executed more than once: %v, want none; counts of the nodes: %+v, want 2 stored answers in total", twice, ledger.Nodes())
	}
}

// checkSilence checks that a watch receives nothing while Silence is on, and a heartbeat or the change afterwards.
func checkSilence(t *testing.T, d *Discovery, lines *bufio.Scanner) {
	t.Helper()
	d.Silence(true)
	d.Drain("b")
	received := make(chan string, 1)
	go func() {
		lines.Scan()
		received <- lines.Text()
	}()
	select {
	case text := <-received:
		t.Errorf("the watch received %q while discovery was silent", text)
	case <-time.After(50 * time.Millisecond): // five heartbeats
	}
	d.Silence(false)
	if text := <-received; !strings.Contains(text, `"b"`) && text != "" {
		t.Errorf("the watch received %q after the silence, want a heartbeat or the change of b", text)
	}
}

// TestDiscoveryPollsAndWatches checks watches and polls during silence, an outage and a move to another address.
func TestDiscoveryPollsAndWatches(t *testing.T) {
	d := NewDiscovery()
	d.Heartbeat = 10 * time.Millisecond
	first, err := d.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Drain("a")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	watch := func() *bufio.Scanner {
		resp, err := client.Get("http://" + d.Address() + "/api/targets?watch=1&from=1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return bufio.NewScanner(resp.Body)
	}
	lines := watch()
	change := lines.Scan()
	if heartbeat := lines.Scan(); !change || !heartbeat || lines.Text() != "" {
		t.Errorf("second line of the watch is %q, want a heartbeat (error %v)", lines.Text(), lines.Err())
	}
	if _, ok := d.FirstNotified("a", "Terminating"); !ok {
		t.Error("FirstNotified returned false for a status that the watch has received")
	}
	checkSilence(t, d, lines)
	d.Break()
	for lines.Scan() {
	}
	d.Down(true)
	if resp, err := client.Get("http://" + d.Address() + "/api/targets"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a poll during the outage got response %v, error %v; want status 503", resp, err)
	} else {
		resp.Body.Close()
	}
	d.Down(false)
	if second, err := d.Listen("127.0.0.1:0"); err != nil || second == first {
		t.Errorf("discovery moved from %s to %s with error %v, want a different address and no error", first, second, err)
	}
	if resp, err := client.Get("http://" + first + "/api/targets"); err == nil {
		resp.Body.Close()
		t.Error("the old address still answers after the move")
	}
	lines = watch()
	if !lines.Scan() {
		t.Error("a watch at the new address received nothing")
	}
}
