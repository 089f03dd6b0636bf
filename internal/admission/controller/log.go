package controller

import (
	"time"

	"orchiddrift/internal/admission"
)

type logLine struct {
	text  string
	attrs []any
}

// rejectionQuietPeriod is the time after the last rejection until a log line reports that rejections have ended.
const rejectionQuietPeriod = time.Second

// noteRejection counts a rejection, and adds a log line with the state of the queue for the first one of a series. The
// caller holds the lock. docs/operate/door.md explains the log lines.
func (c *Controller) noteRejection(now time.Duration, action admission.Action) {
	c.rejections++
	c.lastRejection = now
	if c.rejections > 1 {
		return
	}
	stats := c.queue.Stats()
	c.logLines = append(c.logLines, logLine{"the door: refusals begin", []any{"reason", action.Reason.String(), "waiting", stats.Queued,
		"in_hand", stats.InFlight, "limit", stats.Limit, "principals", stats.Principals}})
}

// noteRejectionsEnded adds a log line for the end of a series of rejections, with their number. The caller holds the
// lock.
func (c *Controller) noteRejectionsEnded(now time.Duration) {
	if c.rejections > 0 && now-c.lastRejection > rejectionQuietPeriod {
		c.logLines = append(c.logLines, logLine{"the door: refusals have ended", []any{"refused", c.rejections}})
		c.rejections = 0
	}
}

// unlock releases the lock, then writes the log lines that were added under it.
func (c *Controller) unlock() {
	lines := c.logLines
	c.logLines = nil
	c.mu.Unlock()
	for _, line := range lines {
		c.log.Info(line.text, line.attrs...)
	}
}
