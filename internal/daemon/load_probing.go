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

// memberSyncInterval is how often the prober's members are synchronized with the registry. An upstream that is removed in between gets no
// probes, since the pool checks the registry at each write.
const memberSyncInterval = 250 * time.Millisecond

// loadProbing sends load probes to the upstreams that package loadprobe selects, and reports the answers to the engine. It is safe for
// concurrent use. beforeRequest and close do nothing if the loadProbing is nil.
type loadProbing struct {
	service *service
	options loadprobe.Options

	mu       sync.Mutex
	prober   *loadprobe.Prober
	members  map[string]bool
	syncedAt time.Duration
	closed   bool
	inFlight sync.WaitGroup // counts the probes in flight
}

func newLoadProbing(s *service, o loadprobe.Options, rng *rand.Rand) *loadProbing {
	return &loadProbing{service: s, options: o, prober: loadprobe.New(o, rng), members: map[string]bool{}, syncedAt: -memberSyncInterval}
}

// beforeRequest sends the probes that are due before a request. It waits until one or two probes have been answered or have timed out. If
// more are due, it does not wait for the slowest, so that a single upstream that hangs does not delay the request. An answer that arrives
// later is reported too.
func (p *loadProbing) beforeRequest(ctx context.Context) {
	if p == nil {
		return
	}
	names := p.targets()
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.options.Timeout.D())
	end := cancel // the probe that ends last calls it
	answered := make(chan struct{}, len(names))
	var remaining atomic.Int64
	remaining.Store(int64(len(names)))
	for _, name := range names {
		go func() {
			defer p.inFlight.Done()
			p.probe(ctx, name)
			if remaining.Add(-1) == 0 {
				end()
			}
			answered <- struct{}{}
		}()
	}
	for range max(len(names)-1, min(2, len(names))) { // each probe ends with ctx at the latest
		<-answered
	}
}

// targets returns the names of the upstreams to probe now, and counts the probes as in flight.
func (p *loadProbing) targets() []string {
	now := p.service.shared.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.syncedAt >= memberSyncInterval {
		p.syncedAt = now
		p.syncMembers()
	}
	if p.closed {
		return nil
	}
	names := p.prober.Targets(now)
	p.inFlight.Add(len(names))
	return names
}

// probe sends one probe and reports its answer.
func (p *loadProbing) probe(ctx context.Context, name string) {
	result := p.service.pool.Probe(ctx, name, p.options.Path)
	p.mu.Lock()
	p.prober.Answered(p.service.shared.clock.Now(), name, result.Result == balancer.OK)
	p.mu.Unlock()
	p.service.engine.ReportProbe(result)
}

// close prevents further probes, and waits for those in flight.
func (p *loadProbing) close() {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.inFlight.Wait()
}

// syncMembers makes the upstreams that are ready the prober's members. The caller holds p.mu.
func (p *loadProbing) syncMembers() {
	instances := p.service.registry.Instances()
	for name := range p.members {
		if _, ready := instances[name]; !ready {
			p.prober.Remove(name)
			delete(p.members, name)
		}
	}
	for name := range instances {
		if !p.members[name] {
			p.prober.Add(name)
			p.members[name] = true
		}
	}
}
