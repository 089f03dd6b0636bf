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

// load describes the calls of concurrent workers. Each worker makes one call at a time and pauses after it.
type load struct {
	workers, calls int // calls is the number of calls of each worker
	pause          time.Duration
	cost           time.Duration
	classes        []string
}

// run makes the calls. It returns the number of answers by class and outcome, with keys such as "search served".
func (l load) run(f adapter, prefix string) map[string]int {
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range l.workers {
		wg.Go(func() {
			for i := range l.calls {
				op := fmt.Sprintf("%s-%d-%d", prefix, w, i)
				class := l.classes[(w+i)%len(l.classes)]
				k, _ := f.do(context.Background(), callSpec{class: class, id: op, op: op, key: op, cost: l.cost})
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

// comparisonWorkers is the number of concurrent callers of a comparison.
const comparisonWorkers = 8

// comparison describes a set of nodes with which both protocol adapters have to give the same answers and put the same load on each node.
type comparison struct {
	name  string
	nodes []fakes.NodeOptions
	exact bool // the answers must be equal, because random choices do not affect them
	calls int  // number of calls of each worker
	// answersOnly excludes the load on the nodes from the comparison. A reset connection ends one HTTP/1.1 request, but every gRPC stream on that
	// connection. If all nodes reset connections, the number of requests that arrive therefore differs between the adapters.
	answersOnly bool
}

// compare runs a comparison up to three times. The test fails if a count differs in the same direction in all three runs.
func (c comparison) compare(t *testing.T) {
	differences := countDifferences{}
	for play := range 3 {
		answers, nodes := c.play(t)
		n := float64(comparisonWorkers * c.calls)
		runAgain := false
		compareCount := func(label string, a, b int) {
			runAgain = differences.add(t, play, label, n, a, b) || runAgain
		}
		for _, class := range allClasses {
			for _, k := range []outcome{served, rejected, failed} {
				key := class + " " + string(k)
				if a, b := answers[overHTTP][key], answers[overGRPC][key]; c.exact && a != b {
					t.Errorf("%s: %d calls through the daemon, %d through the plug-in, want equal counts", key, a, b)
				} else {
					compareCount(key, a, b)
				}
			}
		}
		t.Logf("answers by adapter, class and outcome: %v", answers)
		for i := range c.nodes {
			if c.answersOnly {
				break
			}
			name := fmt.Sprint("n", i)
			compareCount("requests at "+name, nodes[overHTTP][name].Arrived, nodes[overGRPC][name].Arrived)
		}
		if !runAgain {
			return
		}
	}
	for label, a := range differences {
		if a[0] != 0 && a[0] == a[1] && a[1] == a[2] {
			t.Errorf("%s: the counts of daemon and plug-in differ in the same direction in all three runs", label)
		}
	}
}

// play sends the load through one adapter after the other. For each adapter it returns the answers and the counts of the nodes.
func (c comparison) play(t *testing.T) (answers map[protocol]map[string]int, nodes map[protocol]map[string]fakes.NodeCount) {
	t.Helper()
	answers, nodes = map[protocol]map[string]int{}, map[protocol]map[string]fakes.NodeCount{}
	for _, p := range protocols {
		env := newTestEnvironment(t, c.nodes...)
		f := env.start(t, p, suiteSettings(2*time.Second))
		answers[p] = load{workers: comparisonWorkers, calls: c.calls, pause: time.Millisecond, classes: allClasses}.run(f, string(p))
		f.close()
		nodes[p] = env.ledger.Nodes()
		if twice := env.ledger.ExecutedTwice("confirm"); len(twice) > 0 {
			t.Errorf("%s: HTTP operations were executed twice: %v", p, twice)
		}
		if twice := env.ledger.ExecutedTwice("booking.Seats/confirm"); len(twice) > 0 {
			t.Errorf("%s: gRPC operations were executed twice: %v", p, twice)
		}
	}
	return answers, nodes
}

// countDifferences maps the name of a count to the sign of its difference in each of the three runs. The sign is 0 if the difference is within
// the tolerance.
type countDifferences map[string]*[3]int

// add compares a count of both adapters, each of which sent n requests. It reports whether a further run is necessary: the count differs, and it
// differed in the same direction in the previous run, if there was one.
func (d countDifferences) add(t *testing.T, play int, label string, n float64, a, b int) bool {
	t.Helper()
	p := float64(a+b) / 2 / n
	allowed := 4*math.Sqrt(2*n*p*max(0, 1-p)) + 4
	if math.Abs(float64(a-b)) <= allowed {
		return false
	}
	t.Logf("run %d: %s: %d with the daemon, %d with the plug-in, allowed difference %.0f", play, label, a, b, allowed)
	if d[label] == nil {
		d[label] = new([3]int)
	}
	d[label][play] = cmp.Compare(a, b)
	return play == 0 || d[label][play-1] == d[label][play]
}

// TestSameAnswersSameLoad runs each script of faults through both adapters, with the same seed and endpoint list.
//
// The adapters do not draw the same random numbers, because the order of events depends on their sockets. Their counts therefore only have to
// agree as those of two independent runs do. For a node that gets a fraction p of n requests, the standard deviation of the difference is at most
// sqrt(2np(1-p)) if requests choose nodes independently. The test allows four standard deviations.
//
// The choices are not quite independent: if the machine delays a single answer, the latency estimate of its node rises, and the node gets fewer
// requests until the estimate has decayed. Such delays affect any node of either adapter at random, whereas a real difference shows in each run.
// A count therefore fails the test only if it differs in the same direction in all three runs. The answers of a script without random outcomes
// must be equal in each run. docs/design/fronts.md derives these limits.
func TestSameAnswersSameLoad(t *testing.T) {
	node := func(faults ...fakes.Fault) fakes.NodeOptions {
		return fakes.NodeOptions{Cores: 8, DefaultServiceTime: 2 * time.Millisecond, Faults: faults}
	}
	fault := func(k fakes.FaultKind) fakes.Fault { return fakes.Fault{Kind: k, Factor: 8} }
	ok := node()
	for _, c := range []comparison{
		{"healthy", []fakes.NodeOptions{ok, ok, ok, ok, ok}, true, 90, false},
		{"one slow", []fakes.NodeOptions{node(fault(fakes.Slow)), ok, ok, ok, ok}, true, 90, false},
		{"one freezes", []fakes.NodeOptions{node(fakes.Fault{Kind: fakes.Freeze, Every: 400 * time.Millisecond,
			For: 100 * time.Millisecond}), ok, ok, ok}, true, 90, false},
		{"one rejects", []fakes.NodeOptions{node(fault(fakes.Reject)), ok, ok, ok}, true, 60, false},
		{"one refuses streams", []fakes.NodeOptions{node(fault(fakes.RefuseStream)), ok, ok, ok}, true, 60, false},
		{"one sends GOAWAY", []fakes.NodeOptions{node(fault(fakes.GoAway)), ok, ok, ok}, true, 60, false},
		{"all reject", []fakes.NodeOptions{node(fault(fakes.Reject)), node(fault(fakes.Reject))}, true, 4, false},
		{"all reset before execution", []fakes.NodeOptions{node(fault(fakes.ResetBefore)), node(fault(fakes.ResetBefore))}, false, 20, true},
		{"one resets after execution", []fakes.NodeOptions{node(fault(fakes.ResetAfter)), ok, ok, ok}, false, 60, false},
		{"one answers errors", []fakes.NodeOptions{node(fault(fakes.Fail)), ok, ok, ok}, false, 60, false},
		{"one answers malformed messages", []fakes.NodeOptions{node(fault(fakes.Malformed)), ok, ok, ok}, false, 60, false},
		{"one truncates its answers", []fakes.NodeOptions{node(fault(fakes.Truncate)), ok, ok, ok}, false, 60, false},
	} {
		t.Run(c.name, func(t *testing.T) { c.compare(t) })
	}
}

// Guards against balancers that together overload a node in slow start. A plug-in and a daemon know of each other only through their configured
// fleet size of 2. Both send requests to the same nodes while one node is replaced by a new one. The new node must get requests and must not
// become overloaded.
func TestRestartedNodeWithstandsBothAdapters(t *testing.T) {
	node := fakes.NodeOptions{Cores: 4, SlowStartMinCapacity: 0.3, SlowStartWindow: 8800 * time.Millisecond, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}
	env := newTestEnvironment(t, node, node, node)
	set := suiteSettings(2 * time.Second)
	set.FleetSize = 2
	adapters := []adapter{env.start(t, overHTTP, set), env.start(t, overGRPC, set)}
	stop := make(chan struct{})
	var calls, servedCalls atomic.Int64
	var wg sync.WaitGroup
	for i, f := range adapters {
		for worker := range 10 { // the 20 workers of both adapters send 10 ms of work each in about 30 ms, which is half the capacity of three nodes
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					op := fmt.Sprintf("%d-%d-%d", i, worker, n)
					calls.Add(1)
					if k, _ := f.do(context.Background(), callSpec{class: "search", id: op, op: op, cost: 10 * time.Millisecond}); k == served {
						servedCalls.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond) // the balancers measure the request rate before the restart
	restarted := node
	restarted.Name, restarted.Started = "restarted", time.Now()
	n := env.add(t, restarted)
	env.nodes[0].Kill() // this is the node that the restarted one replaces
	for _, d := range env.discovery {
		d.Remove("n0")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	count := env.ledger.Nodes()["restarted"]
	if n.Down() || count.Overloaded {
		t.Errorf("the restarted node was overloaded after %d requests", count.Arrived)
	}
	if count.Executed == 0 {
		t.Error("the restarted node got no request")
	}
	if share := float64(servedCalls.Load()) / float64(calls.Load()); share < 0.9 {
		t.Errorf("%d of %d calls were served, want at least 90%%", servedCalls.Load(), calls.Load())
	}
	t.Logf("%d calls, %d served, %d executed by the restarted node", calls.Load(), servedCalls.Load(), count.Executed)
}

// Guards against requests to draining nodes. Both adapters send requests at the same time while one node after another drains and new ones are
// added. Every request must be served, and a node must get no new request later than 250 ms after the start of its drain.
func TestNothingNewAfterADrain(t *testing.T) {
	node := fakes.NodeOptions{Cores: 32, DefaultServiceTime: 3 * time.Millisecond}
	env := newTestEnvironment(t, node, node, node, node)
	set := suiteSettings(2 * time.Second)
	adapters := []adapter{env.start(t, overHTTP, set), env.start(t, overGRPC, set)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var notServed atomic.Int64
	for i, f := range adapters {
		for worker := range 16 {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					op := fmt.Sprintf("%d-%d-%d", i, worker, n)
					if k, _ := f.do(context.Background(), callSpec{class: allClasses[n%3], id: op, op: op, key: op}); k != served {
						notServed.Add(1)
					}
				}
			})
		}
	}
	drains := 0
	for round := range 12 {
		time.Sleep(150 * time.Millisecond)
		env.drain(env.nodes[round])
		drains++
		env.add(t, fakes.NodeOptions{Name: fmt.Sprint("r", round), Cores: 32, DefaultServiceTime: 3 * time.Millisecond})
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	for name, c := range env.ledger.Nodes() {
		if c.LastAfterDrain > 250*time.Millisecond {
			t.Errorf("node %s got %d requests after its drain began, the last one after %v; want none later than 250 ms", name, c.AfterDrain, c.LastAfterDrain)
		}
	}
	if notServed.Load() > 0 {
		t.Errorf("%d requests were not served, although three nodes remained at each drain", notServed.Load())
	}
	for _, class := range []string{"confirm", "booking.Seats/confirm"} {
		if twice := env.ledger.ExecutedTwice(class); len(twice) > 0 {
			t.Errorf("non-idempotent operations were executed twice: %v", twice)
		}
	}
	for p, d := range env.discovery {
		for i := range drains {
			if _, ok := d.FirstNotified(env.nodes[i].Options().Name, endpoints.StatusTerminating); !ok {
				t.Errorf("the discovery service for the %s never notified its client of drain %d", p, i)
			}
		}
	}
}

// Guards against an adapter that loses its endpoint list when a watch ends. Discovery ends its watches, is down for a while, and then lists one
// new node in place of all others. Both adapters must continue to serve and must find the new node.
func TestDiscoveryFaults(t *testing.T) {
	for _, p := range protocols {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			env := newTestEnvironment(t, fakes.NodeOptions{Cores: 8}, fakes.NodeOptions{Cores: 8})
			f := env.start(t, p, suiteSettings(2*time.Second))
			n := 0
			call := func() (outcome, string) {
				n++
				op := fmt.Sprint(n)
				return f.do(context.Background(), callSpec{class: "confirm", id: op, op: op})
			}
			env.discovery[p].Break()
			env.discovery[p].Down(true)
			for range 20 {
				if k, text := call(); k != served {
					t.Errorf("call while discovery is down ended as %s with node or error %q, want served", k, text)
				}
			}
			env.add(t, fakes.NodeOptions{Name: "new", Cores: 8})
			for _, old := range env.nodes[:2] {
				env.discovery[p].Remove(old.Options().Name)
			}
			env.discovery[p].Down(false)
			testutil.Eventually(t, "a call is served by the new node", func() bool { _, name := call(); return name == "new" })
			for range 20 {
				if k, name := call(); k != served || name != "new" {
					t.Errorf("call after discovery was up again ended as %s with node or error %q, want served by node new", k, name)
				}
			}
		})
	}
}

// allFaults returns the faults of the n-th node: faults of all kinds that affect requests at random, and regular freezes at times that differ
// between nodes.
func allFaults(n int) (f []fakes.Fault) {
	for _, k := range []fakes.FaultKind{fakes.Reject, fakes.Fail, fakes.FailNotExecuted, fakes.ResetBefore,
		fakes.ResetAfter, fakes.LoseAnswer, fakes.Hang, fakes.Malformed, fakes.Truncate, fakes.RefuseStream, fakes.GoAway} {
		share := 0.04
		if k == fakes.LoseAnswer || k == fakes.Hang {
			share = 0.01 // these faults are rare because the caller waits until its deadline
		}
		f = append(f, fakes.Fault{Kind: k, Share: share})
	}
	return append(f, fakes.Fault{Kind: fakes.Freeze, From: time.Duration(n) * 70 * time.Millisecond,
		Every: time.Second, For: 60 * time.Millisecond})
}

// answerCounts counts the answers that a client gets, and makes the client's retries.
type answerCounts struct {
	served, rejected, failed atomic.Int64
	unavailable              atomic.Int64 // number of failures whose text begins with UNAVAILABLE, which is the status of a rejection
}

// call makes a call and up to three retries. It retries an idempotent request after any failure, and all other requests only after a rejection.
// This includes requests with an idempotency key, because a retry may reach the other zone, whose nodes do not know the key.
func (a *answerCounts) call(f adapter, class, op string) {
	for attempt := range 4 {
		k, text := f.do(context.Background(), callSpec{class: class, id: fmt.Sprintf("%s-%d", op, attempt), op: op, key: op})
		map[outcome]*atomic.Int64{served: &a.served, rejected: &a.rejected, failed: &a.failed}[k].Add(1)
		if len(text) > 11 && text[:11] == "UNAVAILABLE" {
			a.unavailable.Add(1)
		}
		if k == served || k == failed && class != "search" {
			return
		}
	}
}

// TestNothingRunsTwice guards against retries that execute an operation twice. Calls are sent through each adapter until its nodes have injected
// 10,000 faults of all kinds. The clients retry as clients do in production: an idempotent request after any failure, and all others only after a
// rejection. The nodes are in two zones, and the nodes of a zone share their idempotency keys. The ledger records each execution under the
// client's operation. No operation may be executed twice unless its class is idempotent without a key.
func TestNothingRunsTwice(t *testing.T) {
	for _, p := range protocols {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			var nodes []fakes.NodeOptions
			for n := range 6 {
				nodes = append(nodes, fakes.NodeOptions{Cores: 16, Faults: allFaults(n)})
			}
			env := newTestEnvironment(t, nodes...)
			set := suiteSettings(300 * time.Millisecond)
			f := env.start(t, p, set)
			var counts answerCounts
			var wg sync.WaitGroup
			failures := func() (sum int) {
				for _, c := range env.ledger.Nodes() {
					sum += c.Faults
				}
				return sum
			}
			var ended atomic.Bool
			time.AfterFunc(150*time.Second, func() { ended.Store(true) })
			for worker := range 48 {
				wg.Go(func() {
					for n := 0; !ended.Load() && failures() < 10000; n++ {
						op := fmt.Sprintf("%d-%d", worker, n)
						class := allClasses[n%3]
						counts.call(f, class, op)
					}
				})
			}
			wg.Wait()
			f.close()
			prefix := ""
			if p == overGRPC {
				prefix = "booking.Seats/"
			}
			if twice := env.ledger.ExecutedTwice(prefix + "confirm"); len(twice) > 0 {
				t.Errorf("%d non-idempotent operations were executed twice, the first ones: %v", len(twice), twice[:min(5, len(twice))])
			}
			if twice := env.ledger.ExecutedTwice(prefix + "record"); len(twice) > 0 {
				t.Errorf("%d operations with an idempotency key were executed twice, the first ones: %v", len(twice), twice[:min(5, len(twice))])
			}
			if counts.unavailable.Load() > 0 {
				t.Errorf("%d calls that may have been executed failed with UNAVAILABLE, the status of a rejection", counts.unavailable.Load())
			}
			injected := failures()
			if injected < 10000 {
				t.Errorf("%d faults were injected within 150 s, want at least 10000", injected)
			}
			t.Logf("%d injected faults, %d non-idempotent operations executed; answers: %d served, %d rejected, %d failed", injected,
				env.ledger.Operations(prefix+"confirm"), counts.served.Load(), counts.rejected.Load(), counts.failed.Load())
		})
	}
}
