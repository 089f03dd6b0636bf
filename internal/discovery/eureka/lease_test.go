package eureka

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leaseWorld is a registry, and the state of the instance whose lease is tested.
type leaseWorld struct {
	lease         *lease
	now           time.Time
	lastCall      time.Time // whatever came of it
	callsAtOnce   int
	known         bool // by the registry
	draining      bool
	ending        bool
	cancellations int
}

const (
	leaseTestInterval = 30 * time.Second
	maxCallsAtOnce    = 6
)

// A lease is renewed in time and cancelled once, and makes no calls without end, whatever their outcomes.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1e12)
		w := &leaseWorld{lease: newLease(start, leaseTestInterval), now: start, lastCall: start}
		for range 200 {
			call, dueAt := w.lease.next(w.now)
			if call != callNone {
				w.makeCall(t, call)
				continue
			}
			if dueAt.IsZero() {
				break
			}
			w.pass(t, dueAt)
		}
		if w.cancellations > 1 {
			t.Fatalf("cancelled %d times", w.cancellations)
		}
	})
}

// pass lets time pass until the next call is due, or something else happens.
func (w *leaseWorld) pass(t *rapid.T, dueAt time.Time) {
	if dueAt.After(w.lastCall.Add(leaseTestInterval)) {
		t.Fatalf("called at %v, and next at %v", w.lastCall, dueAt)
	}
	switch step := rapid.IntRange(0, 20).Draw(t, "step"); step {
	case 0:
		w.lease.drain(w.now)
		w.draining = true
	case 1:
		w.lease.end(w.now)
		w.ending = true
	case 2:
		w.known = false // the registry forgets
		w.now = dueAt
	default:
		w.now = dueAt
	}
	w.callsAtOnce = 0
}

// makeCall checks a call and draws its outcome.
func (w *leaseWorld) makeCall(t *rapid.T, call leaseCall) {
	w.lastCall = w.now
	if w.callsAtOnce++; w.callsAtOnce > maxCallsAtOnce {
		t.Fatalf("%d calls at once", w.callsAtOnce)
	}
	outcome := rapid.SampledFrom([]leaseOutcome{outcomeDone, outcomeDone, outcomeFailed}).Draw(t, "outcome")
	if outcome == outcomeDone && call != callRegister && !w.known {
		outcome = outcomeUnknown
	}
	switch {
	case call == callCancel:
		w.cancellations++
	case w.ending:
		t.Fatalf("call %d after the end", call)
	case call == callOutOfService && !w.draining:
		t.Fatal("out of service though it does not drain")
	case outcome == outcomeDone:
		w.known = true
	}
	w.lease.done(w.now, call, outcome, rapid.Float64Range(0, 1).Draw(t, "spread"))
}
