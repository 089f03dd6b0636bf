package fleetsim

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
)

// LoadReport is what a node tells of itself with each answer.
type LoadReport struct {
	InFlight    int
	Utilization float64 // of its core, over the last second
	Rate        float64 // answers a second, over that
}

// Policy chooses nodes in place of the module, in comparisons. It retries nothing by itself: that is the simulation's, alike for all
// (Run.MaxAttempts). It need not be safe for concurrent use.
type Policy interface {
	SetUpstreams(names []string)                   // all that may be picked now
	Pick(now time.Duration) string                 // "": none
	Sent(now time.Duration, name string)           // what was picked
	Done(now time.Duration, x AttemptResult)       // each that was sent has one
	ProbeTargets() []string                        // whom to ask for a Report now; most never do
	ProbeAnswered(now time.Duration, x ProbeReply) // what came of that
}

// AttemptResult is how a send ended.
type AttemptResult struct {
	Name    string
	Latency time.Duration
	Result  balancer.Result
	Report  LoadReport // of OK
}

// ProbeReply is a node's answer to a probe.
type ProbeReply struct {
	Name    string
	Latency time.Duration // what requests take there now
	Report  LoadReport
}

// Policies are those that experiments name, each made from a sidecar's own chance.
var Policies = map[string]func(rng *rand.Rand) Policy{
	"random":               func(rng *rand.Rand) Policy { return &random{upstreamSet{rng: rng}} },
	"round robin":          func(rng *rand.Rand) Policy { return &roundRobin{upstreamSet{rng: rng}, rng.IntN(1 << 20)} },
	"least of two":         func(rng *rand.Rand) Policy { return &leastOfTwo{leastPending{upstreamSet{rng: rng}, map[string]int{}}} },
	"weighted round robin": func(rng *rand.Rand) Policy { return &weightedRoundRobin{upstreamSet: upstreamSet{rng: rng}} },
	"peak ewma": func(rng *rand.Rand) Policy {
		return &peakEWMA{leastPending{upstreamSet{rng: rng}, map[string]int{}}, map[string]*ewma{}}
	},
	"prequal": func(rng *rand.Rand) Policy { return &prequal{upstreamSet: upstreamSet{rng: rng}} },
}

// pickUpstream has a Policy pick a node for a request.
func (s *simulation) pickUpstream(sc *sidecar, req *request) {
	name := sc.policy.Pick(s.Now())
	if name == "" || s.byName[name] == nil {
		s.finishRequest(sc, req.id, &s.result.Rejected, 0)
		return
	}
	sc.policy.Sent(s.Now(), name)
	s.sendAttempt(sc, balancer.Action{ID: req.id, Upstream: name})
	for _, name := range sc.policy.ProbeTargets() {
		n := s.byName[name]
		s.result.Probes++
		if !n.up || sc.partitionedFrom(n) || n.fault(Freeze) != nil {
			continue
		}
		n.probeWork += probeServiceTime
		s.After(networkRoundTrip, func() {
			if n.up {
				sc.policy.ProbeAnswered(s.Now(), ProbeReply{name, n.expectedLatency(), n.currentReport(s.Now())})
			}
		})
	}
}

// policyAttemptEnded tells a Policy how a send ended, and tries again where that is harmless: alike for all policies.
func (s *simulation) policyAttemptEnded(sc *sidecar, req *request, a *attempt, result balancer.Result) {
	outcome := AttemptResult{Name: a.node.name, Latency: s.Now() - a.sentAt, Result: result}
	if result == balancer.OK {
		outcome.Report = a.node.currentReport(s.Now())
	}
	sc.policy.Done(s.Now(), outcome)
	if req.done {
		return
	}
	unrun := result == balancer.Rejected || result == balancer.ConnectFailed
	safe := s.run.Settings.Classes[req.operation.class].Idempotency == balancer.Idempotent
	switch {
	case s.Now() < req.deadline && len(req.attempts) < s.run.MaxAttempts && (unrun || safe):
		s.pickUpstream(sc, req)
	case unrun && len(req.attempts) == 1:
		s.finishRequest(sc, req.id, &s.result.Rejected, 0)
	default:
		s.finishRequest(sc, req.id, &s.result.Failed, 0)
	}
}
