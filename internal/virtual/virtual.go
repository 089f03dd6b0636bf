// Package virtual is time for simulations: events in the order of their times, those of one time in the order in which they
// were set. It is not safe for concurrent use; runs on several goroutines have a Time each.
package virtual

import "time"

// Origin is when a Time begins. What lies before it was long ago.
const Origin = time.Hour

// Time is a clock and what is to happen.
type Time struct {
	now    time.Duration
	events []event
	seq    uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// New returns a Time at Origin.
func New() *Time { return &Time{now: Origin} }

// Now is the time.
func (t *Time) Now() time.Duration { return t.now }

// Since is the time since Origin.
func (t *Time) Since() time.Duration { return t.now - Origin }

// At has something happen at a time; what should have happened before happens now.
func (t *Time) At(at time.Duration, do func()) {
	t.seq++
	e := event{max(at, t.now), t.seq, do}
	i := len(t.events)
	t.events = append(t.events, e)
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(&t.events[parent]) {
			break
		}
		t.events[i] = t.events[parent]
		i = parent
	}
	t.events[i] = e
}

// After is At, so long from now.
func (t *Time) After(d time.Duration, do func()) { t.At(t.now+d, do) }

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Run has all happen that is set for the time up to length after Origin.
func (t *Time) Run(length time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= Origin+length {
		e := t.pop()
		t.now = e.at
		e.do()
	}
	t.now = Origin + length
}

func (t *Time) pop() event {
	first, last := t.events[0], len(t.events)-1
	x := t.events[last]
	t.events[last] = event{}
	t.events = t.events[:last]
	if last == 0 {
		return first
	}
	i := 0
	for {
		least := -1
		for child := 4*i + 1; child <= 4*i+4 && child < last; child++ {
			if least < 0 || t.events[child].before(&t.events[least]) {
				least = child
			}
		}
		if least < 0 || !t.events[least].before(&x) {
			break
		}
		t.events[i] = t.events[least]
		i = least
	}
	t.events[i] = x
	return first
}
