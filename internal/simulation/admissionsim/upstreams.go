package admissionsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

// module tells the balancer, and does what it says.
func (s *sim) module(ev balancer.Event) {
	for _, x := range s.b.Handle(s.Now(), ev, nil) {
		switch x.Kind {
		case balancer.Send:
			s.send(x)
		case balancer.Reject:
			s.finish(x.ID, balancer.Rejected, x.RetryAfter)
		case balancer.Fail:
			s.finish(x.ID, balancer.Timeout, 0)
		case balancer.SetTimer:
			at := x.FireAt
			s.timer = at
			s.At(at, func() {
				if s.timer == at {
					s.module(balancer.TimerFired{})
				}
			})
		}
	}
}

func (s *sim) send(x balancer.Action) {
	a := s.asked[x.ID]
	if a == nil {
		return
	}
	n := s.nodes[x.Upstream]
	at := &attempt{of: a, number: len(a.attempts), node: n, sent: s.Now()}
	a.attempts = append(a.attempts, at)
	limit := a.expires - s.Now()
	if x.Timeout > 0 {
		limit = min(limit, x.Timeout)
	}
	s.At(s.Now()+limit, func() { s.outcome(at, balancer.Timeout) })
	if len(n.queue) >= s.r.MaxNodeQueue {
		s.At(s.Now()+wire, func() { s.outcome(at, balancer.Rejected) })
		return
	}
	n.queue = append(n.queue, at)
	s.work(n)
}

// work has a node take its next.
func (s *sim) work(n *node) {
	for !n.busy && len(n.queue) > 0 {
		at := n.queue[0]
		n.queue = n.queue[1:]
		if at.ended { // its connection is closed: nobody waits
			continue
		}
		factor := 1.0
		if s.r.Slowdown != nil {
			factor = s.r.Slowdown(s.Now() - origin)
		}
		took := time.Duration(float64(at.of.work) * factor)
		n.busy = true
		s.At(s.Now()+took, func() {
			n.busy = false
			s.busy += took
			s.out.Clients[at.of.client].ServiceTime += took
			if at.ended || s.Now()-at.of.begun > s.class(&s.r.Clients[at.of.client]).LatencyObjective {
				s.wasted += took
			}
			s.At(s.Now()+wire, func() { s.outcome(at, balancer.OK) })
			s.work(n)
		})
	}
}

func (s *sim) outcome(at *attempt, r balancer.Result) {
	if at.ended {
		return
	}
	at.ended = true
	a := at.of
	if r == balancer.OK {
		s.finish(a.id, balancer.OK, 0)
	}
	s.module(balancer.Outcome{ID: a.id, Attempt: at.number, Result: r, Elapsed: s.Now() - at.sent, Final: a.ended})
}

// finish gives a request its answer.
func (s *sim) finish(id string, r balancer.Result, in time.Duration) {
	a := s.asked[id]
	if a == nil || a.ended {
		return
	}
	a.ended = true
	delete(s.asked, id)
	delete(s.doors, a.ticket)
	s.inHand--
	seen := &s.out.Clients[a.client]
	how := admission.Completed
	switch r {
	case balancer.OK:
		took := s.Now() - a.first
		seen.Latencies = append(seen.Latencies, took)
		if s.Now()-a.begun <= s.class(&s.r.Clients[a.client]).LatencyObjective {
			seen.WithinObjective++
			seen.WithinObjectiveByInterval[s.bin()]++
		} else {
			seen.Late++
		}
		s.back(a, true)
		s.again(a)
	case balancer.Rejected:
		how = admission.RejectedByBalancer
	default:
		s.back(a, false)
		seen.Failed++
		s.again(a)
	}
	acts := s.gate.Done(s.Now(), a.ticket, how, nil)
	if how == admission.RejectedByBalancer {
		s.refused(a, in, false)
	}
	s.act(acts)
}
