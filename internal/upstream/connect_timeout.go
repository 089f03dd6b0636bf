package upstream

import (
	"sync"
	"time"
)

const (
	// connectTimesKept is the number of recently opened connections whose connect durations are kept.
	connectTimesKept = 64
	// connectTimesNeeded is the minimum number of recorded connect durations. With fewer, the configured timeout applies.
	connectTimesNeeded = 8
	// connectTimeoutFactor is the ratio of the connect timeout to the longest recent connect duration.
	connectTimeoutFactor = 10
	// minConnectTimeout is the shortest timeout, so that a short pause of either machine does not fail a connection attempt.
	minConnectTimeout = 40 * time.Millisecond
)

// connectTimes derives the connect timeout from recent connect durations. A reachable instance answers within a few round trips,
// while a lost SYN is retransmitted only after a second (RFC 6298): waiting longer only delays a request that could go to another
// instance. The request can safely be retried there, since it cannot have run on a connection that was never made. connectTimes is safe
// for concurrent use.
type connectTimes struct {
	mu     sync.Mutex
	recent [connectTimesKept]time.Duration // ring buffer
	count  int                             // connect durations recorded since the start
}

// record adds the connect duration of a connection that was opened.
func (c *connectTimes) record(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[c.count%connectTimesKept] = d
	c.count++
}

// timeout returns the timeout of the next connection attempt, which is at most configured.
func (c *connectTimes) timeout(configured time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count < connectTimesNeeded {
		return configured
	}
	slowest := time.Duration(0)
	for _, d := range c.recent {
		slowest = max(slowest, d)
	}
	return min(configured, max(minConnectTimeout, connectTimeoutFactor*slowest))
}
