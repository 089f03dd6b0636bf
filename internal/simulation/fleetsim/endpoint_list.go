package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

func (s *sim) endpoint(n *node, status string) endpoints.Endpoint {
	e := endpoints.Endpoint{Name: n.name, Address: "127.0.0.1:1", Zone: n.zone, Status: status}
	if n.started > 0 {
		e.StartedMs = float64(s.at(n.started).UnixMilli())
	}
	return e
}

// tell brings a list, or a change, to a sidecar: through its subset, if it has one.
func (s *sim) tell(c *sidecar, l *endpoints.List, kind balancer.UpdateKind) {
	s.knows(c, l)
	if c.s != nil {
		if l = c.s.Update(s.at(s.Now()), l); l == nil {
			return
		}
		if kind == balancer.FullUpdate {
			kind = balancer.IncrementalUpdate
		}
	}
	s.members(c, l, kind)
}

func (s *sim) members(c *sidecar, l *endpoints.List, kind balancer.UpdateKind) {
	if l == nil {
		return
	}
	m := balancer.EndpointUpdate{Kind: kind}
	for _, e := range l.Endpoints {
		member := balancer.Endpoint{Name: e.Name, Zone: e.Zone}
		switch e.Status {
		case endpoints.StatusTerminating:
			member.State = balancer.Draining
		case endpoints.StatusGone:
			member.State = balancer.Removed
		}
		if e.StartedMs > 0 && !s.r.Blind {
			member.StartedAt = virtualtime.Origin + time.UnixMilli(int64(e.StartedMs)).Sub(s.wall)
		}
		m.Endpoints = append(m.Endpoints, member)
		if c.warm != nil {
			if delete(c.ready, e.Name); member.State == balancer.Active {
				c.ready[e.Name] = uint64(e.StartedMs) + 1
			}
		}
		if c.probe != nil {
			if c.probe.Remove(e.Name); member.State == balancer.Active {
				c.probe.Add(e.Name)
			}
		}
		c.leave[e.Name] = member.State != balancer.Active
		if s.r.Probes != nil || c.p != nil {
			c.own = slices.DeleteFunc(c.own, func(name string) bool { return name == e.Name })
			if member.State == balancer.Active {
				c.own = append(c.own, e.Name)
			}
		}
		if member.State != balancer.Active { // its connections are closed as they come back
			if p := c.conns[s.byName[e.Name]]; p != nil {
				s.close(c, s.byName[e.Name], len(p.idle))
				p.idle = p.idle[:0]
			}
		}
	}
	if c.p != nil {
		c.p.Members(c.own)
		return
	}
	s.module(c, m)
}

// announce tells all sidecars of a node's state, each after a delay of its own.
func (s *sim) announce(n *node, status string) {
	e := s.endpoint(n, status)
	n.listed = status == endpoints.StatusReady
	for _, c := range s.sidecars {
		if s.r.Discovery != nil {
			if !c.watches {
				continue // it gets the whole list when its call is taken
			}
			s.spend(1)
		}
		if c.news = append(c.news, e); len(c.news) > 1 {
			continue // they come together, as a poll or a watch brings them
		}
		s.After(time.Duration(s.rng.Int64N(int64(toldMost))), func() {
			news := c.news
			c.news = nil
			if s.r.Discovery != nil && !c.watches {
				return
			}
			s.tell(c, &endpoints.List{Endpoints: news}, balancer.IncrementalUpdate)
		})
	}
}

// list is what is listed now.
func (s *sim) list() *endpoints.List {
	l := &endpoints.List{Snapshot: true}
	for _, n := range s.nodes {
		if n.listed {
			l.Endpoints = append(l.Endpoints, s.endpoint(n, endpoints.StatusReady))
		}
	}
	return l
}

// knows keeps what a sidecar last had of the list.
func (s *sim) knows(c *sidecar, l *endpoints.List) {
	if s.r.Discovery == nil {
		return
	}
	if l.Snapshot {
		c.known = c.known[:0]
	}
	for _, e := range l.Endpoints {
		c.known = slices.DeleteFunc(c.known, func(x endpoints.Endpoint) bool { return x.Name == e.Name })
		if e.Status == endpoints.StatusReady {
			c.known = append(c.known, e)
		}
	}
}
