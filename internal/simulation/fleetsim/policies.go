package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// upstreamSet holds the names of the active nodes. Policies embed it: it implements all methods of Policy except Pick.
type upstreamSet struct {
	rng   *rand.Rand
	names []string
}

func (u *upstreamSet) SetUpstreams(names []string) { u.names = slices.Clone(names) }

func (u *upstreamSet) Sent(time.Duration, string) {}

func (u *upstreamSet) Done(time.Duration, AttemptResult) {}

func (u *upstreamSet) ProbeTargets() []string { return nil }

func (u *upstreamSet) ProbeAnswered(time.Duration, ProbeReply) {}

func (u *upstreamSet) randomName() string {
	if len(u.names) == 0 {
		return ""
	}
	return u.names[u.rng.IntN(len(u.names))]
}

// random picks a random node.
type random struct{ upstreamSet }

func (p *random) Pick(time.Duration) string { return p.randomName() }

// roundRobin picks the nodes in turn.
type roundRobin struct {
	upstreamSet
	next int
}

func (p *roundRobin) Pick(time.Duration) string {
	if len(p.names) == 0 {
		return ""
	}
	p.next++
	return p.names[p.next%len(p.names)]
}

// leastPending counts the attempts in flight at each node. Policies embed it.
type leastPending struct {
	upstreamSet
	inFlight map[string]int
}

func (p *leastPending) Sent(_ time.Duration, name string) { p.inFlight[name]++ }

func (p *leastPending) Done(_ time.Duration, result AttemptResult) {
	if p.inFlight[result.Name]--; p.inFlight[result.Name] <= 0 {
		delete(p.inFlight, result.Name)
	}
}

// leastOfTwo picks two random nodes and chooses the one with fewer attempts in flight (M. Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001).
type leastOfTwo struct{ leastPending }

func (p *leastOfTwo) Pick(time.Duration) string {
	a, b := p.randomName(), p.randomName()
	if p.inFlight[b] < p.inFlight[a] {
		return b
	}
	return a
}

// peakEWMA is Finagle's policy. It picks two random nodes and chooses the one with the lower product of two factors: a peak-sensitive EWMA of the latency, and
// the number in flight plus one. It neither penalizes nor ejects failing nodes, whose fast failures look like low latency.
type peakEWMA struct {
	leastPending
	costs map[string]*ewma
}

type ewma struct {
	cost      float64 // seconds
	updatedAt time.Duration
}

const peakDecay = 10 * time.Second // time constant of the average, as in Finagle

func (p *peakEWMA) load(now time.Duration, name string) float64 {
	e := p.costs[name]
	if e == nil {
		if p.inFlight[name] == 0 {
			return 0
		}
		return math.MaxFloat32 // the latency is unknown while the first attempts are in flight, so the node is avoided, as in Finagle
	}
	decay := math.Exp(-float64(now-e.updatedAt) / float64(peakDecay))
	return e.cost * decay * float64(p.inFlight[name]+1)
}

func (p *peakEWMA) Pick(now time.Duration) string {
	a, b := p.randomName(), p.randomName()
	if p.load(now, b) < p.load(now, a) {
		return b
	}
	return a
}

func (p *peakEWMA) Done(now time.Duration, outcome AttemptResult) {
	p.leastPending.Done(now, outcome)
	e, latency := p.costs[outcome.Name], outcome.Latency.Seconds()
	switch {
	case e == nil:
		p.costs[outcome.Name] = &ewma{latency, now}
	case latency > e.cost:
		*e = ewma{latency, now}
	default:
		decay := math.Exp(-float64(now-e.updatedAt) / float64(peakDecay))
		*e = ewma{e.cost*decay + latency*(1-decay), now}
	}
}
