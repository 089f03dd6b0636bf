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

// RegistrySink is the Sink of a service with one list: what is heard goes to its directory, then to the module. It keeps the
// list as last held, one entry for each upstream listed.
type RegistrySink struct {
	dir    *endpoints.Registry
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

func (h *held) take(l *endpoints.List) {
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
func (h *held) last() *endpoints.List {
	index := h.index
	l := &endpoints.List{Index: &index, Snapshot: true, Endpoints: make([]endpoints.Endpoint, 0, len(h.entries))}
	for _, e := range h.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// NewRegistrySink returns one for a directory; report hands news to the module.
func NewRegistrySink(dir *endpoints.Registry, report func(balancer.EndpointUpdate)) *RegistrySink {
	return &RegistrySink{dir: dir, report: report}
}

// Update is Sink's.
func (f *RegistrySink) Update(l *endpoints.List) {
	f.telling.Lock()
	defer f.telling.Unlock()
	f.report(f.Apply(l))
}

// WaitForUpdates waits until the module has what the directory has. An attempt that the directory stopped is told to the module
// after that: with the old list it would look for another upstream among those that have just gone.
func (f *RegistrySink) WaitForUpdates() {
	f.telling.Lock()
	defer f.telling.Unlock()
}

// Apply is Update for a list that the module is to get by other means: it returns the news.
func (f *RegistrySink) Apply(l *endpoints.List) balancer.EndpointUpdate {
	f.mu.Lock()
	defer f.mu.Unlock() // one list after another, in the directory too
	f.held.take(l)
	return f.dir.Apply(l)
}

// Current is Sink's.
func (f *RegistrySink) Current() { f.report(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate}) }

// Lost is Sink's. The module hears of it where it is for it to ask again.
func (f *RegistrySink) Lost(_ error, again bool) {
	if !again {
		f.report(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
	}
}

// Last is the list as last held, whole.
func (f *RegistrySink) Last() *endpoints.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.last()
}
