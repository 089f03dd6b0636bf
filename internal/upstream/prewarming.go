package upstream

import (
	"context"
	"sync"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/upstream/prewarm"
)

// prewarmInterval is the interval at which Prewarm reads the endpoint registry, and the upstreams used since the previous reading.
const prewarmInterval = 100 * time.Millisecond

// prewarming counts the connections of a pool that opens connections ahead of use. count and markUsed do nothing on a nil prewarming.
type prewarming struct {
	prewarmer *prewarm.Prewarmer // used by Prewarm's goroutine alone

	mu   sync.Mutex
	open map[string]int  // connections by upstream
	used map[string]bool // upstreams that requests were sent to since the last snapshot
}

// count adds change to the open connections of an upstream.
func (w *prewarming) count(name string, change int) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[name] += change
	if w.open[name] <= 0 {
		delete(w.open, name) // names of upstreams are not reused: empty entries would accumulate
	}
}

// markUsed records that a request goes to an upstream.
func (w *prewarming) markUsed(name string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[name] = true
}

// snapshot returns the open connections, by upstream and in total, and the upstreams used since the last snapshot.
func (w *prewarming) snapshot() (open map[string]int, total int, used map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	open = make(map[string]int, len(w.open))
	for name, n := range w.open {
		open[name] = n
		total += n
	}
	used, w.used = w.used, map[string]bool{}
	return open, total, used
}

// prewarmResult is the result of opening one connection.
type prewarmResult struct {
	name    string
	process uint64 // incarnation of the instance: endpoints.Instance.ProcessID
	ok      bool
}

// Prewarm opens connections as Options.Prewarmer decides, until ctx ends. It never waits for a connection slot, so that requests take
// precedence. It blocks; the owner runs it on its own goroutine.
func (p *Pool) Prewarm(ctx context.Context, clock clock.Clock) {
	if p.prewarming == nil {
		return
	}
	results := make(chan prewarmResult)
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(prewarmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-results:
			p.prewarming.prewarmer.Connected(clock.Now(), r.name, r.process, r.ok)
		case <-ticker.C:
			p.prewarmOnce(ctx, clock.Now(), &running, results)
		}
	}
}

// prewarmOnce starts to open the connections that are due.
func (p *Pool) prewarmOnce(ctx context.Context, now time.Duration, running *sync.WaitGroup, results chan<- prewarmResult) {
	prewarmer := p.prewarming.prewarmer
	instances := p.registry.Instances()
	ready := make(map[string]uint64, len(instances))
	for name, instance := range instances {
		ready[name] = instance.ProcessID()
	}
	prewarmer.SetMembers(now, ready)
	open, total, used := p.prewarming.snapshot()
	for name := range used {
		prewarmer.RecordUse(now, name)
	}
	for _, name := range prewarmer.Tick(now, func(name string) int { return open[name] }, total) {
		running.Go(func() {
			r := prewarmResult{name, ready[name], p.openAhead(ctx, name, instances[name])}
			select {
			case results <- r:
			case <-ctx.Done():
			}
		})
	}
}

// openAhead opens one connection if a slot is free, and reports whether the connection is open.
func (p *Pool) openAhead(ctx context.Context, name string, instance endpoints.Instance) bool {
	if p.connectionSlots.Waiting(p.service) > 0 || !p.connectionSlots.TryAcquire(p.service, 1) {
		return false
	}
	conn, err := p.dial(ctx, name, instance)
	if err != nil {
		p.connectionSlots.Release(p.service, 1)
		return false
	}
	conn.prewarmed = true
	p.putIdle(conn)
	return true
}
