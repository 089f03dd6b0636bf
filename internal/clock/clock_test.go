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
