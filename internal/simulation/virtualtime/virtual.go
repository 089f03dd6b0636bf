// Package virtualtime is time for simulations: events in the order of their times, those of one time in the order in which they
// were set. It is not safe for concurrent use; runs on several goroutines have a Time each.
package virtualtime

import (
	"time"

	"orchiddrift/internal/priorityqueue"
)

// Origin is when a Time begins. What lies before it was long ago.
const Origin = time.Hour

// Time is a clock and what is to happen. It counts whole nanoseconds exactly for 104 days.
type Time struct {
	now    time.Duration
	events priorityqueue.Queue[func()]
	seq    uint64
}

// New returns a Time at Origin.
func New() *Time { return &Time{now: Origin, events: priorityqueue.New[func()](nil)} }

// Now is the time.
func (t *Time) Now() time.Duration { return t.now }

// Since is the time since Origin.
func (t *Time) Since() time.Duration { return t.now - Origin }

// At has something happen at a time; what should have happened before happens now.
func (t *Time) At(at time.Duration, do func()) {
	t.seq++
	t.events.Push(do, float64(max(at, t.now)), t.seq)
}

// After is At, so long from now.
func (t *Time) After(d time.Duration, do func()) { t.At(t.now+d, do) }

// Run has all happen that is set for the time up to length after Origin.
func (t *Time) Run(length time.Duration) {
	for t.events.Len() > 0 && time.Duration(t.events.FirstKey()) <= Origin+length {
		t.now = time.Duration(t.events.FirstKey())
		t.events.Pop()()
	}
	t.now = Origin + length
}
