package admissionsim

import (
	"strconv"
	"time"

	"orchiddrift/internal/admission"
)

// begin starts a client's traffic.
func (s *sim) begin(i int) {
	c := &s.r.Clients[i]
	for range c.ClosedLoops {
		s.At(origin+c.From+time.Duration(s.rng.Int64N(int64(time.Millisecond))), func() { s.ask(i, true) })
	}
	if c.Rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if c.To > 0 && s.Now()-origin >= c.To {
			return
		}
		s.ask(i, false)
		s.At(s.Now()+time.Duration(s.rng.ExpFloat64()/c.Rate*float64(time.Second)), next)
	}
	s.At(origin+c.From+time.Duration(s.rng.ExpFloat64()/c.Rate*float64(time.Second)), next)
}

// ask makes a client's new request.
func (s *sim) ask(i int, loop bool) {
	c := &s.r.Clients[i]
	if !s.open(c) {
		return
	}
	s.out.Clients[i].FirstRequests++
	work := time.Duration(s.rng.ExpFloat64() * float64(c.MeanServiceTime))
	s.prints++
	s.try(&asked{client: i, loop: loop, work: work, first: s.Now(), tries: 1, print: s.prints})
}

func (s *sim) try(a *asked) {
	c := &s.r.Clients[a.client]
	s.out.Clients[a.client].Attempts++
	s.ids++
	a.id = strconv.Itoa(s.ids)
	a.begun, a.expires = s.Now(), s.Now()+s.class(c).Deadline
	flow := c.Flow
	if c.FlowPerRequest {
		flow = a.id
	}
	arrival := admission.Arrival{Group: c.Group, Flow: flow, Class: c.Class, CostHint: time.Duration(c.HintFactor * float64(a.work)),
		ArrivedAt: s.Now(), Deadline: a.expires, Bytes: 512, Retry: c.MarksRetries && a.tries > 1, Fingerprint: a.print}
	t, acts := s.gate.Arrive(s.Now(), arrival, s.doActs[:0])
	s.doActs = nil
	a.ticket = t
	s.doors[t] = a
	s.act(acts)
}

// refused has a client come back, or give up.
func (s *sim) refused(a *asked, in time.Duration, kept bool) {
	c := &s.r.Clients[a.client]
	s.back(a, false)
	if a.tries >= max(1, c.MaxAttempts) {
		s.out.Clients[a.client].Rejected++
		s.again(a)
		return
	}
	next := &asked{client: a.client, loop: a.loop, work: a.work, first: a.first, print: a.print, tries: a.tries + 1, waited: c.HonorsRetryAfter && in > 0}
	next.promised = next.waited && kept
	wait := time.Millisecond + time.Duration(s.rng.Int64N(int64(20*time.Millisecond)))
	if next.waited {
		wait = in + time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
	}
	s.At(s.Now()+wait, func() { s.try(next) })
}

// back counts how a try ended that came when it was told.
func (s *sim) back(a *asked, served bool) {
	seen, one := &s.out.Clients[a.client], 0
	if served {
		one = 1
	}
	switch {
	case a.promised:
		seen.ReservedReturns, seen.ReservedServed = seen.ReservedReturns+1, seen.ReservedServed+one
	case a.waited:
		seen.UnreservedReturns, seen.UnreservedServed = seen.UnreservedReturns+1, seen.UnreservedServed+one
	}
}

// again goes on with a loop.
func (s *sim) again(a *asked) {
	if a.loop {
		s.At(s.Now()+time.Millisecond+s.r.Clients[a.client].ThinkTime, func() { s.ask(a.client, true) })
	}
}
