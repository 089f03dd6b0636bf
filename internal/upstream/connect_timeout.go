package upstream

import (
	"sync"
	"time"
)

// connectTimes is how long connections have taken to come up of late, and how long to wait for the next. A network that is
// there answers in a few round trips; a SYN that was lost is sent again after a second (RFC 6298), far beyond any patience
// here. Waiting longer than many times the slowest of late only holds up a request that could be sent elsewhere: a
// connection that never came up proves that nothing ran. It is safe for concurrent use.
type connectTimes struct {
	mu     sync.Mutex
	recent [connectTimesKept]time.Duration
	count  int
}

const (
	connectTimesKept     = 64
	connectTimesNeeded   = 8                     // before that many nothing is known
	connectTimeoutFactor = 10                    // the slowest of those kept
	minConnectTimeout    = 40 * time.Millisecond // beside a machine that is held up for a moment
)

// record notes a connection that came up.
func (c *connectTimes) record(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[c.count%connectTimesKept] = d
	c.count++
}

// timeout is how long to wait for the next one, at most the configured time.
func (c *connectTimes) timeout(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count < connectTimesNeeded {
		return most
	}
	slowest := time.Duration(0)
	for _, d := range c.recent {
		slowest = max(slowest, d)
	}
	return min(most, max(minConnectTimeout, connectTimeoutFactor*slowest))
}
