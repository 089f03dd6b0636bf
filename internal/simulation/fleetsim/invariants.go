package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

const (
	crashDetectionDelay = 5 * time.Second // time from a crash until the endpoint list changes
	answerGrace         = time.Second     // time after a request's deadline within which it must be answered
	maxViolationTexts   = 20              // maximum number of texts in a Result
)

// recordViolation records that an invariant was broken.
func (s *simulation) recordViolation(text string) {
	s.result.Violations++
	if len(s.result.ViolationTexts) < maxViolationTexts {
		s.result.ViolationTexts = append(s.result.ViolationTexts, s.Since().String()+": "+text)
	}
}

// checkUnanswered records a violation for each request that is still without an answer answerGrace after
// its deadline.
func (s *simulation) checkUnanswered() {
	for _, sc := range s.sidecars {
		for _, req := range sc.pending {
			if s.Now() > req.deadline+answerGrace {
				s.recordViolation("a request has no answer")
			}
		}
	}
}

// recordExecution counts an execution of a request. A second execution of a non-idempotent request is a
// violation.
func (s *simulation) recordExecution(a *attempt) {
	req := a.request
	req.executions++
	class := &s.run.Settings.Classes[req.operation.class]
	if req.executions == 2 && class.Idempotency == balancer.NonIdempotent {
		s.recordViolation("an unsafe request ran twice")
	}
}
