// Package endpoints keeps where upstreams are and whether they want requests. Whoever hears of a change applies it
// here at once, ahead of the engine, so that a request decided on before is still stopped at its write.
package endpoints

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

// Registry is safe for concurrent use. It holds one entry for each upstream that is listed.
type Registry struct {
	clock  clock.Clock
	onDrop func(name string)

	mu     sync.RWMutex
	places map[string]Instance // of the upstreams that want requests, by name
	leaves map[string]bool     // those that are listed and want none
	starts map[string]start    // of both
}

// Instance tells the processes of an upstream apart: connections to an earlier one are worth nothing.
type Instance struct {
	Address     string
	StartedMs   float64
	TLSIdentity string
}

// New returns an empty Directory. It calls onDrop, outside its lock, with the name of each upstream whose
// connections are no longer wanted; nil: nobody is told.
func New(c clock.Clock, onDrop func(name string)) *Registry {
	if onDrop == nil {
		onDrop = func(string) {}
	}
	return &Registry{clock: c, onDrop: onDrop, places: map[string]Instance{}, leaves: map[string]bool{}, starts: map[string]start{}}
}

// Apply takes in a message and translates it for the module.
func (d *Registry) Apply(l *List) balancer.EndpointUpdate {
	m := balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: make([]balancer.Endpoint, 0, len(l.Endpoints))}
	d.mu.Lock()
	var dropped []string
	before := map[string]Instance{}
	if l.Snapshot {
		m.Kind = balancer.FullUpdate
		before, d.places = d.places, map[string]Instance{}
		clear(d.leaves)
	}
	for _, e := range l.Endpoints {
		if !l.Snapshot {
			if _, seen := before[e.Name]; !seen {
				before[e.Name] = d.places[e.Name]
			}
		}
		state := balancer.Removed
		delete(d.leaves, e.Name)
		switch e.Status {
		case StatusReady:
			state = balancer.Active
			d.places[e.Name] = Instance{e.Address, e.StartedMs, e.TLSIdentity}
		case StatusTerminating:
			state = balancer.Draining
			delete(d.places, e.Name)
			d.leaves[e.Name] = true
		default:
			delete(d.places, e.Name)
		}
		m.Endpoints = append(m.Endpoints, balancer.Endpoint{Name: e.Name, Zone: e.Zone, MachineType: e.MachineType,
			Cell: e.Cell, State: state, StartedAt: d.started(e)})
	}
	if l.Snapshot {
		d.forgetStarts(l)
	}
	for name, at := range before {
		if d.places[name] != at {
			dropped = append(dropped, name)
		}
	}
	d.mu.Unlock()
	for _, name := range dropped {
		d.onDrop(name)
	}
	return m
}

// start is when a process of an upstream started, as discovery tells it and on the clock.
type start struct {
	sinceMs float64
	at      time.Duration
}

// started is when an upstream's process started. What was understood once stays: the wall clock, by which it is told, may be stepped. The
// caller holds mu.
func (d *Registry) started(e Endpoint) time.Duration {
	known, ok := d.starts[e.Name]
	if !ok || known.sinceMs != e.StartedMs {
		known = start{e.StartedMs, d.clock.FromUnixMs(e.StartedMs)}
	}
	if e.Status == StatusReady || e.Status == StatusTerminating {
		d.starts[e.Name] = known
	} else {
		delete(d.starts, e.Name)
	}
	return known.at
}

// forgetStarts keeps the starts that a whole list names. The caller holds mu.
func (d *Registry) forgetStarts(l *List) {
	if len(d.starts) <= len(l.Endpoints) {
		return // each that is listed has one
	}
	listed := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		listed[e.Name] = true
	}
	maps.DeleteFunc(d.starts, func(name string, _ start) bool { return !listed[name] })
}

// Instance is where an upstream takes requests now; nowhere while it drains or is gone.
func (d *Registry) Instance(name string) (Instance, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.places[name]
	return at, ok
}

// Ready tells whether an upstream takes requests, and still does so at that place.
func (d *Registry) Ready(name string, at Instance) bool {
	now, ok := d.Instance(name)
	return ok && now == at
}

// ReadyCount is how many upstreams want requests.
func (d *Registry) ReadyCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.places)
}

// DrainingCount is how many upstreams are listed and want no requests.
func (d *Registry) DrainingCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.leaves)
}

// ProcessID is a number that tells the processes of one upstream apart.
func (p Instance) ProcessID() uint64 {
	return xxhash.Sum64String(p.Address+"\x00"+p.TLSIdentity) ^ uint64(p.StartedMs)
}

// Instances is a copy of where all upstreams take requests, by name.
func (d *Registry) Instances() map[string]Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.places)
}
