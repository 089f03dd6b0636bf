package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

// endpoint returns a node's entry in the endpoint list.
func (s *simulation) endpoint(n *node, status string) endpoints.Endpoint {
	e := endpoints.Endpoint{Name: n.name, Address: "127.0.0.1:1", Zone: n.zone, Status: status}
	if n.startedAt > 0 {
		e.StartedMs = float64(s.wallTime(n.startedAt).UnixMilli())
	}
	return e
}

// deliverList delivers a list to a sidecar, either a full list or changes of it. If the sidecar has a subset, only what concerns
// the subset is passed on.
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

// updateEndpoints passes a list to the sidecar's balancer or policy, and to its prewarmer and prober. list may be nil, which means
// that there are no changes.
func (s *simulation) updateEndpoints(sc *sidecar, list *endpoints.List, kind balancer.UpdateKind) {
	if list == nil {
		return
	}
	update := balancer.EndpointUpdate{Kind: kind}
	for _, e := range list.Endpoints {
		endpoint := s.balancerEndpoint(e)
		update.Endpoints = append(update.Endpoints, endpoint)
		s.updateEndpoint(sc, e, endpoint.State == balancer.Active)
	}
	if sc.policy != nil {
		sc.policy.SetUpstreams(sc.activeUpstreams)
		return
	}
	s.handleEvent(sc, update)
}

// balancerEndpoint converts an entry of the list for the balancer.
func (s *simulation) balancerEndpoint(e endpoints.Endpoint) balancer.Endpoint {
	endpoint := balancer.Endpoint{Name: e.Name, Zone: e.Zone}
	switch e.Status {
	case endpoints.StatusTerminating:
		endpoint.State = balancer.Draining
	case endpoints.StatusGone:
		endpoint.State = balancer.Removed
	}
	if e.StartedMs > 0 && !s.run.HideStartTimes {
		endpoint.StartedAt = virtualtime.Origin + time.UnixMilli(int64(e.StartedMs)).Sub(s.wallClockOrigin)
	}
	return endpoint
}

// updateEndpoint updates what a sidecar knows about one endpoint, except in its balancer or policy.
func (s *simulation) updateEndpoint(sc *sidecar, e endpoints.Endpoint, active bool) {
	sc.inactive[e.Name] = !active
	if sc.prewarmer != nil {
		delete(sc.prewarmMembers, e.Name)
		if active {
			sc.prewarmMembers[e.Name] = uint64(e.StartedMs) + 1
		}
	}
	if sc.prober != nil {
		sc.prober.Remove(e.Name)
		if active {
			sc.prober.Add(e.Name)
		}
	}
	if s.run.SyncProbes != nil || sc.policy != nil {
		sc.activeUpstreams = slices.DeleteFunc(sc.activeUpstreams, func(name string) bool { return name == e.Name })
		if active {
			sc.activeUpstreams = append(sc.activeUpstreams, e.Name)
		}
	}
	if !active { // connections in use are closed when their attempts end
		s.closeIdle(sc, s.byName[e.Name])
	}
}

// announceStatus notifies all sidecars of a node's status, each of them after a separate random delay.
func (s *simulation) announceStatus(n *node, status string) {
	e := s.endpoint(n, status)
	n.listed = status == endpoints.StatusReady
	for _, sc := range s.sidecars {
		if s.run.Discovery != nil {
			if !sc.watching {
				continue // the sidecar will get the full list as the answer to its call
			}
			s.chargeDiscovery(1)
		}
		if sc.pendingUpdates = append(sc.pendingUpdates, e); len(sc.pendingUpdates) > 1 {
			continue // delivered together with the updates that are already pending
		}
		s.After(time.Duration(s.rng.Int64N(int64(maxListDelay))), func() {
			updates := sc.pendingUpdates
			sc.pendingUpdates = nil
			if s.run.Discovery != nil && !sc.watching {
				return
			}
			s.deliverList(sc, &endpoints.List{Endpoints: updates}, balancer.IncrementalUpdate)
		})
	}
}

// currentList returns the current full list of the discovery service.
func (s *simulation) currentList() *endpoints.List {
	list := &endpoints.List{Snapshot: true}
	for _, n := range s.nodes {
		if n.listed {
			list.Endpoints = append(list.Endpoints, s.endpoint(n, endpoints.StatusReady))
		}
	}
	return list
}

// cacheList updates the list with which a sidecar starts after it was killed.
func (s *simulation) cacheList(sc *sidecar, list *endpoints.List) {
	if s.run.Discovery == nil {
		return
	}
	if list.Snapshot {
		sc.cachedList = sc.cachedList[:0]
	}
	for _, e := range list.Endpoints {
		sc.cachedList = slices.DeleteFunc(sc.cachedList, func(cached endpoints.Endpoint) bool { return cached.Name == e.Name })
		if e.Status == endpoints.StatusReady {
			sc.cachedList = append(sc.cachedList, e)
		}
	}
}
