package admissionsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

// handleEvent tells the balancer, and does what it says.
func (s *simulation) handleEvent(ev balancer.Event) {
	for _, x := range s.balancer.Handle(s.Now(), ev, nil) {
		switch x.Kind {
		case balancer.Send:
			s.startAttempt(x)
		case balancer.Reject:
			s.answer(x.ID, balancer.Rejected, x.RetryAfter)
		case balancer.Fail:
			s.answer(x.ID, balancer.Timeout, 0)
		case balancer.SetTimer:
			at := x.FireAt
			s.balancerTimerAt = at
			s.At(at, func() {
				if s.balancerTimerAt == at {
					s.handleEvent(balancer.TimerFired{})
				}
			})
		}
	}
}

func (s *simulation) startAttempt(x balancer.Action) {
	a := s.inFlight[x.ID]
	if a == nil {
		return
	}
	n := s.nodes[x.Upstream]
	at := &upstreamAttempt{request: a, number: len(a.attempts), node: n, startedAt: s.Now()}
	a.attempts = append(a.attempts, at)
	limit := a.deadline - s.Now()
	if x.Timeout > 0 {
		limit = min(limit, x.Timeout)
	}
	s.At(s.Now()+limit, func() { s.endAttempt(at, balancer.Timeout) })
	if len(n.queue) >= s.run.MaxNodeQueue {
		s.At(s.Now()+networkDelay, func() { s.endAttempt(at, balancer.Rejected) })
		return
	}
	n.queue = append(n.queue, at)
	s.serveNext(n)
}

// serveNext has a node take its next.
func (s *simulation) serveNext(n *node) {
	for !n.busy && len(n.queue) > 0 {
		at := n.queue[0]
		n.queue = n.queue[1:]
		if at.ended { // its connection is closed: nobody waits
			continue
		}
		factor := 1.0
		if s.run.Slowdown != nil {
			factor = s.run.Slowdown(s.Now() - origin)
		}
		took := time.Duration(float64(at.request.serviceTime) * factor)
		n.busy = true
		s.At(s.Now()+took, func() {
			n.busy = false
			s.serviceTime += took
			s.result.Clients[at.request.client].ServiceTime += took
			if at.ended || s.Now()-at.request.sentAt > s.class(&s.run.Clients[at.request.client]).LatencyObjective {
				s.wastedTime += took
			}
			s.At(s.Now()+networkDelay, func() { s.endAttempt(at, balancer.OK) })
			s.serveNext(n)
		})
	}
}

func (s *simulation) endAttempt(at *upstreamAttempt, r balancer.Result) {
	if at.ended {
		return
	}
	at.ended = true
	a := at.request
	if r == balancer.OK {
		s.answer(a.id, balancer.OK, 0)
	}
	s.handleEvent(balancer.Outcome{ID: a.id, Attempt: at.number, Result: r, Elapsed: s.Now() - at.startedAt, Final: a.answered})
}

// answer gives a request its answer.
func (s *simulation) answer(id string, r balancer.Result, in time.Duration) {
	a := s.inFlight[id]
	if a == nil || a.answered {
		return
	}
	a.answered = true
	delete(s.inFlight, id)
	delete(s.byTicket, a.ticket)
	s.inFlightCount--
	seen := &s.result.Clients[a.client]
	how := admission.Completed
	switch r {
	case balancer.OK:
		took := s.Now() - a.firstSentAt
		seen.Latencies = append(seen.Latencies, took)
		if s.Now()-a.sentAt <= s.class(&s.run.Clients[a.client]).LatencyObjective {
			seen.WithinObjective++
			seen.WithinObjectiveByInterval[s.interval()]++
		} else {
			seen.Late++
		}
		s.countReturn(a, true)
		s.continueLoop(a)
	case balancer.Rejected:
		how = admission.RejectedByBalancer
	default:
		s.countReturn(a, false)
		seen.Failed++
		s.continueLoop(a)
	}
	acts := s.control.Done(s.Now(), a.ticket, how, nil)
	if how == admission.RejectedByBalancer {
		s.handleRejection(a, in, false)
	}
	s.executeAdmission(acts)
}
