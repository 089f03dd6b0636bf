package admissionsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

// node is an upstream that serves one request at a time, in the order of arrival.
type node struct {
	name  string
	queue []*upstreamAttempt
	busy  bool
}

// upstreamAttempt is one attempt of the balancer at a node, for an admitted attempt of a client.
type upstreamAttempt struct {
	request   *clientAttempt
	number    int
	startedAt time.Duration
	ended     bool
}

// handleEvent passes an event to the balancer and carries out the resulting actions.
func (s *simulation) handleEvent(event balancer.Event) {
	for _, action := range s.balancer.Handle(s.Now(), event, nil) {
		switch action.Kind {
		case balancer.Send:
			s.startAttempt(&action)
		case balancer.Reject:
			s.answer(action.ID, balancer.Rejected, action.RetryAfter)
		case balancer.Fail:
			s.answer(action.ID, balancer.Timeout, 0)
		case balancer.SetTimer:
			at := action.FireAt
			s.balancerTimerAt = at
			s.At(at, func() {
				if s.balancerTimerAt == at {
					s.handleEvent(balancer.TimerFired{})
				}
			})
		}
	}
}

// startAttempt sends an attempt to a node, and sets its timeout.
func (s *simulation) startAttempt(send *balancer.Action) {
	request := s.inFlight[send.ID]
	if request == nil {
		return
	}
	a := &upstreamAttempt{request: request, number: len(request.attempts), startedAt: s.Now()}
	request.attempts = append(request.attempts, a)
	timeout := request.deadline - s.Now()
	if send.Timeout > 0 {
		timeout = min(timeout, send.Timeout)
	}
	s.At(s.Now()+timeout, func() { s.endAttempt(a, balancer.Timeout) })
	n := s.nodes[send.Upstream]
	if len(n.queue) >= s.run.MaxNodeQueue {
		s.At(s.Now()+networkDelay, func() { s.endAttempt(a, balancer.Rejected) })
		return
	}
	n.queue = append(n.queue, a)
	s.serveNext(n)
}

// serveNext starts the next attempt in the queue if the node is idle. It skips attempts that have ended, because their
// connections are closed.
func (s *simulation) serveNext(n *node) {
	for !n.busy && len(n.queue) > 0 {
		a := n.queue[0]
		n.queue = n.queue[1:]
		if a.ended {
			continue
		}
		slowdown := 1.0
		if s.run.Slowdown != nil {
			slowdown = s.run.Slowdown(s.Now() - origin)
		}
		serviceTime := time.Duration(float64(a.request.serviceTime) * slowdown)
		n.busy = true
		s.At(s.Now()+serviceTime, func() {
			n.busy = false
			s.countService(a, serviceTime)
			s.At(s.Now()+networkDelay, func() { s.endAttempt(a, balancer.OK) })
			s.serveNext(n)
		})
	}
}

// countService counts the service time of an attempt that a node has finished.
func (s *simulation) countService(a *upstreamAttempt, serviceTime time.Duration) {
	client := a.request.client
	s.serviceTime += serviceTime
	s.result.Clients[client].ServiceTime += serviceTime
	if a.ended || s.Now()-a.request.sentAt > s.class(&s.run.Clients[client]).LatencyObjective {
		s.wastedTime += serviceTime
	}
}

// endAttempt reports the outcome of an attempt to the balancer. It ignores all outcomes of an attempt but the first.
func (s *simulation) endAttempt(a *upstreamAttempt, result balancer.Result) {
	if a.ended {
		return
	}
	a.ended = true
	request := a.request
	if result == balancer.OK {
		s.answer(request.id, balancer.OK, 0)
	}
	s.handleEvent(balancer.Outcome{ID: request.id, Attempt: a.number, Result: result, Elapsed: s.Now() - a.startedAt, Final: request.answered})
}

// answer gives a request its final answer. result is OK for a served request, Rejected for a rejected request, and any
// other value for a failed request.
func (s *simulation) answer(id string, result balancer.Result, retryAfter time.Duration) {
	a := s.inFlight[id]
	if a == nil || a.answered {
		return
	}
	a.answered = true
	delete(s.inFlight, id)
	delete(s.byTicket, a.ticket)
	s.inFlightCount--
	outcome := admission.Completed
	switch result {
	case balancer.OK:
		s.countAnswer(a)
		s.countReturn(a, true)
		s.continueLoop(a)
	case balancer.Rejected:
		outcome = admission.RejectedByBalancer
	default:
		s.countReturn(a, false)
		s.result.Clients[a.client].Failed++
		s.continueLoop(a)
	}
	actions := s.control.Done(s.Now(), a.ticket, outcome, nil)
	if outcome == admission.RejectedByBalancer {
		s.handleRejection(a, retryAfter, false)
	}
	s.execute(actions)
}

// countAnswer counts a successful answer by its latency.
func (s *simulation) countAnswer(a *clientAttempt) {
	result := &s.result.Clients[a.client]
	result.Latencies = append(result.Latencies, s.Now()-a.firstSentAt)
	if s.Now()-a.sentAt <= s.class(&s.run.Clients[a.client]).LatencyObjective {
		result.WithinObjective++
		result.WithinObjectiveByInterval[s.interval()]++
	} else {
		result.Late++
	}
}
