package upstream

import (
	"sync"
	"time"
)

const (
	// connectTimesKept is the number of recent connects whose durations are kept.
	connectTimesKept = 64
	// connectTimesNeeded is the number of recorded connects from which on the timeout is derived from them.
	connectTimesNeeded = 8
	// connectTimeoutFactor times the duration of the slowest recent connect is the timeout of the next one.
	connectTimeoutFactor = 10
	// minConnectTimeout leaves time for short pauses of either machine.
	minConnectTimeout = 40 * time.Millisecond
)

// connectTimes derives the connect timeout from the durations of recent connects. A lost SYN is retransmitted after a second (RFC 6298),
// while a reachable instance answers within a few round trips: waiting longer only delays a request that could go to another instance. A
// retry there is safe, since nothing can have run on a connection that was never made. It is safe for concurrent use.
type connectTimes struct {
	mu     sync.Mutex
	recent [connectTimesKept]time.Duration // ring buffer
	count  int                             // connects recorded in all
}

// record adds the duration of a connect.
func (c *connectTimes) record(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[c.count%connectTimesKept] = d
	c.count++
}

// timeout returns how long the next connect may take, at most configured.
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
