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

// latencyRing is a ring buffer of the latest latencies of a node. All of its attempts found the same number of attempts in flight at the
// node when they arrived.
type latencyRing struct {
	last  [latencyRingSize]time.Duration
	count int
}

const (
	latencyRingSize  = 8
	latencyRingCount = 64 // number of rings of a node; all higher numbers in flight use the last ring
)

// recordLatency records the latency of an attempt. inFlight is the number in flight at the node when the attempt arrived.
func (n *node) recordLatency(inFlight int, latency time.Duration) {
	if n.latenciesByInFlight == nil {
		n.latenciesByInFlight = make([]latencyRing, latencyRingCount)
	}
	r := &n.latenciesByInFlight[min(inFlight, latencyRingCount-1)]
	r.last[r.count%latencyRingSize] = latency
	r.count++
}

// expectedLatency returns the latency that a Prequal server reports: the median of the latest latencies at the current number in flight. If
// none are recorded for this number, it uses the nearest number with latencies. It returns 0 if there are no latencies at all.
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

// rollReport starts a new interval of the load report if the current one has lasted a second.
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
