package subset

import (
	"time"

	"orchiddrift/internal/endpoints"
)

const (
	// connectionsPerMember is the average number of connections that each member may have. The size is at most the maximum number of
	// connections divided by connectionsPerMember.
	connectionsPerMember = 5
	// startupPeriod begins with the first list. During it the subset grows without GrowDelay, since the request rate was unknown before.
	startupPeriod = 10 * time.Second
)

// maxSize returns the upper bound of the size.
func maxSize(o Options, maxConnections int) int {
	return max(1, min(o.MaxSize, maxConnections/connectionsPerMember))
}

// Rate updates the request rate and returns the changes of the subset, or nil if nothing changes.
//
// The size is MinSize, doubled until it is at least the number of requests within SampleInterval. Each member is thus used about once in
// SampleInterval, and sidecars with similar request rates have the same size. The subset grows after the rate has called for a larger size
// for GrowDelay, and shrinks after the rate has called for a smaller size for ShrinkDelay. During startupPeriod it grows at once.
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

// resizeDelay returns how long the request rate has to call for wantedSize before the size changes.
func (s *Subset) resizeDelay(now time.Time) time.Duration {
	switch {
	case s.wantedSize < s.size:
		return s.options.ShrinkDelay.D()
	case now.Sub(s.firstListAt) < startupPeriod:
		return 0
	}
	return s.options.GrowDelay.D()
}
