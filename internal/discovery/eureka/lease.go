package eureka

import "time"

const (
	initialLeaseBackoff = 250 * time.Millisecond // backoff after the first failure; it doubles up to the renewal interval

	// A renewal is due after a random time from nine tenths of the renewal interval to the whole interval, so that many instances do not
	// renew at the same time.
	renewalEarliestTenths = 9
	tenths                = 10
)

// leaseCall is the kind of a call to the registry.
type leaseCall int

const (
	callNone leaseCall = iota
	callRegister
	callRenew
	callOutOfService
	callCancel
)

// leaseOutcome is the outcome of a leaseCall.
type leaseOutcome int

const (
	outcomeDone    leaseOutcome = iota
	outcomeUnknown              // the registry does not know the instance
	outcomeFailed
)

// lease decides which calls this process makes to the registry, and when. The calls register the process's instance, renew its lease, set
// its status to out of service while the process drains, and cancel the lease when the process ends. lease does no I/O and reads no clock.
// The caller must report the outcome of a call to done before it calls next again.
type lease struct {
	renewInterval    time.Duration
	registered       bool
	draining         bool // the status has to be out of service
	outOfServiceSent bool
	ending           bool          // the lease has to be cancelled
	ended            bool          // no further calls are made
	dueAt            time.Time     // when the next call is due
	backoff          time.Duration // backoff after the next failure
}

func newLease(now time.Time, renewInterval time.Duration) *lease {
	return &lease{renewInterval: renewInterval, dueAt: now, backoff: min(initialLeaseBackoff, renewInterval)}
}

// drain schedules the call that sets the status to out of service for now.
func (l *lease) drain(now time.Time) {
	if !l.draining {
		l.draining, l.dueAt = true, now
	}
}

// end schedules the call that cancels the lease for now.
func (l *lease) end(now time.Time) {
	if !l.ending {
		l.ending, l.dueAt = true, now
	}
}

// next returns the call that is due now. If no call is due, next returns callNone and the time at which the next call is due. That time is
// zero if no further calls follow.
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

// done records the outcome of a call. jitter, from 0 to 1, determines when the next call is due within its range. A failed call is retried
// after a backoff, which doubles with each failure. A failed cancellation is not retried, since the lease expires by itself.
func (l *lease) done(now time.Time, call leaseCall, outcome leaseOutcome, jitter float64) {
	if outcome == outcomeFailed && call != callCancel {
		l.dueAt = now.Add(l.backoff/2 + time.Duration(jitter*float64(l.backoff/2)))
		l.backoff = min(2*l.backoff, l.renewInterval)
		return
	}
	l.backoff = min(initialLeaseBackoff, l.renewInterval)
	l.dueAt = now.Add(l.renewInterval*renewalEarliestTenths/tenths + time.Duration(jitter*float64(l.renewInterval/tenths)))
	switch {
	case call == callCancel:
		l.ended = true
	case outcome == outcomeUnknown: // the lease has expired, or the registry has restarted
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
