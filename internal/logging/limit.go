package logging

import "time"

// The bounds of what is counted.
const (
	window   = 10 * time.Second // a line said again so soon is not written again
	maxLines = 256              // different lines that are counted at a time; further ones are written as they come
)

// limiter decides which lines are written. It is told the time, which may stand still but not go back, and does no I/O.
// It is not safe for concurrent use.
type limiter[L any] struct {
	perSecond float64
	tokens    float64 // what may be written now
	last      time.Time
	leftOut   int
	lines     map[uint64]*counted[L] // by their hash
}

// counted is a line within its window.
type counted[L any] struct {
	line  L // as it came last
	until time.Time
	times int // it came since it was written
}

// due is a line to write in place of those that were not.
type due[L any] struct {
	line  L
	times int
}

func newLimiter[L any](perSecond int) *limiter[L] {
	return &limiter[L]{perSecond: float64(perSecond), tokens: float64(perSecond), lines: map[uint64]*counted[L]{}}
}

// set changes the bound.
func (l *limiter[L]) set(perSecond int) {
	l.perSecond = float64(perSecond)
	l.tokens = min(l.tokens, l.perSecond)
}

// take tells whether a line is to be written now.
func (l *limiter[L]) take(now time.Time, hash uint64, line L) bool {
	if c := l.lines[hash]; c != nil {
		c.line = line
		c.times++
		return false
	}
	if !l.spend(now) {
		l.leftOut++
		return false
	}
	if len(l.lines) < maxLines {
		l.lines[hash] = &counted[L]{line: line, until: now.Add(window)}
	}
	return true
}

// spend takes a token of a bucket that holds a second's worth.
func (l *limiter[L]) spend(now time.Time) bool {
	if passed := now.Sub(l.last); l.last.IsZero() || passed > 0 {
		if !l.last.IsZero() {
			l.tokens = min(l.perSecond, l.tokens+passed.Seconds()*l.perSecond)
		}
		l.last = now
	}
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// flush ends the windows that are over, all of them where all is set. It returns the lines that came again within them,
// and how many were left out since the last flush. Neither counts against the bound: there are at most maxLines in a
// window.
func (l *limiter[L]) flush(now time.Time, all bool) (again []due[L], leftOut int) {
	for hash, c := range l.lines {
		if !all && now.Before(c.until) {
			continue
		}
		if c.times > 0 {
			again = append(again, due[L]{c.line, c.times})
		}
		delete(l.lines, hash)
	}
	leftOut, l.leftOut = l.leftOut, 0
	return again, leftOut
}
