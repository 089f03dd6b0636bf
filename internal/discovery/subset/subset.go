package subset

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/endpoints"
)

// RemovedGrace is how long an endpoint that is no longer picked drains before it is removed from the subset.
const RemovedGrace = 10 * time.Second

// Subset chooses the members among the listed endpoints. It is not safe for concurrent use.
type Subset struct {
	options Options
	zone    string
	maxSize int

	listed    map[string]endpoints.Endpoint // ready and draining endpoints, by name
	local     *ring                         // ready endpoints of the sidecar's zone
	remote    *ring                         // ready endpoints of other zones
	members   map[string]endpoints.Endpoint // as last returned, by name
	releasing map[string]time.Time          // time at which a member that is no longer picked will be removed, by name

	size        int       // number of members to pick
	wantedSize  int       // the size that the latest request rate calls for
	wantedSince time.Time // when wantedSize began to differ from size in this direction
	firstListAt time.Time
	next        time.Time // when Tick is due; zero if no change is due at any time
}

// New returns a Subset without endpoints for a sidecar in a zone. sidecarName distinguishes sidecars whose index is not known.
// maxConnections is the maximum number of connections to all members together.
func New(o Options, sidecarName, zone string, maxConnections int) *Subset {
	hash := xxhash.Sum64String(sidecarName)
	limit := maxSize(o, maxConnections)
	size := min(o.MinSize, limit)
	return &Subset{
		options:    o,
		zone:       zone,
		maxSize:    limit,
		listed:     map[string]endpoints.Endpoint{},
		local:      newRing(hash),
		remote:     newRing(hash),
		members:    map[string]endpoints.Endpoint{},
		releasing:  map[string]time.Time{},
		size:       size,
		wantedSize: size,
	}
}

// Update applies a snapshot or a change of the endpoint list and returns the changes of the subset, or nil if nothing changes.
func (s *Subset) Update(now time.Time, l *endpoints.List) *endpoints.List {
	if s.firstListAt.IsZero() {
		s.firstListAt = now
	}
	if l.Snapshot {
		s.removeUnlisted(l)
	}
	for _, e := range l.Endpoints {
		s.set(e)
	}
	return s.choose(now)
}

// removeUnlisted removes the endpoints that a snapshot does not list.
func (s *Subset) removeUnlisted(l *endpoints.List) {
	listed := make(map[string]bool, len(l.Endpoints))
	for i := range l.Endpoints {
		listed[l.Endpoints[i].Name] = true
	}
	for name := range s.listed {
		if !listed[name] {
			s.set(endpoints.Endpoint{Name: name, Status: endpoints.StatusGone})
		}
	}
}

// set updates one endpoint in listed and on its ring.
func (s *Subset) set(e endpoints.Endpoint) {
	previous, known := s.listed[e.Name]
	if known && previous.Status == endpoints.StatusReady {
		if e.Status == endpoints.StatusReady && s.ringOf(previous) == s.ringOf(e) {
			s.listed[e.Name] = e
			return
		}
		s.ringOf(previous).remove(e.Name)
	}
	switch e.Status {
	case endpoints.StatusReady:
		s.ringOf(e).add(e.Name)
		s.listed[e.Name] = e
	case endpoints.StatusTerminating:
		s.listed[e.Name] = e
	default:
		delete(s.listed, e.Name)
	}
}

func (s *Subset) ringOf(e endpoints.Endpoint) *ring {
	if s.zone == "" || e.Zone == s.zone {
		return s.local
	}
	return s.remote
}

// Tick returns the changes of the subset that are due, or nil if there are none. The caller must call Tick at the time that Next returns,
// and may call it at any other time.
func (s *Subset) Tick(now time.Time) *endpoints.List {
	if s.next.IsZero() || now.Before(s.next) {
		return nil
	}
	return s.choose(now)
}

// Next returns the time at which Tick is due, or the zero time if no change is due at any time.
func (s *Subset) Next() time.Time { return s.next }

// scheduleTick makes Tick due at the given time, unless Tick is already due earlier.
func (s *Subset) scheduleTick(at time.Time) {
	if s.next.IsZero() || at.Before(s.next) {
		s.next = at
	}
}

// Size returns the number of members, including those that drain before their removal, and the number of listed endpoints.
func (s *Subset) Size() (members, listed int) { return len(s.members), len(s.listed) }
