package discovery

import (
	"sync"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Source and Sink are the directory's.
type (
	Source = endpoints.Source
	Sink   = endpoints.Sink
)

// Feed is the Sink of a service with one list: what is heard goes to its directory, then to the module. It keeps the
// list as last held, one entry for each upstream listed.
type Feed struct {
	dir    *endpoints.Directory
	report func(balancer.EndpointUpdate)

	telling sync.Mutex // from when the directory has news until the module has them

	mu   sync.Mutex
	held held
}

// held is a list as last held, one entry for each upstream that is there, from a Listing and the changes after it.
type held struct {
	index   int64
	entries map[string]endpoints.Endpoint
}

func (h *held) take(l *endpoints.Listing) {
	if l.Snapshot || h.entries == nil {
		h.entries = make(map[string]endpoints.Endpoint, len(l.Endpoints))
	}
	if l.Index != nil {
		h.index = *l.Index
	}
	for _, e := range l.Endpoints {
		if e.Status == endpoints.StatusReady || e.Status == endpoints.StatusTerminating {
			h.entries[e.Name] = e
		} else {
			delete(h.entries, e.Name)
		}
	}
}

// last is all of it.
func (h *held) last() *endpoints.Listing {
	index := h.index
	l := &endpoints.Listing{Index: &index, Snapshot: true, Endpoints: make([]endpoints.Endpoint, 0, len(h.entries))}
	for _, e := range h.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// NewFeed returns one for a directory; report hands news to the module.
func NewFeed(dir *endpoints.Directory, report func(balancer.EndpointUpdate)) *Feed {
	return &Feed{dir: dir, report: report}
}

// Update is Sink's.
func (f *Feed) Update(l *endpoints.Listing) {
	f.telling.Lock()
	defer f.telling.Unlock()
	f.report(f.Take(l))
}

// Settle waits until the module has what the directory has. An attempt that the directory stopped is told to the module
// after that: with the old list it would look for another upstream among those that have just gone.
func (f *Feed) Settle() {
	f.telling.Lock()
	defer f.telling.Unlock()
}

// Take is Update for a list that the module is to get by other means: it returns the news.
func (f *Feed) Take(l *endpoints.Listing) balancer.EndpointUpdate {
	f.mu.Lock()
	defer f.mu.Unlock() // one list after another, in the directory too
	f.held.take(l)
	return f.dir.Apply(l)
}

// Heard is Sink's.
func (f *Feed) Heard() { f.report(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate}) }

// Lost is Sink's. The module hears of it where it is for it to ask again.
func (f *Feed) Lost(_ error, again bool) {
	if !again {
		f.report(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
	}
}

// Last is the list as last held, whole.
func (f *Feed) Last() *endpoints.Listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.last()
}
