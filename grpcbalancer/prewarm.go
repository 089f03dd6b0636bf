package grpcbalancer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/connectivity"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/upstream/prewarm"
)

// warmEvery is how often the list and the sub-connections are looked at.
const warmEvery = 100 * time.Millisecond

// warming has sub-connections connect before a call needs them, as package warm decides. Each ClientConn of the plug-in has a
// sub-connection of its own to an upstream; the warmer sees one, which is open when all of them are.
type warming struct {
	w *prewarm.Prewarmer // keepWarm's alone

	mu   sync.Mutex
	used map[string]bool // since it looked last
}

// use notes that a call goes to an upstream. A nil one notes nothing.
func (w *warming) use(name string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[name] = true
}

// keepWarm runs until ctx ends.
func (p *Plugin) keepWarm(ctx context.Context, c clock.Clock) {
	tick := time.NewTicker(warmEvery)
	defer tick.Stop()
	w := p.warming.w
	connecting := map[string]uint64{} // what Tick named and has not ended, by process
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		policies := p.allPolicies()
		if len(policies) == 0 { // nobody calls yet
			continue
		}
		now, places := c.Now(), p.directory.Instances()
		ready := make(map[string]uint64, len(places))
		for name, at := range places {
			ready[name] = at.ProcessID()
		}
		w.SetMembers(now, ready)
		open := subStates(policies)
		for name, process := range connecting {
			switch state := open[name]; {
			case ready[name] != process:
				delete(connecting, name)
			case state != connectivity.Connecting:
				w.Connected(now, name, process, state == connectivity.Ready)
				delete(connecting, name)
			}
		}
		p.warming.mu.Lock()
		used := p.warming.used
		p.warming.used = map[string]bool{}
		p.warming.mu.Unlock()
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

// subStates is by upstream how far its sub-connections are: READY if all of them are, CONNECTING if one is on its way, else
// that it is not connected.
func subStates(policies []*policy) map[string]connectivity.State {
	states := map[string]connectivity.State{}
	for _, q := range policies {
		q.mu.RLock()
		for name, s := range q.subs {
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

// connect has the sub-connection to an upstream connect, if it is idle.
func (p *policy) connect(name string) {
	p.mu.Lock()
	s := p.subs[name]
	idle := s != nil && s.state == connectivity.Idle
	if idle {
		s.state = connectivity.Connecting // until grpc-go says so: the next look must not take it for one that failed
	}
	p.mu.Unlock()
	if idle {
		s.sc.Connect()
	}
}
