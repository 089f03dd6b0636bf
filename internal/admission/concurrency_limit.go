package admission

import (
	"math"
	"time"
)

// limiter finds the concurrency limit: enough requests in flight to keep the upstreams busy, and few enough that
// requests wait in the queue, where their order is fair, rather than at the upstreams.
//
// It works in rounds, as TCP Vegas does (L. Brakmo, L. Peterson, "TCP Vegas: End to End Congestion Avoidance on a
// Global Internet", 1995). The ratio of a round is its mean time in flight over the base time, which is the time in
// flight of requests that do not wait for each other. While the limit is saturated, it grows after a round with a low
// ratio and shrinks after a round with a high one.
//
// Vegas cannot tell slower upstreams from overloaded ones, but the effect of a smaller limit can. By Little's law, the
// time in flight falls in proportion to the limit if requests wait for each other. If it does not fall, the upstreams
// are slower: the present mean becomes the base time, and the limit is restored. The base probe is the same test by
// halving the limit. It finds the base time after a start under load, and is repeated at intervals, because a base time
// learned under load would keep the limit too high permanently.
//
// docs/design/door.md compares the limiter with AIMD, gradients, the rate-delay product and Vegas.
type limiter struct {
	limit        float64
	min, max     float64
	baseTime     float64 // time in flight of requests that do not wait for each other, s; 0 if unknown
	longTermTime float64 // mean of all requests over minutes, s; 0 if unknown

	// State of the present round.
	roundStart time.Duration
	samples    int
	rejected   int     // requests that the balancer rejected
	timeSum    float64 // sum of the other requests' times in flight, scaled by addTime, s
	saturated  bool    // whether a request had to wait for the limit
	halfUsed   bool    // whether more than half of the limit was in flight

	phase           limiterPhase
	decreases       int           // consecutive rounds in which the limit was decreased
	limitBefore     float64       // the limit before the decreases or the base probe
	meanBefore      float64       // the mean time in flight at limitBefore, s
	lastBaseProbe   time.Duration // when the base time was last tested; 0 before the first request has ended
	slowdownFoundAt time.Duration // when upstreams were last found to be slower
}

type limiterPhase int8

const (
	steady         limiterPhase = iota // no base probe is running
	probeSettling                      // the limit has been halved to find the base time; the round's requests began before that
	probeMeasuring                     // the round's requests began after the limit was halved
)

const (
	initialLimit     = 64 // requests
	minRoundDuration = 50 * time.Millisecond
	minRoundSamples  = 32 // requests; a round also needs 1.5 times the limit, so that most requests began within it
	maxRoundSamples  = 512

	// Ratios of the mean time in flight to the base time.
	fasterRatio = 0.8 // below this ratio the base time is too high
	growRatio   = 1.7 // below this ratio the limit grows
	shrinkRatio = 2.6 // above this ratio the limit shrinks

	// Factors of the limit.
	growFactor   = 1.15 // per round
	shrinkFactor = 0.85 // per round
	probeFactor  = 2    // divisor of the limit in a base probe

	maxRejectedFraction  = 0.05 // fraction of a round's requests above which the limit shrinks
	minElasticity        = 0.4  // least power of the limit that the time in flight follows, unless the upstreams are slower
	decreasesBeforeCheck = 5    // rounds; the first ones still measure requests that began before the decrease

	baseProbeInterval   = 30 * time.Second
	firstBaseProbeDelay = 500 * time.Millisecond // after the first request has ended; earlier requests find the upstreams idle
	slowdownGrace       = 3 * time.Second        // time after a slowdown in which rejections by the balancer do not shrink the limit

	baseSmoothing     = 0.2   // weight of an unsaturated round in the base time
	longTermSmoothing = 0.002 // weight of a request in the long-term means
)

func newLimiter(minLimit, maxLimit int) limiter {
	low, high := float64(minLimit), float64(maxLimit)
	return limiter{limit: max(low, min(initialLimit, high)), min: low, max: high}
}

// current returns the limit in requests.
func (l *limiter) current() int { return int(l.limit) }

func (l *limiter) setLimit(limit float64) { l.limit = min(l.max, max(l.min, limit)) }

// observe records a request that has ended: its cost in seconds, the number of requests that were in flight, itself
// included, and whether the balancer rejected it. The last sample of a round adapts the limit.
func (l *limiter) observe(now time.Duration, class *classStats, cost float64, inFlight int, rejected bool) {
	if l.lastBaseProbe == 0 {
		l.lastBaseProbe = now
	}
	l.samples++
	l.halfUsed = l.halfUsed || float64(inFlight) > l.limit/2
	if rejected {
		l.rejected++
	} else {
		l.addTime(class, cost)
	}
	needed := max(minRoundSamples, min(maxRoundSamples, l.current()*3/2))
	if l.samples < needed || now-l.roundStart < minRoundDuration {
		return
	}
	l.endRound(now)
	l.roundStart, l.samples, l.timeSum, l.rejected, l.saturated, l.halfUsed = now, 0, 0, 0, false, false
}

// addTime adds a request's cost to the round, scaled by the long-term means of all requests and of its class, so that
// another mixture of classes does not look like a change of latency.
func (l *limiter) addTime(class *classStats, cost float64) {
	if class.longTermCost == 0 {
		class.longTermCost = cost
	}
	if l.longTermTime == 0 {
		l.longTermTime = cost
	}
	class.longTermCost += (cost - class.longTermCost) * longTermSmoothing
	l.longTermTime += (cost - l.longTermTime) * longTermSmoothing
	l.timeSum += cost * l.longTermTime / max(class.longTermCost, minCost)
}

// endRound adapts the limit and the base time at the end of a round.
func (l *limiter) endRound(now time.Duration) {
	completed := l.samples - l.rejected
	if completed == 0 {
		l.phase, l.decreases = steady, 0
		l.setLimit(l.limit * shrinkFactor)
		return
	}
	mean := l.timeSum / float64(completed)
	manyRejected := float64(l.rejected) > maxRejectedFraction*float64(l.samples)
	switch {
	case manyRejected && l.phase != steady:
		l.phase = steady
		l.setLimit(l.limitBefore)
	case manyRejected && now-l.slowdownFoundAt > slowdownGrace:
		l.decrease(now, mean)
	case l.phase == probeSettling:
		l.phase = probeMeasuring
	case l.phase == probeMeasuring:
		l.finishBaseProbe(now, mean)
	case !l.saturated:
		l.updateBaseTime(mean)
	case l.decreases == 0 && l.baseProbeDue(now):
		l.startBaseProbe(mean)
	case l.baseTime == 0:
		// Before the first base probe, there is no base time to compare with.
	default:
		l.adapt(now, mean)
	}
}

// adapt changes the limit by the ratio of a saturated round.
func (l *limiter) adapt(now time.Duration, mean float64) {
	ratio := mean / l.baseTime
	if ratio > shrinkRatio {
		l.decrease(now, mean)
		return
	}
	l.decreases = 0
	if ratio < fasterRatio {
		l.baseTime = mean
	}
	if ratio < growRatio {
		l.setLimit(l.limit * growFactor)
	}
}

// updateBaseTime learns the base time from a round that was not saturated.
func (l *limiter) updateBaseTime(mean float64) {
	l.decreases = 0
	switch {
	case l.baseTime == 0 && !l.halfUsed:
		l.baseTime = mean
	case !l.halfUsed || mean < l.baseTime:
		l.baseTime += (mean - l.baseTime) * baseSmoothing
	}
}

// decrease shrinks the limit by one round's factor. If the time in flight has not fallen after several such rounds, the
// upstreams are slower: the mean becomes the base time, and the limit is restored.
func (l *limiter) decrease(now time.Duration, mean float64) {
	if l.decreases == 0 {
		l.limitBefore, l.meanBefore = l.limit, mean
	}
	l.decreases++
	if l.decreases > decreasesBeforeCheck && !l.timeFollowedLimit(mean) {
		l.decreases, l.baseTime, l.lastBaseProbe, l.slowdownFoundAt = 0, mean, now, now
		l.setLimit(l.limitBefore)
		return
	}
	l.setLimit(l.limit * shrinkFactor)
}

// timeFollowedLimit reports whether the mean time in flight has fallen with the limit. It returns false if the limit
// could not be reduced because it was at its minimum.
func (l *limiter) timeFollowedLimit(mean float64) bool {
	down := math.Log(l.limitBefore / l.limit)
	return down > 0 && math.Log(l.meanBefore/mean) > minElasticity*down
}

// baseProbeDue reports whether a base probe is due.
func (l *limiter) baseProbeDue(now time.Duration) bool {
	since := now - l.lastBaseProbe
	return since > baseProbeInterval || l.baseTime == 0 && since > firstBaseProbeDelay
}

// startBaseProbe halves the limit to test the base time.
func (l *limiter) startBaseProbe(mean float64) {
	l.limitBefore, l.meanBefore, l.phase, l.decreases = l.limit, mean, probeSettling, 0
	l.setLimit(l.limit / probeFactor)
}

// finishBaseProbe evaluates a halved limit. If the time in flight has not fallen with it, requests did not wait for
// each other. Then, or if the limit is at its minimum, the present mean becomes the base time, and the limit is
// restored. Otherwise the limit is halved again, or stays halved if the mean is still high compared with the known base
// time.
func (l *limiter) finishBaseProbe(now time.Duration, mean float64) {
	if l.limit <= l.min || !l.timeFollowedLimit(mean) {
		l.phase, l.lastBaseProbe, l.baseTime = steady, now, mean
		l.setLimit(l.limitBefore)
		return
	}
	if l.baseTime > 0 && mean > l.baseTime*growRatio {
		l.phase, l.lastBaseProbe = steady, now
		return
	}
	l.startBaseProbe(mean)
}
