package upstream

import (
	"sync"
	"time"
)

const (
	// connectTimesKept is the number of recent connects whose durations are kept.
	connectTimesKept = 64
	// connectTimesNeeded is the minimum number of recorded connects. With fewer, the configured timeout applies.
	connectTimesNeeded = 8
	// connectTimeoutFactor is the ratio of the connect timeout to the duration of the slowest recent connect.
	connectTimeoutFactor = 10
	// minConnectTimeout is the shortest timeout, so that a short pause of either machine does not fail a connect.
	minConnectTimeout = 40 * time.Millisecond
)

// connectTimes derives the connect timeout from the durations of recent connects. A reachable instance answers within a few round trips,
// while a lost SYN is retransmitted only after a second (RFC 6298): waiting longer only delays a request that could go to another
// instance. The request can safely be retried there, since it cannot have run on a connection that was never made. connectTimes is safe
// for concurrent use.
type connectTimes struct {
	mu     sync.Mutex
	recent [connectTimesKept]time.Duration // ring buffer
	count  int                             // connects recorded since the start
}

// record adds the duration of a connect.
func (c *connectTimes) record(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[c.count%connectTimesKept] = d
	c.count++
}

// timeout returns the timeout of the next connect, which is at most configured.
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
