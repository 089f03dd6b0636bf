package discovery

import (
	"sync"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Source follows one endpoint list; see endpoints.Source.
type Source = endpoints.Source

// Sink receives the reports of a Source; see endpoints.Sink.
type Sink = endpoints.Sink

// RegistrySink is the Sink that writes to a service's endpoint registry and then reports to its balancer. It is the only writer of that
// registry, and stores the list as last received. It is safe for concurrent use.
type RegistrySink struct {
	registry *endpoints.Registry
	report   func(balancer.EndpointUpdate)

	updating sync.Mutex // locked from the update of the registry until the balancer has received the update

	mu   sync.Mutex
	list receivedList
}

var _ Sink = (*RegistrySink)(nil)

// NewRegistrySink returns a RegistrySink that writes to registry and passes updates to the balancer with report.
func NewRegistrySink(registry *endpoints.Registry, report func(balancer.EndpointUpdate)) *RegistrySink {
	return &RegistrySink{registry: registry, report: report}
}

// Update applies a snapshot or an incremental change to the registry, and then reports it to the balancer.
func (s *RegistrySink) Update(l *endpoints.List) {
	s.updating.Lock()
	defer s.updating.Unlock()
	s.report(s.Apply(l))
}

// WaitForUpdates waits until the balancer has received all updates that the registry has. If the registry stopped an attempt, the engine
// calls WaitForUpdates before it reports the attempt to the balancer. Otherwise the balancer would choose the next endpoint from the
// previous list, which still has the removed endpoints.
func (s *RegistrySink) WaitForUpdates() {
	s.updating.Lock()
	defer s.updating.Unlock()
}

// Apply applies a snapshot or an incremental change to the registry alone, and returns the update for the balancer. A service uses it for
// its initial list.
func (s *RegistrySink) Apply(l *endpoints.List) balancer.EndpointUpdate {
	s.mu.Lock()
	defer s.mu.Unlock() // s.list and the registry must apply lists in the same order
	s.list.apply(l)
	return s.registry.Apply(l)
}

// Current reports to the balancer that the list is current.
func (s *RegistrySink) Current() { s.report(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate}) }

// Lost reports to the balancer that the list is lost, so that the balancer requests a refresh. It does nothing if the source retries by
// itself.
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

// receivedList is the latest known list: the last snapshot with the later changes applied. It has an entry for each ready or draining
// endpoint.
type receivedList struct {
	version int64
	entries map[string]endpoints.Endpoint
}

// apply applies a snapshot or an incremental change.
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

// snapshot returns the complete list.
func (r *receivedList) snapshot() *endpoints.List {
	version := r.version
	l := &endpoints.List{Index: &version, Snapshot: true, Endpoints: make([]endpoints.Endpoint, 0, len(r.entries))}
	for _, e := range r.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}
