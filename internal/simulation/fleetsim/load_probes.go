package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

// probeLoad probes nodes and waits until each node has answered or timed out. It then passes the answers to the balancer and calls
// done.
func (s *simulation) probeLoad(sc *sidecar, names []string, done func()) {
	wait := networkRoundTrip
	for _, name := range names {
		n := s.byName[name]
		s.result.Probes++
		if !n.up {
			wait = s.run.LoadProbes.Timeout.D()
			continue
		}
		n.probeWork += probeServiceTime
	}
	s.After(wait, func() {
		for _, name := range names {
			n := s.byName[name]
			sc.prober.Answered(s.Now(), name, n.up)
			answer := balancer.ProbeResult{Upstream: name, Result: balancer.Timeout}
			if n.up {
				answer.Result, answer.InFlight = balancer.OK, n.inFlight()
				if !s.run.HideProbeLatency {
					answer.Latency = time.Duration(n.meanLatency * float64(time.Second))
				}
			}
			s.handleEvent(sc, answer)
		}
		done()
	})
}
