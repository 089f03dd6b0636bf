package discovery

import (
	"context"
	"math"
	"sync"
	"time"

	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
)

// SubsetSink is the Sink before a Feed that passes on only what subset takes for this process's own. It keeps the whole list.
type SubsetSink struct {
	feed *RegistrySink
	sent func() int64 // requests so far

	mu    sync.Mutex
	s     *subset.Subset
	whole held
	timer *time.Timer
	over  bool
}

var _ Sink = (*SubsetSink)(nil)

// NewSubsetSink returns one; sent counts the requests that the size follows.
func NewSubsetSink(s *subset.Subset, feed *RegistrySink, sent func() int64) *SubsetSink {
	n := &SubsetSink{feed: feed, sent: sent, s: s}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	n.timer.Stop()
	return n
}

// Load takes a first list, and returns what of it is this process's own; it is not passed on.
func (n *SubsetSink) Load(l *endpoints.List) *endpoints.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.whole.take(l)
	index := n.whole.index
	own := &endpoints.List{Index: &index, Snapshot: true}
	if out := n.s.Update(time.Now(), l); out != nil {
		own.Endpoints = out.Endpoints
	}
	return own
}

// Last is the whole list as last held.
func (n *SubsetSink) Last() *endpoints.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.whole.last()
}

// Size is how many upstreams are this process's own, and how many are listed.
func (n *SubsetSink) Size() (own, listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.s.Size()
}

// Update is Sink's.
func (n *SubsetSink) Update(l *endpoints.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.whole.take(l)
	n.pass(n.s.Update(time.Now(), l))
	n.feed.Current() // also where nothing of it is this process's own
}

// Current and Lost are Sink's.
func (n *SubsetSink) Current() { n.feed.Current() }

// Lost is Sink's.
func (n *SubsetSink) Lost(err error, again bool) { n.feed.Lost(err, again) }

func (n *SubsetSink) pass(out *endpoints.List) {
	if out != nil {
		index := n.whole.index
		out.Index = &index
		n.feed.Update(out)
	}
	if next := n.s.Next(); !next.IsZero() && !n.over {
		n.timer.Reset(max(0, time.Until(next)))
	}
}

func (n *SubsetSink) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.over {
		n.pass(n.s.Tick(time.Now()))
	}
}

// The traffic is looked at this often, and averaged over rateOver.
const (
	rateEvery = time.Second
	rateOver  = 10 * time.Second
)

// Run follows the traffic and the time until ctx ends.
func (n *SubsetSink) Run(ctx context.Context) {
	every := time.NewTicker(rateEvery)
	defer every.Stop()
	rate, last, at := 0.0, n.sent(), time.Now()
	n.mu.Lock()
	n.pass(nil) // arms the timer
	n.mu.Unlock()
	for {
		select {
		case <-every.C:
		case <-ctx.Done():
			n.mu.Lock()
			defer n.mu.Unlock()
			n.over = true
			n.timer.Stop()
			return
		}
		now, sent := time.Now(), n.sent()
		passed := now.Sub(at)
		weight := 1 - math.Exp(-passed.Seconds()/rateOver.Seconds())
		rate += weight * (float64(sent-last)/passed.Seconds() - rate)
		last, at = sent, now
		n.mu.Lock()
		n.pass(n.s.Rate(now, rate))
		n.mu.Unlock()
	}
}
