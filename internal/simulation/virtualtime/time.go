// Package virtualtime provides a clock for simulations that advances from one scheduled event to the next. Events run in
// the order of their times. Events with the same time run in the order in which they were scheduled.
package virtualtime

import (
	"time"

	"orchiddrift/internal/priorityqueue"
)

// Origin is the time at which a Time starts. It is far above 0, so that the zero value of a time lies in the distant past.
const Origin = time.Hour

// Time is a clock with scheduled events. Its times are exact to the nanosecond up to 104 days, because a float64 holds
// them. A Time is not safe for concurrent use. Each simulation has its own.
type Time struct {
	now    time.Duration
	events priorityqueue.Queue[func()] // scheduled functions, by time and then by the order of scheduling
	seq    uint64                      // number of the last scheduled event
}

// New returns a Time at Origin.
func New() *Time { return &Time{now: Origin, events: priorityqueue.New[func()](nil)} }

// Now returns the current time.
func (t *Time) Now() time.Duration { return t.now }

// Since returns the time since Origin.
func (t *Time) Since() time.Duration { return t.now - Origin }

// At schedules the function do. The parameter at is the time at which do is called; a time in the past counts as the
// current time.
func (t *Time) At(at time.Duration, do func()) {
	t.seq++
	t.events.Push(do, float64(max(at, t.now)), t.seq)
}

// After schedules the function do. The parameter d is the delay from the current time.
func (t *Time) After(d time.Duration, do func()) { t.At(t.now+d, do) }

// Run runs all events up to the time length after Origin, including events that other events schedule. It leaves the clock
// at that time.
func (t *Time) Run(length time.Duration) {
	end := Origin + length
	for t.events.Len() > 0 && time.Duration(t.events.FirstKey()) <= end {
		t.now = time.Duration(t.events.FirstKey())
		t.events.Pop()()
	}
	t.now = end
}
