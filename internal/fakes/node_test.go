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

// TestSlowStartNodeStopsOnOverload checks that a node in slow start stops for good when it receives more than the overload multiple, and that
// less load, or the same load on a warm node, does not stop it.
func TestSlowStartNodeStopsOnOverload(t *testing.T) {
	for name, c := range map[string]struct {
		share float64 // of its full capacity that is sent
		cold  bool
		falls bool
	}{
		"overdriven":     {1.5, true, true}, // 0.3 of its capacity x 3 is 0.9 of it
		"held back":      {0.6, true, false},
		"warm, the same": {1.5, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := NodeOptions{Name: "n", Cores: 4, MaxQueue: 10000, SlowStartMinCapacity: 0.3, SlowStartWindow: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}
			if c.cold {
				o.Started = time.Now()
			}
			n := NewNode(o)
			defer n.Close()
			var wg sync.WaitGroup
			const work = 10 * time.Millisecond
			gap := time.Duration(float64(work) / 4 / c.share)
			for i := range int(3 * time.Second / gap) {
				wg.Go(func() { n.serve(context.Background(), Job{ID: fmt.Sprint(i), Class: "c", Work: work}) })
				time.Sleep(gap)
			}
			wg.Wait()
			if n.Down() != c.falls || n.Ledger().Nodes()["n"].Overloaded != c.falls {
				t.Errorf("%s: fell over is %v", name, n.Down())
			}
		})
	}
}

// TestServiceTimeAndCapacity checks how speed, slow start, a slow phase and a freeze change the service time, that cores and the queue bound the
// requests in flight, and that work stops with its client.
func TestServiceTimeAndCapacity(t *testing.T) {
	const work = 100 * time.Millisecond
	took := func(t *testing.T, o NodeOptions, before time.Duration) time.Duration {
		n := NewNode(o)
		defer n.Close()
		time.Sleep(before)
		begun := time.Now()
		if v := n.serve(context.Background(), Job{ID: "1", Work: work}); v.kind != answer {
			t.Errorf("verdict %d", v.kind)
		}
		return time.Since(begun)
	}
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			o      NodeOptions
			before time.Duration
			want   time.Duration
		}{
			"plain":  {NodeOptions{}, 0, work},
			"fast":   {NodeOptions{ServiceRate: 2}, 0, work / 2},
			"cold":   {NodeOptions{Started: time.Now(), SlowStartMinCapacity: 0.5, SlowStartWindow: time.Hour}, 0, 2 * work},
			"slow":   {NodeOptions{Faults: []Fault{{Kind: Slow, Factor: 4, From: time.Second}}}, time.Second, 4 * work},
			"before": {NodeOptions{Faults: []Fault{{Kind: Slow, Factor: 4, From: time.Second}}}, 0, work},
			"frozen": {NodeOptions{Faults: []Fault{{Kind: Freeze, Every: time.Second, For: 300 * time.Millisecond}}},
				100 * time.Millisecond, 300 * time.Millisecond},
		} {
			if got := took(t, c.o, c.before); got < c.want-time.Millisecond || got > c.want+time.Millisecond {
				t.Errorf("%s: took %v, want %v", name, got, c.want)
			}
		}
		n := NewNode(NodeOptions{Name: "n", Cores: 2, MaxQueue: 2})
		defer n.Close()
		var wg sync.WaitGroup
		ctx, leave := context.WithCancel(context.Background())
		for i := range 6 {
			wg.Go(func() { n.serve(ctx, Job{ID: fmt.Sprint(i), Work: time.Hour}) })
		}
		synctest.Wait()
		if c := n.Ledger().Nodes()["n"]; c.Executed != 2 || c.Rejected != 2 || n.InFlight() != 4 {
			t.Errorf("%+v, %d in hand", c, n.InFlight())
		}
		leave()
		wg.Wait()
		if n.InFlight() != 0 {
			t.Errorf("%d in hand after their client left", n.InFlight())
		}
	})
}

// TestLedgerCountsExecutionsByKey checks that the ledger counts every second execution, and none for a stored answer.
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
		t.Errorf("doubled %v, %+v", twice, ledger.Operation("u"))
	}
	if twice := ledger.ExecutedTwice("keyed"); len(twice) != 0 || ledger.Nodes()["a"].StoredAnswers+ledger.Nodes()["b"].StoredAnswers != 2 {
		t.Errorf("doubled %v, %+v", twice, ledger.Nodes())
	}
}

// checkSilence checks that a watch gets nothing while discovery is silent, and its beats or the change afterwards.
func checkSilence(t *testing.T, d *Discovery, lines *bufio.Scanner) {
	t.Helper()
	d.Silence(true)
	d.Drain("b")
	said := make(chan string, 1)
	go func() {
		lines.Scan()
		said <- lines.Text()
	}()
	select {
	case text := <-said:
		t.Errorf("while silent: %q", text)
	case <-time.After(50 * time.Millisecond): // five beats
	}
	d.Silence(false)
	if text := <-said; !strings.Contains(text, `"b"`) && text != "" {
		t.Errorf("after the silence: %q", text)
	}
}

// TestDiscoveryPollsAndWatches checks watches and polls through silence, outage and a move to another address.
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
	if empty := lines.Scan(); !change || !empty || lines.Text() != "" {
		t.Errorf("watched %q, %v", lines.Text(), lines.Err())
	}
	if _, ok := d.FirstNotified("a", "Terminating"); !ok {
		t.Error("the change was not told")
	}
	checkSilence(t, d, lines)
	d.Break()
	for lines.Scan() {
	}
	d.Down(true)
	if resp, err := client.Get("http://" + d.Address() + "/api/targets"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("while down: %v, %v", resp, err)
	} else {
		resp.Body.Close()
	}
	d.Down(false)
	if second, err := d.Listen("127.0.0.1:0"); err != nil || second == first {
		t.Errorf("moved from %s to %s, %v", first, second, err)
	}
	if resp, err := client.Get("http://" + first + "/api/targets"); err == nil {
		resp.Body.Close()
		t.Error("the old address answers")
	}
	lines = watch()
	if !lines.Scan() {
		t.Error("no watch at the new address")
	}
}
