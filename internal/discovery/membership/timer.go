package membership

import (
	"container/heap"
	"time"
)

// timer is a timer of one source, record or upstream. The two fields that do not apply are nil.
type timer struct {
	at       time.Time
	source   *source
	record   *record
	upstream *upstream
}

// timerHeap is a heap of timers, ordered by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

func (m *Merge) setSourceTimer(at time.Time, s *source) {
	heap.Push(&m.timers, timer{at: at, source: s})
}

// setRecordTimer sets a record's timer, unless the timer is already set to an earlier time. When the earlier timer fires, onRecordTimer
// sets the timer again if the record is not due yet.
func (m *Merge) setRecordTimer(at time.Time, r *record) {
	if setIfEarlier(at, &r.timerAt) {
		heap.Push(&m.timers, timer{at: at, record: r})
	}
}

// setUpstreamTimer sets an upstream's timer in the same way as setRecordTimer.
func (m *Merge) setUpstreamTimer(at time.Time, u *upstream) {
	if setIfEarlier(at, &u.timerAt) {
		heap.Push(&m.timers, timer{at: at, upstream: u})
	}
}

// setIfEarlier sets the timer timerAt to the time at if no timer is set or that time is earlier, and reports whether it did.
func setIfEarlier(at time.Time, timerAt *time.Time) bool {
	if !timerAt.IsZero() && !at.Before(*timerAt) {
		return false
	}
	*timerAt = at
	return true
}

// fireTimers handles all timers that are due.
func (m *Merge) fireTimers() {
	for len(m.timers) > 0 && !m.timers[0].at.After(m.now) {
		t := heap.Pop(&m.timers).(timer)
		switch {
		case t.source != nil:
			m.onSourceTimer(t.source)
		case t.record != nil && t.record.timerAt.Equal(t.at):
			t.record.timerAt = time.Time{}
			m.onRecordTimer(t.record)
		case t.upstream != nil && t.upstream.timerAt.Equal(t.at):
			t.upstream.timerAt = time.Time{}
			m.onUpstreamTimer(t.upstream)
		}
	}
}
