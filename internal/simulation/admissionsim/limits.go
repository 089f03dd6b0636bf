package admissionsim

import (
	"math"
	"slices"
	"time"
)

// Fixed is a Limit that stays.
type Fixed int

// Current is Limit's.
func (f Fixed) Current() int { return int(f) }

// Observe is Limit's.
func (f Fixed) Observe(time.Duration, time.Duration, int, bool) {}

// adaptiveLimit is a limit that moves.
type adaptiveLimit struct{ limit float64 }

// Current is Limit's.
func (p *adaptiveLimit) Current() int {
	if p.limit == 0 {
		p.limit = 64
	}
	return int(p.limit)
}

func (p *adaptiveLimit) setLimit(limit float64) { p.limit = max(8, min(1024, limit)) }

// window gathers samples.
type window struct {
	start, timeSum       time.Duration
	samples, maxInFlight int
}

// windowStats is one of at least 32 samples.
type windowStats struct {
	meanLatency, rate float64 // s, and answers a second
	maxInFlight       int     // in hand
}

func (r *window) add(now, took time.Duration, inHand int, least time.Duration) (_ windowStats, ended bool) {
	if r.start == 0 {
		r.start = now
	}
	r.timeSum, r.samples, r.maxInFlight = r.timeSum+took, r.samples+1, max(r.maxInFlight, inHand)
	if r.samples < 32 || now-r.start < least {
		return windowStats{}, false
	}
	out := windowStats{r.timeSum.Seconds() / float64(r.samples), float64(r.samples) / (now - r.start).Seconds(), r.maxInFlight}
	*r = window{start: now}
	return out, true
}

// AIMD adds one for a limit's worth of answers in time, and takes two hundredths for one that is later than Late.
type AIMD struct {
	MaxLatency time.Duration
	adaptiveLimit
}

// Observe is Limit's.
func (l *AIMD) Observe(_, took time.Duration, inHand int, turned bool) {
	switch {
	case turned || took > l.MaxLatency:
		l.setLimit(l.limit * 0.98)
	case float64(inHand)*2 > l.limit:
		l.setLimit(l.limit + 1/l.limit)
	}
}

// Gradient is Netflix's Gradient2 behind its WindowedLimit (concurrency-limits): the long mean of times over that of a window,
// plus room for a queue.
type Gradient struct {
	adaptiveLimit
	window
	longTermLatency float64
}

// Observe is Limit's.
func (l *Gradient) Observe(now, took time.Duration, inHand int, _ bool) {
	r, ended := l.add(now, took, inHand, 100*time.Millisecond)
	if !ended {
		return
	}
	if l.longTermLatency == 0 {
		l.longTermLatency = r.meanLatency
	}
	l.longTermLatency += (r.meanLatency - l.longTermLatency) * 2 / 601
	if l.longTermLatency > 2*r.meanLatency {
		l.longTermLatency *= 0.95
	}
	if float64(r.maxInFlight) < l.limit/2 {
		return
	}
	next := l.limit*max(0.5, min(1, 1.5*l.longTermLatency/max(r.meanLatency, 1e-9))) + 4
	l.setLimit(l.limit*0.8 + next*0.2)
}

// RateDelay is what BBR's model comes to for requests: the highest rate of answers seen lately, times the least mean time
// seen lately, times a gain.
type RateDelay struct {
	adaptiveLimit
	window
	rates, delays []float64
}

// Observe is Limit's.
func (l *RateDelay) Observe(now, took time.Duration, inHand int, turned bool) {
	if turned {
		return
	}
	r, ended := l.add(now, took, inHand, 100*time.Millisecond)
	if !ended {
		return
	}
	const kept, recent, gain = 50, 10, 1.25
	l.rates, l.delays = append(l.rates, r.rate), append(l.delays, r.meanLatency)
	if len(l.rates) > kept {
		l.rates, l.delays = l.rates[1:], l.delays[1:]
	}
	l.setLimit(gain * slices.Max(l.rates[max(0, len(l.rates)-recent):]) * slices.Min(l.delays))
}

// Vegas is TCP Vegas' rule by rounds, for requests: what of the limit waits, by the least mean time ever seen.
type Vegas struct {
	adaptiveLimit
	window
	baseLatency float64
}

// Observe is Limit's.
func (l *Vegas) Observe(now, took time.Duration, inHand int, _ bool) {
	r, ended := l.add(now, took, inHand, 50*time.Millisecond)
	if !ended {
		return
	}
	if l.baseLatency == 0 || r.meanLatency < l.baseLatency {
		l.baseLatency = r.meanLatency
	}
	switch queue := l.limit * (1 - l.baseLatency/r.meanLatency); {
	case queue > 6*math.Log10(l.limit)+l.limit/2:
		l.setLimit(l.limit * 0.85)
	case queue < 3*math.Log10(l.limit)+l.limit/4 && float64(r.maxInFlight) > l.limit*0.8:
		l.setLimit(l.limit * 1.15)
	}
}
