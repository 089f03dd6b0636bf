package balancer

import (
	"time"
)

// The retry budget, in attempts. Every first attempt earns a part of a retry, so that retries and hedged
// requests can't multiply the load when many attempts fail.
const (
	retryTokensPerRequest = 0.25 // tokens earned by a first attempt; each further attempt spends one
	retryTokensBurst      = 10.0 // attempts at once: without it a sidecar of little traffic could not retry
)

// updateRetryTokens earns or spends for an attempt about to be sent. The bucket holds retryTokensBurst, or
// what a second of the offered rate earns if that is more. A retry that the budget does not bind (see
// handleOutcome) does not overdraw it.
func (b *Balancer) updateRetryTokens(a *attempt) {
	if a.number == 0 {
		limit := max(retryTokensBurst, retryTokensPerRequest*b.offeredRate.perSecond(b.now))
		b.retryTokens = min(b.retryTokens+retryTokensPerRequest, limit)
	} else {
		b.retryTokens = max(b.retryTokens-1, 0)
	}
}

// attemptsExhausted reports whether MaxAttempts are used. An attempt that was not sent uses none, up to as
// many again: otherwise requests would end where the endpoint list changes faster than attempts are sent.
func (b *Balancer) attemptsExhausted(r *request) bool {
	return len(r.attempts)-min(r.notSent, b.settings.MaxAttempts) >= b.settings.MaxAttempts
}

// mayAttempt reports whether r may be sent to u now. Every attempt passes it. It holds what must never be
// violated: the endpoint list, MaxAttempts, idempotency and its scope and window, one attempt at a time
// where hedging is ruled out, and slow start. handleOutcome holds the retry budget, dispatch the time left.
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

// outsideDedupScope reports whether u would execute again what was sent to zone and cell, because the two do
// not share their deduplication.
func (c *class) outsideDedupScope(zone string, cell int, u *upstream) bool {
	if c.Idempotency != IdempotentWithKey {
		return false
	}
	return c.DedupScope == ScopeZone && zone != u.zone || c.DedupScope == ScopeCell && cell != u.cell
}

// retryForbidden reports whether an attempt may have run after which no other may follow: of a
// non-idempotent request, or of one with an idempotency key whose deduplication window ends.
func (b *Balancer) retryForbidden(r *request) bool {
	since, mayHaveRun := r.firstPossibleExecution()
	if !mayHaveRun {
		return false
	}
	switch r.class.Idempotency {
	case NonIdempotent:
		return true
	case IdempotentWithKey:
		return b.now > b.latestRetryTime(r, since)
	default:
		return false
	}
}

// firstPossibleExecution returns when the first of the attempts that may have run was sent, a clock time,
// and whether there is one.
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

// latestRetryTime returns the clock time by which a retry of a request with an idempotency key has to be
// sent, when the first execution may have begun at since.
func (b *Balancer) latestRetryTime(r *request, since time.Duration) time.Duration {
	return since + r.class.DedupWindow - dedupMarginTicks*b.settings.Tick
}

// retrySendBy returns the clock time by which the next attempt's last byte has to be sent; 0: at any time.
// It keeps a retry that waits for a connection from arriving after the deduplication window.
func (b *Balancer) retrySendBy(r *request) time.Duration {
	since, mayHaveRun := r.firstPossibleExecution()
	if !mayHaveRun || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return b.latestRetryTime(r, since)
}

// mayReject reports whether a request may end with Reject, which tells its client that repeating it does no
// harm: it certainly did not run, or a repeat is recognized wherever it is sent.
func mayReject(r *request) bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == ScopeAll {
		return true
	}
	_, mayHaveRun := r.firstPossibleExecution()
	return !mayHaveRun
}

const (
	// usualTimeLeftVotesMax bounds the votes for a usual time left, so that another value can win later. With
	// more than usualTimeLeftVotesTrusted the value is relied on.
	usualTimeLeftVotesMax     = 20
	usualTimeLeftVotesTrusted = usualTimeLeftVotesMax / 2

	// timeLeftToleranceTicks, in ticks, is how far from the usual a time left may be and still count as it.
	timeLeftToleranceTicks = 2
)

// firstAttemptTime returns when a client first sent the request that arrives now, a clock time; now, if it
// is taken as the first attempt of its client. A client's retry is recognized by its time left until
// deadline: first attempts of a class mostly have the same, while a retry's ends with all the client's
// retries, one class Deadline after the first attempt. The usual time left is learnt by majority vote.
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
