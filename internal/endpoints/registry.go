package endpoints

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

// Registry holds the endpoints that are listed, with an instance for each that is ready. See the package comment for who writes it. It is
// safe for concurrent use.
type Registry struct {
	clock         clock.Clock
	onInstanceEnd func(name string)

	mu       sync.RWMutex
	ready    map[string]Instance  // by name
	draining map[string]bool      // by name
	started  map[string]startTime // of both
}

// Instance is one incarnation of an upstream: connections to another one are of no use.
type Instance struct {
	Address     string
	StartedMs   float64 // Unix time in milliseconds; 0: long ago
	TLSIdentity string
}

// ProcessID returns a number that tells the instances of one upstream apart.
func (i Instance) ProcessID() uint64 {
	return xxhash.Sum64String(i.Address+"\x00"+i.TLSIdentity) ^ uint64(i.StartedMs)
}

// startTime is when an instance started, as listed and on the clock.
type startTime struct {
	listedMs float64
	at       time.Duration
}

// New returns an empty Registry. It calls onInstanceEnd, outside its lock, with the name of each endpoint whose instance changed, so that
// connections to the one before can be closed. onInstanceEnd may be nil.
func New(c clock.Clock, onInstanceEnd func(name string)) *Registry {
	if onInstanceEnd == nil {
		onInstanceEnd = func(string) {}
	}
	return &Registry{clock: c, onInstanceEnd: onInstanceEnd, ready: map[string]Instance{}, draining: map[string]bool{}, started: map[string]startTime{}}
}

// Apply applies a list or a change, and returns it as the update for the balancer.
func (r *Registry) Apply(l *List) balancer.EndpointUpdate {
	update, changed := r.apply(l)
	for _, name := range changed {
		r.onInstanceEnd(name)
	}
	return update
}

// apply also returns the names of the endpoints whose instances changed.
func (r *Registry) apply(l *List) (update balancer.EndpointUpdate, changed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.instancesBefore(l)
	update = balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: make([]balancer.Endpoint, 0, len(l.Endpoints))}
	if l.Snapshot {
		update.Kind = balancer.FullUpdate
		r.ready = map[string]Instance{}
		clear(r.draining)
	}
	for _, e := range l.Endpoints {
		update.Endpoints = append(update.Endpoints, balancer.Endpoint{Name: e.Name, Zone: e.Zone, MachineType: e.MachineType,
			Cell: e.Cell, State: r.set(e), StartedAt: r.startedAt(e)})
	}
	if l.Snapshot {
		r.forgetUnlistedStarts(l)
	}
	for name, instance := range before {
		if r.ready[name] != instance {
			changed = append(changed, name)
		}
	}
	return update, changed
}

// instancesBefore returns the instances that a list may change; the zero Instance for an endpoint that is not ready. The caller holds mu.
func (r *Registry) instancesBefore(l *List) map[string]Instance {
	if l.Snapshot {
		return r.ready // it is replaced
	}
	before := make(map[string]Instance, len(l.Endpoints))
	for _, e := range l.Endpoints {
		before[e.Name] = r.ready[e.Name]
	}
	return before
}

// set takes the state of one endpoint. The caller holds mu.
func (r *Registry) set(e Endpoint) balancer.EndpointState {
	delete(r.draining, e.Name)
	switch e.Status {
	case StatusReady:
		r.ready[e.Name] = Instance{e.Address, e.StartedMs, e.TLSIdentity}
		return balancer.Active
	case StatusTerminating:
		delete(r.ready, e.Name)
		r.draining[e.Name] = true
		return balancer.Draining
	}
	delete(r.ready, e.Name)
	return balancer.Removed
}

// startedAt returns when an endpoint's instance started, on the clock. It is converted once for each instance, since the wall clock by
// which it is listed may be stepped. The caller holds mu.
func (r *Registry) startedAt(e Endpoint) time.Duration {
	start, known := r.started[e.Name]
	if !known || start.listedMs != e.StartedMs {
		start = startTime{e.StartedMs, r.clock.FromUnixMs(e.StartedMs)}
	}
	if e.Status == StatusReady || e.Status == StatusTerminating {
		r.started[e.Name] = start
	} else {
		delete(r.started, e.Name)
	}
	return start.at
}

// forgetUnlistedStarts forgets the starts of endpoints that a snapshot does not list. The caller holds mu.
func (r *Registry) forgetUnlistedStarts(l *List) {
	if len(r.started) <= len(l.Endpoints) {
		return // each that is listed has one
	}
	listed := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		listed[e.Name] = true
	}
	maps.DeleteFunc(r.started, func(name string, _ startTime) bool { return !listed[name] })
}

// Instance returns the instance that takes an endpoint's requests now; false while it drains or is not listed.
func (r *Registry) Instance(name string) (Instance, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	instance, ok := r.ready[name]
	return instance, ok
}

// Ready reports whether an endpoint takes requests, and still does so at that instance.
func (r *Registry) Ready(name string, instance Instance) bool {
	now, ok := r.Instance(name)
	return ok && now == instance
}

// Instances returns a copy of all ready instances, by name.
func (r *Registry) Instances() map[string]Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.ready)
}

// ReadyCount returns how many endpoints take requests.
func (r *Registry) ReadyCount() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.ready)
}

// DrainingCount returns how many endpoints are listed and drain.
func (r *Registry) DrainingCount() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.draining)
}
