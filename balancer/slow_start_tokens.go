package balancer

import "time"

// refill adds the tokens for the time since the latest refill, at a rate of perSecond.
//
// The buckets of all sidecars must not be full at once after a lull in the traffic: with many sidecars, one
// token each adds up to a multiple of the load that overloads an upstream within a window. Tokens of a bucket
// with a low refill rate therefore lapse if they are not used in time, and the next token arrives as late as
// if the lapsed one had been used. So at any moment only a few of the sidecars hold a token.
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
