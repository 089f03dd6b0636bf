// Package clock provides the clock of a process, on which the balancer bases its times: the monotonic time since the process started. It
// also converts the start times of upstreams, which are given by the wall clocks of other machines.
package clock

import "time"

// Start is the time of a new Clock. It is large enough that upstreams that started shortly before this process have a start time above
// 0. A start time of 0 means that the upstream started long ago.
const Start = time.Hour

// Clock counts the time since it was created, plus Start. It is based on time.Now, and therefore on the fake time inside a testing/synctest
// bubble. It is immutable and safe for concurrent use.
type Clock struct{ start time.Time }

// New returns a Clock whose time is Start.
func New() Clock { return Clock{time.Now()} }

// Now returns the clock's time.
func (c Clock) Now() time.Duration { return Start + time.Since(c.start) }

// At converts a result of time.Now to the clock's time.
func (c Clock) At(t time.Time) time.Duration { return Start + t.Sub(c.start) }

// FromUnixMs converts ms, the time at which an upstream started in milliseconds since 1970, to the clock's time. The result is never later
// than the current time. It is 0 if ms is 0 or if the upstream started before the clock's time 0.
//
// The wall clock may have been stepped since the Clock was created, on this machine or on the one that reports the start. So the start is
// converted twice, by the wall clock at the Clock's creation and by the present wall clock, and the later result counts: a result that is
// too late only reduces the upstream's traffic for a while, but one that is too early may overload an upstream that has not warmed up yet.
// A result later than the current time comes from a wrong wall clock and does not count.
func (c Clock) FromUnixMs(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	now := time.Now()
	return startTime(time.UnixMilli(int64(min(ms, maxUnixMs))), c.start.Round(0), now.Round(0), now.Sub(c.start))
}

// maxUnixMs bounds the times that are converted, in milliseconds since 1970, so that the conversion to an integer cannot overflow.
const maxUnixMs = 1e15

// startTime converts the time of a start from the wall clock to a Clock. The parameter at is the start by the wall clock. The parameter
// created is the wall clock's time at which the Clock was created, now is the wall clock's current time, and elapsed is the duration for
// which the Clock has run by then.
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

// minStep is the smallest difference between the two conversions that counts as a step of the wall clock. Smaller differences come from
// clock synchronization.
const minStep = 250 * time.Millisecond
