package fleetsim

import (
	"strconv"
	"time"

	"orchiddrift/balancer"
)

type request struct {
	id          string
	serviceTime time.Duration
	arrivedAt   time.Duration
	deadline    time.Duration
	attempts    []*attempt
	done        bool
	operation   *operation
	executions  int // times that it ran to its end
}

// operation is what a client wants, over however many requests.
type operation struct {
	class       int
	serviceTime time.Duration
	startedAt   time.Duration
	retries     int
	backoff     time.Duration
}

func (s *simulation) startTraffic(sc *sidecar, rate float64) {
	var next func()
	next = func() {
		now := s.rateMultiple()
		if now > 0 {
			s.beginOperation(sc)
		}
		s.After(time.Duration(sc.rng.ExpFloat64()/rate/max(now, 0.01)*float64(time.Second)), next)
	}
	s.After(time.Duration(sc.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

func (s *simulation) beginOperation(sc *sidecar) {
	op := &operation{startedAt: s.Now()}
	if len(s.run.ClassFractions) > 1 {
		for x := sc.rng.Float64(); op.class < len(s.run.ClassFractions)-1; op.class++ {
			if x -= s.run.ClassFractions[op.class]; x < 0 {
				break
			}
		}
	}
	op.serviceTime = time.Duration(sc.rng.ExpFloat64() * float64(s.run.MeanServiceTime))
	s.result.Operations++
	s.currentPoint().Operations++
	s.sendRequest(sc, op)
}

// sendRequest is one of an operation's.
func (s *simulation) sendRequest(sc *sidecar, op *operation) {
	s.lastID++
	class := &s.run.Settings.Classes[op.class]
	req := &request{id: strconv.Itoa(s.lastID), serviceTime: op.serviceTime, arrivedAt: s.Now(), deadline: s.Now() + class.Deadline, operation: op}
	sc.pending[req.id] = req
	sc.requestsSinceSweep++
	s.result.Requests++
	s.currentPoint().Requests++
	if sc.policy != nil {
		s.pickUpstream(sc, req)
		return
	}
	if s.run.SyncProbes != nil {
		s.pickByProbes(sc, req)
		return
	}
	decide := func() {
		s.handleEvent(sc, balancer.Request{ID: req.id, Class: class.Name, Deadline: req.deadline, CostHint: s.costHint(req)})
	}
	if sc.prober != nil {
		if names := sc.prober.Targets(s.Now()); len(names) > 0 {
			s.probeLoad(sc, names, decide)
			return
		}
	}
	decide()
}

// rateMultiple is the multiple of Run.Rate now.
func (s *simulation) rateMultiple() float64 {
	of := 1.0
	for _, x := range s.run.RateSteps {
		if x.At <= s.Since() {
			of = x.Multiple
		}
	}
	return of
}

// requestEnded tells a client of its request's end.
func (s *simulation) requestEnded(sc *sidecar, req *request, end *int, retryIn time.Duration) {
	op := req.operation
	p := s.currentPoint()
	switch end {
	case &s.result.Served:
		p.Served++
		p.OperationsServed++
		s.result.OperationsServed++
		took := s.Now() - op.startedAt
		if p.latencies != nil {
			_ = p.latencies.RecordValue(max(1, took.Microseconds())) // it is within the bounds
		}
		return
	case &s.result.Rejected:
		p.Rejected++
	default:
		p.Failed++
	}
	safe := s.run.Settings.Classes[op.class].Idempotency == balancer.Idempotent
	if op.retries >= s.run.Clients.MaxRetries || end != &s.result.Rejected && !safe {
		return
	}
	op.retries++
	op.backoff = max(s.run.Clients.InitialBackoff, 2*op.backoff)
	wait := op.backoff
	if s.run.Clients.HonorRetryAfter {
		wait = max(wait, retryIn)
	}
	s.After(wait, func() { s.sendRequest(sc, op) })
}

// costHint is what the module is told of a request's work.
func (s *simulation) costHint(req *request) time.Duration {
	if s.run.CostHints {
		return req.serviceTime
	}
	return 0
}
