package admissionsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

// act does what the gate said.
func (s *sim) act(acts []admission.Action) {
	for _, x := range acts {
		a := s.doors[x.Ticket]
		if a == nil {
			continue
		}
		if x.Kind == admission.Reject {
			delete(s.doors, x.Ticket)
			s.refused(a, x.RetryAfter, x.Reserved)
			continue
		}
		a.passed = true
		switch seen := &s.out.Clients[a.client]; {
		case a.tries == 1:
			seen.AdmittedFirst++
		case !a.waited:
			seen.AdmittedRetries++
		}
		s.inHand++
		s.asked[a.id] = a
		s.module(balancer.Request{ID: a.id, Class: s.r.Clients[a.client].Class, Deadline: a.expires,
			CostHint: time.Duration(s.r.Clients[a.client].HintFactor * float64(a.work))})
	}
	s.doActs = acts[:0]
	if at, ok := s.gate.Next(); ok && at != s.wakeAt {
		s.wakeAt = at
		s.At(at, func() {
			if s.wakeAt == at {
				s.wakeAt = 0
				acts := s.gate.Wake(s.Now(), nil)
				s.act(acts)
			}
		})
	}
}
