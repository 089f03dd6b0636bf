package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
)

// choose has a Policy pick a node for a request.
func (s *sim) choose(c *sidecar, q *request) {
	name := c.p.Pick(s.Now())
	if name == "" || s.byName[name] == nil {
		s.answer(c, q.id, &s.out.Refused, 0)
		return
	}
	c.p.Sent(s.Now(), name)
	s.send(c, balancer.Action{ID: q.id, Upstream: name})
	for _, name := range c.p.Probe() {
		n := s.byName[name]
		s.out.Probes++
		if !n.up || c.cut(n) || n.has(Freeze) != nil {
			continue
		}
		n.owed += probeWork
		s.After(wire, func() {
			if n.up {
				c.p.Probed(s.Now(), ProbeReply{name, n.latency(), n.report(s.Now())})
			}
		})
	}
}

// chosen tells a Policy how a send ended, and tries again where that is harmless: alike for all policies.
func (s *sim) chosen(c *sidecar, q *request, a *attempt, r balancer.Result) {
	x := Done{Name: a.node.name, Took: s.Now() - a.sent, Result: r}
	if r == balancer.OK {
		x.Report = a.node.report(s.Now())
	}
	c.p.Done(s.Now(), x)
	if q.done {
		return
	}
	unrun := r == balancer.Rejected || r == balancer.ConnectFailed
	safe := s.r.Settings.Classes[q.op.class].Idempotency == balancer.Idempotent
	switch {
	case s.Now() < q.expires && len(q.attempts) < s.r.Tries && (unrun || safe):
		s.choose(c, q)
	case unrun && len(q.attempts) == 1:
		s.answer(c, q.id, &s.out.Refused, 0)
	default:
		s.answer(c, q.id, &s.out.Failed, 0)
	}
}

// after has an answer come to a sidecar, unless a cut is between them then.
func (s *sim) after(d time.Duration, a *attempt, r balancer.Result) {
	s.After(d, func() {
		if !a.by.cut(a.node) {
			s.outcome(a, r)
		}
	})
}

// ran counts that a request ran to its end.
func (s *sim) ran(a *attempt) {
	if a.of.ran++; a.of.ran == 2 && s.r.Settings.Classes[a.of.op.class].Idempotency == balancer.NonIdempotent {
		s.broken("an unsafe request ran twice")
	}
}

// worked counts a node's work, for its reports and the interval.
func (s *sim) worked(n *node, took time.Duration) {
	s.point().busy += took
	n.roll(s.Now())
	n.busyTime += took
	n.answers++
}

// recent latencies of a number in hand.
type recentLatencies struct {
	last [latenciesKept]time.Duration
	n    int
}

const (
	latenciesKept = 8
	mostInHand    = 64 // beyond, as this
)

// keepLatency notes how long a request took that found so many in hand.
func (n *node) keepLatency(found int, took time.Duration) {
	if n.latencies == nil {
		n.latencies = make([]recentLatencies, mostInHand)
	}
	r := &n.latencies[min(found, mostInHand-1)]
	r.last[r.n%latenciesKept] = took
	r.n++
}

// latency is what a request takes with as many in hand as now, as Prequal's servers tell it: the median of the last ones that found as many, or
// nearly as many, there.
func (n *node) latency() time.Duration {
	now := min(n.inHand(), mostInHand-1)
	for off := range len(n.latencies) {
		for _, i := range []int{now - off, now + off} {
			if i >= 0 && i < len(n.latencies) && n.latencies[i].n > 0 {
				r := n.latencies[i]
				x := slices.Sorted(slices.Values(r.last[:min(r.n, latenciesKept)]))
				return x[len(x)/2]
			}
		}
	}
	return 0
}

// roll takes a second's counts over into the report.
func (n *node) roll(now time.Duration) {
	if passed := now - n.busyFrom; passed >= time.Second {
		n.util.Utilization, n.util.Rate = min(1, n.busyTime.Seconds()/passed.Seconds()), float64(n.answers)/passed.Seconds()
		n.busyFrom, n.busyTime, n.answers = now, 0, 0
	}
}

func (n *node) report(now time.Duration) Report {
	n.roll(now)
	r := n.util
	r.InHand = n.inHand()
	return r
}
