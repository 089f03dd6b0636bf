package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
)

// SyncProbes is Prequal's synchronous mode (B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024),
// for comparison with the balancer. Each request first probes a few random nodes of the sidecar for their number in flight and their
// latency. The request then goes to the best of them by Prequal's hot-cold rule. Requests are not retried.
type SyncProbes struct {
	PerRequest  int           // number of nodes that are probed for a request
	ServiceTime time.Duration // CPU time that a probe costs its node
}

const (
	hotQuantile      = 0.84 // a node whose number in flight is above this quantile of recent probe answers is hot
	hotWindow        = 128  // number of recent probe answers that count
	latencySmoothing = 0.1  // weight of an attempt in a node's mean latency
)

// pickByProbes probes nodes and sends the only attempt of the request to the best node. If no node answers, it sends the attempt to a
// random node.
func (s *simulation) pickByProbes(sc *sidecar, req *request) {
	if len(sc.activeUpstreams) == 0 {
		s.finishRequest(sc, req.id, &s.result.Rejected, 0)
		return
	}
	s.After(networkRoundTrip, func() {
		var best *node
		bestHot, threshold := true, sc.hotThreshold()
		for range s.run.SyncProbes.PerRequest {
			n := s.byName[sc.activeUpstreams[sc.rng.IntN(len(sc.activeUpstreams))]]
			if !n.up {
				continue
			}
			s.result.Probes++
			n.probeWork += s.run.SyncProbes.ServiceTime
			nodeLoad := n.inFlight()
			sc.probedInFlight = append(sc.probedInFlight[max(0, len(sc.probedInFlight)-hotWindow+1):], nodeLoad)
			isHot := nodeLoad > threshold
			switch {
			case best == nil, bestHot && !isHot:
				best, bestHot = n, isHot
			case isHot && bestHot && nodeLoad < best.inFlight(), !isHot && !bestHot && n.meanLatency < best.meanLatency:
				best = n
			}
		}
		if best == nil {
			best = s.byName[sc.activeUpstreams[sc.rng.IntN(len(sc.activeUpstreams))]]
		}
		s.sendAttempt(sc, balancer.Action{ID: req.id, Upstream: best.name})
	})
}

// hotThreshold returns the number in flight above which a node counts as hot.
func (c *sidecar) hotThreshold() int {
	if len(c.probedInFlight) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.probedInFlight))
	return sorted[int(hotQuantile*float64(len(sorted)-1))]
}
