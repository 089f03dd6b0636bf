package fleetsim

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// sampleOpenConnections samples the number of open connections of the nodes every sweepPeriod during the second half of
// the run.
func (s *simulation) sampleOpenConnections() {
	s.After(sweepPeriod, func() {
		if s.Since() > s.run.Length/2 {
			for _, n := range s.nodes {
				s.openConnectionSum += float64(n.openConnections)
				s.openConnectionSamples++
			}
		}
		s.sampleOpenConnections()
	})
}

// currentPoint returns the Point of the current interval. When a new interval begins, it completes the previous Point.
func (s *simulation) currentPoint() *Point {
	if s.run.Interval == 0 {
		return &s.discardedPoint
	}
	at := s.Since() / s.run.Interval * s.run.Interval
	if n := len(s.result.Points); n == 0 || s.result.Points[n-1].At != at {
		s.closePoint()
		s.result.Points = append(s.result.Points, Point{At: at, latencies: hdr.New(1, int64(time.Hour/time.Microsecond), 3)})
	}
	return &s.result.Points[len(s.result.Points)-1]
}

// closePoint computes the latencies and the utilization of the last Point.
func (s *simulation) closePoint() {
	if len(s.result.Points) == 0 {
		return
	}
	p := &s.result.Points[len(s.result.Points)-1]
	if p.latencies.TotalCount() > 0 {
		p.P50, p.P99 = time.Duration(p.latencies.ValueAtPercentile(50))*time.Microsecond, time.Duration(p.latencies.ValueAtPercentile(99))*time.Microsecond
	}
	p.latencies = nil
	up := 0
	for _, n := range s.nodes {
		if n.up {
			up++
		}
	}
	p.Utilization = p.busyTime.Seconds() / s.run.Interval.Seconds() / max(1, float64(up))
}
