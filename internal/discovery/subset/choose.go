package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// choose picks the members again and returns the changes of the subset, or nil if nothing changes.
func (s *Subset) choose(now time.Time) *endpoints.List {
	s.next = time.Time{}
	picked := s.pickMembers(now)
	var changes []endpoints.Endpoint
	for name := range picked {
		e := s.listed[name]
		if previous, ok := s.members[name]; !ok || previous != e {
			changes = append(changes, e)
			s.members[name] = e
		}
		delete(s.releasing, name)
	}
	for name := range s.members {
		if picked[name] {
			continue
		}
		if change, changed := s.release(now, name); changed {
			changes = append(changes, change)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	slices.SortFunc(changes, func(a, b endpoints.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return &endpoints.List{Endpoints: changes}
}

// pickMembers returns the names of the members. The fraction RemoteZoneFraction of them is picked from other zones. If the sidecar's zone
// has too few endpoints, more are picked from the other zones, and vice versa.
func (s *Subset) pickMembers(now time.Time) map[string]bool {
	remote := int(math.Ceil(float64(s.size) * s.options.RemoteZoneFraction))
	local := s.size - remote
	if n := s.local.size(); n < local {
		local, remote = n, s.size-n
	}
	if n := s.remote.size(); n < remote {
		remote, local = n, s.size-n
	}
	picked := make(map[string]bool, s.size+1)
	s.pickFrom(now, s.local, local, picked)
	s.pickFrom(now, s.remote, remote, picked)
	s.keepWarmMembers(now, picked)
	return picked
}

// pickFrom picks this sidecar's share of a ring: the endpoints that the ring assigns to the sidecar. If more than half of the share is
// warming up, pickFrom borrows warm endpoints from further along the ring, at most half as many as the share has. When many endpoints
// restart at once, the warm endpoints thus carry the load, and the others get only the requests that the balancer's slow start allows.
func (s *Subset) pickFrom(now time.Time, r *ring, want int, picked map[string]bool) {
	names, shareSize := r.share(s.options.Index, s.options.FleetSize, want, want)
	shareSize = min(shareSize, max(0, s.maxSize-len(picked)))
	warm, borrowed := 0, 0
	for i, name := range names {
		warmAt, isWarming := s.warming(now, name)
		if i < shareSize {
			picked[name] = true
			if isWarming {
				s.scheduleTick(warmAt)
			} else {
				warm++
			}
			continue
		}
		if 2*(warm+borrowed) >= shareSize || borrowed >= (shareSize+1)/2 || len(picked) >= s.maxSize {
			return
		}
		if !isWarming {
			borrowed++
			picked[name] = true
		}
	}
}

// keepWarmMembers keeps warm members that were not picked again, while more than half of the picked endpoints are warming up. This matters
// after the number of endpoints has grown several times over at once, since the ring then has hardly any warm endpoint to borrow.
func (s *Subset) keepWarmMembers(now time.Time, picked map[string]bool) {
	warm := 0
	for name := range picked {
		if _, isWarming := s.warming(now, name); !isWarming {
			warm++
		}
	}
	if 2*warm >= len(picked) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		if 2*warm >= len(picked) || len(picked) >= s.maxSize {
			return
		}
		if _, isWarming := s.warming(now, name); isWarming || picked[name] || s.members[name].Status != endpoints.StatusReady ||
			s.listed[name].Status != endpoints.StatusReady {
			continue
		}
		picked[name] = true
		warm++
	}
}

// warming reports whether an endpoint started less than SlowStartWindow ago, and when it will be warm.
func (s *Subset) warming(now time.Time, name string) (warmAt time.Time, isWarming bool) {
	startedMs := s.listed[name].StartedMs
	warmAt = time.UnixMilli(int64(startedMs)).Add(s.options.SlowStartWindow.D())
	return warmAt, startedMs > 0 && warmAt.After(now)
}

// release advances the removal of a member that was not picked, and returns the member's new entry and whether it changed. The member
// drains for RemovedGrace and is then removed. A member that the list marks as draining drains as long as it is listed, and a member that
// is no longer listed is removed at once.
func (s *Subset) release(now time.Time, name string) (change endpoints.Endpoint, changed bool) {
	previous := s.members[name]
	e, isListed := s.listed[name]
	removeAt, isReleasing := s.releasing[name]
	switch {
	case !isListed:
		return s.removeMember(name), true
	case e.Status == endpoints.StatusTerminating:
		delete(s.releasing, name)
		s.members[name] = e
		return e, previous != e
	case !isReleasing:
		s.releasing[name] = now.Add(RemovedGrace)
		s.scheduleTick(now.Add(RemovedGrace))
		e.Status = endpoints.StatusTerminating
		s.members[name] = e
		return e, true
	case !removeAt.After(now):
		return s.removeMember(name), true
	}
	s.scheduleTick(removeAt)
	return endpoints.Endpoint{}, false
}

// removeMember deletes a member and returns its removal as a change.
func (s *Subset) removeMember(name string) endpoints.Endpoint {
	e := s.members[name]
	e.Status = endpoints.StatusGone
	delete(s.members, name)
	delete(s.releasing, name)
	return e
}
