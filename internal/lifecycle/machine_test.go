package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const grace = 3550 * time.Millisecond

// events are all that may befall a process.
var events = map[string]func(*Machine, time.Duration) bool{
	"drain":    (*Machine).Drain,
	"undrain":  (*Machine).Undrain,
	"stop":     func(l *Machine, now time.Duration) bool { l.Stop(now, false); return true },
	"replaced": func(l *Machine, now time.Duration) bool { l.Stop(now, true); return true },
}

// Every pair of events, and what comes of it. Guards against a process that serves again after its end has begun, a second call
// that begins a drain anew and so never lets connections be closed, and a drain that is not taken back.
func TestEveryPairOfEvents(t *testing.T) {
	type want struct {
		state State
		ok    bool // of the second event
	}
	table := map[string]map[string]want{
		"drain": {"drain": {Draining, true}, "undrain": {Serving, true}, "stop": {Stopping, true}, "replaced": {Replaced, true}},
		"undrain": {"drain": {Draining, true}, "undrain": {Serving, true}, "stop": {Stopping, true},
			"replaced": {Replaced, true}},
		"stop": {"drain": {Stopping, false}, "undrain": {Stopping, false}, "stop": {Stopping, true},
			"replaced": {Stopping, true}},
		"replaced": {"drain": {Replaced, false}, "undrain": {Replaced, false}, "stop": {Replaced, true},
			"replaced": {Replaced, true}},
	}
	for first := range events {
		for second := range events {
			l := New(grace)
			events[first](l, time.Second)
			ok := events[second](l, 3*time.Second)
			if w := table[first][second]; l.State() != w.state || ok != w.ok {
				t.Errorf("%s, %s: %v, %v; want %v, %v", first, second, l.State(), ok, w.state, w.ok)
			}
			if first == second && l.since != time.Second && first != "undrain" {
				t.Errorf("%s twice begins anew", first)
			}
		}
	}
}

// What holds in each state, by the time since it began. "closes" is the least rest of a connection that is closed then; -1: none is.
func TestWhatHoldsInEachState(t *testing.T) {
	for _, c := range []struct {
		into    string
		after   time.Duration
		wanted  bool
		last    bool
		accepts bool
		closes  time.Duration
		abort   bool
	}{
		{"undrain", time.Hour, true, false, true, -1, false},
		{"drain", 0, false, true, true, -1, false},
		{"drain", 599 * time.Millisecond, false, true, true, -1, false},
		{"drain", 600 * time.Millisecond, false, true, true, time.Second, false},
		{"drain", 2500 * time.Millisecond, false, true, true, restShort, false},
		{"drain", time.Hour, false, true, true, restShort, false},
		{"replaced", 0, true, true, false, -1, false},
		{"replaced", 700 * time.Millisecond, true, true, false, time.Second, false},
		{"replaced", grace - 300*time.Millisecond, true, true, false, restShort, false},
		{"replaced", grace, true, true, false, restShort, true},
		{"stop", 0, false, true, true, -1, false},
		{"stop", 449 * time.Millisecond, false, true, true, -1, false},
		{"stop", 450 * time.Millisecond, false, true, true, restShort, false},
		{"stop", 600 * time.Millisecond, false, true, false, 0, false},
		{"stop", grace - 1, false, true, false, 0, false},
		{"stop", grace, false, true, false, 0, true},
	} {
		l := New(grace)
		events[c.into](l, time.Minute)
		now := time.Minute + c.after
		rest, _, closing := l.IdleTimeout(now)
		if !closing {
			rest = -1
		}
		_, abort := l.Abort(now)
		if l.Ready() != c.wanted || l.CloseAfterAnswer() != c.last || l.Accepts(now) != c.accepts || rest != c.closes || abort != c.abort {
			t.Errorf("%s and %v: wanted %v, last answers %v, accepts %v, closes %v, aborts %v", c.into, c.after, l.Ready(),
				l.CloseAfterAnswer(), l.Accepts(now), rest, abort)
		}
	}
}

// Whatever befalls a process: an end that has begun is never taken back and comes in time; a drained one has let go of every
// connection that is not in use well within 4 s; and whoever follows Rest's own times is never told to wait for a moment that has
// passed, nor past one at which something changes.
func TestAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(grace), time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			was, since := l.State(), l.since
			name := rapid.SampledFrom([]string{"drain", "undrain", "stop", "replaced"}).Draw(t, "event")
			events[name](l, now)
			if (was == Stopping || was == Replaced) && (l.State() != was || l.since != since) {
				t.Fatalf("%s takes the end back: %v after %v", name, l.State(), was)
			}
			for range rapid.IntRange(0, 8).Draw(t, "looks") {
				rest, again, closing := l.IdleTimeout(now)
				if l.State() == Serving {
					break
				}
				if again <= 0 {
					t.Fatalf("%v: again in %v", l.State(), again)
				}
				before, _, _ := l.IdleTimeout(now + again - 1)
				if before != rest {
					t.Fatalf("%v at %v: what is closed changes before %v have passed", l.State(), now-l.since, again)
				}
				if l.State() == Draining && now-l.since >= 3*time.Second && (!closing || rest > restShort) {
					t.Fatalf("%v after %v: idle connections stay", l.State(), now-l.since)
				}
				if left, abort := l.Abort(now); l.Ending() && abort != (now-l.since >= grace) || !abort && left > grace {
					t.Fatalf("%v: abort %v, left %v", now-l.since, abort, left)
				}
				now += again
			}
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "later")) * time.Millisecond
		}
	})
}
