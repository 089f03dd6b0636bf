package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
)

// SyncProbes is Prequal's synchronous mode, for comparison with the balancer: each request first probes a few random nodes of the
// sidecar for the number in flight and the latency, and goes to the best by Prequal's hot-cold rule (B. Wydrowski et al., "Load is not what
// you should balance: Introducing Prequal", NSDI 2024). There are no
// retries.
type SyncProbes struct {
	PerRequest  int           // nodes probed for a request
	ServiceTime time.Duration // that a probe costs a node's core
}

const (
	hotQuantile      = 0.84 // of the numbers in flight in recent answers; a node above it is hot
	hotWindow        = 128  // answers that hotQuantile is taken over
	latencySmoothing = 0.1
)

// pickByProbes probes nodes and sends the request's only attempt to the best; to a random node if none answers.
func (s *simulation) pickByProbes(sc *sidecar, req *request) {
	if len(sc.activeUpstreams) == 0 {
		s.finishRequest(sc, req.id, &s.result.Rejected, 0)
		return
	}
	s.After(networkRoundTrip, func() {
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

// hotThreshold is the number in flight above which a node is hot.
func (c *sidecar) hotThreshold() int {
	if len(c.probedInFlight) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.probedInFlight))
	return sorted[int(hotQuantile*float64(len(sorted)-1))]
}
