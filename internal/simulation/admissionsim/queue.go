package admissionsim

import (
	"time"

	"orchiddrift/internal/admission"
)

// Limit is the concurrency limit of a Queue.
type Limit interface {
	// Current returns the limit in requests.
	Current() int
	// Observe reports a request that has ended: its latency, the number of requests in flight including this one, and
	// whether the balancer rejected the request.
	Observe(now, latency time.Duration, inFlight int, rejected bool)
}

// discipline orders the requests that a Queue holds.
type discipline interface {
	enqueue(r *queuedRequest)
	// dequeue removes and returns the next request. It returns nil if the queue is empty.
	dequeue(now time.Duration) *queuedRequest
	// observeCost reports the cost, in seconds, of an admitted request that has ended.
	observeCost(r *queuedRequest, cost float64)
	// evict makes space for an arriving request. It removes and returns the request to reject, which may be the arriving
	// request. It returns nil if there is space.
	evict(arriving *queuedRequest, queued, maxQueued int) *queuedRequest
}

// queuedRequest is a request in a Queue. It exists from the arrival of the request until its answer.
type queuedRequest struct {
	ticket      admission.Ticket
	arrival     admission.Arrival
	arrivedAt   time.Duration
	admittedAt  time.Duration
	shard       int     // index of the shard, used by shuffleSharded
	chargedCost float64 // seconds charged to the shard, used by shuffleSharded
}

// principal returns the name of a request's principal.
func (r *queuedRequest) principal() string { return r.arrival.Group + "\x00" + r.arrival.Flow }

// Queue is an AdmissionControl that consists of a discipline and a limit. If it is full, it rejects the request that its
// discipline chooses. It also rejects requests that have waited until their deadline. It sends no Retry-After.
type Queue struct {
	discipline discipline
	limit      Limit
	maxQueued  int
	queued     int
	inFlight   int
	lastTicket admission.Ticket
	requests   map[admission.Ticket]*queuedRequest
}

// NewQueue returns a Queue that holds at most maxQueued waiting requests.
func NewQueue(d discipline, limit Limit, maxQueued int) *Queue {
	return &Queue{discipline: d, limit: limit, maxQueued: maxQueued, requests: map[admission.Ticket]*queuedRequest{}}
}

// Arrive implements AdmissionControl.
func (q *Queue) Arrive(now time.Duration, a admission.Arrival, actions []admission.Action) (admission.Ticket, []admission.Action) {
	q.lastTicket++
	r := &queuedRequest{ticket: q.lastTicket, arrival: a, arrivedAt: now}
	if victim := q.discipline.evict(r, q.queued, q.maxQueued); victim != nil {
		actions = append(actions, admission.Action{Kind: admission.Reject, Ticket: victim.ticket, Reason: admission.QueueFull})
		if victim == r {
			return r.ticket, actions
		}
		delete(q.requests, victim.ticket)
		q.queued--
	}
	q.requests[r.ticket] = r
	q.queued++
	q.discipline.enqueue(r)
	return r.ticket, q.dispatch(now, actions)
}

// dispatch admits waiting requests up to the limit, and rejects waiting requests whose deadline has passed.
func (q *Queue) dispatch(now time.Duration, actions []admission.Action) []admission.Action {
	for q.queued > 0 && q.inFlight < q.limit.Current() {
		r := q.discipline.dequeue(now)
		if r == nil {
			break
		}
		q.queued--
		if now >= r.arrival.Deadline {
			delete(q.requests, r.ticket)
			actions = append(actions, admission.Action{Kind: admission.Reject, Ticket: r.ticket, Reason: admission.QueueTimeout})
			continue
		}
		r.admittedAt = now
		q.inFlight++
		actions = append(actions, admission.Action{Kind: admission.Admit, Ticket: r.ticket})
	}
	return actions
}

// Done implements AdmissionControl.
func (q *Queue) Done(now time.Duration, t admission.Ticket, outcome admission.Outcome, actions []admission.Action) []admission.Action {
	r := q.requests[t]
	if r == nil {
		return actions
	}
	delete(q.requests, t)
	latency := now - r.admittedAt
	q.limit.Observe(now, latency, q.inFlight, outcome == admission.RejectedByBalancer)
	q.inFlight--
	q.discipline.observeCost(r, latency.Seconds())
	return q.dispatch(now, actions)
}

// Wake implements AdmissionControl.
func (q *Queue) Wake(now time.Duration, actions []admission.Action) []admission.Action {
	return q.dispatch(now, actions)
}

// Next implements AdmissionControl. It returns false, because a Queue needs no calls of Wake.
func (q *Queue) Next() (time.Duration, bool) { return 0, false }
