// Package clock is the clock of a process: monotonic time since its start, as the balancer counts it. It also converts the start times of
// upstreams, which other machines' wall clocks give. A Clock is immutable.
package clock

import "time"

// Start is the time of a new Clock. It is late enough that upstreams which started shortly before this process have a time above 0, which
// means long ago.
const Start = time.Hour

// Clock is the time since it was made, plus Start. It follows time.Now, and so the time of a testing/synctest bubble. It is safe for
// concurrent use.
type Clock struct{ start time.Time }

// New returns a Clock whose time is Start.
func New() Clock { return Clock{time.Now()} }

// Now returns the clock's time.
func (c Clock) Now() time.Duration { return Start + time.Since(c.start) }

// At converts a time of time.Now to the clock's time.
func (c Clock) At(t time.Time) time.Duration { return Start + t.Sub(c.start) }

// FromUnixMs converts the time at which an upstream started, in milliseconds since 1970, to the clock's time. The result is not after now;
// it is 0 for 0 and for what lies before the clock's time 0.
//
// The wall clock may have been stepped since the Clock was made, on this machine or on the one that reports the start. So the start is
// converted by the wall clock at the Clock's creation and by that of now, and the later result counts: an upstream that is taken for younger
// than it is gets less for a while, one that is taken for warmed up may be overloaded. A result after now is that of a wrong wall clock.
func (c Clock) FromUnixMs(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	now := time.Now()
	return startTime(time.UnixMilli(int64(min(ms, maxUnixMs))), c.start.Round(0), now.Round(0), now.Sub(c.start))
}

// maxUnixMs bounds the times that are converted, in milliseconds since 1970, so that the conversion to an integer cannot overflow.
const maxUnixMs = 1e15

// startTime converts a start at a time of the wall clock to the time of a Clock. The wall clock was at created when the Clock was made, and is
// at now after the time elapsed.
func startTime(at, created, now time.Time, elapsed time.Duration) time.Duration {
	present := Start + elapsed
	byCreated := Start + at.Sub(created)
	byNow := present + at.Sub(now)
	switch stepped := byCreated-byNow > minStep || byNow-byCreated > minStep; {
	case !stepped, byNow > present:
		return max(0, min(byCreated, present))
	case byCreated > present:
		return max(0, byNow)
	}
	return max(0, byCreated, byNow)
}

// minStep is the least difference between two readings of the wall clock that counts as a step; less comes from its synchronization.
const minStep = 250 * time.Millisecond
