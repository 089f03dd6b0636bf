package balancer

import "time"

// refill adds the tokens of the time since the latest refill, at a rate of perSecond.
//
// The buckets of all sidecars must not be full at once after a lull in the traffic: with many sidecars the
// sum of their single tokens is a multiple of what an upstream withstands within a window. A bucket that gets
// few tokens therefore does not hold one for long: one that is not used in time lapses, and the next one
// comes as late as if it had been used. So at any moment only the sidecars whose turn it is hold one.
func (s *slowStartState) refill(now time.Duration, perSecond float64, window time.Duration) {
	s.tokens += perSecond * (now - s.refilledAt).Seconds()
	s.refilledAt = now
	perWindow := perSecond * window.Seconds()
	lapse := perWindow / slowStartLapseParts
	if lapse >= 1 {
		s.tokens = min(s.tokens, max(1, perWindow/slowStartBurstParts))
		return
	}
	for s.tokens >= 1+lapse {
		s.tokens--
	}
}
