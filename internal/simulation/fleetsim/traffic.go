package fleetsim

import (
	"strconv"
	"time"

	"orchiddrift/balancer"
)

// request is one request of an operation to a sidecar.
type request struct {
	id          string
	serviceTime time.Duration
	arrivedAt   time.Duration
	deadline    time.Duration
	attempts    []*attempt
	done        bool
	operation   *operation
	executions  int // number of times that a node executed it
}

// operation is what a client wants: one request and its retries.
type operation struct {
	class       int // index of the operation's class in Settings.Classes
	serviceTime time.Duration
	startedAt   time.Duration
	retries     int
	backoff     time.Duration // pause before the last retry
}

// minRateMultiple limits the time between arrivals. While the rate is 0, no operation begins, but the rate has to be checked regularly.
const minRateMultiple = 0.01

// startTraffic schedules operations at a sidecar as a Poisson process with the given rate in operations per second.
func (s *simulation) startTraffic(sc *sidecar, rate float64) {
	var beginNext func()
	beginNext = func() {
		multiple := s.rateMultiple()
		if multiple > 0 {
			s.beginOperation(sc)
		}
		s.After(time.Duration(sc.rng.ExpFloat64()/rate/max(multiple, minRateMultiple)*float64(time.Second)), beginNext)
	}
	s.After(time.Duration(sc.rng.ExpFloat64()/rate*float64(time.Second)), beginNext)
}

// beginOperation draws an operation's class and service time and sends its first request.
func (s *simulation) beginOperation(sc *sidecar) {
	op := &operation{startedAt: s.Now()}
	if len(s.run.ClassFractions) > 1 {
		for remainder := sc.rng.Float64(); op.class < len(s.run.ClassFractions)-1; op.class++ {
			if remainder -= s.run.ClassFractions[op.class]; remainder < 0 {
				break
			}
		}
	}
	op.serviceTime = time.Duration(sc.rng.ExpFloat64() * float64(s.run.MeanServiceTime))
	s.result.Operations++
	s.currentPoint().Operations++
	s.sendRequest(sc, op)
}

// sendRequest sends the next request of an operation to a sidecar. The sidecar chooses a node by its policy, by synchronous probes or by
// its balancer.
func (s *simulation) sendRequest(sc *sidecar, op *operation) {
	s.lastID++
	class := &s.run.Settings.Classes[op.class]
	req := &request{
		id:          strconv.Itoa(s.lastID),
		serviceTime: op.serviceTime,
		arrivedAt:   s.Now(),
		deadline:    s.Now() + class.Deadline,
		operation:   op,
	}
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

// rateMultiple returns the current multiple of Run.Rate.
func (s *simulation) rateMultiple() float64 {
	multiple := 1.0
	for _, step := range s.run.RateSteps {
		if step.At <= s.Since() {
			multiple = step.Multiple
		}
	}
	return multiple
}

// requestEnded gives a client the final answer of a request, after which the client may retry. counter points to the field of s.result that
// counts answers of this kind.
func (s *simulation) requestEnded(sc *sidecar, req *request, counter *int, retryAfter time.Duration) {
	op := req.operation
	point := s.currentPoint()
	switch counter {
	case &s.result.Served:
		point.Served++
		point.OperationsServed++
		s.result.OperationsServed++
		latency := s.Now() - op.startedAt
		if point.latencies != nil {
			_ = point.latencies.RecordValue(max(1, latency.Microseconds())) // the value is within the histogram's bounds
		}
		return
	case &s.result.Rejected:
		point.Rejected++
	default:
		point.Failed++
	}
	idempotent := s.run.Settings.Classes[op.class].Idempotency == balancer.Idempotent
	if op.retries >= s.run.Clients.MaxRetries || counter != &s.result.Rejected && !idempotent {
		return
	}
	op.retries++
	op.backoff = max(s.run.Clients.InitialBackoff, 2*op.backoff)
	delay := op.backoff
	if s.run.Clients.HonorRetryAfter {
		delay = max(delay, retryAfter)
	}
	s.After(delay, func() { s.sendRequest(sc, op) })
}

// costHint returns the cost hint that the balancer gets with a request. It returns 0 if the balancer gets no hint.
func (s *simulation) costHint(req *request) time.Duration {
	if s.run.CostHints {
		return req.serviceTime
	}
	return 0
}
