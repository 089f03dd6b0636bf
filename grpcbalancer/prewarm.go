package grpcbalancer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/connectivity"

	"orchiddrift/internal/upstream/prewarm"
)

// prewarmInterval is the time between two steps of prewarming.
const prewarmInterval = 100 * time.Millisecond

// prewarming opens connections before calls need them, as package prewarm decides. Each ClientConn has a SubConn of its own to an upstream;
// the prewarmer treats these SubConns as one connection, which is open when all of them are open.
type prewarming struct {
	// Used by the goroutine of runPrewarming alone.
	prewarmer  *prewarm.Prewarmer
	connecting map[string]uint64 // process ids of the upstreams whose started connections have neither come up nor failed

	mu   sync.Mutex
	used map[string]bool // upstreams that attempts were sent to since the last step
}

func newPrewarming(prewarmer *prewarm.Prewarmer) *prewarming {
	return &prewarming{prewarmer: prewarmer, connecting: map[string]uint64{}, used: map[string]bool{}}
}

// recordUse records that an attempt is sent to an upstream. Picks call it from any goroutine. It does nothing if w is nil.
func (w *prewarming) recordUse(name string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[name] = true
}

// takeUsed returns the names of the upstreams that attempts were sent to since the previous call of takeUsed.
func (w *prewarming) takeUsed() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := w.used
	w.used = map[string]bool{}
	return used
}

// runPrewarming takes a step at each interval until ctx ends. It runs in a goroutine of the Plugin.
func (p *Plugin) runPrewarming(ctx context.Context) {
	ticker := time.NewTicker(prewarmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if balancers := p.currentBalancers(); len(balancers) > 0 { // no balancer exists before a ClientConn has been used
			p.prewarmStep(balancers)
		}
	}
}

// prewarmStep reports to the prewarmer the upstreams, the connections that came up or failed, and the upstreams in use. It then starts the
// connections that the prewarmer decides on.
func (p *Plugin) prewarmStep(balancers []*subConnBalancer) {
	w := p.prewarming
	now, instances := p.clock.Now(), p.registry.Instances()
	processes := make(map[string]uint64, len(instances))
	for name, instance := range instances {
		processes[name] = instance.ProcessID()
	}
	w.prewarmer.SetMembers(now, processes)
	states := connectionStates(balancers)
	w.reportConnected(now, processes, states)
	for name := range w.takeUsed() {
		w.prewarmer.RecordUse(now, name)
	}
	open := 0
	for _, state := range states {
		if state == connectivity.Ready {
			open++
		}
	}
	openTo := func(name string) int {
		if states[name] == connectivity.Ready {
			return 1
		}
		return 0
	}
	for _, name := range w.prewarmer.Tick(now, openTo, open) {
		w.connecting[name] = processes[name]
		for _, b := range balancers {
			b.connect(name)
		}
	}
}

// reportConnected reports to the prewarmer which of the connections that it started have come up or failed.
func (w *prewarming) reportConnected(now time.Duration, processes map[string]uint64, states map[string]connectivity.State) {
	for name, process := range w.connecting {
		state := states[name]
		if processes[name] != process { // the upstream was restarted or removed
			delete(w.connecting, name)
			continue
		}
		if state != connectivity.Connecting {
			w.prewarmer.Connected(now, name, process, state == connectivity.Ready)
			delete(w.connecting, name)
		}
	}
}

// connectionStates combines the states of the SubConns to each upstream: READY if all of them are, CONNECTING if one of them is, and another
// state otherwise.
func connectionStates(balancers []*subConnBalancer) map[string]connectivity.State {
	states := map[string]connectivity.State{}
	for _, b := range balancers {
		b.mu.RLock()
		for name, s := range b.subConns {
			combined, seen := states[name]
			switch {
			case !seen || s.state == connectivity.Connecting:
				states[name] = s.state
			case combined == connectivity.Ready:
				states[name] = s.state
			}
		}
		b.mu.RUnlock()
	}
	return states
}
