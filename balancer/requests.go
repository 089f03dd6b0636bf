package balancer

import (
	"slices"
	"time"
)

const (
	// giveUpMarginTicks, in ticks, is how long before its deadline the balancer ends a request, so that the
	// client gets the answer in time even if the driver's next events come a tick late.
	giveUpMarginTicks = 2

	// lateMarginTicks, in ticks, is how long before its answer loses all value the balancer ends a request.
	lateMarginTicks = 1

	// dispatchRetryTicks, in ticks, is the pause before a request for which no upstream was available is
	// dispatched again.
	dispatchRetryTicks = 2
)

// handleRequest admits a new request and dispatches it, or gives it its final answer at once.
func (b *Balancer) handleRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil { // the request has not run, so its client may safely repeat it
		b.emit(Action{Kind: Reject, ID: e.ID})
		return
	}
	r := b.newRequest(c, e)
	b.requests[r.id] = r
	if !r.uploading {
		b.setWaiting(r, true)
	}
	b.schedule(r.timing.giveUpAt, timerGiveUp, r)
	if b.now >= r.timing.giveUpAt || !b.admit(r) {
		b.rejectOrFail(r)
		return
	}
	b.offeredRate.add(r.cost, b.now) // rejected requests would count again with their clients' retries
	b.updateLatencyDecay()
	b.dispatch(r)
}

// newRequest returns the state of a request that arrives now, with its cost and its times.
func (b *Balancer) newRequest(c *class, e Request) *request {
	r := &request{
		id:              e.ID,
		class:           c,
		cost:            b.normalizedCost(c, e.CostHint),
		hasCostHint:     e.CostHint > 0,
		earlierAttempts: e.EarlierAttempts,
		uploading:       e.StreamedBody,
	}
	r.tenantIndex = slices.IndexFunc(b.settings.Tenants, func(t Tenant) bool { return t.Name == e.Tenant })
	r.timing.startedAt = b.now
	r.timing.deadline = e.Deadline
	r.timing.objectiveExtension = time.Duration(c.ObjectiveStretch * float64(e.CostHint))
	r.timing.objectiveAt = b.objectiveAt(r)
	valuableUntil := r.timing.objectiveAt
	if !r.uploading {
		valuableUntil += c.firstAttemptTime(b.now, e.Deadline, b.settings.Tick) - b.now
	}
	r.staleRetry = valuableUntil <= b.now
	r.timing.giveUpAt = b.giveUpAt(r, valuableUntil)
	return r
}

// giveUpAt returns the clock time at which the balancer ends a request that has no answer: shortly before its
// deadline or, if that is earlier and late answers of its class have no value, shortly before valuableUntil,
// as going on would only load the upstreams. While a streamed body is being sent, only the deadline counts.
func (b *Balancer) giveUpAt(r *request, valuableUntil time.Duration) time.Duration {
	at := r.timing.deadline - giveUpMarginTicks*b.settings.Tick
	if r.class.LateValueFraction == 0 && !r.uploading {
		at = min(at, valuableUntil-lateMarginTicks*b.settings.Tick)
	}
	return at
}

// objectiveAt returns the clock time after which an answer to a request that starts now is late.
func (b *Balancer) objectiveAt(r *request) time.Duration {
	return b.now + min(r.class.LatencyObjective+r.timing.objectiveExtension, r.class.Deadline)
}

// dispatch handles a request that has no attempt in flight: it sends an attempt, ends the request, or
// schedules another dispatch. It sends no further attempt when the median latency exceeds the time left, as
// the answer would come too late.
func (b *Balancer) dispatch(r *request) {
	if b.now+b.medianLatency(r) > r.timing.giveUpAt && len(r.attempts) > 0 {
		b.rejectOrFail(r)
		return
	}
	if u := b.pick(r); u != nil {
		b.send(r, u)
		return
	}
	if b.attemptsExhausted(r) || r.bodyConsumed || b.retryForbidden(r) {
		b.rejectOrFail(r)
		return
	}
	b.schedule(b.now+dispatchRetryTicks*b.settings.Tick, timerRetryDispatch, r)
}

// send starts the request's next attempt at u, which pick has chosen.
func (b *Balancer) send(r *request, u *upstream) {
	sendBy := b.retrySendBy(r)
	a := b.newAttempt(r, u)
	b.updateRetryTokens(a)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.uploading { // the upstream begins its work when it has the last byte
		a.streaming, a.passThrough = true, true
	} else {
		u.inFlight = append(u.inFlight, a)
	}
	u.report.inFlight++
	u.slowStart.tokens -= max(1, r.cost)
	u.zoneState.delayNextTrial(b.now + b.lateAttemptDelay(r))
	b.emit(Action{
		Kind:     Send,
		ID:       r.id,
		Upstream: u.name,
		Zone:     u.zone,
		Cell:     u.cell,
		Timeout:  max(r.timing.giveUpAt-b.now, b.settings.Tick),
		SendBy:   sendBy,
	})
	if r.class.Idempotency != NonIdempotent && !r.uploading {
		r.timing.attemptLateAt = b.now + b.lateAttemptDelay(r)
		b.schedule(r.timing.attemptLateAt, timerAttemptLate, r)
	}
}

// handleOutcome ends an attempt. A final answer also ends its request. After a failure the request is sent
// again within the retry budget; an attempt that certainly was not sent may be retried without budget.
func (b *Balancer) handleOutcome(e Outcome) {
	a := b.attemptInFlight(e.ID, e.Attempt)
	if a == nil {
		return
	}
	b.endAttempt(a, e)
	r := a.request
	if e.Final && !r.finished && (!r.responseStarted || a.streaming) { // otherwise another attempt is streaming
		if r.inFlight > 0 {
			b.recordHedgingResult(a)
		}
		b.cancelAttemptsExcept(r, e.Attempt)
		b.adjustQueueingLimit(r)
		b.finish(r)
	}
	if r.finished {
		b.removeIfComplete(r)
		return
	}
	if r.inFlight > 0 || r.responseStarted {
		return
	}
	if e.Result != ConnectFailed && e.Result != NotSent && b.retryTokens < 1 {
		b.rejectOrFail(r)
		return
	}
	b.dispatch(r)
}

// rejectOrFail ends a request without an answer from an upstream: with Reject if mayReject allows it,
// otherwise with Fail.
func (b *Balancer) rejectOrFail(r *request) {
	if r.finished {
		return
	}
	b.cancelAttemptsExcept(r, noAttempt)
	b.adjustQueueingLimit(r)
	if mayReject(r) {
		b.emit(Action{Kind: Reject, ID: r.id, RetryAfter: b.retryAfter(r)})
	} else {
		b.emit(Action{Kind: Fail, ID: r.id})
	}
	b.finish(r)
}
