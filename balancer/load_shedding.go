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
	priorityWindow    = 64 // how many arrivals a new request's priority is ranked among
	pressureAdmitAll  = 1  // the load pressure up to which every request is admitted

	// priorityRankPressure is how much more pressure the request of highest rank endures than the lowest.
	priorityRankPressure = 0.5
)

// admit decides whether a new request is sent at all, from the load pressure and its priority's rank among
// recent arrivals, 0 to 1. Above a pressure of 1 the lowest ranks are rejected first, and at 1.5 the highest
// too. Rejecting early is cheaper than answering late.
func (b *Balancer) admit(r *request) bool {
	rank, known := b.priorityRank(b.priority(r))
	if !known {
		return true
	}
	admitted := b.loadPressure() <= pressureAdmitAll+rank*priorityRankPressure
	b.recordAdmission(admitted)
	return admitted
}

// priorityRank returns the share of recent arrivals whose priority is below the given one; ties are broken
// at random. It adds the priority to them. It reports false if there are none.
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

// recordAdmission logs the begin and the end of load shedding.
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

// priority returns the value of an answer to r for each unit of its work: the priority weight divided by the
// cost, reduced for a late retry and for a tenant beyond its quota.
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

// overQuota counts a tenant's request, and reports whether it is beyond the tenant's quota. Of the requests
// of a tenant that uses more than its quota, a random part is: the part by which it exceeds the quota.
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
	// compare with.
	pressureWaitingMin = 12.0

	// pressureFullAge is the mean age of the waiting requests, as a share of their latency objective, from
	// which the pressure counts in full.
	pressureFullAge = 0.25
	loadPressureMax = 2.0 // bounds the pressure: after a lull the served rate is too low
)

// loadPressure compares the load with what the upstreams serve, without a unit; above 1 requests are
// rejected.
//
// By Little's law, requests that wait for a share of their latency objective number that share times the
// objective times the served rate. The pressure is the number that wait, each weighted by 1/objective in
// seconds, divided by the queueing limit times the served rate in answers a second. Requests that came only
// just now weigh less, so that a burst is admitted.
//
// It is 0 while less than one request waits for each upstream of this sidecar's share of them. With few
// waiting the served rate is noise; there the pressure follows from recent attempts.
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
	objectiveUseWeight = 0.04 // weight of one attempt in the objective use

	// objectiveUseMemory is the time constant with which the objective use fades without attempts, so that
	// rejecting all requests can't go on for ever.
	objectiveUseMemory = 10 * time.Second

	// objectiveUseMax bounds the objective use of one attempt: a hung upstream is not an overloaded one.
	objectiveUseMax   = 1.5
	objectiveUseFull  = 0.33 // the objective use that is a pressure of 1
	objectiveUseSlope = 0.5  // how much of the objective use above it counts, as it is uncertain

	// objectiveUsePressureMax bounds the pressure by objective use: a fifth of the requests is still admitted
	// and shows when the overload ends.
	objectiveUsePressureMax = 1.4
)

// observeObjectiveUse feeds an attempt's latency, in seconds, into the objective use: the moving share of
// their latency objective that attempts take. A rejection by the upstream counts as the most. An attempt
// that was cancelled took at least its time.
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

// objectiveUsePressure returns the load pressure that the objective use of recent attempts shows. It tells
// of an overload later than the waiting requests do, so the pressure rises in proportion instead of with a
// step.
func (b *Balancer) objectiveUsePressure() float64 {
	s := &b.shedding
	faded := s.objectiveUse * math.Exp(-float64(b.now-s.objectiveUseAt)/float64(objectiveUseMemory))
	pressure := faded / objectiveUseFull
	return min(pressure, 1+(pressure-1)*objectiveUseSlope, objectiveUsePressureMax)
}

const (
	// The queueing limit is the mean share of their latency objective that requests may wait. It begins at its
	// maximum.
	queueingLimitMax  = 0.65
	queueingLimitMin  = 0.33
	queueingLimitStep = 0.06 // the relative step down for a request that was late under pressure

	// allowedLateFraction is the part of that step up for a request in time: the limit is steady when such a
	// share of the requests is late.
	allowedLateFraction = 0.05

	// objectiveMarginTicks, in ticks, is how long before its latency objective a request ends in time.
	objectiveMarginTicks = 2
)

// adjustQueueingLimit raises the queueing limit for a request that ends in time and lowers it for one that
// is late under pressure: upstreams that slow down when they are full have to be kept less full. An upstream
// that has answered nothing since is hung, not full.
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

// retryAfterParts: a client that can come back in time is advised to wait for the time left until the latency
// objective divided by this.
const retryAfterParts = 2

// retryAfter returns the Retry-After of a rejection; 0: none. A client should stay away for the longest time
// that is allowed. If that ends before its deadline and late answers have a value, it would come back late
// and still cost work: it is advised to come back in time instead.
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
