package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
)

// SyncProbes is what stands beside the module in measurements: each request first asks a few of the sidecar's nodes how much they
// have in hand and how long they take, and goes to the best by Prequal's hot-cold rule (B. Wydrowski et al., "Load is not what
// you should balance: Introducing Prequal", NSDI 2024), in its synchronous mode, which is the one for sidecars with little
// traffic: a pool's probes would be old by the next request. It tries once.
type SyncProbes struct {
	PerRequest  int           // nodes asked a request
	ServiceTime time.Duration // what a probe costs a node's core
}

const (
	hotQuantile      = 0.84 // of requests in hand seen in answers; above it a node is hot
	hotWindow        = 128  // answers that the quantile is of
	latencySmoothing = 0.1
)

// pickByProbes has a request choose by probes.
func (s *simulation) pickByProbes(sc *sidecar, req *request) {
	if len(sc.activeUpstreams) == 0 {
		s.finishRequest(sc, req.id, &s.result.Rejected, 0)
		return
	}
	s.After(networkRoundTrip, func() { // there and back
		var best *node
		bestHot, hot := true, sc.hotThreshold()
		for range s.run.SyncProbes.PerRequest {
			n := s.byName[sc.activeUpstreams[sc.rng.IntN(len(sc.activeUpstreams))]]
			if !n.up {
				continue
			}
			s.result.Probes++
			n.probeWork += s.run.SyncProbes.ServiceTime
			in := n.inFlight()
			sc.probedInFlight = append(sc.probedInFlight[max(0, len(sc.probedInFlight)-hotWindow+1):], in)
			isHot := in > hot
			switch {
			case best == nil, bestHot && !isHot:
				best, bestHot = n, isHot
			case isHot && bestHot && in < best.inFlight(), !isHot && !bestHot && n.meanLatency < best.meanLatency:
				best = n
			}
		}
		if best == nil {
			best = s.byName[sc.activeUpstreams[sc.rng.IntN(len(sc.activeUpstreams))]]
		}
		s.sendAttempt(sc, balancer.Action{ID: req.id, Upstream: best.name})
	})
}

// hotThreshold is the number in hand above which a node is hot.
func (c *sidecar) hotThreshold() int {
	if len(c.probedInFlight) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.probedInFlight))
	return sorted[int(hotQuantile*float64(len(sorted)-1))]
}
