package admissionsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

// executeAdmission does what the gate said.
func (s *simulation) executeAdmission(acts []admission.Action) {
	for _, x := range acts {
		a := s.byTicket[x.Ticket]
		if a == nil {
			continue
		}
		if x.Kind == admission.Reject {
			delete(s.byTicket, x.Ticket)
			s.handleRejection(a, x.RetryAfter, x.Reserved)
			continue
		}
		a.admitted = true
		switch seen := &s.result.Clients[a.client]; {
		case a.number == 1:
			seen.AdmittedFirst++
		case !a.honoredRetryAfter:
			seen.AdmittedRetries++
		}
		s.inFlightCount++
		s.inFlight[a.id] = a
		s.handleEvent(balancer.Request{ID: a.id, Class: s.run.Clients[a.client].Class, Deadline: a.deadline,
			CostHint: time.Duration(s.run.Clients[a.client].HintFactor * float64(a.serviceTime))})
	}
	s.actionBuffer = acts[:0]
	if at, ok := s.control.Next(); ok && at != s.controlWakeAt {
		s.controlWakeAt = at
		s.At(at, func() {
			if s.controlWakeAt == at {
				s.controlWakeAt = 0
				acts := s.control.Wake(s.Now(), nil)
				s.executeAdmission(acts)
			}
		})
	}
}
