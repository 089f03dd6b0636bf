package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

func (s *simulation) endpoint(n *node, status string) endpoints.Endpoint {
	e := endpoints.Endpoint{Name: n.name, Address: "127.0.0.1:1", Zone: n.zone, Status: status}
	if n.startedAt > 0 {
		e.StartedMs = float64(s.wallTime(n.startedAt).UnixMilli())
	}
	return e
}

// deliverList brings a list, or a change, to a sidecar: through its subset, if it has one.
func (s *simulation) deliverList(sc *sidecar, list *endpoints.List, kind balancer.UpdateKind) {
	s.cacheList(sc, list)
	if sc.subset != nil {
		if list = sc.subset.Update(s.wallTime(s.Now()), list); list == nil {
			return
		}
		if kind == balancer.FullUpdate {
			kind = balancer.IncrementalUpdate
		}
	}
	s.updateEndpoints(sc, list, kind)
}

func (s *simulation) updateEndpoints(sc *sidecar, list *endpoints.List, kind balancer.UpdateKind) {
	if list == nil {
		return
	}
	update := balancer.EndpointUpdate{Kind: kind}
	for _, e := range list.Endpoints {
		member := balancer.Endpoint{Name: e.Name, Zone: e.Zone}
		switch e.Status {
		case endpoints.StatusTerminating:
			member.State = balancer.Draining
		case endpoints.StatusGone:
			member.State = balancer.Removed
		}
		if e.StartedMs > 0 && !s.run.HideStartTimes {
			member.StartedAt = virtualtime.Origin + time.UnixMilli(int64(e.StartedMs)).Sub(s.wallClockOrigin)
		}
		update.Endpoints = append(update.Endpoints, member)
		if sc.prewarmer != nil {
			if delete(sc.prewarmMembers, e.Name); member.State == balancer.Active {
				sc.prewarmMembers[e.Name] = uint64(e.StartedMs) + 1
			}
		}
		if sc.prober != nil {
			if sc.prober.Remove(e.Name); member.State == balancer.Active {
				sc.prober.Add(e.Name)
			}
		}
		sc.inactive[e.Name] = member.State != balancer.Active
		if s.run.SyncProbes != nil || sc.policy != nil {
			sc.activeUpstreams = slices.DeleteFunc(sc.activeUpstreams, func(name string) bool { return name == e.Name })
			if member.State == balancer.Active {
				sc.activeUpstreams = append(sc.activeUpstreams, e.Name)
			}
		}
		if member.State != balancer.Active { // its connections are closed as they come back
			if pool := sc.pools[s.byName[e.Name]]; pool != nil {
				s.connectionsClosed(sc, s.byName[e.Name], len(pool.idleSince))
				pool.idleSince = pool.idleSince[:0]
			}
		}
	}
	if sc.policy != nil {
		sc.policy.SetUpstreams(sc.activeUpstreams)
		return
	}
	s.handleEvent(sc, update)
}

// announceStatus tells all sidecars of a node's state, each after a delay of its own.
func (s *simulation) announceStatus(n *node, status string) {
	e := s.endpoint(n, status)
	n.listed = status == endpoints.StatusReady
	for _, sc := range s.sidecars {
		if s.run.Discovery != nil {
			if !sc.watching {
				continue // it gets the whole list when its call is taken
			}
			s.chargeDiscovery(1)
		}
		if sc.pendingUpdates = append(sc.pendingUpdates, e); len(sc.pendingUpdates) > 1 {
			continue // they come together, as a poll or a watch brings them
		}
		s.After(time.Duration(s.rng.Int64N(int64(maxListDelay))), func() {
			news := sc.pendingUpdates
			sc.pendingUpdates = nil
			if s.run.Discovery != nil && !sc.watching {
				return
			}
			s.deliverList(sc, &endpoints.List{Endpoints: news}, balancer.IncrementalUpdate)
		})
	}
}

// currentList is what is listed now.
func (s *simulation) currentList() *endpoints.List {
	list := &endpoints.List{Snapshot: true}
	for _, n := range s.nodes {
		if n.listed {
			list.Endpoints = append(list.Endpoints, s.endpoint(n, endpoints.StatusReady))
		}
	}
	return list
}

// cacheList keeps what a sidecar last had of the list.
func (s *simulation) cacheList(sc *sidecar, list *endpoints.List) {
	if s.run.Discovery == nil {
		return
	}
	if list.Snapshot {
		sc.cachedList = sc.cachedList[:0]
	}
	for _, e := range list.Endpoints {
		sc.cachedList = slices.DeleteFunc(sc.cachedList, func(x endpoints.Endpoint) bool { return x.Name == e.Name })
		if e.Status == endpoints.StatusReady {
			sc.cachedList = append(sc.cachedList, e)
		}
	}
}
