package balancer

import (
	"math"
	"time"
)

// quantileStep is how far one sample moves a quantileEstimate, on a natural logarithmic scale.
const quantileStep = 0.1

// quantileEstimate estimates a quantile of its samples in steps, without storing the samples.
type quantileEstimate struct {
	probability float64 // which quantile, 0 to 1
	value       float64 // in the samples' unit
}

func (q *quantileEstimate) add(sample float64) {
	if sample > q.value {
		q.value *= math.Exp(quantileStep * q.probability)
	} else {
		q.value *= math.Exp(-quantileStep * (1 - q.probability))
	}
}

// rate is an exponentially weighted rate of events.
type rate struct {
	memory    time.Duration // time constant
	sum       float64       // amount of events, exponentially weighted by age
	updatedAt time.Duration // clock time of the latest update of sum
	startedAt time.Duration // clock time of the first event
	started   bool
}

const (
	rateMinAgeParts  = 20   // the age of a rate counts as at least its memory divided by this
	restoredRateAge  = 100  // age that a restored rate counts as having, in multiples of its memory
	minRatePerSecond = 1e-3 // least rate used as a divisor, per second
)

func (r *rate) add(amount float64, now time.Duration) {
	if !r.started {
		r.started, r.startedAt, r.updatedAt = true, now, now
	}
	r.sum = r.sum*math.Exp(-float64(now-r.updatedAt)/float64(r.memory)) + amount
	r.updatedAt = now
}

// perSecond returns the mean rate at now. The mean covers only the time since the first event, so that it is
// not too low for a rate that has just started.
func (r *rate) perSecond(now time.Duration) float64 {
	age := max(now-r.startedAt, r.memory/rateMinAgeParts)
	sum := r.sum * math.Exp(-float64(now-r.updatedAt)/float64(r.memory))
	return sum / (r.memory.Seconds() * (1 - math.Exp(-float64(age)/float64(r.memory))))
}

// restore sets the rate to perSecond, as if it had been measured for a long time.
func (r *rate) restore(perSecond float64, now time.Duration) {
	r.started = true
	r.sum = perSecond * r.memory.Seconds()
	r.updatedAt = now
	r.startedAt = now - restoredRateAge*r.memory
}
