package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

const (
	crashDetectionDelay = 5 * time.Second // the list learns of a crash so late
	answerGrace         = time.Second     // after a request's deadline
	maxViolationTexts   = 20
)

// recordViolation notes that a rule that must always hold did not.
func (s *simulation) recordViolation(what string) {
	s.result.Violations++
	if len(s.result.ViolationTexts) < maxViolationTexts {
		s.result.ViolationTexts = append(s.result.ViolationTexts, s.Since().String()+": "+what)
	}
}

// checkUnanswered looks for requests that have no answer though their time is over.
func (s *simulation) checkUnanswered() {
	for _, sc := range s.sidecars {
		for _, req := range sc.pending {
			if s.Now() > req.deadline+answerGrace {
				s.recordViolation("a request has no answer")
			}
		}
	}
}

// recordExecution counts that a request ran to its end.
func (s *simulation) recordExecution(a *attempt) {
	if a.request.executions++; a.request.executions == 2 && s.run.Settings.Classes[a.request.operation.class].Idempotency == balancer.NonIdempotent {
		s.recordViolation("an unsafe request ran twice")
	}
}
