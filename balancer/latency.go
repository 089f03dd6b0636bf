package balancer

import (
	"math"
	"time"
)

// peakEWMA is an exponentially weighted moving average of latency that follows a rise at once and a fall
// with its time constant.
type peakEWMA struct {
	value     float64       // seconds
	updatedAt time.Duration // clock time
}

// weight returns the weight that the value still has at the current time, 0 to 1.
func (e *peakEWMA) weight(now, decay time.Duration) float64 {
	return math.Exp(-float64(now-e.updatedAt) / float64(decay))
}

// add adds a sample, in seconds. A sample above the decayed value replaces the value; any other is averaged
// in. A sample older than the latest is dropped.
func (e *peakEWMA) add(sample float64, now, decay time.Duration) {
	if now < e.updatedAt {
		return
	}
	weight := e.weight(now, decay)
	if sample > e.value*weight {
		e.value = sample
	} else {
		e.value = e.value*weight + sample*(1-weight)
	}
	e.updatedAt = now
}

// The time constant of the upstreams' latency estimates is the longer of these two.
const (
	latencyDecayObjectives = 4.0  // in mean latency objectives
	latencyDecayIntervals  = 1.25 // in mean times between two requests to one upstream
)

// updateLatencyDecay sets the time constant of the estimates from the offered rate, in requests per second.
// A sidecar with little traffic keeps an estimate until it chooses the upstream again.
func (b *Balancer) updateLatencyDecay() {
	offered := b.offeredRate.perSecond(b.now)
	interval := min(float64(len(b.shuffled))/max(offered, minRatePerSecond), candidateSampleInterval.Seconds())
	b.latency.decay = durationFromSeconds(max(latencyDecayObjectives*b.meanObjective,
		latencyDecayIntervals*interval))
}

const (
	meanSampleWeight        = 0.02 // weight of one sample in the means of classes and of all requests
	machineTypeSampleWeight = 0.05 // weight of one sample in a machine type's mean, which gets fewer samples

	// errorPenaltyObjectives is the least latency, in mean latency objectives, that an error answer counts with,
	// so that fast errors do not make an upstream look fast.
	errorPenaltyObjectives = 1.0
)

// observeLatency updates the latency estimates with an attempt that ended with result after elapsed. Samples
// are normalized by the request's cost, so that a costly request does not make its upstream look slow. A
// cancelled or timed-out attempt took at least elapsed: it can only raise the quantiles, and a cancelled
// attempt can only raise the upstream's estimate.
func (b *Balancer) observeLatency(a *attempt, result Result, elapsed time.Duration) {
	latency := elapsed.Seconds()
	normalized := latency / a.request.cost
	b.observeObjectiveUse(a.request, result, latency)
	switch result {
	case OK:
		b.servedRate.add(1, b.now)
		c := a.request.class
		c.meanLatency += meanSampleWeight * (latency - c.meanLatency)
		b.latency.mean += meanSampleWeight * (latency - b.latency.mean)
		b.latency.normalizedMean += meanSampleWeight * (normalized - b.latency.normalizedMean)
		machineType := a.upstream.machineTypeLatency
		*machineType += machineTypeSampleWeight * (normalized - *machineType)
		b.latency.median.add(normalized)
		b.latency.late.add(normalized)
	case ServerError, Rejected:
		normalized = max(normalized, errorPenaltyObjectives*b.meanObjective)
	case NotSent:
		return
	case Cancelled, Timeout:
		if normalized > b.latency.late.value {
			b.latency.late.add(normalized)
			b.latency.median.add(normalized)
		}
		if result == Cancelled && normalized <= a.upstream.latency.value {
			return
		}
	}
	a.upstream.latency.add(normalized, b.now, b.latency.decay)
}

// Bounds of a request's cost, relative to the mean request.
const (
	requestCostMin = 0.25
	requestCostMax = 8
)

// normalizedCost returns a request's expected work relative to the mean request: its cost hint divided by the
// mean hint or, without a hint, the mean latency of its class divided by that of all requests.
func (b *Balancer) normalizedCost(c *class, hint time.Duration) float64 {
	cost := c.meanLatency / b.latency.mean
	if hint > 0 {
		if b.latency.meanCostHint == 0 {
			b.latency.meanCostHint = hint.Seconds()
		}
		b.latency.meanCostHint += meanSampleWeight * (hint.Seconds() - b.latency.meanCostHint)
		cost = hint.Seconds() / b.latency.meanCostHint
	}
	return min(max(cost, requestCostMin), requestCostMax)
}
