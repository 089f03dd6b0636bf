package discovery

import (
	"context"
	"math"
	"sync"
	"time"

	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
)

const (
	rateInterval = time.Second      // time between two samples of the request rate
	rateWindow   = 10 * time.Second // time constant of the rate's moving average
)

// SubsetSink is a Sink that forwards only this process's subset of the endpoints to a RegistrySink. It stores the complete list. Run
// measures the request rate, which determines the size of the subset. SubsetSink is safe for concurrent use.
type SubsetSink struct {
	next     *RegistrySink
	requests func() int64 // returns the number of requests sent so far

	mu      sync.Mutex
	subset  *subset.Subset
	list    receivedList
	timer   *time.Timer // calls tick when subset.Next is due
	stopped bool
}

var _ Sink = (*SubsetSink)(nil)

// NewSubsetSink returns a SubsetSink. The function requests returns the number of requests sent so far.
func NewSubsetSink(s *subset.Subset, next *RegistrySink, requests func() int64) *SubsetSink {
	sink := &SubsetSink{next: next, requests: requests, subset: s}
	sink.timer = time.AfterFunc(time.Hour, sink.tick)
	sink.timer.Stop()
	return sink
}

// Load applies the initial list and returns this process's subset of it. Load does not forward the subset to the RegistrySink.
func (s *SubsetSink) Load(l *endpoints.List) *endpoints.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.apply(l)
	version := s.list.version
	own := &endpoints.List{Index: &version, Snapshot: true}
	if change := s.subset.Update(time.Now(), l); change != nil {
		own.Endpoints = change.Endpoints
	}
	return own
}

// Last returns the complete list as last received, as a snapshot.
func (s *SubsetSink) Last() *endpoints.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.snapshot()
}

// Size returns the number of endpoints in this process's subset, and the number of listed endpoints.
func (s *SubsetSink) Size() (own, listed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.subset.Size()
}

// Update applies a snapshot or an incremental change and forwards the changes of the subset. It also reports that the list is current, even
// if the subset does not change.
func (s *SubsetSink) Update(l *endpoints.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.apply(l)
	s.forward(s.subset.Update(time.Now(), l))
	s.next.Current()
}

// Current forwards the report that the list is current.
func (s *SubsetSink) Current() { s.next.Current() }

// Lost forwards the report that the list is lost.
func (s *SubsetSink) Lost(err error, retries bool) { s.next.Lost(err, retries) }

// forward reports a change of the subset, which may be nil, to the next sink and sets the timer; the caller holds mu.
func (s *SubsetSink) forward(change *endpoints.List) {
	if change != nil {
		version := s.list.version
		change.Index = &version
		s.next.Update(change)
	}
	if next := s.subset.Next(); !next.IsZero() && !s.stopped {
		s.timer.Reset(max(0, time.Until(next)))
	}
}

func (s *SubsetSink) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.forward(s.subset.Tick(time.Now()))
	}
}

// Run measures the request rate and adjusts the size of the subset to it until ctx is done.
func (s *SubsetSink) Run(ctx context.Context) {
	ticker := time.NewTicker(rateInterval)
	defer ticker.Stop()
	rate, last, sampledAt := 0.0, s.requests(), time.Now()
	s.mu.Lock()
	s.forward(nil) // only sets the timer
	s.mu.Unlock()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.stop()
			return
		}
		now, requests := time.Now(), s.requests()
		elapsed := now.Sub(sampledAt)
		weight := 1 - math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
		rate += weight * (float64(requests-last)/elapsed.Seconds() - rate)
		last, sampledAt = requests, now
		s.mu.Lock()
		s.forward(s.subset.Rate(now, rate))
		s.mu.Unlock()
	}
}

func (s *SubsetSink) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
