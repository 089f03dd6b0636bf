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
	worldEnd       = 160 * second
	latestNotice   = grace - 50*ms // after the deadline: what is left is for the sockets
	baselineMisses = 3             // cases at least in which the baseline misses the deadline
)

// faultCases are lists with the faults that the protocol names. Changes are made so often that each moment of a fault is tried.
var faultCases = []struct {
	name   string
	pushed bool
	faults []fault
}{
	{"a watch falls silent", false, []fault{{7 * second, silentFault, 0}}},
	{"a call falls silent before its first byte", false, []fault{{0, lateFault, second}, {500 * ms, silentFault, 0}}},
	{"silent, and the next call is late", false, []fault{{7 * second, silentFault, 0}, {8 * second, lateFault, 900 * ms}}},
	{"silent, and the next call falls silent too", false, []fault{{7 * second, silentFault, 0}, {8 * second, lateFault, 900 * ms}, {10 * second, silentFault, 0}}},
	{"silent, and calls are refused", false, []fault{{7 * second, silentFault, 0}, {9 * second, refuseFault, 3 * second}}},
	{"refused, then silent before the first byte", false, []fault{{0, refuseFault, 10 * ms}, {20 * ms, lateFault, second}, {1600 * ms, silentFault, 0}}},
	{"reset", false, []fault{{7 * second, resetFault, 0}}},
	{"reset, and calls are refused", false, []fault{{7 * second, resetFault, 0}, {7 * second, refuseFault, 3 * second}}},
	{"down", false, []fault{{7 * second, downFault, 8 * second}}},
	{"down for long", false, []fault{{7 * second, downFault, 2 * time.Minute}}},
	{"down, and calls at its return are late", false, []fault{{7 * second, downFault, 33 * second}, {40 * second, lateFault, second}}},
	{"cut off", false, []fault{{7 * second, cutFault, 20 * second}, {27 * second, lateFault, second}}},
	{"down, then refused", false, []fault{{7 * second, downFault, 5 * second}, {12 * second, refuseFault, 20 * second}, {32 * second, lateFault, second}}},
	{"pushed: a watch falls silent", true, []fault{{7 * second, silentFault, 0}}},
	{"pushed: silent twice", true, []fault{{7 * second, silentFault, 0}, {9600 * ms, silentFault, 0}}},
	{"pushed: reset", true, []fault{{7 * second, resetFault, 0}}},
	{"pushed: reset again and again", true, []fault{{7 * second, resetFault, 0}, {7020 * ms, resetFault, 0}, {7100 * ms, resetFault, 0}, {7300 * ms, resetFault, 0}}},
	{"pushed: the agent is gone for a while", true, []fault{{7 * second, refuseFault, 3100 * ms}}},
	{"pushed: down", true, []fault{{7 * second, downFault, 8 * second}}},
	{"pushed: down, then reset", true, []fault{{7 * second, downFault, 20 * second}, {27050 * ms, resetFault, 0}}},
}

// No change is noticed later than its deadline, whatever befalls the list. The baseline policy misses some of the deadlines, so that
// the check is known to be able to fail.
func TestChangesMeetDeadline(t *testing.T) {
	var missed atomic.Int32
	t.Cleanup(func() {
		if n := missed.Load(); n < baselineMisses {
			t.Errorf("the baseline policy misses the deadline in %d cases, at least %d are expected", n, baselineMisses)
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
			t.Logf("latest notice %v after the deadline; with the baseline policy %v", worst["machine"], worst["baseline"])
			if worst["machine"] > latestNotice {
				t.Errorf("a change is noticed %v after its deadline", worst["machine"])
			}
			if worst["baseline"] > grace {
				missed.Add(1)
			}
		})
	}
}

// The backoffs of a pushed list follow the settings' DrainGrace where that is less than usual.
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
			t.Errorf("with a grace of %v a change is noticed after %v", grace, worst)
		}
	}
}

// The same in random orders of faults. A list can't be had where all calls fail until the deadline, so that there is no more than one
// silence or one outage at a time, with calls late by up to 1 s.
func TestChangesMeetDeadlineInRandomFaultOrders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		pushed := rapid.Bool().Draw(t, "pushed")
		faults := drawFaults(t)
		if pushed { // the agent is local, and answers at once
			faults = slices.DeleteFunc(faults, func(f fault) bool { return f.kind == lateFault || f.kind == cutFault })
		}
		w := &world{policy: New(Options{Pushed: pushed, FleetSize: rapid.IntRange(1, 400).Draw(t, "sidecars")}, newRand(rapid.Uint64().Draw(t, "seed"))),
			pushed: pushed, faults: faults, changes: changesEvery(151*ms, worldEnd-40*second)}
		w.run(worldEnd)
		if w.worst > latestNotice {
			t.Fatalf("a change is noticed %v after its deadline: %v", w.worst, faults)
		}
	})
}

func drawFaults(t *rapid.T) []fault {
	var faults []fault
	for at := second; at < 100*second; {
		at += time.Duration(rapid.IntRange(0, 12000).Draw(t, "after")) * ms
		kind := rapid.SampledFrom([]string{"silent", "reset", "down", "late silent", "refused", "cut"}).Draw(t, "fault")
		length := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * ms
		switch kind {
		case "silent":
			faults = append(faults, fault{at, silentFault, 0})
			at += missedAt
		case "reset":
			faults = append(faults, fault{at, resetFault, 0})
			at += missedAt
		case "late silent":
			faults = append(faults, fault{at, lateFault, length}, fault{at + length, silentFault, 0})
			at += missedAt + length
		case "refused":
			faults = append(faults, fault{at, silentFault, 0}, fault{at, refuseFault, 3 * length})
			at += missedAt
		case "down":
			faults = append(faults, fault{at, downFault, 10 * length})
			at += 10*length + missedAt
		case "cut":
			faults = append(faults, fault{at, cutFault, 10 * length})
			at += 10*length + missedAt
		}
	}
	return faults
}

// There is one call as long as all is well, few while discovery is down, and no more than maxOpenCalls at a time.
func TestCallRateIsBounded(t *testing.T) {
	for _, c := range []struct {
		name                    string
		pushed                  bool
		faults                  []fault
		maxOpened, maxPerSecond int
	}{
		{"all is well", false, nil, 1, 1},
		{"pushed, all is well", true, nil, 1, 1},
		{"a watch falls silent", false, []fault{{7 * second, silentFault, 0}}, 2, 1},
		{"reset", false, []fault{{7 * second, resetFault, 0}}, 2, 1},
		{"silent, and calls are refused", false, []fault{{7 * second, silentFault, 0}, {9 * second, refuseFault, 3 * second}}, 12, 6},
		{"silent, and calls are refused for long", false, []fault{{7 * second, silentFault, 0}, {9 * second, refuseFault, 2 * time.Minute}}, 70, 6},
		{"down for two minutes", false, []fault{{7 * second, downFault, 2 * time.Minute}}, 66, 2},
		{"cut off for two minutes", false, []fault{{7 * second, cutFault, 2 * time.Minute}}, 66, 2},
		{"first answers take 1 s", false, []fault{{0, lateFault, second}}, 1, 1},
		{"pushed, down for two minutes", true, []fault{{7 * second, downFault, 2 * time.Minute}}, 260, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := &world{policy: New(Options{Pushed: c.pushed, FleetSize: 300}, newRand(seed)), pushed: c.pushed, faults: c.faults}
				w.run(worldEnd)
				if w.opened > c.maxOpened || w.maxPerSecond > c.maxPerSecond || len(w.calls) > maxOpenCalls {
					t.Fatalf("%d calls, %d in a second, %d open; at most %d and %d are wanted", w.opened, w.maxPerSecond, len(w.calls), c.maxOpened, c.maxPerSecond)
				}
			}
		})
	}
}

// A small fleet calls soon after its watches ended, and a large one spreads its calls.
func TestFirstBackoffAfterWatchEnds(t *testing.T) {
	for sidecars, longest := range map[int]time.Duration{0: 600 * ms, 1: 600 * ms, 6: 600 * ms, 50: 600 * ms, 100: 750 * ms, 300: 2250 * ms} {
		for seed := range uint64(100) {
			m := New(Options{FleetSize: sidecars}, newRand(seed))
			m.Start(0)
			m.CallActive(10*ms, 1)
			m.CallEnded(second, 1)
			if wait := m.Next() - second; wait > longest || wait < longest/3 {
				t.Errorf("%d sidecars: the next call %v after the end, at most %v is wanted", sidecars, wait, longest)
			}
		}
	}
}

// Deadline and Connected follow the calls.
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
		{"it ends", func() { m.CallEnded(6*second, 1) }, 11 * second, false},
		{"another address", func() { m.Redirect(6100 * ms) }, 10100 * ms, false},
	}
	for _, s := range steps {
		s.do()
		now := max(m.CurrentAt(), 1)
		if m.Deadline() != s.deadline {
			t.Errorf("%s: deadline %v, want %v", s.name, m.Deadline(), s.deadline)
		}
		if got := m.Connected(max(now, s.deadline-notificationDeadline+silenceTimeout-ms)); s.connected && !got {
			t.Errorf("%s: not connected", s.name)
		}
	}
	if got := fmt.Sprint(m.CallActive(7*second, 1)); got != "[]" || m.Accepts(1) {
		t.Errorf("a call that ended is accepted: %v", got)
	}
}
