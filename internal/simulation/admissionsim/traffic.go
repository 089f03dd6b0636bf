package admissionsim

import (
	"strconv"
	"time"

	"orchiddrift/internal/admission"
)

const (
	requestBytes     = 512                   // size of a request's body
	loopStartSpread  = time.Millisecond      // closed loops start at random within this time
	loopDelay        = time.Millisecond      // pause of a closed loop after an answer, in addition to its think time
	minRetryDelay    = time.Millisecond      // delay of a client that retries at once
	retryDelaySpread = 20 * time.Millisecond // maximum random addition to minRetryDelay
	returnSpread     = 5 * time.Millisecond  // maximum random addition to Retry-After
)

// clientAttempt is one attempt of a client's request.
type clientAttempt struct {
	id          string
	client      int // index in Run.Clients
	closedLoop  bool
	serviceTime time.Duration
	firstSentAt time.Duration // time at which the first attempt of the request was sent
	sentAt      time.Duration // time at which this attempt was sent
	deadline    time.Duration
	number      int // number of the attempt within the request, from 1
	fingerprint uint64
	ticket      admission.Ticket

	answered          bool
	attempts          []*upstreamAttempt
	honoredRetryAfter bool // the attempt was sent after waiting for Retry-After
	reserved          bool // capacity was reserved for the attempt at the time that Retry-After named
}

// sends reports whether a client sends new requests now.
func (s *simulation) sends(c *Client) bool {
	elapsed := s.Now() - origin
	return elapsed >= c.From && (c.To == 0 || elapsed < c.To)
}

// startTraffic schedules a client's first requests.
func (s *simulation) startTraffic(i int) {
	c := &s.run.Clients[i]
	for range c.ClosedLoops {
		s.At(origin+c.From+time.Duration(s.rng.Int64N(int64(loopStartSpread))), func() { s.sendRequest(i, true) })
	}
	if c.Rate <= 0 {
		return
	}
	pause := func() time.Duration { return time.Duration(s.rng.ExpFloat64() / c.Rate * float64(time.Second)) }
	var sendNext func()
	sendNext = func() {
		if c.To > 0 && s.Now()-origin >= c.To {
			return
		}
		s.sendRequest(i, false)
		s.At(s.Now()+pause(), sendNext)
	}
	s.At(origin+c.From+pause(), sendNext)
}

// sendRequest sends a client's next request.
func (s *simulation) sendRequest(i int, closedLoop bool) {
	c := &s.run.Clients[i]
	if !s.sends(c) {
		return
	}
	s.result.Clients[i].FirstRequests++
	serviceTime := time.Duration(s.rng.ExpFloat64() * float64(c.MeanServiceTime))
	s.lastFingerprint++
	s.send(&clientAttempt{client: i, closedLoop: closedLoop, serviceTime: serviceTime, firstSentAt: s.Now(), number: 1, fingerprint: s.lastFingerprint})
}

// continueLoop sends the next request of a closed loop after the think time.
func (s *simulation) continueLoop(a *clientAttempt) {
	if a.closedLoop {
		s.At(s.Now()+loopDelay+s.run.Clients[a.client].ThinkTime, func() { s.sendRequest(a.client, true) })
	}
}

// send passes an attempt of a client to the admission control.
func (s *simulation) send(a *clientAttempt) {
	c := &s.run.Clients[a.client]
	s.result.Clients[a.client].Attempts++
	s.lastID++
	a.id = strconv.Itoa(s.lastID)
	a.sentAt, a.deadline = s.Now(), s.Now()+s.class(c).Deadline
	flow := c.Flow
	if c.FlowPerRequest {
		flow = a.id
	}
	ticket, actions := s.control.Arrive(s.Now(), admission.Arrival{
		Group:       c.Group,
		Flow:        flow,
		Class:       c.Class,
		CostHint:    s.costHint(a),
		ArrivedAt:   s.Now(),
		Deadline:    a.deadline,
		Bytes:       requestBytes,
		Retry:       c.MarksRetries && a.number > 1,
		Fingerprint: a.fingerprint,
	}, s.actionBuffer[:0])
	s.actionBuffer = nil
	a.ticket = ticket
	s.byTicket[ticket] = a
	s.execute(actions)
}

// costHint returns the cost hint that a client sends with an attempt.
func (s *simulation) costHint(a *clientAttempt) time.Duration {
	return time.Duration(s.run.Clients[a.client].HintFactor * float64(a.serviceTime))
}

// handleRejection schedules a client's retry, unless the request has used up its attempts.
func (s *simulation) handleRejection(a *clientAttempt, retryAfter time.Duration, reserved bool) {
	c := &s.run.Clients[a.client]
	s.countReturn(a, false)
	if a.number >= max(1, c.MaxAttempts) {
		s.result.Clients[a.client].Rejected++
		s.continueLoop(a)
		return
	}
	honored := c.HonorsRetryAfter && retryAfter > 0
	retry := &clientAttempt{client: a.client, closedLoop: a.closedLoop, serviceTime: a.serviceTime, firstSentAt: a.firstSentAt,
		fingerprint: a.fingerprint, number: a.number + 1, honoredRetryAfter: honored, reserved: honored && reserved}
	delay := minRetryDelay + time.Duration(s.rng.Int64N(int64(retryDelaySpread)))
	if honored {
		delay = retryAfter + time.Duration(s.rng.Int64N(int64(returnSpread)))
	}
	s.At(s.Now()+delay, func() { s.send(retry) })
}

// countReturn counts the outcome of an attempt that was sent after waiting for Retry-After.
func (s *simulation) countReturn(a *clientAttempt, served bool) {
	result, servedCount := &s.result.Clients[a.client], 0
	if served {
		servedCount = 1
	}
	switch {
	case a.reserved:
		result.ReservedReturns++
		result.ReservedServed += servedCount
	case a.honoredRetryAfter:
		result.UnreservedReturns++
		result.UnreservedServed += servedCount
	}
}
