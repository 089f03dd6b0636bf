package clock

import (
	"testing"
	"time"
)

// The start of an upstream is converted to the clock's time, even if it lies before the start of this process.
func TestFromUnixMs(t *testing.T) {
	c := New()
	if got := c.FromUnixMs(0); got != 0 {
		t.Errorf("start time 0, which means long ago, is converted to %v, want 0", got)
	}
	startMs := float64(c.start.Add(-3 * time.Second).UnixMilli())
	if got := c.FromUnixMs(startMs) - Start; got > -2900*time.Millisecond || got < -3100*time.Millisecond {
		t.Errorf("a start 3 s before the clock's creation is converted to %v after it, want -3s within 100 ms", got)
	}
	if got := c.FromUnixMs(1); got != 0 {
		t.Errorf("a start in 1970 is converted to %v, want 0", got)
	}
}

// A start after now, given by a wall clock that was stepped back or by that of another machine, is converted to a time that is not after now.
func TestFromUnixMsIsNotAfterNow(t *testing.T) {
	c := New()
	for _, ahead := range []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour} {
		if got, now := c.FromUnixMs(float64(time.Now().Add(ahead).UnixMilli())), c.Now(); got > now {
			t.Errorf("a start %v after now is converted to %v, which is %v after now, want no later than now", ahead, got, got-now)
		}
	}
}

// When the wall clock was stepped, the converted start is never earlier than the actual one, and later by at most the size of the step. The
// step may have happened on this machine alone or on all machines.
func TestFromUnixMsAcrossWallClockSteps(t *testing.T) {
	created := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	const elapsed = 10 * time.Minute
	for _, step := range []time.Duration{0, -2 * time.Second, 2 * time.Second, -time.Hour, time.Hour} {
		for _, age := range []time.Duration{0, time.Second, 9 * time.Minute} {
			for _, allStepped := range []bool{false, true} {
				now := created.Add(elapsed + step)
				at := created.Add(elapsed - age) // by a wall clock that was not stepped
				if allStepped {
					at = at.Add(step)
				}
				got := Start + elapsed - startTime(at, created, now, elapsed)
				if got > age {
					t.Errorf("wall clock stepped by %v (on all machines: %v): a start %v ago is taken for %v ago, which is too early", step, allStepped, age, got)
				}
				if late := max(step, -step); age-got > late {
					t.Errorf("wall clock stepped by %v (on all machines: %v): a start %v ago is taken for %v ago, which is too late", step, allStepped, age, got)
				}
			}
		}
	}
}
