package balancer

import "time"

// refill adds perSecond tokens for each second since the latest refill. window is Settings.OverloadWindow.
//
// After a lull in the traffic, the buckets of all sidecars must not be full at once: with many sidecars, one
// token in each bucket adds up to several times the load that overloads the upstream within the window. In a
// bucket with a low refill rate, an unused token therefore lapses, and the next token arrives as late as if
// the lapsed token had been used. So only a few of the sidecars hold a token at any moment.
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
