package staleness

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	worldEnd          = 160 * second
	maxNoticeDelay    = drainGrace - 50*ms // longest delay after the deadline; the remaining 50 ms are for the network
	minBaselineMisses = 3                  // smallest number of cases in which the baseline policy must miss the deadline
)

// faultCases are the faults for which the platform's protocol defines a deadline. In the tests the list changes so often that changes fall
// into every phase of a fault.
var faultCases = []struct {
	name   string
	pushed bool
	faults []fault
}{
	{"a watch falls silent", false, []fault{{7 * second, silentFault, 0}}},
	{"a call falls silent before its first byte", false, []fault{{0, slowFault, second}, {500 * ms, silentFault, 0}}},
	{"silent, and the next call is late", false, []fault{{7 * second, silentFault, 0}, {8 * second, slowFault, 900 * ms}}},
	{"silent, and the next call falls silent too", false, []fault{{7 * second, silentFault, 0}, {8 * second, slowFault, 900 * ms}, {10 * second, silentFault, 0}}},
	{"silent, and calls are refused", false, []fault{{7 * second, silentFault, 0}, {9 * second, refuseFault, 3 * second}}},
	{"refused, then silent before the first byte", false, []fault{{0, refuseFault, 10 * ms}, {20 * ms, slowFault, second}, {1600 * ms, silentFault, 0}}},
	{"reset", false, []fault{{7 * second, resetFault, 0}}},
	{"reset, and calls are refused", false, []fault{{7 * second, resetFault, 0}, {7 * second, refuseFault, 3 * second}}},
	{"down", false, []fault{{7 * second, downFault, 8 * second}}},
	{"down for long", false, []fault{{7 * second, downFault, 2 * time.Minute}}},
	{"down, and calls at its return are late", false, []fault{{7 * second, downFault, 33 * second}, {40 * second, slowFault, second}}},
	{"network partition", false, []fault{{7 * second, partitionFault, 20 * second}, {27 * second, slowFault, second}}},
	{"down, then refused", false, []fault{{7 * second, downFault, 5 * second}, {12 * second, refuseFault, 20 * second}, {32 * second, slowFault, second}}},
	{"pushed: a watch falls silent", true, []fault{{7 * second, silentFault, 0}}},
	{"pushed: silent twice", true, []fault{{7 * second, silentFault, 0}, {9600 * ms, silentFault, 0}}},
	{"pushed: reset", true, []fault{{7 * second, resetFault, 0}}},
	{"pushed: reset again and again", true, []fault{{7 * second, resetFault, 0}, {7020 * ms, resetFault, 0}, {7100 * ms, resetFault, 0}, {7300 * ms, resetFault, 0}}},
	{"pushed: the agent is down for 3.1 s", true, []fault{{7 * second, refuseFault, 3100 * ms}}},
	{"pushed: down", true, []fault{{7 * second, downFault, 8 * second}}},
	{"pushed: down, then reset", true, []fault{{7 * second, downFault, 20 * second}, {27050 * ms, resetFault, 0}}},
}

// TestChangesMeetDeadline checks that, despite any fault, each change is noticed by its deadline. The baseline policy must miss some of the
// deadlines, which shows that the check can fail.
func TestChangesMeetDeadline(t *testing.T) {
	var missed atomic.Int32
	t.Cleanup(func() {
		if n := missed.Load(); n < minBaselineMisses {
			t.Errorf("the baseline policy misses the notification deadline in %d cases, want at least %d", n, minBaselineMisses)
		}
	})
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worst := map[string]time.Duration{}
			for seed := range uint64(40) {
				for name, p := range map[string]policy{
					"machine":  New(Options{Pushed: c.pushed, FleetSize: 1 + int(seed)*50}, newRand(seed)),
					"baseline": &baseline{rng: newRand(seed), pushed: c.pushed},
				} {
					w := &world{policy: p, pushed: c.pushed, faults: c.faults, changes: changesEvery(37*ms, 60*second)}
					w.run(worldEnd)
					worst[name] = max(worst[name], w.worst)
				}
			}
			t.Logf("longest delay of a change after its deadline: %v with Machine, %v with the baseline policy", worst["machine"], worst["baseline"])
			if worst["machine"] > maxNoticeDelay {
				t.Errorf("a change was noticed %v after its deadline, later than maxNoticeDelay", worst["machine"])
			}
			if worst["baseline"] > drainGrace {
				missed.Add(1)
			}
		})
	}
}

// TestPushedListKeepsShortGrace guards against backoffs that exceed DrainGrace if the list is pushed and DrainGrace is short.
func TestPushedListKeepsShortGrace(t *testing.T) {
	for _, grace := range []time.Duration{80 * ms, 120 * ms, 200 * ms, 400 * ms} {
		worst := time.Duration(0)
		for _, c := range faultCases {
			for seed := range uint64(8) {
				w := &world{policy: New(Options{Pushed: c.pushed, FleetSize: 300, DrainGrace: grace}, newRand(seed)), pushed: c.pushed, faults: c.faults,
					changes: changesEvery(37*ms, 60*second)}
				if w.run(worldEnd); c.pushed {
					worst = max(worst, w.worst)
				}
			}
		}
		if worst > grace {
			t.Errorf("with a drain grace of %v a change was noticed %v after its deadline", grace, worst)
		}
	}
}

// TestChangesMeetDeadlineInRandomFaultOrders checks the deadline under random sequences of faults. No policy can meet the deadline if all
// calls fail until then. The sequences therefore have at most one silence or outage at a time, and delay calls by at most 1 s.
func TestChangesMeetDeadlineInRandomFaultOrders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		pushed := rapid.Bool().Draw(t, "pushed")
		faults := drawFaults(t)
		if pushed { // the agent is local and answers at once
			faults = slices.DeleteFunc(faults, func(f fault) bool { return f.kind == slowFault || f.kind == partitionFault })
		}
		w := &world{policy: New(Options{Pushed: pushed, FleetSize: rapid.IntRange(1, 400).Draw(t, "sidecars")}, newRand(rapid.Uint64().Draw(t, "seed"))),
			pushed: pushed, faults: faults, changes: changesEvery(151*ms, worldEnd-40*second)}
		w.run(worldEnd)
		if w.worst > maxNoticeDelay {
			t.Fatalf("a change was noticed %v after its deadline, later than maxNoticeDelay; faults: %v", w.worst, faults)
		}
	})
}

func drawFaults(t *rapid.T) []fault {
	var faults []fault
	for at := second; at < 100*second; {
		at += time.Duration(rapid.IntRange(0, 12000).Draw(t, "after")) * ms
		kind := rapid.SampledFrom([]string{"silent", "reset", "down", "slow then silent", "refused", "partition"}).Draw(t, "fault")
		length := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * ms
		switch kind {
		case "silent":
			faults = append(faults, fault{at, silentFault, 0})
			at += missedChangeDeadline
		case "reset":
			faults = append(faults, fault{at, resetFault, 0})
			at += missedChangeDeadline
		case "slow then silent":
			faults = append(faults, fault{at, slowFault, length}, fault{at + length, silentFault, 0})
			at += missedChangeDeadline + length
		case "refused":
			faults = append(faults, fault{at, silentFault, 0}, fault{at, refuseFault, 3 * length})
			at += missedChangeDeadline
		case "down":
			faults = append(faults, fault{at, downFault, 10 * length})
			at += 10*length + missedChangeDeadline
		case "partition":
			faults = append(faults, fault{at, partitionFault, 10 * length})
			at += 10*length + missedChangeDeadline
		}
	}
	return faults
}

// TestCallRateIsBounded guards against sidecars that flood the discovery service with calls. Without a fault only one call may be opened,
// during an outage only few calls, and at most maxOpenCalls may be open at a time.
func TestCallRateIsBounded(t *testing.T) {
	for _, c := range []struct {
		name                    string
		pushed                  bool
		faults                  []fault
		maxOpened, maxPerSecond int
	}{
		{"no fault", false, nil, 1, 1},
		{"pushed, no fault", true, nil, 1, 1},
		{"a watch falls silent", false, []fault{{7 * second, silentFault, 0}}, 2, 1},
		{"reset", false, []fault{{7 * second, resetFault, 0}}, 2, 1},
		{"silent, and calls are refused", false, []fault{{7 * second, silentFault, 0}, {9 * second, refuseFault, 3 * second}}, 12, 6},
		{"silent, and calls are refused for long", false, []fault{{7 * second, silentFault, 0}, {9 * second, refuseFault, 2 * time.Minute}}, 70, 6},
		{"down for two minutes", false, []fault{{7 * second, downFault, 2 * time.Minute}}, 66, 2},
		{"network partition for two minutes", false, []fault{{7 * second, partitionFault, 2 * time.Minute}}, 66, 2},
		{"first answers take 1 s", false, []fault{{0, slowFault, second}}, 1, 1},
		{"pushed, down for two minutes", true, []fault{{7 * second, downFault, 2 * time.Minute}}, 260, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := &world{policy: New(Options{Pushed: c.pushed, FleetSize: 300}, newRand(seed)), pushed: c.pushed, faults: c.faults}
				w.run(worldEnd)
				if w.opened > c.maxOpened || w.maxPerSecond > c.maxPerSecond || len(w.calls) > maxOpenCalls {
					t.Fatalf("%d calls opened, %d of them in one second, %d open now; want at most %d opened and %d in one second", w.opened, w.maxPerSecond, len(w.calls), c.maxOpened, c.maxPerSecond)
				}
			}
		})
	}
}

// TestFirstBackoffAfterWatchEnds checks that a small fleet opens its next calls soon after its watches ended, and that a large fleet
// spreads its next calls over a longer time.
func TestFirstBackoffAfterWatchEnds(t *testing.T) {
	for sidecars, longest := range map[int]time.Duration{0: 600 * ms, 1: 600 * ms, 6: 600 * ms, 50: 600 * ms, 100: 750 * ms, 300: 2250 * ms} {
		for seed := range uint64(100) {
			m := New(Options{FleetSize: sidecars}, newRand(seed))
			m.Start(0)
			m.CallActive(10*ms, 1)
			m.CallEnded(second, 1)
			if wait := m.Next() - second; wait > longest || wait < longest/3 {
				t.Errorf("%d sidecars: the next call is opened %v after the watch ended, want at most %v and at least a third of that", sidecars, wait, longest)
			}
		}
	}
}

// TestDeadlineAndConnected checks that Deadline and Connected follow the events of the calls.
func TestDeadlineAndConnected(t *testing.T) {
	m := New(Options{MaxPollAge: 3 * second}, newRand(1))
	m.Start(0)
	steps := []struct {
		name      string
		do        func()
		deadline  time.Duration
		connected bool
	}{
		{"started", func() {}, 6 * second, false},
		{"heartbeat at 1 s", func() { m.CallActive(second, 1) }, 7 * second, true},
		{"silent at 3.5 s", func() { m.Tick(3500 * ms) }, 7 * second, false},
		{"the next call fails", func() { m.CallEnded(4*second, 2) }, 7 * second, false},
		{"the silent watch delivers", func() { m.CallActive(5*second, 1) }, 11 * second, true},
		{"the watch ends", func() { m.CallEnded(6*second, 1) }, 11 * second, false},
		{"redirect", func() { m.Redirect(6100 * ms) }, 10100 * ms, false},
	}
	for _, s := range steps {
		s.do()
		now := max(m.CurrentAt(), 1)
		if m.Deadline() != s.deadline {
			t.Errorf("%s: deadline %v, want %v", s.name, m.Deadline(), s.deadline)
		}
		if got := m.Connected(max(now, s.deadline-notificationDeadline+silenceTimeout-ms)); s.connected && !got {
			t.Errorf("%s: Connected() = false, want true", s.name)
		}
	}
	if got := fmt.Sprint(m.CallActive(7*second, 1)); got != "[]" || m.Accepts(1) {
		t.Errorf("a message of call 1, which has ended, is accepted or causes the actions %v", got)
	}
}
