package clock

import (
	"testing"
	"time"
)

// The start of an upstream is converted to the clock's time, also if it lies before the start of this process.
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

// A start after now, by a wall clock that was stepped back or is another machine's, is now.
func TestFromUnixMsIsNotAfterNow(t *testing.T) {
	c := New()
	for _, ahead := range []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour} {
		if got, now := c.FromUnixMs(float64(time.Now().Add(ahead).UnixMilli())), c.Now(); got > now {
			t.Errorf("a start %v ahead is %v, %v ahead", ahead, got, got-now)
		}
	}
}

// With a stepped wall clock a start is never taken for earlier than it was, and for later by the step at most. The step may be that of this
// machine's wall clock alone, or of all.
func TestFromUnixMsAcrossWallClockSteps(t *testing.T) {
	created := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	const elapsed = 10 * time.Minute
	for _, step := range []time.Duration{0, -2 * time.Second, 2 * time.Second, -time.Hour, time.Hour} {
		for _, age := range []time.Duration{0, time.Second, 9 * time.Minute} {
			for _, all := range []bool{false, true} {
				now := created.Add(elapsed + step)
				at := created.Add(elapsed - age) // by a wall clock that was not stepped
				if all {
					at = at.Add(step)
				}
				got := Start + elapsed - startTime(at, created, now, elapsed)
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
