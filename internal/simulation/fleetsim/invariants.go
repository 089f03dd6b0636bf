package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

const (
	crashTold = 5 * time.Second // the list learns of a crash so late
	answerDue = time.Second     // after a request's deadline
	mostSaid  = 20
)

// broken notes that a rule that must always hold did not.
func (s *sim) broken(what string) {
	s.out.Violations++
	if len(s.out.Broken) < mostSaid {
		s.out.Broken = append(s.out.Broken, s.Since().String()+": "+what)
	}
}

// check looks for requests that have no answer though their time is over.
func (s *sim) check() {
	for _, c := range s.sidecars {
		for _, q := range c.asked {
			if s.Now() > q.expires+answerDue {
				s.broken("a request has no answer")
			}
		}
	}
}

// ran counts that a request ran to its end.
func (s *sim) ran(a *attempt) {
	if a.of.ran++; a.of.ran == 2 && s.r.Settings.Classes[a.of.op.class].Idempotency == balancer.NonIdempotent {
		s.broken("an unsafe request ran twice")
	}
}
