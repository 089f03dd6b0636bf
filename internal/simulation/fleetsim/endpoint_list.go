package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

// endpoint is a node's entry in the endpoint list.
func (s *simulation) endpoint(n *node, status string) endpoints.Endpoint {
	e := endpoints.Endpoint{Name: n.name, Address: "127.0.0.1:1", Zone: n.zone, Status: status}
	if n.startedAt > 0 {
		e.StartedMs = float64(s.wallTime(n.startedAt).UnixMilli())
	}
	return e
}

// deliverList gives a list or a change to a sidecar, through its subset if it has one.
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

// updateEndpoints gives the changes that passed the subset to everything in a sidecar that chooses or connects. list may be nil.
func (s *simulation) updateEndpoints(sc *sidecar, list *endpoints.List, kind balancer.UpdateKind) {
	if list == nil {
		return
	}
	update := balancer.EndpointUpdate{Kind: kind}
	for _, e := range list.Endpoints {
		member := s.balancerEndpoint(e)
		update.Endpoints = append(update.Endpoints, member)
		s.updateEndpoint(sc, e, member.State == balancer.Active)
	}
	if sc.policy != nil {
		sc.policy.SetUpstreams(sc.activeUpstreams)
		return
	}
	s.handleEvent(sc, update)
}

// balancerEndpoint is an entry of the list as the balancer takes it.
func (s *simulation) balancerEndpoint(e endpoints.Endpoint) balancer.Endpoint {
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
	return member
}

// updateEndpoint updates what a sidecar knows of one endpoint beside the balancer.
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
	if !active { // connections in use are closed as their attempts end
		s.closeIdle(sc, s.byName[e.Name])
	}
}

// announceStatus notifies all sidecars of a node's status, each after a delay of its own.
func (s *simulation) announceStatus(n *node, status string) {
	e := s.endpoint(n, status)
	n.listed = status == endpoints.StatusReady
	for _, sc := range s.sidecars {
		if s.run.Discovery != nil {
			if !sc.watching {
				continue // it gets the full list when its call is answered
			}
			s.chargeDiscovery(1)
		}
		if sc.pendingUpdates = append(sc.pendingUpdates, e); len(sc.pendingUpdates) > 1 {
			continue // it is delivered together with the update before it
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

// currentList is the full list as the discovery service has it.
func (s *simulation) currentList() *endpoints.List {
	list := &endpoints.List{Snapshot: true}
	for _, n := range s.nodes {
		if n.listed {
			list.Endpoints = append(list.Endpoints, s.endpoint(n, endpoints.StatusReady))
		}
	}
	return list
}

// cacheList keeps the list that a sidecar would start with after a kill.
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
