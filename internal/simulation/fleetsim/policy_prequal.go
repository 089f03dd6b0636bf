package fleetsim

import (
	"cmp"
	"slices"
	"time"
)

// prequal is Prequal in its asynchronous mode (B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024):
// each request has three random nodes probed for requests in hand and latency; 16 answers at most are kept, for a second; the pick is the
// cold one with the least latency, or if all are hot the one with the least in hand; the worst and the oldest leave in turn.
type prequal struct {
	members
	pool  []kept
	seen  []int // in hand, in the last answers
	worst bool  // the next to leave is the worst
}

type kept struct {
	ProbeReply
	at   time.Duration
	uses int
}

const (
	prequalProbes = 3
	prequalPool   = 16
	prequalAge    = time.Second
	prequalUses   = 2 // about what the paper's formula gives for this pool and these probes
)

func (p *prequal) Members(names []string) {
	p.members.Members(names)
	p.pool = slices.DeleteFunc(p.pool, func(k kept) bool { return !slices.Contains(p.names, k.Name) })
}

func (p *prequal) Probe() []string {
	var names []string
	for range prequalProbes {
		if name := p.any(); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func (p *prequal) Probed(now time.Duration, x ProbeReply) {
	if !slices.Contains(p.names, x.Name) {
		return
	}
	p.seen = append(p.seen[max(0, len(p.seen)-seenProbes+1):], x.Report.InHand)
	if len(p.pool) == prequalPool {
		p.pool = p.pool[1:]
	}
	p.pool = append(p.pool, kept{x, now, 0})
}

// worse orders by the hot-cold rule.
func (p *prequal) worse(hot int) func(a, b kept) int {
	return func(a, b kept) int {
		hotA, hotB := a.Report.InHand > hot, b.Report.InHand > hot
		switch {
		case hotA != hotB && hotA:
			return 1
		case hotA != hotB:
			return -1
		case hotA:
			return cmp.Compare(a.Report.InHand, b.Report.InHand)
		}
		return cmp.Compare(a.Latency, b.Latency)
	}
}

func (p *prequal) Pick(now time.Duration) string {
	p.pool = slices.DeleteFunc(p.pool, func(k kept) bool { return now-k.at > prequalAge || k.uses >= prequalUses })
	if len(p.pool) < 2 {
		return p.any()
	}
	hot := 0
	if len(p.seen) > 0 {
		sorted := slices.Sorted(slices.Values(p.seen))
		hot = sorted[int(hotQuantile*float64(len(sorted)-1))]
	}
	best := 0
	for i := range p.pool {
		if p.worse(hot)(p.pool[i], p.pool[best]) < 0 {
			best = i
		}
	}
	name := p.pool[best].Name
	p.pool[best].uses++
	p.pool[best].Report.InHand++ // the request itself
	if p.worst = !p.worst; p.worst {
		at := 0
		for i := range p.pool {
			if p.worse(hot)(p.pool[i], p.pool[at]) > 0 {
				at = i
			}
		}
		p.pool = slices.Delete(p.pool, at, at+1)
	} else {
		p.pool = p.pool[1:] // the oldest
	}
	return name
}
