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
	rateInterval = time.Second      // between two samples of the request rate
	rateWindow   = 10 * time.Second // time constant of its moving average
)

// SubsetSink is the Sink before a RegistrySink that passes on only this process's subset of the endpoints. It keeps the whole list. It is
// safe for concurrent use; Run follows the request rate, which the size of the subset depends on.
type SubsetSink struct {
	next     *RegistrySink
	requests func() int64 // sent so far

	mu      sync.Mutex
	subset  *subset.Subset
	list    receivedList
	timer   *time.Timer // of subset
	stopped bool
}

var _ Sink = (*SubsetSink)(nil)

// NewSubsetSink returns a SubsetSink; requests counts the requests sent so far.
func NewSubsetSink(s *subset.Subset, next *RegistrySink, requests func() int64) *SubsetSink {
	sink := &SubsetSink{next: next, requests: requests, subset: s}
	sink.timer = time.AfterFunc(time.Hour, sink.tick)
	sink.timer.Stop()
	return sink
}

// Load takes the first list and returns this process's subset of it, which is not passed on.
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

// Last returns the whole list as last received, as a snapshot.
func (s *SubsetSink) Last() *endpoints.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.snapshot()
}

// Size returns how many endpoints are in this process's subset, and how many are listed.
func (s *SubsetSink) Size() (own, listed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.subset.Size()
}

// Update takes a list or a change and passes on what changes in the subset. The list is current also where that is nothing.
func (s *SubsetSink) Update(l *endpoints.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.apply(l)
	s.pass(s.subset.Update(time.Now(), l))
	s.next.Current()
}

// Current passes on that the list is current.
func (s *SubsetSink) Current() { s.next.Current() }

// Lost passes on that the list is lost.
func (s *SubsetSink) Lost(err error, retries bool) { s.next.Lost(err, retries) }

// pass passes on a change of the subset, if there is one, and sets the timer; the caller holds mu.
func (s *SubsetSink) pass(change *endpoints.List) {
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
		s.pass(s.subset.Tick(time.Now()))
	}
}

// Run follows the request rate until ctx ends.
func (s *SubsetSink) Run(ctx context.Context) {
	ticker := time.NewTicker(rateInterval)
	defer ticker.Stop()
	rate, last, sampledAt := 0.0, s.requests(), time.Now()
	s.mu.Lock()
	s.pass(nil) // sets the timer
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
		s.pass(s.subset.Rate(now, rate))
		s.mu.Unlock()
	}
}

func (s *SubsetSink) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
