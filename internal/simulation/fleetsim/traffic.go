package fleetsim

import (
	"strconv"
	"time"

	"orchiddrift/balancer"
)

type request struct {
	id       string
	work     time.Duration
	came     time.Duration
	expires  time.Duration
	attempts []*attempt
	done     bool
	op       *operation
	ran      int // times that it ran to its end
}

// operation is what a client wants, over however many requests.
type operation struct {
	class int
	work  time.Duration
	came  time.Duration
	tries int
	wait  time.Duration
}

func (s *sim) traffic(c *sidecar, rate float64) {
	var next func()
	next = func() {
		now := s.rate()
		if now > 0 {
			s.ask(c)
		}
		s.After(time.Duration(c.rng.ExpFloat64()/rate/max(now, 0.01)*float64(time.Second)), next)
	}
	s.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

func (s *sim) ask(c *sidecar) {
	op := &operation{came: s.Now()}
	if len(s.r.Mix) > 1 {
		for x := c.rng.Float64(); op.class < len(s.r.Mix)-1; op.class++ {
			if x -= s.r.Mix[op.class]; x < 0 {
				break
			}
		}
	}
	op.work = time.Duration(c.rng.ExpFloat64() * float64(s.r.Work))
	s.out.Operations++
	s.point().Operations++
	s.request(c, op)
}

// request is one of an operation's.
func (s *sim) request(c *sidecar, op *operation) {
	s.ids++
	class := &s.r.Settings.Classes[op.class]
	q := &request{id: strconv.Itoa(s.ids), work: op.work, came: s.Now(), expires: s.Now() + class.Deadline, op: op}
	c.asked[q.id] = q
	c.sent++
	s.out.Requests++
	s.point().Asked++
	if c.p != nil {
		s.choose(c, q)
		return
	}
	if s.r.Probes != nil {
		s.probed(c, q)
		return
	}
	decide := func() {
		s.module(c, balancer.Request{ID: q.id, Class: class.Name, Deadline: q.expires, CostHint: s.hint(q)})
	}
	if c.probe != nil {
		if names := c.probe.Targets(s.Now()); len(names) > 0 {
			s.probe(c, names, decide)
			return
		}
	}
	decide()
}

// rate is the multiple of Run.Rate now.
func (s *sim) rate() float64 {
	of := 1.0
	for _, x := range s.r.Steps {
		if x.At <= s.Since() {
			of = x.Rate
		}
	}
	return of
}

// ended tells a client of its request's end.
func (s *sim) ended(c *sidecar, q *request, end *int, retryIn time.Duration) {
	op := q.op
	p := s.point()
	switch end {
	case &s.out.Served:
		p.Served++
		p.Done++
		s.out.Done++
		took := s.Now() - op.came
		if p.latencies != nil {
			_ = p.latencies.RecordValue(max(1, took.Microseconds())) // it is within the bounds
		}
		return
	case &s.out.Refused:
		p.Refused++
	default:
		p.Failed++
	}
	safe := s.r.Settings.Classes[op.class].Idempotency == balancer.Idempotent
	if op.tries >= s.r.Clients.Tries || end != &s.out.Refused && !safe {
		return
	}
	op.tries++
	op.wait = max(s.r.Clients.Wait, 2*op.wait)
	wait := op.wait
	if s.r.Clients.Heed {
		wait = max(wait, retryIn)
	}
	s.After(wait, func() { s.request(c, op) })
}

// hint is what the module is told of a request's work.
func (s *sim) hint(q *request) time.Duration {
	if s.r.Hints {
		return q.work
	}
	return 0
}
