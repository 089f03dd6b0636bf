package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/upstream/loadprobe"
)

// probing asks upstreams of a service for their load, as package probe decides, and tells the module. It is safe for concurrent
// use.
type probing struct {
	s *service
	o loadprobe.Options

	mu     sync.Mutex
	p      *loadprobe.Prober
	listed map[string]bool
	looked time.Duration
	closed bool
	out    sync.WaitGroup // probes
}

// probeLook is how often the list is looked at: an upstream that is gone is not sent to before, since the pool asks the directory
// at each write.
const probeLook = 250 * time.Millisecond

func newProbing(s *service, o loadprobe.Options, rng *rand.Rand) *probing {
	return &probing{s: s, o: o, p: loadprobe.New(o, rng), listed: map[string]bool{}, looked: -probeLook}
}

// before asks what is to be asked before a request, and returns once all but one have answered, or patience has ended: one upstream
// that hangs holds no request up. What comes later is told too. A nil one does nothing.
func (b *probing) before(ctx context.Context) {
	if b == nil {
		return
	}
	now := b.s.shared.clock.Now()
	b.mu.Lock()
	if now-b.looked >= probeLook {
		b.looked = now
		b.look()
	}
	var names []string
	if !b.closed {
		names = b.p.Targets(now)
		b.out.Add(len(names))
	}
	b.mu.Unlock()
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.o.Timeout.D())
	end := cancel // by the last of them
	answers := make(chan struct{}, len(names))
	var left atomic.Int64
	left.Store(int64(len(names)))
	for _, name := range names {
		go func() {
			defer b.out.Done()
			r := b.s.pool.Probe(ctx, name, b.o.Path)
			b.mu.Lock()
			b.p.Answered(b.s.shared.clock.Now(), name, r.Result == balancer.OK)
			b.mu.Unlock()
			b.s.engine.ReportProbe(r)
			if left.Add(-1) == 0 {
				end()
			}
			answers <- struct{}{}
		}()
	}
	for range max(len(names)-1, min(2, len(names))) { // each ends with ctx at the latest
		<-answers
	}
}

// close waits for what is out; nothing is asked any more.
func (b *probing) close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.out.Wait()
}

// look brings the prober's members to what is listed now.
func (b *probing) look() {
	places := b.s.dir.Instances()
	for name := range b.listed {
		if _, stays := places[name]; !stays {
			b.p.Remove(name)
			delete(b.listed, name)
		}
	}
	for name := range places {
		if !b.listed[name] {
			b.p.Add(name)
			b.listed[name] = true
		}
	}
}
