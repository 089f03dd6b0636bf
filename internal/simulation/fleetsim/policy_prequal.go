package fleetsim

import (
	"cmp"
	"slices"
	"time"
)

// prequal implements the asynchronous mode of Prequal (B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024).
// Each request probes three random nodes for their number in flight and their latency. At most 16 answers are kept, for one second each. A node is
// hot if its number in flight is above a quantile of recent answers. The policy picks the node with the lowest latency among those that are not
// hot. If all are hot, it picks the node with the fewest attempts in flight. After each pick, it removes the worst or the oldest answer in turn.
type prequal struct {
	upstreamSet
	pool            []pooledReply
	inFlightSeen    []int // numbers in flight in the latest answers
	removeWorstNext bool  // the next removal is that of the worst answer, otherwise of the oldest
}

type pooledReply struct {
	ProbeReply
	receivedAt time.Duration
	uses       int
}

const (
	prequalProbes   = 3
	prequalPoolSize = 16
	prequalMaxAge   = time.Second
	prequalMaxUses  = 2 // close to the result of the paper's formula for this pool size and number of probes
)

func (p *prequal) SetUpstreams(names []string) {
	p.upstreamSet.SetUpstreams(names)
	p.pool = slices.DeleteFunc(p.pool, func(reply pooledReply) bool { return !slices.Contains(p.names, reply.Name) })
}

func (p *prequal) ProbeTargets() []string {
	var names []string
	for range prequalProbes {
		if name := p.randomName(); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func (p *prequal) ProbeAnswered(now time.Duration, reply ProbeReply) {
	if !slices.Contains(p.names, reply.Name) {
		return
	}
	p.inFlightSeen = append(p.inFlightSeen[max(0, len(p.inFlightSeen)-hotWindow+1):], reply.Report.InFlight)
	if len(p.pool) == prequalPoolSize {
		p.pool = p.pool[1:]
	}
	p.pool = append(p.pool, pooledReply{reply, now, 0})
}

// compare returns a function that orders answers by the hot-cold rule, with the best answer first. A node is hot if its number in flight is above
// the argument hot.
func (p *prequal) compare(hot int) func(a, b pooledReply) int {
	return func(a, b pooledReply) int {
		hotA, hotB := a.Report.InFlight > hot, b.Report.InFlight > hot
		switch {
		case hotA != hotB && hotA:
			return 1
		case hotA != hotB:
			return -1
		case hotA:
			return cmp.Compare(a.Report.InFlight, b.Report.InFlight)
		}
		return cmp.Compare(a.Latency, b.Latency)
	}
}

func (p *prequal) Pick(now time.Duration) string {
	p.pool = slices.DeleteFunc(p.pool, func(reply pooledReply) bool {
		return now-reply.receivedAt > prequalMaxAge || reply.uses >= prequalMaxUses
	})
	if len(p.pool) < 2 {
		return p.randomName()
	}
	hot := 0
	if len(p.inFlightSeen) > 0 {
		sorted := slices.Sorted(slices.Values(p.inFlightSeen))
		hot = sorted[int(hotQuantile*float64(len(sorted)-1))]
	}
	best := 0
	for i := range p.pool {
		if p.compare(hot)(p.pool[i], p.pool[best]) < 0 {
			best = i
		}
	}
	name := p.pool[best].Name
	p.pool[best].uses++
	p.pool[best].Report.InFlight++ // includes the request itself
	if p.removeWorstNext = !p.removeWorstNext; p.removeWorstNext {
		worst := 0
		for i := range p.pool {
			if p.compare(hot)(p.pool[i], p.pool[worst]) > 0 {
				worst = i
			}
		}
		p.pool = slices.Delete(p.pool, worst, worst+1)
	} else {
		p.pool = p.pool[1:] // removes the oldest answer
	}
	return name
}
