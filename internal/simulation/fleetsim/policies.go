package fleetsim

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
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

// members are the names, and no more.
type members struct {
	rng   *rand.Rand
	names []string
}

func (m *members) Members(names []string)           { m.names = slices.Clone(names) }
func (m *members) Sent(time.Duration, string)       {}
func (m *members) Done(time.Duration, Done)         {}
func (m *members) Probe() []string                  { return nil }
func (m *members) Probed(time.Duration, ProbeReply) {}

func (m *members) any() string {
	if len(m.names) == 0 {
		return ""
	}
	return m.names[m.rng.IntN(len(m.names))]
}

// random picks any.
type random struct{ members }

func (p *random) Pick(time.Duration) string { return p.any() }

// roundRobin picks one after another, from a place of its own.
type roundRobin struct {
	members
	next int
}

func (p *roundRobin) Pick(time.Duration) string {
	if len(p.names) == 0 {
		return ""
	}
	p.next++
	return p.names[p.next%len(p.names)]
}

// pending counts what is in hand.
type pending struct {
	members
	out map[string]int
}

func (p *pending) Sent(_ time.Duration, name string) { p.out[name]++ }
func (p *pending) Done(_ time.Duration, x Done) {
	if p.out[x.Name]--; p.out[x.Name] <= 0 {
		delete(p.out, x.Name)
	}
}

// leastOfTwo picks the one of two with less in hand (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
type leastOfTwo struct{ pending }

func (p *leastOfTwo) Pick(time.Duration) string {
	a, b := p.any(), p.any()
	if p.out[b] < p.out[a] {
		return b
	}
	return a
}

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

// peakEWMA is Finagle's: peak-sensitive EWMA of latency x (in hand + 1), the better of two. No penalty, no ejection: what fails fast looks fast.
type peakEWMA struct {
	pending
	of map[string]*ewma
}

type ewma struct {
	cost float64 // s
	at   time.Duration
}

const peakDecay = 10 * time.Second // Finagle's

func (p *peakEWMA) load(now time.Duration, name string) float64 {
	e := p.of[name]
	if e == nil {
		if p.out[name] == 0 {
			return 0
		}
		return math.MaxFloat32 // not known, and something is there: as in Finagle, by a penalty for a second one
	}
	w := math.Exp(-float64(now-e.at) / float64(peakDecay))
	return e.cost * w * float64(p.out[name]+1)
}

func (p *peakEWMA) Pick(now time.Duration) string {
	a, b := p.any(), p.any()
	if p.load(now, b) < p.load(now, a) {
		return b
	}
	return a
}

func (p *peakEWMA) Done(now time.Duration, x Done) {
	p.pending.Done(now, x)
	e, took := p.of[x.Name], x.Took.Seconds()
	switch {
	case e == nil:
		p.of[x.Name] = &ewma{took, now}
	case took > e.cost:
		*e = ewma{took, now}
	default:
		w := math.Exp(-float64(now-e.at) / float64(peakDecay))
		*e = ewma{e.cost*w + took*(1-w), now}
	}
}

// prequal is Prequal in its asynchronous mode (B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024):
// each request has three random nodes probed for requests in hand and latency; 16 answers at most are kept, for a second; the pick is the
// cold one with the least latency, or if all are hot the one with the least in hand; the worst and the oldest leave in turn.
type prequal struct {
	members
	pool  []kept
	seen  []int // in hand, in the last answers
	worst bool  // the next to leave is the worst
}

type kept struct {
	ProbeReply
	at   time.Duration
	uses int
}

const (
	prequalProbes = 3
	prequalPool   = 16
	prequalAge    = time.Second
	prequalUses   = 2 // about what the paper's formula gives for this pool and these probes
)

func (p *prequal) Members(names []string) {
	p.members.Members(names)
	p.pool = slices.DeleteFunc(p.pool, func(k kept) bool { return !slices.Contains(p.names, k.Name) })
}

func (p *prequal) Probe() []string {
	var names []string
	for range prequalProbes {
		if name := p.any(); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func (p *prequal) Probed(now time.Duration, x ProbeReply) {
	if !slices.Contains(p.names, x.Name) {
		return
	}
	p.seen = append(p.seen[max(0, len(p.seen)-seenProbes+1):], x.Report.InHand)
	if len(p.pool) == prequalPool {
		p.pool = p.pool[1:]
	}
	p.pool = append(p.pool, kept{x, now, 0})
}

// worse orders by the hot-cold rule.
func (p *prequal) worse(hot int) func(a, b kept) int {
	return func(a, b kept) int {
		hotA, hotB := a.Report.InHand > hot, b.Report.InHand > hot
		switch {
		case hotA != hotB && hotA:
			return 1
		case hotA != hotB:
			return -1
		case hotA:
			return cmp.Compare(a.Report.InHand, b.Report.InHand)
		}
		return cmp.Compare(a.Latency, b.Latency)
	}
}

func (p *prequal) Pick(now time.Duration) string {
	p.pool = slices.DeleteFunc(p.pool, func(k kept) bool { return now-k.at > prequalAge || k.uses >= prequalUses })
	if len(p.pool) < 2 {
		return p.any()
	}
	hot := 0
	if len(p.seen) > 0 {
		sorted := slices.Sorted(slices.Values(p.seen))
		hot = sorted[int(hotQuantile*float64(len(sorted)-1))]
	}
	best := 0
	for i := range p.pool {
		if p.worse(hot)(p.pool[i], p.pool[best]) < 0 {
			best = i
		}
	}
	name := p.pool[best].Name
	p.pool[best].uses++
	p.pool[best].Report.InHand++ // the request itself
	if p.worst = !p.worst; p.worst {
		at := 0
		for i := range p.pool {
			if p.worse(hot)(p.pool[i], p.pool[at]) > 0 {
				at = i
			}
		}
		p.pool = slices.Delete(p.pool, at, at+1)
	} else {
		p.pool = p.pool[1:] // the oldest
	}
	return name
}
