package fleetsim

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
)

// Report is what a node tells of itself with each answer.
type Report struct {
	InHand      int
	Utilization float64 // of its core, over the last second
	Rate        float64 // answers a second, over that
}

// Policy chooses nodes in place of the module, in comparisons. It retries nothing by itself: that is the simulation's, alike for all
// (Run.Tries). It need not be safe for concurrent use.
type Policy interface {
	Members(names []string)                 // all that may be picked now
	Pick(now time.Duration) string          // "": none
	Sent(now time.Duration, name string)    // what was picked
	Done(now time.Duration, x Done)         // each that was sent has one
	Probe() []string                        // whom to ask for a Report now; most never do
	Probed(now time.Duration, x ProbeReply) // what came of that
}

// Done is how a send ended.
type Done struct {
	Name   string
	Took   time.Duration
	Result balancer.Result
	Report Report // of OK
}

// ProbeReply is a node's answer to a probe.
type ProbeReply struct {
	Name    string
	Latency time.Duration // what requests take there now
	Report  Report
}

// Policies are those that experiments name, each made from a sidecar's own chance.
var Policies = map[string]func(rng *rand.Rand) Policy{
	"random":               func(rng *rand.Rand) Policy { return &random{members{rng: rng}} },
	"round robin":          func(rng *rand.Rand) Policy { return &roundRobin{members{rng: rng}, rng.IntN(1 << 20)} },
	"least of two":         func(rng *rand.Rand) Policy { return &leastOfTwo{pending{members{rng: rng}, map[string]int{}}} },
	"weighted round robin": func(rng *rand.Rand) Policy { return &weighted{members: members{rng: rng}} },
	"peak ewma": func(rng *rand.Rand) Policy {
		return &peakEWMA{pending{members{rng: rng}, map[string]int{}}, map[string]*ewma{}}
	},
	"prequal": func(rng *rand.Rand) Policy { return &prequal{members: members{rng: rng}} },
}

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
