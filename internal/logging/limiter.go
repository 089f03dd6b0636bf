package logging

import "time"

const (
	// repeatWindow is how long after a line was written its repeats are counted instead of written.
	repeatWindow = 10 * time.Second
	// maxCountedLines is the maximum number of different lines whose repeats are counted at a time. Repeats of any other line are written,
	// within the rate limit.
	maxCountedLines = 256
)

// limiter decides which lines are written: it suppresses repeats within repeatWindow and limits the rate by a token bucket. Its callers
// pass the current time, which may be the same in several calls. It does no I/O. It is not safe for concurrent use.
type limiter[L any] struct {
	perSecond  float64 // tokens added per second, and the bucket's size
	tokens     float64 // lines that may be written now
	refilledAt time.Time
	dropped    int                        // lines beyond the rate limit since the last flush
	counted    map[uint64]*countedLine[L] // lines within their window, by hash
}

// countedLine is a line that was written, within its window.
type countedLine[L any] struct {
	latest  L         // latest repeat of the line
	until   time.Time // end of the window
	repeats int       // number of repeats since the line was written
}

// repeatedLine is a line that is written once in place of all its repeats within a window.
type repeatedLine[L any] struct {
	line    L
	repeats int
}

// newLimiter returns a limiter with a full bucket.
func newLimiter[L any](perSecond int) *limiter[L] {
	return &limiter[L]{perSecond: float64(perSecond), tokens: float64(perSecond), counted: map[uint64]*countedLine[L]{}}
}

// setRate changes the rate limit, in lines per second.
func (l *limiter[L]) setRate(perSecond int) {
	l.perSecond = float64(perSecond)
	l.tokens = min(l.tokens, l.perSecond)
}

// allow reports whether a line is to be written now. If not, it counts the line as a repeat or as dropped.
func (l *limiter[L]) allow(now time.Time, hash uint64, line L) bool {
	if c := l.counted[hash]; c != nil {
		c.latest = line
		c.repeats++
		return false
	}
	if !l.takeToken(now) {
		l.dropped++
		return false
	}
	if len(l.counted) < maxCountedLines {
		l.counted[hash] = &countedLine[L]{latest: line, until: now.Add(repeatWindow)}
	}
	return true
}

// takeToken refills the bucket up to now and takes a token. It returns false if there is none.
func (l *limiter[L]) takeToken(now time.Time) bool {
	if l.refilledAt.IsZero() {
		l.refilledAt = now
	} else if passed := now.Sub(l.refilledAt); passed > 0 {
		l.tokens = min(l.perSecond, l.tokens+passed.Seconds()*l.perSecond)
		l.refilledAt = now
	}
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// flush ends the windows that have expired, or all of them. It returns the lines that were repeated within them, and the number of lines
// dropped since the last flush. These lines are not subject to the rate limit, since there are at most maxCountedLines per window.
func (l *limiter[L]) flush(now time.Time, all bool) (repeated []repeatedLine[L], dropped int) {
	for hash, c := range l.counted {
		if !all && now.Before(c.until) {
			continue
		}
		if c.repeats > 0 {
			repeated = append(repeated, repeatedLine[L]{c.latest, c.repeats})
		}
		delete(l.counted, hash)
	}
	dropped, l.dropped = l.dropped, 0
	return repeated, dropped
}
