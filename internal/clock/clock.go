// Package clock is the one clock of a process: monotonic time since a start, as the decision module counts it.
package clock

import "time"

// Start is what a Clock shows when it is made. It is late enough that the times at which upstreams started shortly
// before this process are above 0, which means long ago.
const Start = time.Hour

// Clock tells the time since it was made, plus Start. It follows time.Now, and so the time of a testing/synctest
// bubble. It is safe for concurrent use.
type Clock struct{ start time.Time }

// New returns a Clock that shows Start now.
func New() Clock { return Clock{time.Now()} }

// Now is the time on the clock.
func (c Clock) Now() time.Duration { return Start + time.Since(c.start) }

// At converts a time of the wall, as time.Now gives it, to the clock.
func (c Clock) At(t time.Time) time.Duration { return Start + t.Sub(c.start) }

// FromUnixMs converts the time at which something started, in milliseconds since 1970, which is not ahead. 0 and what lies before the
// clock's time 0 is 0.
//
// The wall clock may have been stepped since the Clock was made, on this machine or on the one that tells the time. So the time is read by
// the wall as it was then and as it is now, and the later start counts: an upstream taken for colder than it is gets less for a while,
// one taken for warm may be overrun. A start ahead of now was read by a wall that is wrong.
func (c Clock) FromUnixMs(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	now := time.Now()
	return started(time.UnixMilli(int64(min(ms, 1e15))), c.start.Round(0), now.Round(0), now.Sub(c.start))
}

// started is when what has started at a time of the wall did so, on a Clock that was made when the wall showed then, some elapsed time
// before it shows now.
func started(at, then, now time.Time, elapsed time.Duration) time.Duration {
	present := Start + elapsed
	byThen := Start + at.Sub(then)
	byNow := present + at.Sub(now)
	switch stepped := byThen-byNow > stepLeast || byNow-byThen > stepLeast; {
	case !stepped, byNow > present:
		return max(0, min(byThen, present))
	case byThen > present:
		return max(0, byNow)
	}
	return max(0, byThen, byNow)
}

// stepLeast is how far two readings of the wall differ where it was stepped; less is its being held to true time.
const stepLeast = 250 * time.Millisecond
