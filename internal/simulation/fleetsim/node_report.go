package fleetsim

import (
	"slices"
	"time"
)

// recordServiceTime counts a node's work, for its reports and the interval.
func (s *simulation) recordServiceTime(n *node, took time.Duration) {
	s.currentPoint().busyTime += took
	n.rollReport(s.Now())
	n.busyInReport += took
	n.answersInReport++
}

// recent latencies of a number in hand.
type latencyRing struct {
	last  [latencyRingSize]time.Duration
	count int
}

const (
	latencyRingSize  = 8
	latencyRingCount = 64 // beyond, as this
)

// recordLatency notes how long a request took that found so many in hand.
func (n *node) recordLatency(found int, took time.Duration) {
	if n.latenciesByInFlight == nil {
		n.latenciesByInFlight = make([]latencyRing, latencyRingCount)
	}
	r := &n.latenciesByInFlight[min(found, latencyRingCount-1)]
	r.last[r.count%latencyRingSize] = took
	r.count++
}

// expectedLatency is what a request takes with as many in hand as now, as Prequal's servers tell it: the median of the last ones that found as many, or
// nearly as many, there.
func (n *node) expectedLatency() time.Duration {
	now := min(n.inFlight(), latencyRingCount-1)
	for off := range len(n.latenciesByInFlight) {
		for _, i := range []int{now - off, now + off} {
			if i >= 0 && i < len(n.latenciesByInFlight) && n.latenciesByInFlight[i].count > 0 {
				r := n.latenciesByInFlight[i]
				x := slices.Sorted(slices.Values(r.last[:min(r.count, latencyRingSize)]))
				return x[len(x)/2]
			}
		}
	}
	return 0
}

// rollReport takes a second's counts over into the report.
func (n *node) rollReport(now time.Duration) {
	if passed := now - n.reportSince; passed >= time.Second {
		n.lastReport.Utilization, n.lastReport.Rate = min(1, n.busyInReport.Seconds()/passed.Seconds()), float64(n.answersInReport)/passed.Seconds()
		n.reportSince, n.busyInReport, n.answersInReport = now, 0, 0
	}
}

func (n *node) currentReport(now time.Duration) LoadReport {
	n.rollReport(now)
	r := n.lastReport
	r.InFlight = n.inFlight()
	return r
}
