package admissionsim

import (
	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

// execute carries out the actions of the admission control, and schedules the next call of its
// method Wake.
func (s *simulation) execute(actions []admission.Action) {
	for _, action := range actions {
		a := s.byTicket[action.Ticket]
		if a == nil {
			continue
		}
		if action.Kind == admission.Reject {
			delete(s.byTicket, action.Ticket)
			s.handleRejection(a, action.RetryAfter, action.Reserved)
			continue
		}
		s.admit(a)
	}
	s.actionBuffer = actions[:0]
	at, ok := s.control.Next()
	if !ok || at == s.controlWakeAt {
		return
	}
	s.controlWakeAt = at
	s.At(at, func() {
		if s.controlWakeAt == at { // no other call of Wake has been scheduled since
			s.controlWakeAt = 0
			s.execute(s.control.Wake(s.Now(), nil))
		}
	})
}

// admit forwards an admitted attempt to the balancer.
func (s *simulation) admit(a *clientAttempt) {
	switch result := &s.result.Clients[a.client]; {
	case a.number == 1:
		result.AdmittedFirst++
	case !a.honoredRetryAfter:
		result.AdmittedRetries++
	}
	s.inFlightCount++
	s.inFlight[a.id] = a
	s.handleEvent(balancer.Request{ID: a.id, Class: s.run.Clients[a.client].Class, Deadline: a.deadline, CostHint: s.costHint(a)})
}
