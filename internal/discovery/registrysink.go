package discovery

import (
	"sync"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Source follows one endpoint list; see endpoints.Source.
type Source = endpoints.Source

// Sink takes what a Source reports; see endpoints.Sink.
type Sink = endpoints.Sink

// RegistrySink is the Sink that writes to a service's endpoint registry and then reports to its balancer. It is the only writer of that
// registry, and keeps the list as last received. It is safe for concurrent use.
type RegistrySink struct {
	registry *endpoints.Registry
	report   func(balancer.EndpointUpdate)

	updating sync.Mutex // from when the registry has an update until the balancer has it

	mu   sync.Mutex
	list receivedList
}

var _ Sink = (*RegistrySink)(nil)

// NewRegistrySink returns a RegistrySink; report hands an update to the balancer.
func NewRegistrySink(registry *endpoints.Registry, report func(balancer.EndpointUpdate)) *RegistrySink {
	return &RegistrySink{registry: registry, report: report}
}

// Update applies a list or a change to the registry, then reports it to the balancer.
func (s *RegistrySink) Update(l *endpoints.List) {
	s.updating.Lock()
	defer s.updating.Unlock()
	s.report(s.Apply(l))
}

// WaitForUpdates waits until the balancer has what the registry has. An attempt that the registry stopped is reported to the balancer
// after that: with the list before, it would choose among endpoints that have just been removed.
func (s *RegistrySink) WaitForUpdates() {
	s.updating.Lock()
	defer s.updating.Unlock()
}

// Apply applies a list or a change to the registry alone, and returns the update for the balancer. It is for the list that a service
// starts with.
func (s *RegistrySink) Apply(l *endpoints.List) balancer.EndpointUpdate {
	s.mu.Lock()
	defer s.mu.Unlock() // the registry gets the lists in the same order
	s.list.apply(l)
	return s.registry.Apply(l)
}

// Current reports to the balancer that the list is current.
func (s *RegistrySink) Current() { s.report(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate}) }

// Lost reports to the balancer that the list is lost, where the source waits for the balancer to refresh it.
func (s *RegistrySink) Lost(_ error, retries bool) {
	if !retries {
		s.report(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
	}
}

// Last returns the list as last received, as a snapshot.
func (s *RegistrySink) Last() *endpoints.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.snapshot()
}

// receivedList is a list as last received: a snapshot and the changes since. It has an entry for each endpoint that is ready or draining.
type receivedList struct {
	version int64
	entries map[string]endpoints.Endpoint
}

// apply takes a snapshot or a change.
func (r *receivedList) apply(l *endpoints.List) {
	if l.Snapshot || r.entries == nil {
		r.entries = make(map[string]endpoints.Endpoint, len(l.Endpoints))
	}
	if l.Index != nil {
		r.version = *l.Index
	}
	for _, e := range l.Endpoints {
		if e.Status == endpoints.StatusReady || e.Status == endpoints.StatusTerminating {
			r.entries[e.Name] = e
		} else {
			delete(r.entries, e.Name)
		}
	}
}

// snapshot returns the whole list.
func (r *receivedList) snapshot() *endpoints.List {
	version := r.version
	l := &endpoints.List{Index: &version, Snapshot: true, Endpoints: make([]endpoints.Endpoint, 0, len(r.entries))}
	for _, e := range r.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}
