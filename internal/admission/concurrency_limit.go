package admission

import (
	"math"
	"time"
)

// limiter finds how many requests may be in hand beyond the door: enough to keep the upstreams busy, and few enough that
// those who must wait do so here, where their order is fair.
//
// It works in rounds, as TCP Vegas does (L. Brakmo, L. Peterson, 1995). R is the mean time of a round over the base, what
// requests take while nothing is crowded. While the limit binds it grows where R is low and shrinks where R is high.
//
// What Vegas can't tell apart, upstreams that have become slower and upstreams that are crowded, is told by the answer to the
// shrinking itself. By Little's law the time falls in step with the limit where requests wait for each other, and does not
// where they do not: in that case what is usual now is the new base, and the limit comes back. The same test finds the base
// where none is known, at a start under load, and tries it again from time to time, since a base learned under load would
// hold the limit too high for good.
//
// docs/design/door.md has this beside AIMD, gradients, the rate-delay product and Vegas, on the same loads.
type limiter struct {
	limit                  float64
	min, max               float64
	baseTime, longTermTime float64 // s; long is the mean of all requests over minutes. 0: not known

	roundStart time.Duration // the round
	samples    int
	timeSum    float64 // s, of the round's requests as if all were of the mean class
	rejected   int     // of them that the balancer turned down
	saturated  bool    // the limit held somebody up in this round
	halfUsed   bool    // more than half of it was in use

	mode            limiterMode
	decreases       int           // rounds of this shrinking
	limitBefore     float64       // the limit before it
	meanBefore      float64       // and the mean time then, s
	lastBaseProbe   time.Duration // when the base was tried last
	slowdownFoundAt time.Duration // when upstreams were found to be slower
}

type limiterMode int8

const (
	steady         limiterMode = iota
	probeSettling              // the limit has just been halved to try the base: this round's requests began before
	probeMeasuring             // and this one's tell
)

const (
	initialLimit           = 64
	minRoundDuration       = 50 * time.Millisecond
	minRoundSamples        = 32 // of a round at least, and half as many again as the limit: most have begun within it
	maxRoundSamples        = 512
	fasterRatio            = 0.8  // below, the base is too high
	growRatio              = 1.7  // grow below
	shrinkRatio            = 2.6  // shrink above
	growFactor             = 1.15 // factors of a round
	shrinkFactor           = 0.85
	maxRejectedFraction    = 0.05 // shrink where more than this part was turned down beyond the door
	minElasticity          = 0.4  // where the time follows the limit by less than this power, upstreams are slower and not crowded
	decreasesBeforeJudging = 5    // rounds before that is judged; the times of the first still tell of the limit before
	baseProbeInterval      = 30 * time.Second
	firstBaseProbeDelay    = 500 * time.Millisecond // with requests in hand: until then their times tell of an empty fleet
	slowdownGrace          = 3 * time.Second        // what the balancer turns down is not the limit's fault for so long after that
	baseSmoothing          = 0.2                    // weight of a calm round in the base
	longTermSmoothing      = 0.002                  // weight of a request in the long means
)

func newLimiter(least, most int) limiter {
	return limiter{limit: max(float64(least), min(initialLimit, float64(most))), min: float64(least), max: float64(most)}
}

// current is the limit as a number of requests.
func (l *limiter) current() int { return int(l.limit) }

// observe tells of a request of a class that ended, with so many in hand, itself included.
func (l *limiter) observe(now time.Duration, c *classStats, took float64, inHand int, turned bool) {
	if l.lastBaseProbe == 0 {
		l.lastBaseProbe = now
	}
	l.samples++
	l.halfUsed = l.halfUsed || float64(inHand) > l.limit/2
	if turned {
		l.rejected++
	} else {
		// Classes that take different times are made alike by their long means, so that another mixture is no crowding.
		if c.longTermCost == 0 {
			c.longTermCost = took
		}
		if l.longTermTime == 0 {
			l.longTermTime = took
		}
		c.longTermCost += (took - c.longTermCost) * longTermSmoothing
		l.longTermTime += (took - l.longTermTime) * longTermSmoothing
		l.timeSum += took * l.longTermTime / max(c.longTermCost, minCost)
	}
	if need := max(minRoundSamples, min(maxRoundSamples, l.current()*3/2)); l.samples < need || now-l.roundStart < minRoundDuration {
		return
	}
	l.endRound(now)
	l.roundStart, l.samples, l.timeSum, l.rejected, l.saturated, l.halfUsed = now, 0, 0, 0, false, false
}

func (l *limiter) endRound(now time.Duration) {
	n := l.samples - l.rejected
	if n == 0 {
		l.mode, l.decreases = steady, 0
		l.setLimit(l.limit * shrinkFactor)
		return
	}
	mean := l.timeSum / float64(n)
	turned := float64(l.rejected) > maxRejectedFraction*float64(l.samples)
	switch {
	case turned && l.mode != steady:
		l.mode = steady
		l.setLimit(l.limitBefore)
		return
	case turned && now-l.slowdownFoundAt > slowdownGrace:
		l.decrease(now, mean)
		return
	case l.mode == probeSettling:
		l.mode = probeMeasuring
		return
	case l.mode == probeMeasuring:
		l.finishBaseProbe(now, mean)
		return
	case !l.saturated:
		l.decreases = 0
		switch {
		case l.baseTime == 0 && !l.halfUsed:
			l.baseTime = mean
		case !l.halfUsed || mean < l.baseTime:
			l.baseTime += (mean - l.baseTime) * baseSmoothing
		}
		return
	case l.decreases == 0 && (now-l.lastBaseProbe > baseProbeInterval || l.baseTime == 0 && now-l.lastBaseProbe > firstBaseProbeDelay):
		l.startBaseProbe(mean)
		return
	case l.baseTime == 0:
		return
	}
	switch r := mean / l.baseTime; {
	case r > shrinkRatio:
		l.decrease(now, mean)
	case r < fasterRatio: // upstreams are faster than they were
		l.decreases, l.baseTime = 0, mean
		l.setLimit(l.limit * growFactor)
	case r < growRatio:
		l.decreases = 0
		l.setLimit(l.limit * growFactor)
	default:
		l.decreases = 0
	}
}

// decrease shrinks the limit by a round's step, and tells after some whether that helps.
func (l *limiter) decrease(now time.Duration, mean float64) {
	if l.decreases == 0 {
		l.limitBefore, l.meanBefore = l.limit, mean
	}
	if l.decreases++; l.decreases > decreasesBeforeJudging && !l.latencyFollowedLimit(mean) {
		l.decreases, l.baseTime, l.lastBaseProbe, l.slowdownFoundAt = 0, mean, now, now
		l.setLimit(l.limitBefore)
		return
	}
	l.setLimit(l.limit * shrinkFactor)
}

// latencyFollowedLimit tells whether the mean time has followed the limit down. At the least limit there is nothing to follow.
func (l *limiter) latencyFollowedLimit(mean float64) bool {
	down := math.Log(l.limitBefore / l.limit)
	return down > 0 && math.Log(l.meanBefore/mean) > minElasticity*down
}

// startBaseProbe begins to try the base.
func (l *limiter) startBaseProbe(mean float64) {
	l.limitBefore, l.meanBefore, l.mode, l.decreases = l.limit, mean, probeSettling, 0
	l.setLimit(l.limit / 2)
}

// finishBaseProbe judges a halved limit: where the time has fallen with it, the limit was for waiting, and is halved again; else this
// is what requests take while nothing is crowded.
func (l *limiter) finishBaseProbe(now time.Duration, mean float64) {
	if l.limit > l.min && l.latencyFollowedLimit(mean) {
		if l.baseTime > 0 && mean > l.baseTime*growRatio { // still crowded by what is known
			l.mode, l.lastBaseProbe = steady, now
			return
		}
		l.startBaseProbe(mean)
		return
	}
	l.mode, l.lastBaseProbe, l.baseTime = steady, now, mean
	l.setLimit(l.limitBefore)
}

func (l *limiter) setLimit(limit float64) { l.limit = min(l.max, max(l.min, limit)) }
