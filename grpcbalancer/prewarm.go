package grpcbalancer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/connectivity"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/upstream/prewarm"
)

// prewarmInterval is how often the list and the sub-connections are looked at.
const prewarmInterval = 100 * time.Millisecond

// prewarming has sub-connections connect before a call needs them, as package warm decides. Each ClientConn of the plug-in has a
// sub-connection of its own to an upstream; the warmer sees one, which is open when all of them are.
type prewarming struct {
	prewarmer *prewarm.Prewarmer // runPrewarming's alone

	mu   sync.Mutex
	used map[string]bool // since it looked last
}

// recordUse notes that a call goes to an upstream. A nil one notes nothing.
func (w *prewarming) recordUse(name string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[name] = true
}

// runPrewarming runs until ctx ends.
func (p *Plugin) runPrewarming(ctx context.Context, c clock.Clock) {
	tick := time.NewTicker(prewarmInterval)
	defer tick.Stop()
	w := p.prewarming.prewarmer
	connecting := map[string]uint64{} // what Tick named and has not ended, by process
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		policies := p.currentBalancers()
		if len(policies) == 0 { // nobody calls yet
			continue
		}
		now, places := c.Now(), p.registry.Instances()
		ready := make(map[string]uint64, len(places))
		for name, at := range places {
			ready[name] = at.ProcessID()
		}
		w.SetMembers(now, ready)
		open := connectionStates(policies)
		for name, process := range connecting {
			switch state := open[name]; {
			case ready[name] != process:
				delete(connecting, name)
			case state != connectivity.Connecting:
				w.Connected(now, name, process, state == connectivity.Ready)
				delete(connecting, name)
			}
		}
		p.prewarming.mu.Lock()
		used := p.prewarming.used
		p.prewarming.used = map[string]bool{}
		p.prewarming.mu.Unlock()
		for name := range used {
			w.RecordUse(now, name)
		}
		total := 0
		for _, state := range open {
			if state == connectivity.Ready {
				total++
			}
		}
		for _, name := range w.Tick(now, func(name string) int {
			if open[name] == connectivity.Ready {
				return 1
			}
			return 0
		}, total) {
			connecting[name] = ready[name]
			for _, q := range policies {
				q.connect(name)
			}
		}
	}
}

// connectionStates is by upstream how far its sub-connections are: READY if all of them are, CONNECTING if one is on its way, else
// that it is not connected.
func connectionStates(policies []*subConnBalancer) map[string]connectivity.State {
	states := map[string]connectivity.State{}
	for _, q := range policies {
		q.mu.RLock()
		for name, s := range q.subConns {
			was, seen := states[name]
			switch {
			case !seen || s.state == connectivity.Connecting:
				states[name] = s.state
			case was == connectivity.Ready:
				states[name] = s.state
			}
		}
		q.mu.RUnlock()
	}
	return states
}
