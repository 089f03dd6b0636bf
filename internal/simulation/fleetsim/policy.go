package fleetsim

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
)

// LoadReport is the load report that a node sends with each answer.
type LoadReport struct {
	InFlight    int
	Utilization float64 // utilization of the node's core in the last second
	Rate        float64 // answers per second in the last second
}

// Policy chooses nodes in place of the balancer, so that both can be compared. The simulation retries for policies, by the same rule for
// all of them (Run.MaxAttempts). A Policy belongs to one sidecar and is called only from the simulation's goroutine.
type Policy interface {
	SetUpstreams(names []string)                   // replaces the set of active nodes
	Pick(now time.Duration) string                 // returns the chosen node, or "" if there is no node
	Sent(now time.Duration, name string)           // reports that an attempt is sent to the chosen node
	Done(now time.Duration, result AttemptResult)  // reports the result of an attempt, exactly once for each call of Sent
	ProbeTargets() []string                        // returns the nodes to probe after a call of Pick, or nil for none
	ProbeAnswered(now time.Duration, r ProbeReply) // reports the answer to a probe, at most once for each probe
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Name    string
	Latency time.Duration
	Result  balancer.Result
	Report  LoadReport // set if Result is balancer.OK
}

// ProbeReply is a node's answer to a probe.
type ProbeReply struct {
	Name    string
	Latency time.Duration // latency that the node expects at its current number in flight
	Report  LoadReport
}

// Policies maps the names of policies in experiments to constructors. A constructor takes the sidecar's source of random numbers.
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

// pickUpstream sends the next attempt of a request to the node that the sidecar's Policy picks. It then probes the nodes that the Policy
// returns from ProbeTargets.
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

// policyAttemptEnded passes the result of an attempt to a Policy. It retries the request if the attempt was not executed or the request
// is idempotent.
func (s *simulation) policyAttemptEnded(sc *sidecar, req *request, a *attempt, result balancer.Result) {
	outcome := AttemptResult{Name: a.node.name, Latency: s.Now() - a.sentAt, Result: result}
	if result == balancer.OK {
		outcome.Report = a.node.currentReport(s.Now())
	}
	sc.policy.Done(s.Now(), outcome)
	if req.done {
		return
	}
	notExecuted := result == balancer.Rejected || result == balancer.ConnectFailed
	idempotent := s.run.Settings.Classes[req.operation.class].Idempotency == balancer.Idempotent
	switch {
	case s.Now() < req.deadline && len(req.attempts) < s.run.MaxAttempts && (notExecuted || idempotent):
		s.pickUpstream(sc, req)
	case notExecuted && len(req.attempts) == 1:
		s.finishRequest(sc, req.id, &s.result.Rejected, 0)
	default:
		s.finishRequest(sc, req.id, &s.result.Failed, 0)
	}
}
