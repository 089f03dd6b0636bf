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

// memberSyncInterval is how often the prober's members are synchronized with the registry. An upstream that has been removed is not probed
// in between, since the pool checks the registry at each write.
const memberSyncInterval = 250 * time.Millisecond

// loadProbing probes upstreams of a service for their load as package loadprobe decides, and reports the answers to the engine. It is safe
// for concurrent use. The methods of a nil loadProbing do nothing.
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

func newLoadProbing(s *service, o loadprobe.Options, rng *rand.Rand) *loadProbing {
	return &loadProbing{service: s, options: o, prober: loadprobe.New(o, rng), members: map[string]bool{}, syncedAt: -memberSyncInterval}
}

// beforeRequest sends the probes that are due before a request. It waits for one or two probes until they have an answer or time out; of
// more, it does not wait for the last, so that one upstream that hangs delays no request. Later answers are reported too.
func (p *loadProbing) beforeRequest(ctx context.Context) {
	if p == nil {
		return
	}
	names := p.targets()
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.options.Timeout.D())
	end := cancel // called by the last of the probes
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
	for range max(len(names)-1, min(2, len(names))) { // each ends with ctx at the latest
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
