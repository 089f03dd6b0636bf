package clock

import (
	"testing"
	"time"
)

// Guards against a new process taken for an old one: its age tells the module how warm it is. Also one that
// started before this process did.
func TestFromUnixMs(t *testing.T) {
	c := New()
	if got := c.FromUnixMs(0); got != 0 {
		t.Errorf("long ago is %v", got)
	}
	since := float64(c.start.Add(-3 * time.Second).UnixMilli())
	if got := c.FromUnixMs(since) - Start; got > -2900*time.Millisecond || got < -3100*time.Millisecond {
		t.Errorf("3 s before the start is %v", got)
	}
	if got := c.FromUnixMs(1); got != 0 {
		t.Errorf("1970 is %v", got)
	}
}

// Guards against an upstream that gets next to nothing: one whose start lies ahead, since the wall clock was stepped back or is another
// machine's, has started now at the latest.
func TestNothingStartsInTheFuture(t *testing.T) {
	c := New()
	for _, ahead := range []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour} {
		if got, now := c.FromUnixMs(float64(time.Now().Add(ahead).UnixMilli())), c.Now(); got > now {
			t.Errorf("a start %v ahead is %v, %v ahead", ahead, got, got-now)
		}
	}
}

// Guards against a stepped wall clock: a start is never taken for earlier than it was, and for no later where one of the two readings is
// right. The step may be of this machine's wall alone, or of all.
func TestStartsAreKnownBehindAStep(t *testing.T) {
	then := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	const elapsed = 10 * time.Minute
	for _, step := range []time.Duration{0, -2 * time.Second, 2 * time.Second, -time.Hour, time.Hour} {
		for _, age := range []time.Duration{0, time.Second, 9 * time.Minute} {
			for _, all := range []bool{false, true} {
				now := then.Add(elapsed + step)
				at := then.Add(elapsed - age) // as a wall that was not stepped tells it
				if all {
					at = at.Add(step)
				}
				got := Start + elapsed - started(at, then, now, elapsed)
				if got > age {
					t.Errorf("stepped by %v (all: %v): a start %v ago is taken for %v ago", step, all, age, got)
				}
				if late := max(step, -step); age-got > late {
					t.Errorf("stepped by %v (all: %v): a start %v ago is taken for %v ago", step, all, age, got)
				}
			}
		}
	}
}
