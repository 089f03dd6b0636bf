package balancer

import "time"

// backoffDoublingsMax keeps a backoff from overflowing. Every backoff reaches its limit with far fewer
// doublings.
const backoffDoublingsMax = 10

// exponentialBackoff returns base after the given number of doublings, and at most limit.
func exponentialBackoff(base, limit time.Duration, doublings int) time.Duration {
	return min(base<<min(doublings, backoffDoublingsMax), limit)
}

// jitter returns d times a random factor between low and high.
func (b *Balancer) jitter(d time.Duration, low, high float64) time.Duration {
	return time.Duration(float64(d) * (low + (high-low)*b.random.Float64()))
}
