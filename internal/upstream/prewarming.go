package upstream

import (
	"context"
	"sync"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/upstream/prewarm"
)

// prewarming is what is known of connections where some are opened ahead of use. A nil one counts nothing.
type prewarming struct {
	prewarmer *prewarm.Prewarmer // Prewarm's alone

	mu   sync.Mutex
	open map[string]int  // by upstream
	used map[string]bool // since Prewarm looked last
}

// count counts a connection in, or with -1 out.
func (w *prewarming) count(name string, n int) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open[name] += n; w.open[name] <= 0 {
		delete(w.open, name) // names are ever new
	}
}

func (w *prewarming) markUsed(name string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[name] = true
}

// snapshot copies what there is.
func (w *prewarming) snapshot() (open map[string]int, total int, used map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	open = make(map[string]int, len(w.open))
	for name, n := range w.open {
		open[name], total = n, total+n
	}
	used, w.used = w.used, map[string]bool{}
	return open, total, used
}

// prewarmInterval is how often Prewarm looks at the list and at what was used.
const prewarmInterval = 100 * time.Millisecond

// Prewarm opens connections as Options.Prewarmer says, until ctx ends. It never waits for a slot: what requests need goes first.
func (u *Pool) Prewarm(ctx context.Context, c clock.Clock) {
	if u.prewarming == nil {
		return
	}
	type end struct {
		name    string
		process uint64
		ok      bool
	}
	ends := make(chan end)
	var running sync.WaitGroup
	defer running.Wait()
	tick := time.NewTicker(prewarmInterval)
	defer tick.Stop()
	w := u.prewarming.prewarmer
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-ends:
			w.Connected(c.Now(), e.name, e.process, e.ok)
			continue
		case <-tick.C:
		}
		places := u.registry.Instances()
		ready := make(map[string]uint64, len(places))
		for name, at := range places {
			ready[name] = at.ProcessID()
		}
		now := c.Now()
		w.SetMembers(now, ready)
		open, total, used := u.prewarming.snapshot()
		for name := range used {
			w.RecordUse(now, name)
		}
		for _, name := range w.Tick(now, func(name string) int { return open[name] }, total) {
			running.Go(func() {
				e := end{name, ready[name], u.prewarmOne(ctx, name, places[name])}
				select {
				case ends <- e:
				case <-ctx.Done():
				}
			})
		}
	}
}

// prewarmOne opens one connection, if there is a free slot, and tells whether it did.
func (u *Pool) prewarmOne(ctx context.Context, name string, at endpoints.Instance) bool {
	if u.connectionSlots.Waiting(u.service) > 0 || !u.connectionSlots.TryAcquire(u.service, 1) {
		return false
	}
	c, err := u.dial(ctx, name, at)
	if err != nil {
		u.connectionSlots.Release(u.service, 1)
		return false
	}
	c.prewarmed = true
	u.putIdle(c)
	return true
}
