package fleetsim

import (
	"slices"
	"time"
)

// sum makes the result of what was counted.
func (s *sim) sum() {
	o := &s.out
	most, total, up := time.Duration(0), time.Duration(0), 0
	for _, n := range s.nodes {
		if n.asked > 0 {
			o.Asked++
		}
		o.MostNode = max(o.MostNode, float64(n.top))
		if !n.restarted && !n.fallen {
			most, total, up = max(most, n.work), total+n.work, up+1
		}
	}
	if total > 0 {
		o.Spread = float64(most) * float64(up) / float64(total)
	}
	if s.openN > 0 {
		o.OpenNode = s.openSum / float64(s.openN)
	}
	for _, c := range s.sidecars {
		o.OpenSidecar = max(o.OpenSidecar, c.top)
		if c.s != nil {
			own, _ := c.s.Size()
			o.Own += float64(own) / float64(len(s.sidecars))
		} else {
			o.Own = float64(len(s.nodes))
		}
	}
	slices.Sort(s.took)
	if n := len(s.took); n > 0 {
		o.P50, o.P99 = s.took[n/2], s.took[n*99/100]
	}
}
