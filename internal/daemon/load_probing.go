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

// loadProbing asks upstreams of a service for their load, as package probe decides, and tells the module. It is safe for concurrent
// use.
type loadProbing struct {
	service *service
	options loadprobe.Options

	mu       sync.Mutex
	prober   *loadprobe.Prober
	members  map[string]bool
	syncedAt time.Duration
	closed   bool
	inFlight sync.WaitGroup // probes
}

// memberSyncInterval is how often the list is looked at: an upstream that is gone is not sent to before, since the pool asks the directory
// at each write.
const memberSyncInterval = 250 * time.Millisecond

func newLoadProbing(s *service, o loadprobe.Options, rng *rand.Rand) *loadProbing {
	return &loadProbing{service: s, options: o, prober: loadprobe.New(o, rng), members: map[string]bool{}, syncedAt: -memberSyncInterval}
}

// beforeRequest asks what is to be asked before a request, and returns once all but one have answered, or patience has ended: one upstream
// that hangs holds no request up. What comes later is told too. A nil one does nothing.
func (b *loadProbing) beforeRequest(ctx context.Context) {
	if b == nil {
		return
	}
	now := b.service.shared.clock.Now()
	b.mu.Lock()
	if now-b.syncedAt >= memberSyncInterval {
		b.syncedAt = now
		b.syncMembers()
	}
	var names []string
	if !b.closed {
		names = b.prober.Targets(now)
		b.inFlight.Add(len(names))
	}
	b.mu.Unlock()
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.options.Timeout.D())
	end := cancel // by the last of them
	answers := make(chan struct{}, len(names))
	var left atomic.Int64
	left.Store(int64(len(names)))
	for _, name := range names {
		go func() {
			defer b.inFlight.Done()
			r := b.service.pool.Probe(ctx, name, b.options.Path)
			b.mu.Lock()
			b.prober.Answered(b.service.shared.clock.Now(), name, r.Result == balancer.OK)
			b.mu.Unlock()
			b.service.engine.ReportProbe(r)
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
func (b *loadProbing) close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.inFlight.Wait()
}

// syncMembers brings the prober's members to what is listed now.
func (b *loadProbing) syncMembers() {
	places := b.service.registry.Instances()
	for name := range b.members {
		if _, stays := places[name]; !stays {
			b.prober.Remove(name)
			delete(b.members, name)
		}
	}
	for name := range places {
		if !b.members[name] {
			b.prober.Add(name)
			b.members[name] = true
		}
	}
}
