package conformance

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// load makes calls from so many workers, each pausing a moment between two, and counts answers by class and kind.
type load struct {
	workers, calls int // calls of each worker
	pause          time.Duration
	cost           time.Duration
	classes        []string
}

func (l load) run(f front, prefix string) map[string]int {
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range l.workers {
		wg.Go(func() {
			for i := range l.calls {
				op := fmt.Sprintf("%s-%d-%d", prefix, w, i)
				class := l.classes[(w+i)%len(l.classes)]
				k, _ := f.do(context.Background(), spec{class: class, id: op, op: op, key: op, cost: l.cost})
				mu.Lock()
				counts[class+" "+string(k)]++
				mu.Unlock()
				time.Sleep(l.pause)
			}
		})
	}
	wg.Wait()
	return counts
}

var allClasses = []string{"search", "record", "confirm"}

// TestSameAnswersSameLoad plays each script against both fronts, with the same seed and list. Two fronts can't draw the same
// numbers, since sockets decide the order of events, so what has to agree is what the counts of two independent runs agree
// to: for a node with share p of n requests the difference has a standard deviation of at most sqrt(2np(1-p)) if each
// request draws for itself, and four of these are allowed. Requests don't quite: a moment in which the machine holds one
// answer up is a peak in that node's estimate, and costs it its share until it decays. Such a moment hits any node of
// either front, while fronts that differ do so in each play. So a count fails when it is apart the same way in three
// plays of three; answers of a script that leaves no chance are to be equal in each.
// docs/design/fronts.md derives it.
func TestSameAnswersSameLoad(t *testing.T) {
	node := func(faults ...fakes.Fault) fakes.NodeOptions {
		return fakes.NodeOptions{Cores: 8, DefaultServiceTime: 2 * time.Millisecond, Faults: faults}
	}
	fault := func(k fakes.FaultKind) fakes.Fault { return fakes.Fault{Kind: k, Factor: 8} }
	ok := node()
	for _, c := range []struct {
		name  string
		nodes []fakes.NodeOptions
		exact bool // no chance in the answers
		calls int  // of each of 8 workers
		// A broken connection ends one HTTP/1.1 request and every gRPC stream on it: where all nodes break them, what
		// arrives differs, and only answers are compared.
		answersOnly bool
	}{
		{"healthy", []fakes.NodeOptions{ok, ok, ok, ok, ok}, true, 90, false},
		{"one slow", []fakes.NodeOptions{node(fault(fakes.Slow)), ok, ok, ok, ok}, true, 90, false},
		{"one freezes", []fakes.NodeOptions{node(fakes.Fault{Kind: fakes.Freeze, Every: 400 * time.Millisecond,
			For: 100 * time.Millisecond}), ok, ok, ok}, true, 90, false},
		{"one turns away", []fakes.NodeOptions{node(fault(fakes.Reject)), ok, ok, ok}, true, 60, false},
		{"one refuses at the wire", []fakes.NodeOptions{node(fault(fakes.RefuseStream)), ok, ok, ok}, true, 60, false},
		{"one sends GOAWAY", []fakes.NodeOptions{node(fault(fakes.GoAway)), ok, ok, ok}, true, 60, false},
		{"all turn away", []fakes.NodeOptions{node(fault(fakes.Reject)), node(fault(fakes.Reject))}, true, 4, false},
		{"all break before it runs", []fakes.NodeOptions{node(fault(fakes.ResetBefore)), node(fault(fakes.ResetBefore))}, false, 20, true},
		{"one breaks after it ran", []fakes.NodeOptions{node(fault(fakes.ResetAfter)), ok, ok, ok}, false, 60, false},
		{"one answers errors", []fakes.NodeOptions{node(fault(fakes.Fail)), ok, ok, ok}, false, 60, false},
		{"one can't be read", []fakes.NodeOptions{node(fault(fakes.Malformed)), ok, ok, ok}, false, 60, false},
		{"one cuts its answers", []fakes.NodeOptions{node(fault(fakes.Truncate)), ok, ok, ok}, false, 60, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			apart := map[string]*[3]int{} // by count: -1, 0 or 1 in each play
			for play := range 3 {
				answers, nodes := map[protocol]map[string]int{}, map[protocol]map[string]fakes.NodeCount{}
				for _, p := range protocols {
					w := newWorld(t, c.nodes...)
					f := w.start(t, p, suiteSettings(2*time.Second))
					answers[p] = load{workers: 8, calls: c.calls, pause: time.Millisecond, classes: allClasses}.run(f, string(p))
					f.close()
					nodes[p] = w.ledger.Nodes()
					if twice := w.ledger.ExecutedTwice("confirm"); len(twice) > 0 {
						t.Errorf("%s: ran twice: %v", p, twice)
					}
					if twice := w.ledger.ExecutedTwice("booking.Seats/confirm"); len(twice) > 0 {
						t.Errorf("%s: ran twice: %v", p, twice)
					}
				}
				n := float64(8 * c.calls)
				again := false
				within := func(what string, a, b int) {
					p := float64(a+b) / 2 / n
					allowed := 4*math.Sqrt(2*n*p*max(0, 1-p)) + 4
					if math.Abs(float64(a-b)) <= allowed {
						return
					}
					t.Logf("play %d: %s: %d with the daemon, %d with the plug-in; %.0f apart are allowed", play, what, a, b, allowed)
					if apart[what] == nil {
						apart[what] = new([3]int)
					}
					apart[what][play] = cmp.Compare(a, b)
					again = again || play == 0 || apart[what][play-1] == apart[what][play] // else it can't fail any more
				}
				for _, class := range allClasses {
					for _, k := range []kind{served, refused, failed} {
						key := class + " " + string(k)
						if a, b := answers[overHTTP][key], answers[overGRPC][key]; c.exact && a != b {
							t.Errorf("%s: %d with the daemon, %d with the plug-in", key, a, b)
						} else {
							within(key, a, b)
						}
					}
				}
				t.Logf("answers %v", answers)
				for i := range c.nodes {
					if c.answersOnly {
						break
					}
					name := fmt.Sprint("n", i)
					within("requests at "+name, nodes[overHTTP][name].Arrived, nodes[overGRPC][name].Arrived)
				}
				if !again {
					return
				}
			}
			for what, a := range apart {
				if a[0] != 0 && a[0] == a[1] && a[1] == a[2] {
					t.Errorf("%s: apart the same way in three plays of three", what)
				}
			}
		})
	}
}

// Guards against a cold node pushed over by fronts that know nothing of each other: a plug-in and a daemon both send to
// the nodes when one of them starts anew. Each is told that there are two balancers. The node must not fall over, and
// must be used.
func TestColdNodeStandsBothFronts(t *testing.T) {
	node := fakes.NodeOptions{Cores: 4, SlowStartMinCapacity: 0.3, SlowStartWindow: 8800 * time.Millisecond, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}
	w := newWorld(t, node, node, node)
	set := suiteSettings(2 * time.Second)
	set.FleetSize = 2
	fronts := []front{w.start(t, overHTTP, set), w.start(t, overGRPC, set)}
	stop := make(chan struct{})
	var calls, good atomic.Int64
	var wg sync.WaitGroup
	for i, f := range fronts {
		for worker := range 10 { // 10 workers x 2 fronts, each 10 ms of work every 30 ms or so: half of three nodes
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					op := fmt.Sprintf("%d-%d-%d", i, worker, n)
					calls.Add(1)
					if k, _ := f.do(context.Background(), spec{class: "search", id: op, op: op, cost: 10 * time.Millisecond}); k == served {
						good.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond) // traffic is known before the restart
	cold := node
	cold.Name, cold.Started = "cold", time.Now()
	n := w.add(t, cold)
	w.nodes[0].Kill() // which it replaces
	for _, d := range w.discovery {
		d.Remove("n0")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	count := w.ledger.Nodes()["cold"]
	if n.Down() || count.Overloaded {
		t.Errorf("the cold node fell over after %d requests", count.Arrived)
	}
	if count.Executed == 0 {
		t.Error("the cold node was never used")
	}
	if share := float64(good.Load()) / float64(calls.Load()); share < 0.9 {
		t.Errorf("%d of %d served", good.Load(), calls.Load())
	}
	t.Logf("%d calls, %d served, %d at the cold node", calls.Load(), good.Load(), count.Executed)
}

// Guards against sends to a node that drains: what it had is finished, and nothing comes later than 250 ms after the
// front was told. Nodes drain and come back under load, in both fronts at once.
func TestNothingNewAfterADrain(t *testing.T) {
	node := fakes.NodeOptions{Cores: 32, DefaultServiceTime: 3 * time.Millisecond}
	w := newWorld(t, node, node, node, node)
	set := suiteSettings(2 * time.Second)
	fronts := []front{w.start(t, overHTTP, set), w.start(t, overGRPC, set)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var bad atomic.Int64
	for i, f := range fronts {
		for worker := range 16 {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					op := fmt.Sprintf("%d-%d-%d", i, worker, n)
					if k, _ := f.do(context.Background(), spec{class: allClasses[n%3], id: op, op: op, key: op}); k != served {
						bad.Add(1)
					}
				}
			})
		}
	}
	drains := 0
	for round := range 12 {
		time.Sleep(150 * time.Millisecond)
		w.drain(w.nodes[round])
		drains++
		w.add(t, fakes.NodeOptions{Name: fmt.Sprint("r", round), Cores: 32, DefaultServiceTime: 3 * time.Millisecond})
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	for name, c := range w.ledger.Nodes() {
		if c.LastAfterDrain > 250*time.Millisecond {
			t.Errorf("%s: %d came after its drain, the last %v after it", name, c.AfterDrain, c.LastAfterDrain)
		}
	}
	if bad.Load() > 0 {
		t.Errorf("%d requests were not served, though every drain left three nodes", bad.Load())
	}
	for _, class := range []string{"confirm", "booking.Seats/confirm"} {
		if twice := w.ledger.ExecutedTwice(class); len(twice) > 0 {
			t.Errorf("ran twice: %v", twice)
		}
	}
	for p, d := range w.discovery {
		for i := range drains {
			if _, ok := d.FirstNotified(w.nodes[i].Options().Name, endpoints.StatusTerminating); !ok {
				t.Errorf("%s was never told of drain %d", p, i)
			}
		}
	}
}

// Guards against a list that is lost with its watch: discovery breaks its watches, goes down for a while, and then tells of
// a node that replaces all the others. Both fronts go on meanwhile, and find it.
func TestDiscoveryTroubles(t *testing.T) {
	for _, p := range protocols {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, fakes.NodeOptions{Cores: 8}, fakes.NodeOptions{Cores: 8})
			f := w.start(t, p, suiteSettings(2*time.Second))
			n := 0
			ask := func() (kind, string) {
				n++
				op := fmt.Sprint(n)
				return f.do(context.Background(), spec{class: "confirm", id: op, op: op})
			}
			w.discovery[p].Break()
			w.discovery[p].Down(true)
			for range 20 {
				if k, text := ask(); k != served {
					t.Errorf("while discovery is down: %s %s", k, text)
				}
			}
			w.add(t, fakes.NodeOptions{Name: "new", Cores: 8})
			for _, old := range w.nodes[:2] {
				w.discovery[p].Remove(old.Options().Name)
			}
			w.discovery[p].Down(false)
			testutil.Eventually(t, "the new node serves", func() bool { _, name := ask(); return name == "new" })
			for range 20 {
				if k, name := ask(); k != served || name != "new" {
					t.Errorf("afterwards: %s %s", k, name)
				}
			}
		})
	}
}

// TestNothingRunsTwice is the proof by count: at least 10,000 injected failures of every kind in each front, with clients
// that try again as they do in service: a safe request after any failure, all others only after a refusal. The nodes stand in two zones,
// and those of a zone share their memory of keys. The ledger knows each execution by the client's operation. No unsafe
// operation may run twice, no keyed one either, and every call has one answer.
func TestNothingRunsTwice(t *testing.T) {
	faults := func(n int) (f []fakes.Fault) {
		for _, k := range []fakes.FaultKind{fakes.Reject, fakes.Fail, fakes.FailNotExecuted, fakes.ResetBefore,
			fakes.ResetAfter, fakes.LoseAnswer, fakes.Hang, fakes.Malformed, fakes.Truncate, fakes.RefuseStream, fakes.GoAway} {
			share := 0.04
			if k == fakes.LoseAnswer || k == fakes.Hang {
				share = 0.01 // each costs its caller the whole deadline
			}
			f = append(f, fakes.Fault{Kind: k, Share: share})
		}
		return append(f, fakes.Fault{Kind: fakes.Freeze, From: time.Duration(n) * 70 * time.Millisecond,
			Every: time.Second, For: 60 * time.Millisecond})
	}
	for _, p := range protocols {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			var nodes []fakes.NodeOptions
			for n := range 6 {
				nodes = append(nodes, fakes.NodeOptions{Cores: 16, Faults: faults(n)})
			}
			w := newWorld(t, nodes...)
			set := suiteSettings(300 * time.Millisecond)
			f := w.start(t, p, set)
			var answers [3]atomic.Int64
			var wg sync.WaitGroup
			failures := func() (sum int) {
				for _, c := range w.ledger.Nodes() {
					sum += c.Faults
				}
				return sum
			}
			var wrong atomic.Int64
			var ended atomic.Bool
			time.AfterFunc(150*time.Second, func() { ended.Store(true) })
			for worker := range 48 {
				wg.Go(func() {
					for n := 0; !ended.Load() && failures() < 10000; n++ {
						op := fmt.Sprintf("%d-%d", worker, n)
						class := allClasses[n%3]
						for try := range 4 {
							k, text := f.do(context.Background(), spec{class: class, id: fmt.Sprintf("%s-%d", op, try), op: op, key: op})
							answers[map[kind]int{served: 0, refused: 1, failed: 2}[k]].Add(1)
							if len(text) > 11 && text[:11] == "UNAVAILABLE" {
								wrong.Add(1)
							}
							if k == served {
								break
							}
							if k == failed && class != "search" { // a key's memory is its zone's: nothing says which one it was
								break
							}
						}
					}
				})
			}
			wg.Wait()
			f.close()
			prefix := ""
			if p == overGRPC {
				prefix = "booking.Seats/"
			}
			if twice := w.ledger.ExecutedTwice(prefix + "confirm"); len(twice) > 0 {
				t.Errorf("%d unsafe operations ran twice: %v", len(twice), twice[:min(5, len(twice))])
			}
			if twice := w.ledger.ExecutedTwice(prefix + "record"); len(twice) > 0 {
				t.Errorf("%d keyed operations ran twice: %v", len(twice), twice[:min(5, len(twice))])
			}
			if wrong.Load() > 0 {
				t.Errorf("%d failures that may have run look like refusals", wrong.Load())
			}
			injected := failures()
			if injected < 10000 {
				t.Errorf("only %d failures in the time", injected)
			}
			t.Logf("%d injected faults, %d unsafe operations ran; answers: %d served, %d refused, %d failed", injected,
				w.ledger.Operations(prefix+"confirm"), answers[0].Load(), answers[1].Load(), answers[2].Load())
		})
	}
}
