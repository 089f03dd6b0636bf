package fleetsim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"orchiddrift/balancer"
)

// weighted is round robin by weights that nodes report: rate over utilization, with errors as more utilization, as in gRPC's proposal A58
// (weighted_round_robin). Weights are taken anew each second; a node without one has the mean; it is scheduled by earliest deadline.
type weighted struct {
	members
	of   map[string]*weight
	at   time.Duration
	mean float64
}

type weight struct {
	w, next       float64
	good, bad     float64
	rate, utilize float64
}

const (
	weightEvery  = time.Second
	errorPenalty = 1.0
)

func (p *weighted) Members(names []string) {
	p.members.Members(names)
	old := p.of
	p.of = map[string]*weight{}
	first := math.Inf(1) // a new one is not given what it missed
	for _, w := range old {
		first = min(first, w.next)
	}
	if len(old) == 0 {
		first = 0
	}
	for _, name := range p.names {
		w := old[name]
		if w == nil {
			w = &weight{next: first + p.rng.Float64()}
		}
		p.of[name] = w
	}
}

func (p *weighted) Done(_ time.Duration, x Done) {
	w := p.of[x.Name]
	if w == nil {
		return
	}
	if x.Result == balancer.OK {
		w.good++
		w.rate, w.utilize = x.Report.Rate, x.Report.Utilization
	} else {
		w.bad++
	}
}

func (p *weighted) Pick(now time.Duration) string {
	if len(p.names) == 0 {
		return ""
	}
	if now-p.at >= weightEvery {
		p.at = now
		sum, n := 0.0, 0
		for _, name := range p.names {
			w := p.of[name]
			if all := w.good + w.bad; all > 0 && w.rate > 0 && w.utilize > 0 {
				w.w = w.rate / (w.utilize + errorPenalty*w.bad/all)
			}
			if w.good, w.bad = 0, 0; w.w > 0 {
				sum, n = sum+w.w, n+1
			}
		}
		p.mean = sum / max(1, float64(n))
	}
	best := slices.MinFunc(p.names, func(a, b string) int { return cmp.Compare(p.of[a].next, p.of[b].next) })
	w := p.of[best]
	of := w.w
	if of == 0 {
		of = max(p.mean, 1)
	}
	w.next += max(p.mean, 1) / of
	return best
}
