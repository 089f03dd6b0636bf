package balancer

import "time"

const (
	lateAttemptQuantile = 0.8 // the quantile of normalized latency beyond which an attempt is late

	// hedgingMaxPressure is the load pressure above which no late attempt is acted on: hedged requests take
	// capacity that first attempts need.
	hedgingMaxPressure = 0.7

	// hedgingMinSuccessRatio is the share of hedged requests whose hedge answers first and in time, from which
	// hedging pays.
	hedgingMinSuccessRatio = 0.3

	// hedgingTrialProbability is the share of late attempts that are hedged although hedging does not pay, to
	// learn when it does.
	hedgingTrialProbability = 0.02
	hedgingSuccessWeight    = 0.05 // weight of one result in the success ratio
	hungUpstreamAttempts    = 2    // how many unanswered attempts at an upstream make it look hung
)

// medianLatency returns the median latency of requests of r's cost.
func (b *Balancer) medianLatency(r *request) time.Duration {
	return durationFromSeconds(b.latency.median.value * r.cost)
}

// lateAttemptDelay returns after what time an attempt is late: at the late quantile for the request's cost,
// doubled for each attempt beyond the first that is in flight. Without hedging a late attempt is cancelled
// and loses its place in the upstream's queue: it then waits as long as leaves the median latency for
// another attempt.
func (b *Balancer) lateAttemptDelay(r *request) time.Duration {
	doublings := max(r.inFlight-1, 0)
	delay := durationFromSeconds(b.latency.late.value * r.cost * float64(int(1)<<doublings))
	if !b.settings.HedgingAllowed {
		delay = max(delay, r.timing.giveUpAt-b.now-b.medianLatency(r))
	}
	return delay
}

// handleLateAttempt acts on a request whose latest attempt is late, if the retry budget and the load
// pressure allow it: it sends a hedged request or, where hedging is not allowed, cancels the attempt to
// send another if the upstream has not answered anything since.
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

// hedgingPays reports whether to hedge a late attempt that was sent to u at sentAt. It does where the
// upstream looks hung: no answer since, and more than one attempt unanswered or its zone ejected. Elsewhere
// a late request is mostly a costly one, whose hedge costs as much again: it is hedged only if its cost is
// known from a hint and hedging has paid lately.
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

// recordHedgingResult notes which of two concurrent attempts gave the final answer: a success is one of the
// later attempts that answered within the latency objective.
func (b *Balancer) recordHedgingResult(winner *attempt) {
	success := 0.0
	if winner.number > 0 && b.now < winner.request.timing.objectiveAt {
		success = 1
	}
	b.hedgingSuccessRatio += hedgingSuccessWeight * (success - b.hedgingSuccessRatio)
}
