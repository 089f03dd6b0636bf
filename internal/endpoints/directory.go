// Package directory keeps where upstreams are and whether they want requests. Whoever hears of a change applies it
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

// Directory is safe for concurrent use. It holds one entry for each upstream that is listed.
type Directory struct {
	clock  clock.Clock
	onDrop func(name string)

	mu     sync.RWMutex
	places map[string]Place // of the upstreams that want requests, by name
	leaves map[string]bool  // those that are listed and want none
	starts map[string]start // of both
}

// Place tells the processes of an upstream apart: connections to an earlier one are worth nothing.
type Place struct {
	Address  string
	SinceMs  float64
	Identity string
}

// New returns an empty Directory. It calls onDrop, outside its lock, with the name of each upstream whose
// connections are no longer wanted; nil: nobody is told.
func New(c clock.Clock, onDrop func(name string)) *Directory {
	if onDrop == nil {
		onDrop = func(string) {}
	}
	return &Directory{clock: c, onDrop: onDrop, places: map[string]Place{}, leaves: map[string]bool{}, starts: map[string]start{}}
}

// Apply takes in a message and translates it for the module.
func (d *Directory) Apply(l *Listing) balancer.EndpointUpdate {
	m := balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: make([]balancer.Endpoint, 0, len(l.Endpoints))}
	d.mu.Lock()
	var dropped []string
	before := map[string]Place{}
	if l.Snapshot {
		m.Kind = balancer.FullUpdate
		before, d.places = d.places, map[string]Place{}
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
			d.places[e.Name] = Place{e.Address, e.SinceMs, e.Identity}
		case StatusTerminating:
			state = balancer.Draining
			delete(d.places, e.Name)
			d.leaves[e.Name] = true
		default:
			delete(d.places, e.Name)
		}
		m.Endpoints = append(m.Endpoints, balancer.Endpoint{Name: e.Name, Zone: e.Zone, MachineType: e.Type,
			Cell: e.Group, State: state, StartedAt: d.started(e)})
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
func (d *Directory) started(e Endpoint) time.Duration {
	known, ok := d.starts[e.Name]
	if !ok || known.sinceMs != e.SinceMs {
		known = start{e.SinceMs, d.clock.FromUnixMs(e.SinceMs)}
	}
	if e.Status == StatusReady || e.Status == StatusTerminating {
		d.starts[e.Name] = known
	} else {
		delete(d.starts, e.Name)
	}
	return known.at
}

// forgetStarts keeps the starts that a whole list names. The caller holds mu.
func (d *Directory) forgetStarts(l *Listing) {
	if len(d.starts) <= len(l.Endpoints) {
		return // each that is listed has one
	}
	listed := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		listed[e.Name] = true
	}
	maps.DeleteFunc(d.starts, func(name string, _ start) bool { return !listed[name] })
}

// Place is where an upstream takes requests now; nowhere while it drains or is gone.
func (d *Directory) Place(name string) (Place, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.places[name]
	return at, ok
}

// Ready tells whether an upstream takes requests, and still does so at that place.
func (d *Directory) Ready(name string, at Place) bool {
	now, ok := d.Place(name)
	return ok && now == at
}

// Len is how many upstreams want requests.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.places)
}

// Leaving is how many upstreams are listed and want no requests.
func (d *Directory) Leaving() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.leaves)
}

// Process is a number that tells the processes of one upstream apart.
func (p Place) Process() uint64 {
	return xxhash.Sum64String(p.Address+"\x00"+p.Identity) ^ uint64(p.SinceMs)
}

// Places is a copy of where all upstreams take requests, by name.
func (d *Directory) Places() map[string]Place {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.places)
}
