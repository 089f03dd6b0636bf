package admissionsim

import (
	"strconv"
	"time"

	"orchiddrift/internal/admission"
)

// startTraffic starts a client's traffic.
func (s *simulation) startTraffic(i int) {
	c := &s.run.Clients[i]
	for range c.ClosedLoops {
		s.At(origin+c.From+time.Duration(s.rng.Int64N(int64(time.Millisecond))), func() { s.sendRequest(i, true) })
	}
	if c.Rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if c.To > 0 && s.Now()-origin >= c.To {
			return
		}
		s.sendRequest(i, false)
		s.At(s.Now()+time.Duration(s.rng.ExpFloat64()/c.Rate*float64(time.Second)), next)
	}
	s.At(origin+c.From+time.Duration(s.rng.ExpFloat64()/c.Rate*float64(time.Second)), next)
}

// sendRequest makes a client's new request.
func (s *simulation) sendRequest(i int, loop bool) {
	c := &s.run.Clients[i]
	if !s.sending(c) {
		return
	}
	s.result.Clients[i].FirstRequests++
	work := time.Duration(s.rng.ExpFloat64() * float64(c.MeanServiceTime))
	s.lastFingerprint++
	s.arrive(&clientAttempt{client: i, closedLoop: loop, serviceTime: work, firstSentAt: s.Now(), number: 1, fingerprint: s.lastFingerprint})
}

func (s *simulation) arrive(a *clientAttempt) {
	c := &s.run.Clients[a.client]
	s.result.Clients[a.client].Attempts++
	s.lastID++
	a.id = strconv.Itoa(s.lastID)
	a.sentAt, a.deadline = s.Now(), s.Now()+s.class(c).Deadline
	flow := c.Flow
	if c.FlowPerRequest {
		flow = a.id
	}
	arrival := admission.Arrival{Group: c.Group, Flow: flow, Class: c.Class, CostHint: time.Duration(c.HintFactor * float64(a.serviceTime)),
		ArrivedAt: s.Now(), Deadline: a.deadline, Bytes: 512, Retry: c.MarksRetries && a.number > 1, Fingerprint: a.fingerprint}
	t, acts := s.control.Arrive(s.Now(), arrival, s.actionBuffer[:0])
	s.actionBuffer = nil
	a.ticket = t
	s.byTicket[t] = a
	s.executeAdmission(acts)
}

// handleRejection has a client come back, or give up.
func (s *simulation) handleRejection(a *clientAttempt, in time.Duration, kept bool) {
	c := &s.run.Clients[a.client]
	s.countReturn(a, false)
	if a.number >= max(1, c.MaxAttempts) {
		s.result.Clients[a.client].Rejected++
		s.continueLoop(a)
		return
	}
	next := &clientAttempt{client: a.client, closedLoop: a.closedLoop, serviceTime: a.serviceTime, firstSentAt: a.firstSentAt, fingerprint: a.fingerprint, number: a.number + 1, honoredRetryAfter: c.HonorsRetryAfter && in > 0}
	next.reserved = next.honoredRetryAfter && kept
	wait := time.Millisecond + time.Duration(s.rng.Int64N(int64(20*time.Millisecond)))
	if next.honoredRetryAfter {
		wait = in + time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
	}
	s.At(s.Now()+wait, func() { s.arrive(next) })
}

// countReturn counts how a try ended that came when it was told.
func (s *simulation) countReturn(a *clientAttempt, served bool) {
	seen, one := &s.result.Clients[a.client], 0
	if served {
		one = 1
	}
	switch {
	case a.reserved:
		seen.ReservedReturns, seen.ReservedServed = seen.ReservedReturns+1, seen.ReservedServed+one
	case a.honoredRetryAfter:
		seen.UnreservedReturns, seen.UnreservedServed = seen.UnreservedReturns+1, seen.UnreservedServed+one
	}
}

// continueLoop goes on with a loop.
func (s *simulation) continueLoop(a *clientAttempt) {
	if a.closedLoop {
		s.At(s.Now()+time.Millisecond+s.run.Clients[a.client].ThinkTime, func() { s.sendRequest(a.client, true) })
	}
}
