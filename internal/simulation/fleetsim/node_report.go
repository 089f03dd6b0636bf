package fleetsim

import (
	"slices"
	"time"
)

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
