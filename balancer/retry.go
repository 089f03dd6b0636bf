package balancer

import (
	"time"
)

// The retry budget is a token bucket; one token is one attempt. Every first attempt earns a part of a token,
// so that retries and hedged requests can't multiply the load when many attempts fail.
const (
	retryTokensPerRequest = 0.25 // tokens earned by a first attempt; each further attempt spends one
	retryTokensBurst      = 10.0 // attempts at once; without a burst, a low-traffic sidecar could not retry
)

// updateRetryTokens earns or spends tokens for an attempt about to be sent. The bucket holds at most
// retryTokensBurst, or what the offered rate earns in a second if that is more. A retry that needs no token
// (see handleOutcome) does not overdraw it.
func (b *Balancer) updateRetryTokens(a *attempt) {
	if a.number == 0 {
		limit := max(retryTokensBurst, retryTokensPerRequest*b.offeredRate.perSecond(b.now))
		b.retryTokens = min(b.retryTokens+retryTokensPerRequest, limit)
	} else {
		b.retryTokens = max(b.retryTokens-1, 0)
	}
}

// attemptsExhausted reports whether r has used MaxAttempts. Up to MaxAttempts attempts that were not sent
// do not count: otherwise requests would end where the endpoint list changes faster than attempts are sent.
func (b *Balancer) attemptsExhausted(r *request) bool {
	return len(r.attempts)-min(r.notSent, b.settings.MaxAttempts) >= b.settings.MaxAttempts
}

// mayAttempt reports whether r may be sent to u now. Every attempt must pass it. It enforces what must
// never be violated: the endpoint list, MaxAttempts, idempotency with its deduplication scope and window,
// one attempt at a time where hedging is not allowed, and slow start. handleOutcome enforces the retry
// budget, and dispatch the time left.
func (b *Balancer) mayAttempt(r *request, u *upstream) bool {
	if r.finished || r.responseStarted || r.bodyConsumed || b.attemptsExhausted(r) ||
		b.now >= r.timing.deadline || !u.active {
		return false
	}
	hedgeable := b.settings.HedgingAllowed && r.class.Idempotency != NonIdempotent && !r.uploading
	if r.inFlight > 0 && !hedgeable {
		return false
	}
	if b.retryForbidden(r) {
		return false
	}
	for _, a := range r.attempts {
		if a.mayHaveRun && r.class.outsideDedupScope(a.zone, a.cell, u) {
			return false
		}
	}
	for _, a := range r.earlierAttempts {
		if r.class.outsideDedupScope(a.Zone, a.Cell, u) {
			return false
		}
	}
	return b.slowStartAllows(u)
}

// outsideDedupScope reports whether u would execute again a request that was sent to an upstream of zone
// and cell, because the two upstreams do not share their deduplication.
func (c *class) outsideDedupScope(zone string, cell int, u *upstream) bool {
	if c.Idempotency != IdempotentWithKey {
		return false
	}
	return c.DedupScope == ScopeZone && zone != u.zone || c.DedupScope == ScopeCell && cell != u.cell
}

// retryForbidden reports whether no attempt may follow one that may have run: the request is non-idempotent,
// or the group that knows its key is unknown, or forgets it within dedupMarginTicks.
func (b *Balancer) retryForbidden(r *request) bool {
	since, mayHaveRun := r.firstPossibleExecution()
	if !mayHaveRun {
		return false
	}
	switch r.class.Idempotency {
	case NonIdempotent:
		return true
	case IdempotentWithKey:
		return b.now > b.latestRetryTime(r, since) || r.mayHaveRunInUnknownGroup()
	default:
		return false
	}
}

// firstPossibleExecution returns the clock time at which the earliest attempt that may have run was sent,
// and whether there is such an attempt.
func (r *request) firstPossibleExecution() (since time.Duration, found bool) {
	consider := func(sentAt time.Duration) {
		if !found || sentAt < since {
			since, found = sentAt, true
		}
	}
	for _, a := range r.earlierAttempts {
		consider(a.SentAt)
	}
	for _, a := range r.attempts {
		if a.mayHaveRun {
			consider(a.sentAt)
		}
	}
	return since, found
}

// dedupMarginTicks, in ticks, is how long before the end of its deduplication window a retry has to be sent.
const dedupMarginTicks = 2

// latestRetryTime returns the clock time by which a retry of a request with an idempotency key must be sent.
// The parameter since is the time at which the first execution may have begun.
func (b *Balancer) latestRetryTime(r *request, since time.Duration) time.Duration {
	return since + r.class.DedupWindow - dedupMarginTicks*b.settings.Tick
}

// retrySendBy returns the clock time by which the next attempt's last byte has to be sent, or 0 if there is
// no limit. The limit keeps a retry that waits for a connection from arriving after the deduplication window.
func (b *Balancer) retrySendBy(r *request) time.Duration {
	since, mayHaveRun := r.firstPossibleExecution()
	if !mayHaveRun || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return b.latestRetryTime(r, since)
}

// mayReject reports whether a request may end with Reject, which tells its client that repeating it does no
// harm: it is idempotent, certainly did not run, or has an idempotency key that all upstreams recognize.
func mayReject(r *request) bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == ScopeAll {
		return true
	}
	_, mayHaveRun := r.firstPossibleExecution()
	return !mayHaveRun
}

const (
	// usualTimeLeftVotesMax limits the votes for the usual time left, so that another value can win later.
	// The value is used once it has more than usualTimeLeftVotesTrusted votes.
	usualTimeLeftVotesMax     = 20
	usualTimeLeftVotesTrusted = usualTimeLeftVotesMax / 2

	// timeLeftToleranceTicks, in ticks, is how far a time left may be from the usual one and still match it.
	timeLeftToleranceTicks = 2
)

// firstAttemptTime returns the clock time at which the client first sent the request that arrives now, or now
// if the request seems to be a first attempt. Most first attempts of a class arrive with the same time left
// until their deadline, which is learnt by majority vote. A request with another time left is taken for a
// retry. A client's retries all end one class Deadline after its first attempt, which gives that attempt's
// time.
func (c *class) firstAttemptTime(now, deadline, tick time.Duration) time.Duration {
	left := deadline - now
	if (left - c.usualTimeLeft).Abs() <= timeLeftToleranceTicks*tick {
		c.usualTimeLeftVotes = min(c.usualTimeLeftVotes+1, usualTimeLeftVotesMax)
		return now
	}
	if c.usualTimeLeftVotes--; c.usualTimeLeftVotes < 0 {
		c.usualTimeLeft, c.usualTimeLeftVotes = left, 0
	}
	first := deadline - c.Deadline
	if c.usualTimeLeftVotes > usualTimeLeftVotesTrusted && first < now {
		return first
	}
	return now
}
