package upstream

import (
	"sync"
	"time"
)

const (
	// connectTimesKept is how many recent connects are remembered.
	connectTimesKept = 64
	// connectTimesNeeded connects have to be known before they bound the next one.
	connectTimesNeeded = 8
	// connectTimeoutFactor times the slowest recent connect is the timeout of the next one.
	connectTimeoutFactor = 10
	// minConnectTimeout covers a machine that is held up for a moment.
	minConnectTimeout = 40 * time.Millisecond
)

// connectTimes derives the connect timeout from how long recent connects have taken. A lost SYN is sent again after a second (RFC 6298),
// while a reachable instance answers within a few round trips: waiting longer only delays a request that could go elsewhere, and a
// connection that was never made proves that nothing ran. It is safe for concurrent use.
type connectTimes struct {
	mu     sync.Mutex
	recent [connectTimesKept]time.Duration // a ring
	count  int                             // of connects recorded
}

// record notes how long a connect took.
func (c *connectTimes) record(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[c.count%connectTimesKept] = d
	c.count++
}

// timeout is how long the next connect may take, at most configured.
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
