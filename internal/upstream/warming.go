package upstream

import (
	"context"
	"sync"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/upstream/prewarm"
)

// warming is what is known of connections where some are opened ahead of use. A nil one counts nothing.
type warming struct {
	w *prewarm.Prewarmer // Prewarm's alone

	mu   sync.Mutex
	open map[string]int  // by upstream
	used map[string]bool // since Prewarm looked last
}

// opened counts a connection in, or with -1 out.
func (w *warming) opened(name string, n int) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open[name] += n; w.open[name] <= 0 {
		delete(w.open, name) // names are ever new
	}
}

func (w *warming) use(name string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[name] = true
}

// look copies what there is.
func (w *warming) look() (open map[string]int, total int, used map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	open = make(map[string]int, len(w.open))
	for name, n := range w.open {
		open[name], total = n, total+n
	}
	used, w.used = w.used, map[string]bool{}
	return open, total, used
}

// warmEvery is how often Prewarm looks at the list and at what was used.
const warmEvery = 100 * time.Millisecond

// Prewarm opens connections as Options.Prewarmer says, until ctx ends. It never waits for a slot: what requests need goes first.
func (u *Pool) Prewarm(ctx context.Context, c clock.Clock) {
	if u.warm == nil {
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
	tick := time.NewTicker(warmEvery)
	defer tick.Stop()
	w := u.warm.w
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-ends:
			w.Connected(c.Now(), e.name, e.process, e.ok)
			continue
		case <-tick.C:
		}
		places := u.dir.Instances()
		ready := make(map[string]uint64, len(places))
		for name, at := range places {
			ready[name] = at.ProcessID()
		}
		now := c.Now()
		w.Members(now, ready)
		open, total, used := u.warm.look()
		for name := range used {
			w.Used(now, name)
		}
		for _, name := range w.Tick(now, func(name string) int { return open[name] }, total) {
			running.Go(func() {
				e := end{name, ready[name], u.openAhead(ctx, name, places[name])}
				select {
				case ends <- e:
				case <-ctx.Done():
				}
			})
		}
	}
}

// openAhead opens one connection, if there is a free slot, and tells whether it did.
func (u *Pool) openAhead(ctx context.Context, name string, at endpoints.Instance) bool {
	if u.slots.Waiting(u.service) > 0 || !u.slots.TryAcquire(u.service, 1) {
		return false
	}
	c, err := u.dial(ctx, name, at)
	if err != nil {
		u.slots.Release(u.service, 1)
		return false
	}
	c.unused = true
	u.put(c)
	return true
}
