package balancer

import "time"

const (
	// ejectionBase is the first ejection time. It doubles with each trial that fails, up to ejectionMax. Both
	// apply before the jitter.
	ejectionBase = time.Second
	ejectionMax  = 8 * time.Second

	// An ejection time is multiplied by a random factor between these, so that the sidecars do not all send
	// their trials at once.
	ejectionJitterMin    = 0.75
	ejectionJitterMax    = 1.25
	maxConsecutiveErrors = 3    // error answers in a row that eject; two ServerErrors eject by their ratio
	errorRatioWeight     = 0.25 // weight of one answer in the error ratio

	// errorRatioEject is the error ratio above which an upstream is ejected: a second error within about four
	// answers exceeds it.
	errorRatioEject  = 0.35
	errorRatioReturn = 0.25 // error ratio above which an upstream stays ejected after a good answer

	// silenceObjectives is how long an upstream with failures may go without an answer, in mean latency
	// objectives.
	silenceObjectives      = 3.0
	failuresBeforeEjection = 2 // failures in a row that eject: one connection may break by chance

	// fastConnectParts divides ConnectTimeout: a connect that fails sooner than the quotient counts as refused.
	fastConnectParts = 2
)

// available reports whether u is not ejected, or may get r as its trial: the ejection time is over, nothing
// is in flight at it, and r may be sent twice.
func (b *Balancer) available(u *upstream, r *request) bool {
	if b.now < u.outlier.ejectedUntil || b.now < u.zoneState.ejectedUntil {
		return false
	}
	if u.outlier.consecutiveEjections == 0 && u.zoneState.consecutiveEjections == 0 {
		return true
	}
	return len(u.inFlight) == 0 && r.class.Idempotency != NonIdempotent
}

// updateOutlierState processes an attempt that ended with result after elapsed. It ejects an upstream that
// refuses or breaks connections, answers with errors, or does not answer: an upstream that fails quickly
// would otherwise look fast and get more requests.
func (b *Balancer) updateOutlierState(a *attempt, result Result, elapsed time.Duration) {
	switch result {
	case ServerError, Malformed:
		b.recordErrorAnswer(a.upstream, result)
	case OK, Rejected:
		b.recordGoodAnswer(a.upstream)
	case Timeout, ConnectFailed, Reset, Cancelled:
		b.recordFailure(a, result, elapsed)
	}
}

// recordErrorAnswer ejects an upstream for errors in a row or for its error ratio. A malformed answer does
// not change the ratio: an answer of any upstream may be damaged on its way.
func (b *Balancer) recordErrorAnswer(u *upstream, result Result) {
	b.recordAnswer(u)
	o := &u.outlier
	o.consecutiveFailures = 0
	if result == ServerError {
		o.errorRatio += errorRatioWeight * (1 - o.errorRatio)
	}
	o.consecutiveErrors++
	failing := o.consecutiveErrors >= maxConsecutiveErrors || o.errorRatio > errorRatioEject
	if failing && b.now >= o.ejectedUntil {
		b.eject(u)
	}
}

// recordGoodAnswer ends an ejection at once where connections failed, and with the second good answer in a
// row where the error ratio is high. The ratio falls faster during an ejection. Rejected counts as good.
func (b *Balancer) recordGoodAnswer(u *upstream) {
	b.recordAnswer(u)
	o := &u.outlier
	o.errorRatio -= errorRatioWeight * o.errorRatio
	if o.consecutiveEjections > 0 {
		o.errorRatio /= 1 + errorRatioWeight
		if o.errorRatio > errorRatioReturn {
			return
		}
		b.logUpstreamEvent(u, "return %s after %d ejections", u.name, o.consecutiveEjections)
	}
	o.consecutiveFailures, o.consecutiveErrors, o.consecutiveEjections, o.ejectedUntil = 0, 0, 0, 0
}

// recordAnswer notes that u has answered, whatever the answer was.
func (b *Balancer) recordAnswer(u *upstream) {
	u.lastAnswerAt = b.now
	b.recordZoneAnswer(u)
}

// recordFailure counts an attempt that ended without an answer. It ejects the upstream after two consecutive
// failures, if the connection was refused or reset, or if the first of the failed attempts was sent long ago.
// Once an ejection time has passed, any failure before the upstream returns ejects it again.
func (b *Balancer) recordFailure(a *attempt, result Result, elapsed time.Duration) {
	u := a.upstream
	if b.merelySlow(a, result, elapsed) {
		return
	}
	o := &u.outlier
	o.consecutiveFailures++
	if o.consecutiveFailures == 1 {
		o.firstFailureSentAt = a.sentAt
	}
	b.recordZoneFailure(u, a)
	refused := result == Reset ||
		result == ConnectFailed && elapsed < b.settings.ConnectTimeout/fastConnectParts
	silent := (b.now - o.firstFailureSentAt).Seconds() > silenceObjectives*b.meanObjective
	failing := o.consecutiveFailures >= failuresBeforeEjection && (refused || silent)
	if (failing || o.consecutiveEjections > 0) && b.now >= o.ejectedUntil {
		b.eject(u)
	}
}

// merelySlow reports whether an attempt without an answer says nothing about its upstream: the upstream has
// answered others since, or the attempt was cancelled before it was late. Without hedging, a cancelled
// attempt may only have been moved away from a long queue.
func (b *Balancer) merelySlow(a *attempt, result Result, elapsed time.Duration) bool {
	answeredSince := a.sentAt < a.upstream.lastAnswerAt
	late := b.settings.HedgingAllowed && elapsed.Seconds() >= b.latency.late.value*a.request.cost
	return result == Timeout && answeredSince || result == Cancelled && (answeredSince || !late)
}

// eject keeps u from getting attempts for its ejection time, unless there is no other upstream (see pick).
func (b *Balancer) eject(u *upstream) {
	o := &u.outlier
	ejectedFor := b.jitter(ejectionTime(o.consecutiveEjections), ejectionJitterMin, ejectionJitterMax)
	o.consecutiveEjections++
	o.ejectedUntil = b.now + ejectedFor
	if o.consecutiveEjections == 1 {
		b.logUpstreamEvent(u, "eject %s: %d failures without an answer, %d error answers in a row",
			u.name, o.consecutiveFailures, o.consecutiveErrors)
	}
}

// ejectionTime returns the ejection time after the given number of failed trials, without jitter.
func ejectionTime(failedTrials int) time.Duration {
	return exponentialBackoff(ejectionBase, ejectionMax, failedTrials)
}
