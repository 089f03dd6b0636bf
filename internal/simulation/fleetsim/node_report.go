package fleetsim

import (
	"slices"
	"time"
)

// recordServiceTime counts a completed attempt in the node's load report and in the current Point.
func (s *simulation) recordServiceTime(n *node, serviceTime time.Duration) {
	s.currentPoint().busyTime += serviceTime
	n.rollReport(s.Now())
	n.busyInReport += serviceTime
	n.answersInReport++
}

// latencyRing holds the latest latencies of attempts that arrived at the same number in flight.
type latencyRing struct {
	last  [latencyRingSize]time.Duration
	count int
}

const (
	latencyRingSize  = 8
	latencyRingCount = 64 // rings of a node; higher numbers in flight share the last ring
)

// recordLatency records the latency of an attempt by the number in flight at its arrival.
func (n *node) recordLatency(inFlight int, latency time.Duration) {
	if n.latenciesByInFlight == nil {
		n.latenciesByInFlight = make([]latencyRing, latencyRingCount)
	}
	r := &n.latenciesByInFlight[min(inFlight, latencyRingCount-1)]
	r.last[r.count%latencyRingSize] = latency
	r.count++
}

// expectedLatency returns the latency that a Prequal server reports: the median of the last latencies at the current number in flight, or at
// the nearest number with recorded latencies; 0 if there are none.
func (n *node) expectedLatency() time.Duration {
	current := min(n.inFlight(), latencyRingCount-1)
	for distance := range len(n.latenciesByInFlight) {
		for _, i := range []int{current - distance, current + distance} {
			if i >= 0 && i < len(n.latenciesByInFlight) && n.latenciesByInFlight[i].count > 0 {
				ring := n.latenciesByInFlight[i]
				sorted := slices.Sorted(slices.Values(ring.last[:min(ring.count, latencyRingSize)]))
				return sorted[len(sorted)/2]
			}
		}
	}
	return 0
}

// rollReport starts a new interval of the load report once a second.
func (n *node) rollReport(now time.Duration) {
	if elapsed := now - n.reportSince; elapsed >= time.Second {
		n.lastReport.Utilization, n.lastReport.Rate = min(1, n.busyInReport.Seconds()/elapsed.Seconds()), float64(n.answersInReport)/elapsed.Seconds()
		n.reportSince, n.busyInReport, n.answersInReport = now, 0, 0
	}
}

// currentReport returns the node's load report with the current number in flight.
func (n *node) currentReport(now time.Duration) LoadReport {
	n.rollReport(now)
	report := n.lastReport
	report.InFlight = n.inFlight()
	return report
}
