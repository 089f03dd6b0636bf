package controller

import (
	"time"

	"orchiddrift/internal/admission"
)

type logLine struct {
	text  string
	attrs []any
}

// rejectionsQuietAfter is how long after the last rejection the log says that rejections have ended.
const rejectionsQuietAfter = time.Second

// noteRejection logs the first rejection of a series, with the state of the queue. The lock is held. docs/operate/door.md
// explains the lines.
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

// noteQuiet logs the end of a series of rejections and their number. The lock is held.
func (c *Controller) noteQuiet(now time.Duration) {
	if c.rejections > 0 && now-c.lastRejection > rejectionsQuietAfter {
		c.logLines = append(c.logLines, logLine{"the door: refusals have ended", []any{"refused", c.rejections}})
		c.rejections = 0
	}
}

// unlock releases the lock, then writes the log lines that were noted under it.
func (c *Controller) unlock() {
	lines := c.logLines
	c.logLines = nil
	c.mu.Unlock()
	for _, line := range lines {
		c.log.Info(line.text, line.attrs...)
	}
}
