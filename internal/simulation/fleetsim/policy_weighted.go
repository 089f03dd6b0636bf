package fleetsim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"orchiddrift/balancer"
)

// weightedRoundRobin is round robin by weights that nodes report: rate over utilization, with errors as more utilization, as in gRPC's proposal A58
// (weighted_round_robin). Weights are updated each second; a node without a weight gets the mean. Picks are scheduled by earliest deadline.
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
	errorPenalty       = 1.0
)

func (p *weightedRoundRobin) SetUpstreams(names []string) {
	p.upstreamSet.SetUpstreams(names)
	old := p.weights
	p.weights = map[string]*weight{}
	first := math.Inf(1) // new nodes start there and do not catch up
	for _, w := range old {
		first = min(first, w.nextDeadline)
	}
	if len(old) == 0 {
		first = 0
	}
	for _, name := range p.names {
		w := old[name]
		if w == nil {
			w = &weight{nextDeadline: first + p.rng.Float64()}
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
		sum, n := 0.0, 0
		for _, name := range p.names {
			w := p.weights[name]
			if all := w.successes + w.failures; all > 0 && w.rate > 0 && w.utilization > 0 {
				w.value = w.rate / (w.utilization + errorPenalty*w.failures/all)
			}
			if w.successes, w.failures = 0, 0; w.value > 0 {
				sum, n = sum+w.value, n+1
			}
		}
		p.meanWeight = sum / max(1, float64(n))
	}
	best := slices.MinFunc(p.names, func(a, b string) int { return cmp.Compare(p.weights[a].nextDeadline, p.weights[b].nextDeadline) })
	w := p.weights[best]
	of := w.value
	if of == 0 {
		of = max(p.meanWeight, 1)
	}
	w.nextDeadline += max(p.meanWeight, 1) / of
	return best
}
