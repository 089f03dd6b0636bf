package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
)

// Probes is what stands beside the module in measurements: each request first asks a few of the sidecar's nodes how much they
// have in hand and how long they take, and goes to the best by Prequal's hot-cold rule (B. Wydrowski et al., "Load is not what
// you should balance: Introducing Prequal", NSDI 2024), in its synchronous mode, which is the one for sidecars with little
// traffic: a pool's probes would be old by the next request. It tries once.
type Probes struct {
	Each int           // nodes asked a request
	Cost time.Duration // what a probe costs a node's core
}

const (
	hotQuantile = 0.84 // of requests in hand seen in answers; above it a node is hot
	seenProbes  = 128  // answers that the quantile is of
	tookBlend   = 0.1
)

// probed has a request choose by probes.
func (s *sim) probed(c *sidecar, q *request) {
	if len(c.own) == 0 {
		s.answer(c, q.id, &s.out.Refused, 0)
		return
	}
	s.After(wire, func() { // there and back
		var best *node
		bestHot, hot := true, c.hot()
		for range s.r.Probes.Each {
			n := s.byName[c.own[c.rng.IntN(len(c.own))]]
			if !n.up {
				continue
			}
			s.out.Probes++
			n.owed += s.r.Probes.Cost
			in := n.inHand()
			c.seen = append(c.seen[max(0, len(c.seen)-seenProbes+1):], in)
			isHot := in > hot
			switch {
			case best == nil, bestHot && !isHot:
				best, bestHot = n, isHot
			case isHot && bestHot && in < best.inHand(), !isHot && !bestHot && n.took < best.took:
				best = n
			}
		}
		if best == nil {
			best = s.byName[c.own[c.rng.IntN(len(c.own))]]
		}
		s.send(c, balancer.Action{ID: q.id, Upstream: best.name})
	})
}

// hot is the number in hand above which a node is hot.
func (c *sidecar) hot() int {
	if len(c.seen) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.seen))
	return sorted[int(hotQuantile*float64(len(sorted)-1))]
}
