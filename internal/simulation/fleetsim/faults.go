package fleetsim

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// FaultKind is what befalls nodes.
type FaultKind string

// The kinds.
const (
	Slow     FaultKind = "slow"      // work takes Factor times as long
	Freeze   FaultKind = "freeze"    // nothing is worked on, nothing answered
	Errors   FaultKind = "errors"    // an error at once: it ran
	TurnAway FaultKind = "turn away" // turned away at once: it did not run
	Crash    FaultKind = "crash"     // gone without a word, and back cold; the list tells late
	Deploy   FaultKind = "deploy"    // drained one after another, and back cold
	Cut      FaultKind = "cut"       // a zone reaches the others no more, nor they it
	Lost     FaultKind = "lost"      // a zone's machines vanish and say nothing; back cold, and the list tells late of both
)

// FaultKinds are all.
var FaultKinds = []FaultKind{Slow, Freeze, Errors, TurnAway, Crash, Deploy, Cut, Lost, Kill}

// Fault is what befalls a part of the nodes for a time.
type Fault struct {
	Kind   FaultKind
	At     time.Duration // since the run's begin
	For    time.Duration // Deploy: in which all of them are drained; Crash: how long each is away
	Part   float64       // of all nodes, drawn by chance; Cut, Lost: Zone's nodes
	Zone   int
	Factor float64 // of Slow
}

// Zonal tells whether a kind befalls a zone's nodes, and not a part of all.
func (k FaultKind) Zonal() bool { return k == Cut || k == Lost }

// Step is a rate from a time on, as a multiple of Run.Rate.
type Step struct {
	At   time.Duration
	Rate float64
}

// Clients is what clients do on their own: they ask again where they were refused, or failed and it is safe.
type Clients struct {
	Tries int           // after the first
	Wait  time.Duration // before each, doubled, where no time was named
	Heed  bool          // they wait as long as a refusal says
}

// Point is what came in an interval of Run.Series.
type Point struct {
	At                             time.Duration
	Asked, Served, Refused, Failed int // requests
	Operations, Done               int // as clients see them: begun, and served after however many requests
	Sends                          int
	P50, P99                       time.Duration
	Utilization                    float64 // mean of the nodes that are up
	latencies                      *hdr.Histogram
	busy                           time.Duration
}

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

func (s *sim) faults() {
	for _, f := range s.r.Faults {
		if f.Kind == Kill {
			s.kills(f)
			continue
		}
		var of []*node
		if f.Kind.Zonal() {
			for _, n := range s.nodes {
				if n.index%s.r.Zones == f.Zone {
					of = append(of, n)
				}
			}
		} else {
			for _, i := range s.rng.Perm(len(s.nodes))[:int(f.Part*float64(len(s.nodes))+0.5)] {
				of = append(of, s.nodes[i])
			}
		}
		for i, n := range of {
			n.restarted = n.restarted || f.Kind == Crash || f.Kind == Deploy || f.Kind == Lost
			switch f.Kind {
			case Crash, Lost:
				s.After(f.At, func() { s.crash(n, f.For, f.Kind == Lost) })
			case Deploy:
				s.After(f.At+f.For*time.Duration(i)/time.Duration(len(of)), func() { s.deploy(n) })
			default:
				s.After(f.At, func() { n.faults = append(n.faults, &f) })
				s.After(f.At+f.For, func() {
					n.faults = slices.DeleteFunc(n.faults, func(x *Fault) bool { return x == &f })
					s.work(n)
				})
			}
		}
	}
}

func (n *node) has(k FaultKind) *Fault {
	for _, f := range n.faults {
		if f.Kind == k {
			return f
		}
	}
	return nil
}

// cut tells whether a sidecar does not reach a node.
func (c *sidecar) cut(n *node) bool {
	return c.zone != n.zone && (n.has(Cut) != nil || c.home.has(Cut) != nil)
}

func (s *sim) crash(n *node, away time.Duration, silent bool) {
	if !n.up {
		return
	}
	n.silent = silent
	s.stop(n)
	s.After(crashTold, func() {
		if !n.up {
			s.announce(n, endpoints.StatusGone)
		}
	})
	s.After(max(away, crashTold+toldMost), func() { s.start(n) })
}

func (s *sim) deploy(n *node) {
	if !n.up {
		return
	}
	s.announce(n, endpoints.StatusTerminating)
	s.After(toldMost+time.Second, func() {
		s.stop(n)
		s.announce(n, endpoints.StatusGone)
		s.After(s.r.Down, func() { s.start(n) })
	})
}

func (s *sim) start(n *node) {
	if n.up || n.fallen {
		return
	}
	n.up, n.silent, n.started = true, false, s.Now()
	s.announce(n, endpoints.StatusReady)
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

// point is the interval that goes on.
func (s *sim) point() *Point {
	if s.r.Series == 0 {
		return &s.none
	}
	at := s.Since() / s.r.Series * s.r.Series
	if n := len(s.out.Points); n == 0 || s.out.Points[n-1].At != at {
		s.closePoint()
		s.out.Points = append(s.out.Points, Point{At: at, latencies: hdr.New(1, int64(time.Hour/time.Microsecond), 3)})
	}
	return &s.out.Points[len(s.out.Points)-1]
}

func (s *sim) closePoint() {
	if len(s.out.Points) == 0 {
		return
	}
	p := &s.out.Points[len(s.out.Points)-1]
	if p.latencies.TotalCount() > 0 {
		p.P50, p.P99 = time.Duration(p.latencies.ValueAtPercentile(50))*time.Microsecond, time.Duration(p.latencies.ValueAtPercentile(99))*time.Microsecond
	}
	p.latencies = nil
	up := 0
	for _, n := range s.nodes {
		if n.up {
			up++
		}
	}
	p.Utilization = p.busy.Seconds() / s.r.Series.Seconds() / max(1, float64(up))
}

// operation is what a client wants, over however many requests.
type operation struct {
	class int
	work  time.Duration
	came  time.Duration
	tries int
	wait  time.Duration
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
