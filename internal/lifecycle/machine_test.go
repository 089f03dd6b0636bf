package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testGracePeriod = 3550 * time.Millisecond

// events are the events of a process. Each function returns whether the machine accepted the event.
var events = map[string]func(*Machine, time.Duration) bool{
	"drain":    (*Machine).Drain,
	"undrain":  (*Machine).Undrain,
	"stop":     func(m *Machine, now time.Duration) bool { m.Stop(now, false); return true },
	"replaced": func(m *Machine, now time.Duration) bool { m.Stop(now, true); return true },
}

// TestEveryPairOfEvents checks the state after each pair of events. Stopping and Replaced must be final, a second event of the same kind
// must not restart the times that count from the start of the state, and Undrain must return a draining process to Serving.
func TestEveryPairOfEvents(t *testing.T) {
	type want struct {
		state    State
		accepted bool // whether the second event is accepted
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
			m := New(testGracePeriod)
			events[first](m, time.Second)
			accepted := events[second](m, 3*time.Second)
			if w := table[first][second]; m.State() != w.state || accepted != w.accepted {
				t.Errorf("after %s and %s: state %v, second event accepted %v; want state %v, accepted %v", first, second, m.State(), accepted,
					w.state, w.accepted)
			}
			if first == second && m.since != time.Second && first != "undrain" {
				t.Errorf("a second %s event restarted the times that count from the start of the state", first)
			}
		}
	}
}

// TestOutputsOfEachState checks the outputs of each state at different times after its start.
func TestOutputsOfEachState(t *testing.T) {
	const none = -1 // no idle connection is closed
	for _, c := range []struct {
		event            string
		age              time.Duration // since the event
		ready            bool
		closeAfterAnswer bool
		accepts          bool
		idle             time.Duration
		abort            bool
	}{
		{"undrain", time.Hour, true, false, true, none, false},
		{"drain", 0, false, true, true, none, false},
		{"drain", 599 * time.Millisecond, false, true, true, none, false},
		{"drain", 600 * time.Millisecond, false, true, true, time.Second, false},
		{"drain", 2500 * time.Millisecond, false, true, true, shortIdle, false},
		{"drain", time.Hour, false, true, true, shortIdle, false},
		{"replaced", 0, true, true, false, none, false},
		{"replaced", 700 * time.Millisecond, true, true, false, time.Second, false},
		{"replaced", testGracePeriod - 300*time.Millisecond, true, true, false, shortIdle, false},
		{"replaced", testGracePeriod, true, true, false, shortIdle, true},
		{"stop", 0, false, true, true, none, false},
		{"stop", 449 * time.Millisecond, false, true, true, none, false},
		{"stop", 450 * time.Millisecond, false, true, true, shortIdle, false},
		{"stop", 600 * time.Millisecond, false, true, false, 0, false},
		{"stop", testGracePeriod - 1, false, true, false, 0, false},
		{"stop", testGracePeriod, false, true, false, 0, true},
	} {
		m := New(testGracePeriod)
		events[c.event](m, time.Minute)
		now := time.Minute + c.age
		idle, _, closing := m.IdleTimeout(now)
		if !closing {
			idle = none
		}
		_, abort := m.Abort(now)
		if m.Ready() != c.ready || m.CloseAfterAnswer() != c.closeAfterAnswer || m.Accepts(now) != c.accepts || idle != c.idle || abort != c.abort {
			t.Errorf("wrong outputs after event %s and %v later: ready %v, close after answer %v, accepts %v, idle timeout %v, abort %v", c.event, c.age, m.Ready(),
				m.CloseAfterAnswer(), m.Accepts(now), idle, abort)
		}
	}
}

// TestAnySequenceOfEvents checks that Stopping and Replaced are final and abort at the end of the grace period; that a draining process
// closes all unused connections within 4 s; and that the next call that IdleTimeout asks for is in the future, and not later than the next
// change of its result.
func TestAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(testGracePeriod), time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			before, since := m.State(), m.since
			name := rapid.SampledFrom([]string{"drain", "undrain", "stop", "replaced"}).Draw(t, "event")
			events[name](m, now)
			if (before == Stopping || before == Replaced) && (m.State() != before || m.since != since) {
				t.Fatalf("%s changed a final state: state %v after %v", name, m.State(), before)
			}
			for range rapid.IntRange(0, 8).Draw(t, "checks") {
				if m.State() == Serving {
					break
				}
				now += checkIdleTimeout(t, m, now)
			}
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
		}
	})
}

// checkIdleTimeout checks the outputs of a process that does not serve, and returns the time until the next call of IdleTimeout.
func checkIdleTimeout(t *rapid.T, m *Machine, now time.Duration) (next time.Duration) {
	t.Helper()
	idle, next, closing := m.IdleTimeout(now)
	if next <= 0 {
		t.Fatalf("%v: IdleTimeout is to be called again in %v, want a positive time", m.State(), next)
	}
	if before, _, _ := m.IdleTimeout(now + next - 1); before != idle {
		t.Fatalf("%v at %v: the idle timeout changes before the next call of IdleTimeout, which is due in %v", m.State(), now-m.since, next)
	}
	if m.State() == Draining && now-m.since >= 3*time.Second && (!closing || idle > shortIdle) {
		t.Fatalf("%v after %v: idle connections are not closed", m.State(), now-m.since)
	}
	if left, abort := m.Abort(now); m.Ending() && abort != (now-m.since >= testGracePeriod) || !abort && left > testGracePeriod {
		t.Fatalf("wrong result of Abort %v after the start of the state: abort %v, time left %v", now-m.since, abort, left)
	}
	return next
}
