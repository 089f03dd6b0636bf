// Package virtualtime is time for simulations: a clock that moves from one scheduled event to the next. Events run in the
// order of their times, and those of one time in the order in which they were scheduled.
package virtualtime

import (
	"time"

	"orchiddrift/internal/priorityqueue"
)

// Origin is when a Time begins. It is late enough that earlier times, down to 0, were long ago.
const Origin = time.Hour

// Time is a clock and its scheduled events. Times are exact in nanoseconds for 104 days, up to which a float64 holds them.
// A Time is not safe for concurrent use: simulations on several goroutines have one each.
type Time struct {
	now    time.Duration
	events priorityqueue.Queue[func()] // by time, then by the order of scheduling
	seq    uint64                      // of the last event scheduled
}

// New returns a Time at Origin.
func New() *Time { return &Time{now: Origin, events: priorityqueue.New[func()](nil)} }

// Now returns the current time.
func (t *Time) Now() time.Duration { return t.now }

// Since returns the time since Origin.
func (t *Time) Since() time.Duration { return t.now - Origin }

// At schedules do for a time; one that has passed counts as now.
func (t *Time) At(at time.Duration, do func()) {
	t.seq++
	t.events.Push(do, float64(max(at, t.now)), t.seq)
}

// After schedules do for a time from now.
func (t *Time) After(d time.Duration, do func()) { t.At(t.now+d, do) }

// Run runs the events that are scheduled up to length after Origin, also those that they schedule, and leaves the clock
// there.
func (t *Time) Run(length time.Duration) {
	end := Origin + length
	for t.events.Len() > 0 && time.Duration(t.events.FirstKey()) <= end {
		t.now = time.Duration(t.events.FirstKey())
		t.events.Pop()()
	}
	t.now = end
}
