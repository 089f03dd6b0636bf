package eureka

import "time"

// call is what a lease wants said to the registry.
type call int

const (
	callNone call = iota
	callRegister
	callRenew
	callOutOfService
	callCancel
)

// outcome is how a call ended.
type outcome int

const (
	callDone    outcome = iota
	callUnknown         // the registry does not know the instance
	callFailed
)

// lease decides what an instance of our own says to the registry, and when. It is a state machine: the time is told, and
// each call that it wants is answered before it wants another.
type lease struct {
	renew      time.Duration // between renewals
	most       time.Duration // between tries after failures
	registered bool
	draining   bool // it is to be known as out of service
	told       bool // and is
	ending     bool
	ended      bool
	due        time.Time
	wait       time.Duration // after the next failure
}

// leaseFirst is the wait after a first failure; it doubles up to most.
const leaseFirst = 250 * time.Millisecond

func newLease(now time.Time, renew time.Duration) *lease {
	return &lease{renew: renew, most: renew, due: now, wait: min(leaseFirst, renew)}
}

// drain has the registry told that the instance wants nothing new.
func (l *lease) drain(now time.Time) {
	if !l.draining {
		l.draining, l.due = true, now
	}
}

// end has the registration withdrawn.
func (l *lease) end(now time.Time) {
	if !l.ending {
		l.ending, l.due = true, now
	}
}

// next is what is to be said now; callNone: nothing before the time that it gives, or ever again where that is zero.
func (l *lease) next(now time.Time) (call, time.Time) {
	switch {
	case l.ended || l.ending && !l.registered:
		l.ended = true
		return callNone, time.Time{}
	case l.due.After(now):
		return callNone, l.due
	case l.ending:
		return callCancel, l.due
	case !l.registered:
		return callRegister, l.due
	case l.draining && !l.told:
		return callOutOfService, l.due
	}
	return callRenew, l.due
}

// done takes a call's outcome. spread, from 0 to 1, moves the next one, so that many instances do not call together.
func (l *lease) done(now time.Time, c call, o outcome, spread float64) {
	if o == callFailed && c != callCancel {
		l.due = now.Add(l.wait/2 + time.Duration(spread*float64(l.wait/2)))
		l.wait = min(2*l.wait, l.most)
		return
	}
	l.wait = min(leaseFirst, l.renew)
	l.due = now.Add(l.renew*9/10 + time.Duration(spread*float64(l.renew/10)))
	switch {
	case c == callCancel: // also where it failed: the lease runs out by itself
		l.ended = true
	case o == callUnknown: // expired, or the registry started anew
		l.registered, l.told, l.due = false, false, now
	case c == callRegister:
		l.registered = true
		if l.draining {
			l.due = now
		}
	case c == callOutOfService:
		l.told = true
	}
	if l.ending || l.draining && !l.told {
		l.due = now
	}
}
