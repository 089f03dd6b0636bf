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
	limit       float64
	least, most float64
	base, long  float64 // s; long is the mean of all requests over minutes. 0: not known

	begun   time.Duration // the round
	samples int
	took    float64 // s, of the round's requests as if all were of the mean class
	turned  int     // of them that the balancer turned down
	bound   bool    // the limit held somebody up in this round
	crowded bool    // more than half of it was in use

	mode   mode
	fell   int           // rounds of this shrinking
	from   float64       // the limit before it
	meanAt float64       // and the mean time then, s
	probed time.Duration // when the base was tried last
	slower time.Duration // when upstreams were found to be slower
}

type mode int8

const (
	steady  mode = iota
	settles      // the limit has just been halved to try the base: this round's requests began before
	probes       // and this one's tell
)

const (
	limitBegin   = 64
	roundLeast   = 50 * time.Millisecond
	roundSamples = 32 // of a round at least, and half as many again as the limit: most have begun within it
	roundMost    = 512
	rFaster      = 0.8  // below, the base is too high
	rLow         = 1.7  // grow below
	rHigh        = 2.6  // shrink above
	grow         = 1.15 // factors of a round
	shrink       = 0.85
	turnedHigh   = 0.05 // shrink where more than this part was turned down beyond the door
	elastic      = 0.4  // where the time follows the limit by less than this power, upstreams are slower and not crowded
	fallsToTell  = 5    // rounds before that is judged; the times of the first still tell of the limit before
	probeEvery   = 30 * time.Second
	firstProbe   = 500 * time.Millisecond // with requests in hand: until then their times tell of an empty fleet
	slowerFor    = 3 * time.Second        // what the balancer turns down is not the limit's fault for so long after that
	baseBlend    = 0.2                    // weight of a calm round in the base
	longBlend    = 0.002                  // weight of a request in the long means
)

func newLimiter(least, most int) limiter {
	return limiter{limit: max(float64(least), min(limitBegin, float64(most))), least: float64(least), most: float64(most)}
}

// places is the limit as a number of requests.
func (l *limiter) places() int { return int(l.limit) }

// sample tells of a request of a class that ended, with so many in hand, itself included.
func (l *limiter) sample(now time.Duration, c *class, took float64, inHand int, turned bool) {
	if l.probed == 0 {
		l.probed = now
	}
	l.samples++
	l.crowded = l.crowded || float64(inHand) > l.limit/2
	if turned {
		l.turned++
	} else {
		// Classes that take different times are made alike by their long means, so that another mixture is no crowding.
		if c.long == 0 {
			c.long = took
		}
		if l.long == 0 {
			l.long = took
		}
		c.long += (took - c.long) * longBlend
		l.long += (took - l.long) * longBlend
		l.took += took * l.long / max(c.long, costLeast)
	}
	if need := max(roundSamples, min(roundMost, l.places()*3/2)); l.samples < need || now-l.begun < roundLeast {
		return
	}
	l.decide(now)
	l.begun, l.samples, l.took, l.turned, l.bound, l.crowded = now, 0, 0, 0, false, false
}

func (l *limiter) decide(now time.Duration) {
	n := l.samples - l.turned
	if n == 0 {
		l.mode, l.fell = steady, 0
		l.set(l.limit * shrink)
		return
	}
	mean := l.took / float64(n)
	turned := float64(l.turned) > turnedHigh*float64(l.samples)
	switch {
	case turned && l.mode != steady:
		l.mode = steady
		l.set(l.from)
		return
	case turned && now-l.slower > slowerFor:
		l.fall(now, mean)
		return
	case l.mode == settles:
		l.mode = probes
		return
	case l.mode == probes:
		l.probe(now, mean)
		return
	case !l.bound:
		l.fell = 0
		switch {
		case l.base == 0 && !l.crowded:
			l.base = mean
		case !l.crowded || mean < l.base:
			l.base += (mean - l.base) * baseBlend
		}
		return
	case l.fell == 0 && (now-l.probed > probeEvery || l.base == 0 && now-l.probed > firstProbe):
		l.halve(mean)
		return
	case l.base == 0:
		return
	}
	switch r := mean / l.base; {
	case r > rHigh:
		l.fall(now, mean)
	case r < rFaster: // upstreams are faster than they were
		l.fell, l.base = 0, mean
		l.set(l.limit * grow)
	case r < rLow:
		l.fell = 0
		l.set(l.limit * grow)
	default:
		l.fell = 0
	}
}

// fall shrinks the limit by a round's step, and tells after some whether that helps.
func (l *limiter) fall(now time.Duration, mean float64) {
	if l.fell == 0 {
		l.from, l.meanAt = l.limit, mean
	}
	if l.fell++; l.fell > fallsToTell && !l.helped(mean) {
		l.fell, l.base, l.probed, l.slower = 0, mean, now, now
		l.set(l.from)
		return
	}
	l.set(l.limit * shrink)
}

// helped tells whether the mean time has followed the limit down. At the least limit there is nothing to follow.
func (l *limiter) helped(mean float64) bool {
	down := math.Log(l.from / l.limit)
	return down > 0 && math.Log(l.meanAt/mean) > elastic*down
}

// halve begins to try the base.
func (l *limiter) halve(mean float64) {
	l.from, l.meanAt, l.mode, l.fell = l.limit, mean, settles, 0
	l.set(l.limit / 2)
}

// probe judges a halved limit: where the time has fallen with it, the limit was for waiting, and is halved again; else this
// is what requests take while nothing is crowded.
func (l *limiter) probe(now time.Duration, mean float64) {
	if l.limit > l.least && l.helped(mean) {
		if l.base > 0 && mean > l.base*rLow { // still crowded by what is known
			l.mode, l.probed = steady, now
			return
		}
		l.halve(mean)
		return
	}
	l.mode, l.probed, l.base = steady, now, mean
	l.set(l.from)
}

func (l *limiter) set(limit float64) { l.limit = min(l.most, max(l.least, limit)) }
