package balancer

import (
	"container/heap"
	"slices"
	"time"
)

// timerKind says what is done when a timer is due.
type timerKind int

const (
	timerGiveUp        timerKind = iota // ends the request without an answer
	timerAttemptLate                    // treats the request's latest attempt as late
	timerRetryDispatch                  // dispatches again a request for which no upstream was available
	timerSubscribe                      // subscribes to the endpoint list again
)

// timer is an entry of the heap. Timers are never stopped: a timer that no longer applies does nothing.
type timer struct {
	at       time.Duration // clock time
	sequence int           // order among timers of the same time
	kind     timerKind
	request  *request // nil for timerSubscribe
}

// timerHeap holds all timers, the earliest first. The driver keeps only one timer, for the earliest of them.
type timerHeap struct {
	timers        []timer
	sequence      int
	nextPruneSize int // the heap is not pruned while it is shorter than this
}

func (h *timerHeap) Len() int { return len(h.timers) }
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.timers[i], h.timers[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}
func (h *timerHeap) Swap(i, j int) { h.timers[i], h.timers[j] = h.timers[j], h.timers[i] }
func (h *timerHeap) Push(x any)    { h.timers = append(h.timers, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := h.timers[len(h.timers)-1]
	h.timers = h.timers[:len(h.timers)-1]
	return last
}

// Most requests end long before their timers are due, and each timer keeps its request in memory. Timers of
// finished requests are pruned when the heap exceeds both limits and has grown by timersPruneGrowth since the
// latest pruning.
const (
	timersPerRequestMax = 8   // timers, per open request
	timersPruneMin      = 256 // timers
	timersPruneGrowth   = 2   // factor on the length after the latest pruning
)

// schedule sets a timer of the given kind for r. The parameter at is the clock time at which it is due.
func (b *Balancer) schedule(at time.Duration, kind timerKind, r *request) {
	h := &b.timers
	if n := len(h.timers); n > timersPruneMin && n > timersPerRequestMax*len(b.requests) && n >= h.nextPruneSize {
		h.timers = slices.DeleteFunc(h.timers, func(t timer) bool { return t.request != nil && t.request.finished })
		heap.Init(h)
		h.nextPruneSize = timersPruneGrowth * len(h.timers)
	}
	h.sequence++
	heap.Push(h, timer{at, h.sequence, kind, r})
}

// handleTimers handles the timers that are due by now.
func (b *Balancer) handleTimers() {
	if b.now >= b.timerArmedFor {
		b.timerArmedFor = 0
	}
	for len(b.timers.timers) > 0 && b.timers.timers[0].at <= b.now {
		b.handleTimer(heap.Pop(&b.timers).(timer))
	}
}

func (b *Balancer) handleTimer(t timer) {
	if t.kind == timerSubscribe {
		if !b.subscription.pending && !b.subscription.connected {
			b.subscribe()
		}
		return
	}
	r := t.request
	if r.finished || r.responseStarted {
		return
	}
	switch t.kind {
	case timerGiveUp:
		if b.now >= r.timing.giveUpAt { // the end of an upload may have moved giveUpAt
			b.rejectOrFail(r)
		}
	case timerAttemptLate:
		b.handleLateAttempt(r)
	case timerRetryDispatch:
		if r.inFlight == 0 {
			b.dispatch(r)
		}
	}
}

// armTimer asks the driver for a TimerFired when the earliest timer is due, unless a SetTimer for that time
// or an earlier one is outstanding.
func (b *Balancer) armTimer() {
	if len(b.timers.timers) == 0 {
		return
	}
	// Rounded up, as the driver's timer may count in microseconds and must not fire before the timer is due.
	at := (b.timers.timers[0].at + time.Microsecond - 1).Truncate(time.Microsecond)
	if b.timerArmedFor == 0 || at < b.timerArmedFor {
		b.timerArmedFor = max(at, 1)
		b.emit(Action{Kind: SetTimer, FireAt: b.timerArmedFor})
	}
}
