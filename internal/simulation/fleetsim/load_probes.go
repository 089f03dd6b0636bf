package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

// probe asks nodes, and goes on once all have answered or patience has ended.
func (s *sim) probe(c *sidecar, names []string, then func()) {
	wait := wire
	for _, name := range names {
		n := s.byName[name]
		s.out.Probes++
		if !n.up {
			wait = s.r.Ask.Timeout.D()
			continue
		}
		n.owed += probeWork
	}
	s.After(wait, func() {
		for _, name := range names {
			n := s.byName[name]
			c.probe.Answered(s.Now(), name, n.up)
			answer := balancer.ProbeResult{Upstream: name, Result: balancer.Timeout}
			if n.up {
				answer.Result, answer.InFlight = balancer.OK, n.inHand()
				if !s.r.Latent {
					answer.Latency = time.Duration(n.took * float64(time.Second))
				}
			}
			s.module(c, answer)
		}
		then()
	})
}
