package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"orchiddrift/balancer"
)

var testClasses = []balancer.Class{
	{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3},
	{Name: "pay", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 5},
}

// harness drives a Queue and keeps its own record of the requests. It checks the queue's invariants after each event.
type harness struct {
	queue      *Queue
	now        time.Duration
	state      map[Ticket]entryState
	bytes      map[Ticket]int64
	admittedAt map[Ticket]time.Duration
	admitted   []Ticket // in the order of admission
	retryAfter map[Ticket]time.Duration
}

func newHarness(o Options) *harness {
	return &harness{queue: New(o, testClasses, 1), now: time.Hour, state: map[Ticket]entryState{}, bytes: map[Ticket]int64{},
		admittedAt: map[Ticket]time.Duration{}, retryAfter: map[Ticket]time.Duration{}}
}

func fixedLimitOptions(limit, maxQueued int) Options {
	o := Default()
	o.MinLimit, o.MaxLimit, o.MaxQueued = limit, limit, maxQueued
	return o
}

// withoutTimeLimit returns an arrival whose latency objective and deadline lie too far ahead to matter.
func withoutTimeLimit(a Arrival) Arrival {
	a.ArrivedAt, a.Deadline = 100*time.Hour, 200*time.Hour
	return a
}

func mustSucceed(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// apply records actions. Each request must be queued when it is admitted or rejected, which may happen only once.
func (h *harness) apply(actions []Action) error {
	for _, action := range actions {
		if h.state[action.Ticket] != entryQueued {
			return fmt.Errorf("action of kind %v for ticket %x, whose state is %v and not queued", action.Kind, action.Ticket, h.state[action.Ticket])
		}
		if action.Kind == Reject {
			if action.RetryAfter < 0 || action.RetryAfter > h.queue.options.maxRetryAfter() {
				return fmt.Errorf("Retry-After is %v, which is negative or over the maximum", action.RetryAfter)
			}
			h.state[action.Ticket], h.retryAfter[action.Ticket] = entryFree, action.RetryAfter
			continue
		}
		h.state[action.Ticket], h.admittedAt[action.Ticket] = entryAdmitted, h.now
		h.admitted = append(h.admitted, action.Ticket)
	}
	return h.checkInvariants()
}

func (h *harness) arrive(a Arrival) (Ticket, error) {
	if a.Class == "" {
		a.Class = "search"
	}
	if a.ArrivedAt == 0 {
		a.ArrivedAt = h.now
	}
	if a.Deadline == 0 {
		a.Deadline = h.now + time.Second
	}
	t, actions := h.queue.Arrive(h.now, a, nil)
	h.state[t], h.bytes[t] = entryQueued, a.Bytes
	return t, h.apply(actions)
}

// arriveMany lets n requests arrive, and returns those that were neither admitted nor rejected.
func (h *harness) arriveMany(t testing.TB, n int, a Arrival) (queued []Ticket) {
	t.Helper()
	for range n {
		ticket, err := h.arrive(a)
		mustSucceed(t, err)
		if h.state[ticket] == entryQueued {
			queued = append(queued, ticket)
		}
	}
	return queued
}

func (h *harness) complete(t Ticket, outcome Outcome) error {
	if h.state[t] == entryAdmitted {
		h.state[t] = entryFree
	}
	return h.apply(h.queue.Done(h.now, t, outcome, nil))
}

func (h *harness) cancel(t Ticket) error {
	if h.state[t] == entryQueued {
		h.state[t] = entryFree
	}
	return h.apply(h.queue.Cancel(h.now, t, nil))
}

func (h *harness) wake() error { return h.apply(h.queue.Wake(h.now, nil)) }

// checkInvariants compares the queue with its bounds, with the harness's record, and with its own counts.
func (h *harness) checkInvariants() error {
	if err := h.checkStats(); err != nil {
		return err
	}
	q, stats := h.queue, h.queue.Stats()
	known, reservations, requests := 0, 0, 0
	for _, g := range q.groups {
		if !g.overflow {
			known++
		}
		known += len(g.flows)
		requests += g.queued + g.inFlight
		held, err := q.checkGroup(g)
		if err != nil {
			return fmt.Errorf("group %q: %w", g.name, err)
		}
		reservations += held
	}
	if requests != stats.Queued+stats.InFlight {
		return fmt.Errorf("%d requests belong to known groups, but stats are %+v", requests, stats)
	}
	if known != stats.Principals || reservations != stats.Reservations {
		return fmt.Errorf("%d principals are known and %d reservations are held, but stats are %+v", known, reservations, stats)
	}
	return nil
}

// checkStats compares the queue's counts with the bounds and with the harness's record.
func (h *harness) checkStats() error {
	queued, inFlight, bytes := 0, 0, int64(0)
	for t, s := range h.state {
		switch s {
		case entryQueued:
			queued++
			bytes += h.bytes[t]
		case entryAdmitted:
			inFlight++
		case entryFree:
			delete(h.state, t)
			delete(h.bytes, t)
		}
	}
	o, stats := &h.queue.options, h.queue.Stats()
	switch {
	case stats.Queued != queued || stats.InFlight != inFlight || stats.QueuedBytes != bytes:
		return fmt.Errorf("stats are %+v, but the harness counts %d queued requests with %d bytes and %d requests in flight", stats, queued, bytes, inFlight)
	case stats.Queued > o.MaxQueued || stats.QueuedBytes > int64(o.MaxQueuedBytes) || stats.Principals > o.MaxPrincipals || stats.Reservations > o.MaxReservations:
		return fmt.Errorf("stats exceed a bound of the options: %+v", stats)
	case stats.Queued > 0 && stats.InFlight < stats.Limit:
		return fmt.Errorf("%d requests are queued although only %d are in flight, below the limit of %d", stats.Queued, stats.InFlight, stats.Limit)
	case stats.Limit < o.MinLimit || stats.Limit > o.MaxLimit:
		return fmt.Errorf("concurrency limit %d is outside MinLimit and MaxLimit of the options", stats.Limit)
	}
	return nil
}

// checkGroup compares a group's counts with those of its flows, and returns the number of its reservations.
func (q *Queue) checkGroup(g *group) (reservations int, _ error) {
	if len(g.flows) > max(1, q.options.MaxPrincipals/groupFlowDivisor) {
		return 0, fmt.Errorf("%d flows exceed the bound for a group", len(g.flows))
	}
	flows := []*flow{&g.sharedFlow}
	for _, f := range g.flows {
		flows = append(flows, f)
	}
	queued, inFlight, active := 0, 0, 0
	bytes, backlog := int64(0), 0.0
	for _, f := range flows {
		if err := f.check(); err != nil {
			return 0, fmt.Errorf("flow %q: %w", f.name, err)
		}
		queued, inFlight, reservations = queued+f.queued, inFlight+f.inFlight, reservations+len(f.reservations)
		bytes, backlog = bytes+f.queuedBytes, backlog+f.backlog
		if f.active() {
			active++
		}
	}
	if queued != g.queued || inFlight != g.inFlight || active != g.flowLevel.activeMembers || (g.queued > 0) != (g.readyIndex >= 0) {
		return 0, fmt.Errorf("the flows have %d requests queued and %d in flight, and %d flows are active, but the group's counts differ: %+v",
			queued, inFlight, active, g.member)
	}
	if bytes != g.queuedBytes || math.Abs(backlog-g.backlog) > backlogTolerance {
		return 0, fmt.Errorf("the queued requests of the flows have %d bytes and a backlog of %v s, but the group's sums differ: %+v", bytes, backlog, g.member)
	}
	if !g.active() && len(g.flows) == 0 && len(g.sharedFlow.reservations) == 0 && !q.groupLevel.schedulerOf(&g.member).isAhead(&g.member) {
		return 0, fmt.Errorf("the group is still stored although it has no requests, flows, reservations or debt")
	}
	return reservations, nil
}

// backlogTolerance allows for the rounding errors of sums, in seconds.
const backlogTolerance = 1e-9

// check compares a flow's lists, counts and positions in the priority queues.
func (f *flow) check() error {
	n, bytes, backlog := 0, int64(0), 0.0
	for _, list := range f.lists {
		for e := list.first; e != nil; e = e.next {
			if e.flow != f || e.state != entryQueued || e.next == nil && list.last != e {
				return fmt.Errorf("a request in the flow's lists belongs to another flow, is not queued, or is linked wrongly")
			}
			n, bytes, backlog = n+1, bytes+e.bytes, backlog+e.estimatedCost
		}
	}
	if bytes != f.queuedBytes || math.Abs(backlog-f.backlog) > backlogTolerance {
		return fmt.Errorf("the requests in the flow's lists have %d bytes and a backlog of %v s, but the flow's sums differ: %+v", bytes, backlog, f.member)
	}
	if n != f.queued || (f.queued > 0) != (f.readyIndex >= 0) || (f.queued > 0) != (f.loadIndex >= 0) || len(f.reservations) > maxFlowReservations {
		return fmt.Errorf("the flow's lists hold %d requests, but its count or its place in a priority queue does not match, or it has too many reservations: %+v", n, f.member)
	}
	if (len(f.reservations) > 0) != (f.expiryIndex >= 0) || math.IsNaN(f.finishTag) || f.readyIndex >= 0 && f.indebtedIndex >= 0 {
		return fmt.Errorf("the flow has a wrong place in the queue of reservation expiries or an invalid finish tag, or is both ready and indebted: %+v", f)
	}
	return nil
}
