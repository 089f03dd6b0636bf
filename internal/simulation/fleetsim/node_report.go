package fleetsim

import (
	"slices"
	"time"
)

// recordServiceTime counts a completed attempt in the node's load report and in the present Point.
func (s *simulation) recordServiceTime(n *node, took time.Duration) {
	s.currentPoint().busyTime += took
	n.rollReport(s.Now())
	n.busyInReport += took
	n.answersInReport++
}

// latencyRing holds the last latencies of attempts that found one number in flight.
type latencyRing struct {
	last  [latencyRingSize]time.Duration
	count int
}

const (
	latencyRingSize  = 8
	latencyRingCount = 64 // rings of a node; higher numbers in flight share the last ring
)

// recordLatency records the latency of an attempt by the number in flight that it found.
func (n *node) recordLatency(found int, took time.Duration) {
	if n.latenciesByInFlight == nil {
		n.latenciesByInFlight = make([]latencyRing, latencyRingCount)
	}
	r := &n.latenciesByInFlight[min(found, latencyRingCount-1)]
	r.last[r.count%latencyRingSize] = took
	r.count++
}

// expectedLatency is the latency that a Prequal server reports: the median of the last latencies at the present number in flight, or at
// the nearest number that has any. 0 means none.
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

// rollReport starts a new interval of the load report once a second.
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
