package fleetsim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"orchiddrift/balancer"
)

// weightedRoundRobin is gRPC's weighted_round_robin (proposal A58). A node's weight is its reported rate divided by its reported utilization,
// to which a penalty for errors is added. Weights are updated each second, and a node without a weight counts with the mean weight. Each node
// has a deadline, which a pick advances by an amount inversely proportional to the node's weight. The node with the earliest deadline is
// picked.
type weightedRoundRobin struct {
	upstreamSet
	weights    map[string]*weight
	updatedAt  time.Duration
	meanWeight float64
}

type weight struct {
	value, nextDeadline float64
	successes, failures float64
	rate, utilization   float64
}

const (
	weightUpdatePeriod = time.Second
	errorPenalty       = 1.0 // amount added to the utilization of a node if all of its attempts fail
)

func (p *weightedRoundRobin) SetUpstreams(names []string) {
	p.upstreamSet.SetUpstreams(names)
	old := p.weights
	p.weights = map[string]*weight{}
	earliest := math.Inf(1) // new nodes start near the earliest deadline, so that they are not picked for missed turns
	for _, w := range old {
		earliest = min(earliest, w.nextDeadline)
	}
	if len(old) == 0 {
		earliest = 0
	}
	for _, name := range p.names {
		w := old[name]
		if w == nil {
			w = &weight{nextDeadline: earliest + p.rng.Float64()}
		}
		p.weights[name] = w
	}
}

func (p *weightedRoundRobin) Done(_ time.Duration, outcome AttemptResult) {
	w := p.weights[outcome.Name]
	if w == nil {
		return
	}
	if outcome.Result == balancer.OK {
		w.successes++
		w.rate, w.utilization = outcome.Report.Rate, outcome.Report.Utilization
	} else {
		w.failures++
	}
}

func (p *weightedRoundRobin) Pick(now time.Duration) string {
	if len(p.names) == 0 {
		return ""
	}
	if now-p.updatedAt >= weightUpdatePeriod {
		p.updatedAt = now
		sum, weighted := 0.0, 0
		for _, name := range p.names {
			w := p.weights[name]
			if total := w.successes + w.failures; total > 0 && w.rate > 0 && w.utilization > 0 {
				w.value = w.rate / (w.utilization + errorPenalty*w.failures/total)
			}
			if w.successes, w.failures = 0, 0; w.value > 0 {
				sum, weighted = sum+w.value, weighted+1
			}
		}
		p.meanWeight = sum / max(1, float64(weighted))
	}
	next := slices.MinFunc(p.names, func(a, b string) int { return cmp.Compare(p.weights[a].nextDeadline, p.weights[b].nextDeadline) })
	w := p.weights[next]
	effective := w.value
	if effective == 0 {
		effective = max(p.meanWeight, 1)
	}
	w.nextDeadline += max(p.meanWeight, 1) / effective
	return next
}
