package membership

import (
	"container/heap"
	"time"
)

// timer is due for one of source, record and upstream.
type timer struct {
	at       time.Time
	source   *source
	record   *record
	upstream *upstream
}

// timerHeap is a heap of timers by time.
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

// setRecordTimer sets a record's timer, unless an earlier one is set; that one is set again when it comes too early.
func (m *Merge) setRecordTimer(at time.Time, r *record) {
	if isEarlier(at, &r.timerAt) {
		heap.Push(&m.timers, timer{at: at, record: r})
	}
}

// setUpstreamTimer sets an upstream's timer, as setRecordTimer does.
func (m *Merge) setUpstreamTimer(at time.Time, u *upstream) {
	if isEarlier(at, &u.timerAt) {
		heap.Push(&m.timers, timer{at: at, upstream: u})
	}
}

// isEarlier reports whether at is before the timer that is set, and takes it then.
func isEarlier(at time.Time, timerAt *time.Time) bool {
	if !timerAt.IsZero() && !at.Before(*timerAt) {
		return false
	}
	*timerAt = at
	return true
}

// fireTimers does what is due.
func (m *Merge) fireTimers() {
	for len(m.timers) > 0 && !m.timers[0].at.After(m.now) {
		t := heap.Pop(&m.timers).(timer)
		switch {
		case t.source != nil:
			m.ageSource(t.source)
		case t.record != nil && t.record.timerAt.Equal(t.at):
			t.record.timerAt = time.Time{}
			m.recordDue(t.record)
		case t.upstream != nil && t.upstream.timerAt.Equal(t.at):
			t.upstream.timerAt = time.Time{}
			m.upstreamDue(t.upstream)
		}
	}
}
