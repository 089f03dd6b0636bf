package eureka

import "time"

const (
	initialLeaseBackoff = 250 * time.Millisecond // after a first failure; it doubles up to the renewal interval

	// A renewal is due after nine to ten tenths of the interval, so that many instances do not renew together.
	renewalEarliestTenths = 9
	tenths                = 10
)

// leaseCall is a call of a lease to the registry.
type leaseCall int

const (
	callNone leaseCall = iota
	callRegister
	callRenew
	callOutOfService
	callCancel
)

// leaseOutcome is how a leaseCall ended.
type leaseOutcome int

const (
	outcomeDone    leaseOutcome = iota
	outcomeUnknown              // the registry does not know the instance
	outcomeFailed
)

// lease decides which calls this process's instance makes to the registry, and when: register, renew until the end, out of service once
// it drains, and cancel. It has no I/O and no clock. The outcome of a call is reported before the next one is asked for.
type lease struct {
	renewInterval    time.Duration
	registered       bool
	draining         bool // it is to be out of service
	outOfServiceSent bool
	ending           bool // it is to be cancelled
	ended            bool
	dueAt            time.Time     // of the next call
	backoff          time.Duration // after the next failure
}

func newLease(now time.Time, renewInterval time.Duration) *lease {
	return &lease{renewInterval: renewInterval, dueAt: now, backoff: min(initialLeaseBackoff, renewInterval)}
}

// drain has the instance out of service at once.
func (l *lease) drain(now time.Time) {
	if !l.draining {
		l.draining, l.dueAt = true, now
	}
}

// end has the registration cancelled at once.
func (l *lease) end(now time.Time) {
	if !l.ending {
		l.ending, l.dueAt = true, now
	}
}

// next returns the call that is due now, or callNone and when the next one is; zero: there is none ever again.
func (l *lease) next(now time.Time) (leaseCall, time.Time) {
	switch {
	case l.ended || l.ending && !l.registered:
		l.ended = true
		return callNone, time.Time{}
	case l.dueAt.After(now):
		return callNone, l.dueAt
	case l.ending:
		return callCancel, l.dueAt
	case !l.registered:
		return callRegister, l.dueAt
	case l.draining && !l.outOfServiceSent:
		return callOutOfService, l.dueAt
	}
	return callRenew, l.dueAt
}

// done takes the outcome of a call. spread, from 0 to 1, moves the next one. A failed call is retried after a backoff that doubles, but
// for a cancellation, since the lease expires by itself.
func (l *lease) done(now time.Time, call leaseCall, outcome leaseOutcome, spread float64) {
	if outcome == outcomeFailed && call != callCancel {
		l.dueAt = now.Add(l.backoff/2 + time.Duration(spread*float64(l.backoff/2)))
		l.backoff = min(2*l.backoff, l.renewInterval)
		return
	}
	l.backoff = min(initialLeaseBackoff, l.renewInterval)
	l.dueAt = now.Add(l.renewInterval*renewalEarliestTenths/tenths + time.Duration(spread*float64(l.renewInterval/tenths)))
	switch {
	case call == callCancel:
		l.ended = true
	case outcome == outcomeUnknown: // it expired, or the registry has restarted
		l.registered, l.outOfServiceSent, l.dueAt = false, false, now
	case call == callRegister:
		l.registered = true
		if l.draining {
			l.dueAt = now
		}
	case call == callOutOfService:
		l.outOfServiceSent = true
	}
	if l.ending || l.draining && !l.outOfServiceSent {
		l.dueAt = now
	}
}
