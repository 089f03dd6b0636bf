package endpoints

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

// Registry holds the listed endpoints, with an Instance for each ready endpoint. The package comment says who may write to a Registry. It is
// safe for concurrent use.
type Registry struct {
	clock         clock.Clock
	onInstanceEnd func(name string)

	mu       sync.RWMutex
	ready    map[string]Instance  // by name
	draining map[string]bool      // by name
	started  map[string]startTime // of ready and draining endpoints, by name
}

// Instance is one incarnation of an upstream. Connections to an earlier incarnation cannot be reused.
type Instance struct {
	Address     string
	StartedMs   float64 // Unix time in milliseconds; 0 counts as long ago
	TLSIdentity string
}

// ProcessID returns a number that tells the instances of one upstream apart.
func (i Instance) ProcessID() uint64 {
	return xxhash.Sum64String(i.Address+"\x00"+i.TLSIdentity) ^ uint64(i.StartedMs)
}

// startTime is the time at which an instance started.
type startTime struct {
	listedMs float64       // Unix time in milliseconds, as in the list
	at       time.Duration // the same time on the Registry's clock
}

// New returns an empty Registry. The Registry calls onInstanceEnd, outside its lock, with the name of each endpoint whose instance changed,
// so that connections to the previous instance can be closed. onInstanceEnd may be nil.
func New(c clock.Clock, onInstanceEnd func(name string)) *Registry {
	if onInstanceEnd == nil {
		onInstanceEnd = func(string) {}
	}
	return &Registry{clock: c, onInstanceEnd: onInstanceEnd, ready: map[string]Instance{}, draining: map[string]bool{}, started: map[string]startTime{}}
}

// Apply applies a snapshot or an incremental change, and returns the corresponding update for the balancer.
func (r *Registry) Apply(l *List) balancer.EndpointUpdate {
	update, changed := r.apply(l)
	for _, name := range changed {
		r.onInstanceEnd(name)
	}
	return update
}

// apply does the work of Apply under the lock, and also returns the names of the endpoints whose instances changed.
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

// instancesBefore returns the present instances that l may change, with the zero Instance for an endpoint that is not ready. The caller
// holds mu.
func (r *Registry) instancesBefore(l *List) map[string]Instance {
	if l.Snapshot {
		return r.ready // apply replaces the map for a snapshot and does not change this one
	}
	before := make(map[string]Instance, len(l.Endpoints))
	for _, e := range l.Endpoints {
		before[e.Name] = r.ready[e.Name]
	}
	return before
}

// set records the status of one endpoint and returns it as the balancer's state. The caller holds mu.
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

// startedAt returns when an endpoint's instance started, on the Registry's clock. The listed wall-clock time is converted only once
// for each instance, since a step of the wall clock would change the result. The caller holds mu.
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

// forgetUnlistedStarts removes the start times of endpoints that a snapshot does not list. The caller holds mu.
func (r *Registry) forgetUnlistedStarts(l *List) {
	if len(r.started) <= len(l.Endpoints) {
		return // every listed endpoint has a start time, so no other endpoint has one
	}
	listed := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		listed[e.Name] = true
	}
	maps.DeleteFunc(r.started, func(name string, _ startTime) bool { return !listed[name] })
}

// Instance returns the instance that accepts an endpoint's requests at present, or false while the endpoint is draining or not listed.
func (r *Registry) Instance(name string) (Instance, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	instance, ok := r.ready[name]
	return instance, ok
}

// Ready reports whether an endpoint accepts requests and instance is still its present instance.
func (r *Registry) Ready(name string, instance Instance) bool {
	now, ok := r.Instance(name)
	return ok && now == instance
}

// Instances returns a copy of all ready instances, by endpoint name.
func (r *Registry) Instances() map[string]Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.ready)
}

// ReadyCount returns how many endpoints accept requests.
func (r *Registry) ReadyCount() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.ready)
}

// DrainingCount returns how many listed endpoints are draining.
func (r *Registry) DrainingCount() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.draining)
}
