package subset

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/endpoints"
)

// RemovedGrace is how long an endpoint that is no longer a member drains before it is removed.
const RemovedGrace = 10 * time.Second

// Subset chooses the members among the listed endpoints. It is not safe for concurrent use.
type Subset struct {
	options Options
	zone    string
	maxSize int

	listed    map[string]endpoints.Endpoint // ready and draining, by name
	local     *ring                         // the ready ones of the sidecar's zone
	remote    *ring                         // and of the others
	members   map[string]endpoints.Endpoint // as returned, by name
	releasing map[string]time.Time          // members that drain since they are not picked any more: when each is removed

	size        int       // members that are picked
	wantedSize  int       // by the last request rate
	wantedSince time.Time // when wantedSize began to differ from size in this direction
	firstListAt time.Time
	next        time.Time // when time alone changes something; zero: never
}

// New returns a Subset without endpoints for a sidecar in a zone. sidecarName tells sidecars apart whose index is not known.
// maxConnections bounds the connections to all members.
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

// Update takes a list or a change and returns what changes in the subset; nil: nothing.
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

// set takes one endpoint of a list.
func (s *Subset) set(e endpoints.Endpoint) {
	was, known := s.listed[e.Name]
	if known && was.Status == endpoints.StatusReady {
		if e.Status == endpoints.StatusReady && s.ringOf(was) == s.ringOf(e) {
			s.listed[e.Name] = e
			return
		}
		s.ringOf(was).remove(e.Name)
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

// Tick returns what changes by the time; nil: nothing. It is to be called at Next, and may be called at any time.
func (s *Subset) Tick(now time.Time) *endpoints.List {
	if s.next.IsZero() || now.Before(s.next) {
		return nil
	}
	return s.choose(now)
}

// Next returns when Tick is due; zero: time changes nothing.
func (s *Subset) Next() time.Time { return s.next }

// wakeAt has Tick called at a time, or before.
func (s *Subset) wakeAt(at time.Time) {
	if s.next.IsZero() || at.Before(s.next) {
		s.next = at
	}
}

// Size returns how many endpoints are members, those that are being released included, and how many are listed.
func (s *Subset) Size() (members, listed int) { return len(s.members), len(s.listed) }
