package fleetsim

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// sample takes the mean of open connections over the second half.
func (s *sim) sample() {
	s.After(sweep, func() {
		if s.Since() > s.r.Length/2 {
			for _, n := range s.nodes {
				s.openSum += float64(n.open)
				s.openN++
			}
		}
		s.sample()
	})
}

// point is the interval that goes on.
func (s *sim) point() *Point {
	if s.r.Series == 0 {
		return &s.none
	}
	at := s.Since() / s.r.Series * s.r.Series
	if n := len(s.out.Points); n == 0 || s.out.Points[n-1].At != at {
		s.closePoint()
		s.out.Points = append(s.out.Points, Point{At: at, latencies: hdr.New(1, int64(time.Hour/time.Microsecond), 3)})
	}
	return &s.out.Points[len(s.out.Points)-1]
}

func (s *sim) closePoint() {
	if len(s.out.Points) == 0 {
		return
	}
	p := &s.out.Points[len(s.out.Points)-1]
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
	p.Utilization = p.busy.Seconds() / s.r.Series.Seconds() / max(1, float64(up))
}
