package balancer

import (
	"container/heap"
	"slices"
	"time"
)

// Timers: a heap of what is to be looked at again, behind the one Wake that the sidecar keeps for us.

type timerKind int

const (
	timerEnd timerKind = iota
	timerLate
	timerHeld
	timerAsk
)

type timer struct {
	at   time.Duration
	seq  int
	kind timerKind
	r    *request
}

type timerHeap struct {
	t    []timer
	seq  int
	next int // not looked through before it has grown to this
}

func (h *timerHeap) Len() int { return len(h.t) }
func (h *timerHeap) Less(i, j int) bool {
	return h.t[i].at < h.t[j].at || h.t[i].at == h.t[j].at && h.t[i].seq < h.t[j].seq
}
func (h *timerHeap) Swap(i, j int) { h.t[i], h.t[j] = h.t[j], h.t[i] }
func (h *timerHeap) Push(x any)    { h.t = append(h.t, x.(timer)) }
func (h *timerHeap) Pop() any {
	t := h.t[len(h.t)-1]
	h.t = h.t[:len(h.t)-1]
	return t
}

// timersKept is how many timers of requests that have ended may stand in the heap beside those of requests in hand, as
// a multiple of these and at least timersLeast: most end long before their timers are due, and each holds its request.
const (
	timersKept  = 8
	timersLeast = 256
)

func (b *Balancer) after(at time.Duration, kind timerKind, r *request) {
	if n := len(b.timers.t); n > timersLeast && n > timersKept*len(b.reqs) && n >= b.timers.next {
		b.timers.t = slices.DeleteFunc(b.timers.t, func(t timer) bool { return t.r != nil && t.r.done })
		heap.Init(&b.timers)
		b.timers.next = 2 * len(b.timers.t) // what is left may be long timers: look again when it has doubled
	}
	b.timers.seq++
	heap.Push(&b.timers, timer{at, b.timers.seq, kind, r})
}

// arm asks for a Wake at the earliest timer, if none is out for that early.
func (b *Balancer) arm() {
	if len(b.timers.t) == 0 {
		return
	}
	// Timers outside may count microseconds: never wake a moment too early, and then wait for nothing.
	at := (b.timers.t[0].at + time.Microsecond - 1).Truncate(time.Microsecond)
	if b.armed == 0 || at < b.armed {
		b.armed = max(at, 1)
		b.act(Action{Kind: SetTimer, FireAt: b.armed})
	}
}
