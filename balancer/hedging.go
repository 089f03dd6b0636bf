package balancer

import "time"

const (
	lateAttemptQuantile = 0.8 // the quantile of normalized latency beyond which an attempt is late

	// hedgingMaxPressure is the load pressure above which late attempts are left alone: hedged requests take
	// capacity that first attempts need.
	hedgingMaxPressure = 0.7

	// hedgingMinSuccessRatio is the least hedging success ratio at which hedging pays. The ratio is the share of
	// hedged requests that answer first and in time.
	hedgingMinSuccessRatio = 0.3

	// hedgingTrialProbability is the share of late attempts that are hedged although hedging does not pay, to
	// learn when it pays again.
	hedgingTrialProbability = 0.02
	hedgingSuccessWeight    = 0.05 // weight of one result in the success ratio
	hungUpstreamAttempts    = 2    // unanswered attempts that make an upstream look hung
)

// medianLatency returns the median latency of requests with the cost of r.
func (b *Balancer) medianLatency(r *request) time.Duration {
	return durationFromSeconds(b.latency.median.value * r.cost)
}

// lateAttemptDelay returns the time after which an attempt is late: the late quantile for the request's cost,
// doubled for each attempt in flight beyond the first. Without hedging, a late attempt is cancelled and loses
// its place in the upstream's queue. The delay is then at least the time left, less the median latency that
// another attempt needs.
func (b *Balancer) lateAttemptDelay(r *request) time.Duration {
	doublings := max(r.inFlight-1, 0)
	delay := durationFromSeconds(b.latency.late.value * r.cost * float64(int(1)<<doublings))
	if !b.settings.HedgingAllowed {
		delay = max(delay, r.timing.giveUpAt-b.now-b.medianLatency(r))
	}
	return delay
}

// handleLateAttempt acts on a request whose latest attempt is late, if the retry budget and the load
// pressure allow it. It sends a hedged request. Where hedging is not allowed, it cancels the attempt so
// that another is sent, if the upstream has not answered anything since the attempt was sent.
func (b *Balancer) handleLateAttempt(r *request) {
	if r.inFlight == 0 || b.now < r.timing.attemptLateAt || b.retryTokens < 1 ||
		b.loadPressure() > hedgingMaxPressure {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if b.settings.HedgingAllowed {
		if !b.hedgingPays(r, last.upstream, last.sentAt) {
			return
		}
		if u := b.pick(r); u != nil {
			b.send(r, u)
		}
		return
	}
	silent := last.upstream.lastAnswerAt < last.sentAt
	if b.settings.CancellationAllowed && silent && b.now+b.medianLatency(r) < r.timing.giveUpAt {
		b.cancelAttemptsExcept(r, noAttempt)
	}
}

// hedgingPays reports whether to hedge a late attempt that was sent to u at sentAt. Hedging pays if u looks
// hung: u has not answered since sentAt, and has another unanswered attempt or its zone is ejected. Otherwise
// the request is probably late because it is costly, and hedging would cost as much again: it pays only if a
// hint states the cost and hedging has paid recently.
func (b *Balancer) hedgingPays(r *request, u *upstream, sentAt time.Duration) bool {
	stuck := len(u.inFlight) >= hungUpstreamAttempts || u.zoneState.consecutiveEjections > 0
	hung := u.lastAnswerAt <= sentAt && stuck
	if hung {
		return true
	}
	if !r.hasCostHint {
		return false
	}
	return !(b.hedgingSuccessRatio < hedgingMinSuccessRatio && b.random.Float64() > hedgingTrialProbability)
}

// recordHedgingResult updates the success ratio when winner gives the final answer while another attempt is
// in flight. Hedging succeeded if winner is a hedge and answered within the latency objective.
func (b *Balancer) recordHedgingResult(winner *attempt) {
	success := 0.0
	if winner.number > 0 && b.now < winner.request.timing.objectiveAt {
		success = 1
	}
	b.hedgingSuccessRatio += hedgingSuccessWeight * (success - b.hedgingSuccessRatio)
}
