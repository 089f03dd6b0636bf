package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"granitehinge/balancer"
)

// listing is one message of discovery: the whole list, or what changed.
type listing struct {
	Index     *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	SinceMs float64 `json:"since_ms"`
}

const (
	statusReady       = "Ready"
	statusTerminating = "Terminating"
)

// parseListing turns down what is not whole, so that half a message never replaces a good list.
func parseListing(text []byte) (*listing, error) {
	l := &listing{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, err
	}
	if l.Index == nil {
		return nil, errors.New("no index")
	}
	for _, e := range l.Endpoints {
		if e.Name == "" || e.Status == "" {
			return nil, errors.New("an endpoint without name or status")
		}
		if e.Status == statusReady {
			if err := checkAddress(e.Address); err != nil {
				return nil, fmt.Errorf("endpoint %s: address: %w", e.Name, err)
			}
		}
	}
	return l, nil
}

// clock is the sidecar's one clock. It is monotonic, and starts late enough that the times at which upstreams
// started just before this process are above 0, which means long ago.
type clock struct{ start time.Time }

const clockStart = time.Hour

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return clockStart + time.Since(c.start) }

// unixMs converts a wall-clock time in milliseconds; 0 stays 0.
func (c clock) unixMs(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	return max(0, clockStart+time.UnixMilli(int64(min(ms, 1e15))).Sub(c.start))
}

// directory holds where upstreams are and whether they want requests. Discovery's reader updates it as soon as
// a message is in, ahead of the loop, so that a request decided on before is still stopped at its write.
type directory struct {
	clock  clock
	onDrop func(name string) // an upstream's connections are no longer wanted

	mu     sync.RWMutex
	places map[string]place // of the upstreams that want requests, by name
}

// place tells the processes of an upstream apart: connections to an earlier one are worth nothing.
type place struct {
	address string
	sinceMs float64
}

func newDirectory(c clock, onDrop func(string)) *directory {
	return &directory{clock: c, onDrop: onDrop, places: map[string]place{}}
}

// apply takes in a message and translates it for the module.
func (d *directory) apply(l *listing) balancer.Members {
	m := balancer.Members{Kind: balancer.Change, Entries: make([]balancer.Member, 0, len(l.Endpoints))}
	d.mu.Lock()
	var dropped []string
	before := map[string]place{}
	if l.Snapshot {
		m.Kind = balancer.Full
		before, d.places = d.places, map[string]place{}
	}
	for _, e := range l.Endpoints {
		if !l.Snapshot {
			before[e.Name] = d.places[e.Name]
		}
		state := balancer.Left
		switch e.Status {
		case statusReady:
			state = balancer.Active
			d.places[e.Name] = place{e.Address, e.SinceMs}
		case statusTerminating:
			state = balancer.Leaving
			delete(d.places, e.Name)
		default:
			delete(d.places, e.Name)
		}
		m.Entries = append(m.Entries, balancer.Member{Upstream: e.Name, Zone: e.Zone, Machine: e.Type,
			Cell: e.Group, State: state, CameUp: d.clock.unixMs(e.SinceMs)})
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

// place is where an upstream takes requests now; nowhere while it drains or is gone.
func (d *directory) place(name string) (place, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.places[name]
	return at, ok
}

// ready tells whether an upstream takes requests, and still does so at that place.
func (d *directory) ready(name string, at place) bool {
	now, ok := d.place(name)
	return ok && now == at
}

func (d *directory) empty() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.places) == 0
}
