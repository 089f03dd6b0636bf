package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// members are the names, and no more.
type members struct {
	rng   *rand.Rand
	names []string
}

func (m *members) Members(names []string) { m.names = slices.Clone(names) }

func (m *members) Sent(time.Duration, string) {}

func (m *members) Done(time.Duration, Done) {}

func (m *members) Probe() []string { return nil }

func (m *members) Probed(time.Duration, ProbeReply) {}

func (m *members) any() string {
	if len(m.names) == 0 {
		return ""
	}
	return m.names[m.rng.IntN(len(m.names))]
}

// random picks any.
type random struct{ members }

func (p *random) Pick(time.Duration) string { return p.any() }

// roundRobin picks one after another, from a place of its own.
type roundRobin struct {
	members
	next int
}

func (p *roundRobin) Pick(time.Duration) string {
	if len(p.names) == 0 {
		return ""
	}
	p.next++
	return p.names[p.next%len(p.names)]
}

// pending counts what is in hand.
type pending struct {
	members
	out map[string]int
}

func (p *pending) Sent(_ time.Duration, name string) { p.out[name]++ }

func (p *pending) Done(_ time.Duration, x Done) {
	if p.out[x.Name]--; p.out[x.Name] <= 0 {
		delete(p.out, x.Name)
	}
}

// leastOfTwo picks the one of two with less in hand (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
type leastOfTwo struct{ pending }

func (p *leastOfTwo) Pick(time.Duration) string {
	a, b := p.any(), p.any()
	if p.out[b] < p.out[a] {
		return b
	}
	return a
}

// peakEWMA is Finagle's: peak-sensitive EWMA of latency x (in hand + 1), the better of two. No penalty, no ejection: what fails fast looks fast.
type peakEWMA struct {
	pending
	of map[string]*ewma
}

type ewma struct {
	cost float64 // s
	at   time.Duration
}

const peakDecay = 10 * time.Second // Finagle's

func (p *peakEWMA) load(now time.Duration, name string) float64 {
	e := p.of[name]
	if e == nil {
		if p.out[name] == 0 {
			return 0
		}
		return math.MaxFloat32 // not known, and something is there: as in Finagle, by a penalty for a second one
	}
	w := math.Exp(-float64(now-e.at) / float64(peakDecay))
	return e.cost * w * float64(p.out[name]+1)
}

func (p *peakEWMA) Pick(now time.Duration) string {
	a, b := p.any(), p.any()
	if p.load(now, b) < p.load(now, a) {
		return b
	}
	return a
}

func (p *peakEWMA) Done(now time.Duration, x Done) {
	p.pending.Done(now, x)
	e, took := p.of[x.Name], x.Took.Seconds()
	switch {
	case e == nil:
		p.of[x.Name] = &ewma{took, now}
	case took > e.cost:
		*e = ewma{took, now}
	default:
		w := math.Exp(-float64(now-e.at) / float64(peakDecay))
		*e = ewma{e.cost*w + took*(1-w), now}
	}
}
