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

// places is a limit that moves.
type places struct{ limit float64 }

// Current is Limit's.
func (p *places) Current() int {
	if p.limit == 0 {
		p.limit = 64
	}
	return int(p.limit)
}

func (p *places) set(limit float64) { p.limit = max(8, min(1024, limit)) }

// rounds gathers samples.
type rounds struct {
	begun, took time.Duration
	n, most     int
}

// round is one of at least 32 samples.
type round struct {
	mean, rate float64 // s, and answers a second
	most       int     // in hand
}

func (r *rounds) add(now, took time.Duration, inHand int, least time.Duration) (_ round, ended bool) {
	if r.begun == 0 {
		r.begun = now
	}
	r.took, r.n, r.most = r.took+took, r.n+1, max(r.most, inHand)
	if r.n < 32 || now-r.begun < least {
		return round{}, false
	}
	out := round{r.took.Seconds() / float64(r.n), float64(r.n) / (now - r.begun).Seconds(), r.most}
	*r = rounds{begun: now}
	return out, true
}

// AIMD adds one for a limit's worth of answers in time, and takes two hundredths for one that is later than Late.
type AIMD struct {
	MaxLatency time.Duration
	places
}

// Observe is Limit's.
func (l *AIMD) Observe(_, took time.Duration, inHand int, turned bool) {
	switch {
	case turned || took > l.MaxLatency:
		l.set(l.limit * 0.98)
	case float64(inHand)*2 > l.limit:
		l.set(l.limit + 1/l.limit)
	}
}

// Gradient is Netflix's Gradient2 behind its WindowedLimit (concurrency-limits): the long mean of times over that of a window,
// plus room for a queue.
type Gradient struct {
	places
	rounds
	long float64
}

// Observe is Limit's.
func (l *Gradient) Observe(now, took time.Duration, inHand int, _ bool) {
	r, ended := l.add(now, took, inHand, 100*time.Millisecond)
	if !ended {
		return
	}
	if l.long == 0 {
		l.long = r.mean
	}
	l.long += (r.mean - l.long) * 2 / 601
	if l.long > 2*r.mean {
		l.long *= 0.95
	}
	if float64(r.most) < l.limit/2 {
		return
	}
	next := l.limit*max(0.5, min(1, 1.5*l.long/max(r.mean, 1e-9))) + 4
	l.set(l.limit*0.8 + next*0.2)
}

// RateDelay is what BBR's model comes to for requests: the highest rate of answers seen lately, times the least mean time
// seen lately, times a gain.
type RateDelay struct {
	places
	rounds
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
	l.rates, l.delays = append(l.rates, r.rate), append(l.delays, r.mean)
	if len(l.rates) > kept {
		l.rates, l.delays = l.rates[1:], l.delays[1:]
	}
	l.set(gain * slices.Max(l.rates[max(0, len(l.rates)-recent):]) * slices.Min(l.delays))
}

// Vegas is TCP Vegas' rule by rounds, for requests: what of the limit waits, by the least mean time ever seen.
type Vegas struct {
	places
	rounds
	base float64
}

// Observe is Limit's.
func (l *Vegas) Observe(now, took time.Duration, inHand int, _ bool) {
	r, ended := l.add(now, took, inHand, 50*time.Millisecond)
	if !ended {
		return
	}
	if l.base == 0 || r.mean < l.base {
		l.base = r.mean
	}
	switch queue := l.limit * (1 - l.base/r.mean); {
	case queue > 6*math.Log10(l.limit)+l.limit/2:
		l.set(l.limit * 0.85)
	case queue < 3*math.Log10(l.limit)+l.limit/4 && float64(r.most) > l.limit*0.8:
		l.set(l.limit * 1.15)
	}
}
