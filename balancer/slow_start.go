package balancer

import "slices"

const (
	slowStartOverloadFraction = 0.8 // share of the overloading load that a starting upstream may get

	// slowStartInitialLatency is the first estimate of a starting upstream, as a factor on the mean of its
	// machine type. It is below 1, so that the upstream is chosen and only the token bucket limits it.
	slowStartInitialLatency = 0.9

	// slowStartCapacityRatioMax is the upper bound, and its inverse the lower bound, of a machine type's
	// capacity relative to the mean.
	slowStartCapacityRatioMax = 1.6

	// slowStartBurstParts divides the refill per OverloadWindow. A bucket's size is the quotient, at least 1.
	slowStartBurstParts = 10

	// slowStartLapseParts divides OverloadWindow: an unused token lapses after the quotient, if the bucket gets
	// less than one token in that time.
	slowStartLapseParts = 2
)

// beginSlowStart gives u a token bucket, which limits its attempts until SlowStartWindow after its start. The
// bucket begins with a random fraction of a token, so that the sidecars' first requests do not arrive
// together.
func (b *Balancer) beginSlowStart(u *upstream) {
	u.slowStart = slowStartState{
		active:     true,
		startedAt:  u.startedAt,
		refilledAt: b.now,
		tokens:     b.random.Float64(),
	}
	u.latency = peakEWMA{slowStartInitialLatency * *u.machineTypeLatency, b.now}
}

// slowStartCapacity returns the least share of its full capacity that u has by now, 0 to 1. The share grows
// linearly from SlowStartMinCapacity to 1 over SlowStartWindow, after which the function ends the slow start.
func (b *Balancer) slowStartCapacity(u *upstream) float64 {
	s := &u.slowStart
	if s.active && b.now-s.startedAt >= b.settings.SlowStartWindow {
		s.active = false
	}
	if !s.active {
		return 1
	}
	age := float64(b.now-s.startedAt) / float64(b.settings.SlowStartWindow)
	least := b.settings.SlowStartMinCapacity
	return min(1, least+(1-least)*age)
}

// slowStartAllows refills u's token bucket up to now and reports whether it holds a token for an attempt.
// send takes as many tokens as the attempt's cost, at least one, so the bucket may fall below 0. Outside
// slow start, every attempt is allowed.
//
// The refill rate is the offered rate, in mean requests a second, divided by the candidate set's size and
// multiplied by the present capacity; with OverloadMultiple also by slowStartOverloadFraction,
// OverloadMultiple and the relative speed of the machine type. As every sidecar keeps to its share, their sum
// stays below the load that overloads the upstream. Only upstreams in the candidate set get attempts:
// otherwise, with many upstreams starting, every sidecar would send to each of them.
func (b *Balancer) slowStartAllows(u *upstream) bool {
	share := b.slowStartCapacity(u)
	if !u.slowStart.active {
		return true
	}
	size := min(len(b.shuffled), b.candidateSetSize())
	if !slices.Contains(b.shuffled[:size], u) {
		return false
	}
	if b.settings.OverloadMultiple > 0 {
		capacityRatio := b.latency.normalizedMean / *u.machineTypeLatency
		capacityRatio = min(max(capacityRatio, 1/slowStartCapacityRatioMax), slowStartCapacityRatioMax)
		share *= slowStartOverloadFraction * b.settings.OverloadMultiple * capacityRatio
	}
	perSecond := share * b.offeredRate.perSecond(b.now) / float64(size)
	u.slowStart.refill(b.now, perSecond, b.settings.OverloadWindow)
	return u.slowStart.tokens >= 1
}
