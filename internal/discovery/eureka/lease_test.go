package eureka

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leaseModel models a registry and the instance whose lease is tested.
type leaseModel struct {
	lease           *lease
	now             time.Time
	lastCall        time.Time // time of the last call, with any outcome
	callsAtOnce     int       // number of calls since the time was last advanced
	knownToRegistry bool
	draining        bool
	ending          bool
	cancellations   int
}

const (
	leaseTestInterval = 30 * time.Second
	maxCallsAtOnce    = 6
)

// TestLease checks that, for any outcomes of its calls, a lease is renewed in time and cancelled at most once, and does not make an endless
// series of calls.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1e12)
		w := &leaseModel{lease: newLease(start, leaseTestInterval), now: start, lastCall: start}
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
			t.Fatalf("lease was cancelled %d times, want at most once", w.cancellations)
		}
	})
}

// pass advances the time to the next call, or makes the process drain or end before the next call.
func (w *leaseModel) pass(t *rapid.T, dueAt time.Time) {
	if dueAt.After(w.lastCall.Add(leaseTestInterval)) {
		t.Fatalf("the last lease call was at %v, and the next is due at %v, more than one renewal interval later", w.lastCall, dueAt)
	}
	switch step := rapid.IntRange(0, 20).Draw(t, "step"); step {
	case 0:
		w.lease.drain(w.now)
		w.draining = true
	case 1:
		w.lease.end(w.now)
		w.ending = true
	case 2:
		w.knownToRegistry = false // the registry has forgotten the instance
		w.now = dueAt
	default:
		w.now = dueAt
	}
	w.callsAtOnce = 0
}

// makeCall checks that a call is allowed and draws its outcome.
func (w *leaseModel) makeCall(t *rapid.T, call leaseCall) {
	w.lastCall = w.now
	if w.callsAtOnce++; w.callsAtOnce > maxCallsAtOnce {
		t.Fatalf("lease made %d calls at the same time, more than maxCallsAtOnce", w.callsAtOnce)
	}
	outcome := rapid.SampledFrom([]leaseOutcome{outcomeDone, outcomeDone, outcomeFailed}).Draw(t, "outcome")
	if outcome == outcomeDone && call != callRegister && !w.knownToRegistry {
		outcome = outcomeUnknown
	}
	switch {
	case call == callCancel:
		w.cancellations++
	case w.ending:
		t.Fatalf("lease made a call of kind %d after the process has ended", call)
	case call == callOutOfService && !w.draining:
		t.Fatal("lease set the status to out of service although the process does not drain")
	case outcome == outcomeDone:
		w.knownToRegistry = true
	}
	w.lease.done(w.now, call, outcome, rapid.Float64Range(0, 1).Draw(t, "jitter"))
}
