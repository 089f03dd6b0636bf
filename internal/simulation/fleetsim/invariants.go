package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

const (
	crashDetectionDelay = 5 * time.Second // from a crash until the endpoint list changes
	answerGrace         = time.Second     // after a request's deadline, within which it must get its answer
	maxViolationTexts   = 20              // in a Result
)

// recordViolation records that an invariant was broken.
func (s *simulation) recordViolation(text string) {
	s.result.Violations++
	if len(s.result.ViolationTexts) < maxViolationTexts {
		s.result.ViolationTexts = append(s.result.ViolationTexts, s.Since().String()+": "+text)
	}
}

// checkUnanswered records a violation for each request without an answer answerGrace after its deadline.
func (s *simulation) checkUnanswered() {
	for _, sc := range s.sidecars {
		for _, req := range sc.pending {
			if s.Now() > req.deadline+answerGrace {
				s.recordViolation("a request has no answer")
			}
		}
	}
}

// recordExecution counts a request's execution. A second one of a non-idempotent request is a violation.
func (s *simulation) recordExecution(a *attempt) {
	req := a.request
	req.executions++
	class := &s.run.Settings.Classes[req.operation.class]
	if req.executions == 2 && class.Idempotency == balancer.NonIdempotent {
		s.recordViolation("an unsafe request ran twice")
	}
}
