package admissionsim

import (
	"time"

	"orchiddrift/internal/admission"
)

// Limit is how many requests may be in hand beyond a Queue.
type Limit interface {
	Current() int
	Observe(now, took time.Duration, inHand int, turned bool)
}

// discipline orders what waits in a Queue.
type discipline interface {
	push(e *held)
	pop(now time.Duration) *held // nil: nothing
	took(e *held, cost float64)
	// full makes room for e among the most that may wait: it takes out who gives way, e or another; nil: there is room.
	full(e *held, waiting, most int) *held
}

type held struct {
	ticket  admission.Ticket
	a       admission.Arrival
	came    time.Duration
	went    time.Duration
	waits   bool
	queue   int
	charged float64
}

// Queue is a Gate of a discipline and a limit. What waits longer than its client does is refused, and so is what comes
// when Most wait. It tells nobody when to come back.
type Queue struct {
	of    discipline
	limit Limit
	most  int
	n     int
	in    int
	next  admission.Ticket
	all   map[admission.Ticket]*held
}

// NewQueue returns one in which at most so many wait.
func NewQueue(of discipline, limit Limit, most int) *Queue {
	return &Queue{of: of, limit: limit, most: most, all: map[admission.Ticket]*held{}}
}

// Arrive is Gate's.
func (q *Queue) Arrive(now time.Duration, a admission.Arrival, acts []admission.Action) (admission.Ticket, []admission.Action) {
	q.next++
	t := q.next
	e := &held{ticket: t, a: a, came: now, waits: true}
	if out := q.of.full(e, q.n, q.most); out != nil {
		acts = append(acts, admission.Action{Kind: admission.Reject, Ticket: out.ticket, Reason: admission.QueueFull})
		if out == e {
			return t, acts
		}
		delete(q.all, out.ticket)
		q.n--
	}
	q.all[t] = e
	q.n++
	q.of.push(e)
	return t, q.serve(now, acts)
}

func (q *Queue) serve(now time.Duration, acts []admission.Action) []admission.Action {
	for q.n > 0 && q.in < q.limit.Current() {
		e := q.of.pop(now)
		if e == nil {
			break
		}
		q.n--
		e.waits = false
		if now >= e.a.Deadline {
			delete(q.all, e.ticket)
			acts = append(acts, admission.Action{Kind: admission.Reject, Ticket: e.ticket, Reason: admission.QueueTimeout})
			continue
		}
		e.went = now
		q.in++
		acts = append(acts, admission.Action{Kind: admission.Admit, Ticket: e.ticket})
	}
	return acts
}

// Done is Gate's.
func (q *Queue) Done(now time.Duration, t admission.Ticket, how admission.Outcome, acts []admission.Action) []admission.Action {
	e := q.all[t]
	if e == nil {
		return acts
	}
	delete(q.all, t)
	q.limit.Observe(now, now-e.went, q.in, how == admission.RejectedByBalancer)
	q.in--
	q.of.took(e, (now - e.went).Seconds())
	return q.serve(now, acts)
}

// Wake is Gate's.
func (q *Queue) Wake(now time.Duration, acts []admission.Action) []admission.Action {
	return q.serve(now, acts)
}

// Next is Gate's.
func (q *Queue) Next() (time.Duration, bool) { return 0, false }
