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
	enqueue(e *queuedRequest)
	dequeue(now time.Duration) *queuedRequest // nil: nothing
	observeCost(e *queuedRequest, cost float64)
	// full makes room for e among the most that may wait: it takes out who gives way, e or another; nil: there is room.
	evict(e *queuedRequest, waiting, most int) *queuedRequest
}

type queuedRequest struct {
	ticket      admission.Ticket
	arrival     admission.Arrival
	arrivedAt   time.Duration
	admittedAt  time.Duration
	queued      bool
	shard       int
	chargedCost float64
}

// Queue is a Gate of a discipline and a limit. What waits longer than its client does is refused, and so is what comes
// when Most wait. It tells nobody when to come back.
type Queue struct {
	discipline discipline
	limit      Limit
	maxQueued  int
	queued     int
	inFlight   int
	lastTicket admission.Ticket
	requests   map[admission.Ticket]*queuedRequest
}

// NewQueue returns one in which at most so many wait.
func NewQueue(of discipline, limit Limit, most int) *Queue {
	return &Queue{discipline: of, limit: limit, maxQueued: most, requests: map[admission.Ticket]*queuedRequest{}}
}

// Arrive is Gate's.
func (q *Queue) Arrive(now time.Duration, a admission.Arrival, acts []admission.Action) (admission.Ticket, []admission.Action) {
	q.lastTicket++
	t := q.lastTicket
	e := &queuedRequest{ticket: t, arrival: a, arrivedAt: now, queued: true}
	if out := q.discipline.evict(e, q.queued, q.maxQueued); out != nil {
		acts = append(acts, admission.Action{Kind: admission.Reject, Ticket: out.ticket, Reason: admission.QueueFull})
		if out == e {
			return t, acts
		}
		delete(q.requests, out.ticket)
		q.queued--
	}
	q.requests[t] = e
	q.queued++
	q.discipline.enqueue(e)
	return t, q.dispatch(now, acts)
}

func (q *Queue) dispatch(now time.Duration, acts []admission.Action) []admission.Action {
	for q.queued > 0 && q.inFlight < q.limit.Current() {
		e := q.discipline.dequeue(now)
		if e == nil {
			break
		}
		q.queued--
		e.queued = false
		if now >= e.arrival.Deadline {
			delete(q.requests, e.ticket)
			acts = append(acts, admission.Action{Kind: admission.Reject, Ticket: e.ticket, Reason: admission.QueueTimeout})
			continue
		}
		e.admittedAt = now
		q.inFlight++
		acts = append(acts, admission.Action{Kind: admission.Admit, Ticket: e.ticket})
	}
	return acts
}

// Done is Gate's.
func (q *Queue) Done(now time.Duration, t admission.Ticket, how admission.Outcome, acts []admission.Action) []admission.Action {
	e := q.requests[t]
	if e == nil {
		return acts
	}
	delete(q.requests, t)
	q.limit.Observe(now, now-e.admittedAt, q.inFlight, how == admission.RejectedByBalancer)
	q.inFlight--
	q.discipline.observeCost(e, (now - e.admittedAt).Seconds())
	return q.dispatch(now, acts)
}

// Wake is Gate's.
func (q *Queue) Wake(now time.Duration, acts []admission.Action) []admission.Action {
	return q.dispatch(now, acts)
}

// Next is Gate's.
func (q *Queue) Next() (time.Duration, bool) { return 0, false }
