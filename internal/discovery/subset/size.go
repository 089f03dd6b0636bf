package subset

import (
	"time"

	"orchiddrift/internal/endpoints"
)

const (
	// connectionsPerMember is how many connections each member may have on average: the bound on connections allows so many times fewer
	// members.
	connectionsPerMember = 5
	// startupPeriod is how long after the first list a larger size is taken at once, since the request rate was not known before.
	startupPeriod = 10 * time.Second
)

// maxSize returns the upper bound of the size.
func maxSize(o Options, maxConnections int) int {
	return max(1, min(o.MaxSize, maxConnections/connectionsPerMember))
}

// Rate takes the request rate and returns what changes in the subset; nil: nothing.
//
// The size is MinSize, doubled while the requests within SampleInterval are more, so that each member is used about that often and
// sidecars with similar rates have the same size. Another size is taken once it has been called for during GrowDelay, or ShrinkDelay for
// a smaller one; a larger one at once during startupPeriod.
func (s *Subset) Rate(now time.Time, requestsPerSecond float64) *endpoints.List {
	wanted := s.sizeFor(requestsPerSecond)
	if wanted == s.size {
		s.wantedSize, s.wantedSince = wanted, time.Time{}
		return s.Tick(now)
	}
	if (wanted > s.size) != (s.wantedSize > s.size) || s.wantedSince.IsZero() {
		s.wantedSince = now
	}
	s.wantedSize = wanted
	if now.Sub(s.wantedSince) < s.resizeDelay(now) {
		return s.Tick(now)
	}
	s.size, s.wantedSince = wanted, time.Time{}
	return s.choose(now)
}

// sizeFor returns the size that a request rate calls for.
func (s *Subset) sizeFor(requestsPerSecond float64) int {
	size := s.options.MinSize
	for float64(size) < requestsPerSecond*s.options.SampleInterval.D().Seconds() && size < s.maxSize {
		size *= 2
	}
	return min(size, s.maxSize)
}

// resizeDelay returns how long wantedSize has to be called for until it is taken.
func (s *Subset) resizeDelay(now time.Time) time.Duration {
	switch {
	case s.wantedSize < s.size:
		return s.options.ShrinkDelay.D()
	case now.Sub(s.firstListAt) < startupPeriod:
		return 0
	}
	return s.options.GrowDelay.D()
}
