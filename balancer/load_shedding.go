package balancer

import (
	"math"
	"time"
)

const (
	offeredRateMemory = 20 * time.Second // the time constant of the offered rate and of the tenants' rates
	servedRateMemory  = 2 * time.Second  // the time constant of the rate of good answers

	// sheddingEndsAfter is how long after the latest rejection load shedding is logged as ended.
	sheddingEndsAfter = servedRateMemory
	priorityWindow    = 64 // recent arrivals among which a new request's priority is ranked
	pressureAdmitAll  = 1  // the load pressure up to which every request is admitted

	// priorityRankPressure is how much more load pressure it takes to reject the highest rank than the lowest.
	priorityRankPressure = 0.5
)

// admit reports whether a new request may be sent at all. It compares the load pressure with the rank of
// the request's priority among recent arrivals, 0 to 1: above a pressure of 1 the lowest ranks are rejected
// first, and at 1.5 the highest too. Rejecting early is cheaper than answering late.
func (b *Balancer) admit(r *request) bool {
	rank, known := b.priorityRank(b.priority(r))
	if !known {
		return true
	}
	admitted := b.loadPressure() <= pressureAdmitAll+rank*priorityRankPressure
	b.recordAdmission(admitted)
	return admitted
}

// priorityRank returns the share of recent arrivals whose priority is below the given one; ties are broken at
// random. It then adds the priority to the recent arrivals. The result known is false if there were none.
func (b *Balancer) priorityRank(priority float64) (rank float64, known bool) {
	s := &b.shedding
	size := min(s.priorityCount, priorityWindow)
	lower, equal := 0.0, 0.0
	for _, other := range s.recentPriorities[:size] {
		if other < priority {
			lower++
		} else if other == priority {
			equal++
		}
	}
	s.recentPriorities[s.priorityCount%priorityWindow] = priority
	s.priorityCount++
	if size == 0 {
		return 0, false
	}
	return (lower + equal*b.random.Float64()) / float64(size), true
}

// recordAdmission logs the beginning and the end of load shedding.
func (b *Balancer) recordAdmission(admitted bool) {
	s := &b.shedding
	if !admitted {
		if s.lastRejectionAt == 0 {
			b.logEvent("shedding begins: %d in hand, %.0f answers a second",
				b.waiting.count, b.servedRate.perSecond(b.now))
		}
		s.lastRejectionAt = b.now
		return
	}
	if s.lastRejectionAt != 0 && b.now-s.lastRejectionAt > sheddingEndsAfter {
		b.logEvent("shedding ended")
		s.lastRejectionAt = 0
	}
}

// priority returns the value of an answer to r per unit of its work: the priority weight divided by the
// cost, reduced for a stale retry and for a tenant over its quota.
func (b *Balancer) priority(r *request) float64 {
	priority := r.class.PriorityWeight
	if !b.settings.WeightPerWork {
		priority /= r.cost
	}
	if r.staleRetry {
		priority *= r.class.LateValueFraction
	}
	if r.tenantIndex >= 0 && b.overQuota(r.tenantIndex) {
		priority *= b.settings.OverQuotaWeight
	}
	return priority
}

// overQuota counts a request of a tenant, given by its index, and reports whether the request is over the
// tenant's quota. If the tenant exceeds its quota, a random part of its requests, as large as the excess, is
// over.
func (b *Balancer) overQuota(tenant int) bool {
	own := &b.tenantRates[tenant]
	own.add(1, b.now)
	total := 0.0
	for i := range b.tenantRates {
		total += b.tenantRates[i].perSecond(b.now)
	}
	use := own.perSecond(b.now) / total
	return b.random.Float64()*use > b.settings.Tenants[tenant].Quota
}

const (
	// pressureWaitingMin is the number of waiting requests below which the served rate is too uncertain to
	// compute the pressure from it.
	pressureWaitingMin = 12.0

	// pressureFullAge is the mean age of the waiting requests, as a share of their latency objective, from
	// which the pressure counts in full.
	pressureFullAge = 0.25
	loadPressureMax = 2.0 // limits the pressure: after a time of little traffic the served rate is too low
)

// loadPressure returns the load relative to what the upstreams serve, without a unit; above 1 requests are
// rejected.
//
// By Little's law, the number of requests that wait for a given share of their latency objective is that
// share times the objective times the served rate. The pressure is the number of waiting requests, each
// weighted by 1/objective in seconds, divided by the queueing limit times the served rate in answers a
// second. Requests that have only just arrived weigh less, so that a burst is admitted.
//
// The pressure is 0 while fewer requests wait than this sidecar's share of the upstreams, which is their
// number divided by FleetSize. While fewer than pressureWaitingMin requests wait, the served rate is too
// noisy, and objectiveUsePressure gives the pressure.
func (b *Balancer) loadPressure() float64 {
	w := &b.waiting
	count := float64(w.count)
	if count < float64(len(b.shuffled))/float64(b.settings.FleetSize) {
		return 0
	}
	if count < pressureWaitingMin {
		return b.objectiveUsePressure()
	}
	meanAge := (time.Duration(w.count)*b.now - w.startSum).Seconds() / count
	ageFactor := min(1, meanAge*w.requiredRate/count/pressureFullAge)
	capacity := b.shedding.queueingLimit * max(b.servedRate.perSecond(b.now), minRatePerSecond)
	return ageFactor * min(loadPressureMax, w.requiredRate/capacity)
}

const (
	objectiveUseWeight = 0.04 // weight of one attempt in the objective use; see observeObjectiveUse

	// objectiveUseMemory is the time constant with which the objective use decays while there are no
	// attempts, so that rejecting all requests can't go on for ever.
	objectiveUseMemory = 10 * time.Second

	// objectiveUseMax bounds the objective use of one attempt: a hung upstream is not an overloaded one.
	objectiveUseMax   = 1.5
	objectiveUseFull  = 0.33 // the objective use that corresponds to a pressure of 1
	objectiveUseSlope = 0.5  // factor on the pressure above 1, as the objective use is uncertain

	// objectiveUsePressureMax limits the pressure from the objective use: a fifth of the requests is still
	// admitted, and their answers show when the overload ends.
	objectiveUsePressureMax = 1.4
)

// observeObjectiveUse feeds an attempt's latency, in seconds, into the objective use: the moving mean, over
// attempts, of latency / latency objective. A rejection by the upstream counts as objectiveUseMax. The
// latency of a cancelled attempt is a lower bound, and counts only if it raises the objective use.
func (b *Balancer) observeObjectiveUse(r *request, result Result, latency float64) {
	s := &b.shedding
	use := min(latency/(r.timing.objectiveAt-r.timing.startedAt).Seconds(), objectiveUseMax)
	if result == Rejected {
		use = objectiveUseMax
	}
	if result == NotSent || result == ConnectFailed || result == Cancelled && use <= s.objectiveUse {
		return
	}
	s.objectiveUse += objectiveUseWeight * (use - s.objectiveUse)
	s.objectiveUseAt = b.now
}

// objectiveUsePressure returns the load pressure that the objective use of recent attempts indicates. The
// objective use shows an overload later than the number of waiting requests does. The pressure therefore
// rises gradually with it, so that requests are shed in proportion to the overload.
func (b *Balancer) objectiveUsePressure() float64 {
	s := &b.shedding
	faded := s.objectiveUse * math.Exp(-float64(b.now-s.objectiveUseAt)/float64(objectiveUseMemory))
	pressure := faded / objectiveUseFull
	return min(pressure, 1+(pressure-1)*objectiveUseSlope, objectiveUsePressureMax)
}

const (
	// The queueing limit is the mean share of their latency objective that requests may wait. It starts at its
	// maximum.
	queueingLimitMax  = 0.65
	queueingLimitMin  = 0.33
	queueingLimitStep = 0.06 // the relative step down for a request that was late under pressure

	// allowedLateFraction times queueingLimitStep is the relative step up for a request in time: the limit is
	// steady when this share of the requests is late.
	allowedLateFraction = 0.05

	// objectiveMarginTicks, in ticks, is how long before its latency objective a request must end to be in time.
	objectiveMarginTicks = 2
)

// adjustQueueingLimit raises the queueing limit for a request that ends in time and lowers it for one that
// is late under pressure: upstreams that slow down under load need shorter queues. An upstream that has
// answered nothing since the attempt was sent is hung, not overloaded, and does not lower the limit.
func (b *Balancer) adjustQueueingLimit(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	limit := &b.shedding.queueingLimit
	last := r.attempts[len(r.attempts)-1]
	if b.now < r.timing.objectiveAt-objectiveMarginTicks*b.settings.Tick {
		*limit = min(queueingLimitMax, *limit*(1+queueingLimitStep*allowedLateFraction))
	} else if last.upstream.lastAnswerAt > last.sentAt && b.loadPressure() > pressureAdmitAll {
		*limit = max(queueingLimitMin, *limit*(1-queueingLimitStep))
	}
}

// retryAfterParts divides the time left until the latency objective: a client that can retry in time gets the
// quotient as its Retry-After.
const retryAfterParts = 2

// retryAfter returns the Retry-After of a rejection, or 0 if the client gets none. It is the longest allowed,
// to keep the client away. If the longest ends before the client's deadline and late answers have a value,
// the client would return late and still cause work: it is told to retry within its objective instead.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.RetryAfterAllowed {
		return 0
	}
	longest := b.settings.MaxRetryAfter
	inTime := (r.timing.objectiveAt - b.now) / retryAfterParts
	if inTime > 0 && r.class.LateValueFraction > 0 && longest < r.class.Deadline {
		return min(longest, inTime)
	}
	return longest
}
