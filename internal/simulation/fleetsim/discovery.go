package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// Discovery is a service of fixed capacity that sidecars ask for the list, in place of a list that reaches all. It works
// through calls in turn; one that would wait longer than Timeout is turned away at once.
type Discovery struct {
	Lines     float64 // that it works through in a second: a call's, and one for each change and sidecar that watches
	CallLines int     // what a call costs beside a line for each node
	Timeout   time.Duration
	DownAt    time.Duration // from then on all watches have ended, and calls are turned away
	DownFor   time.Duration
}

// Kill is the kind of fault that befalls sidecars: Part of them are killed at once and start again with the list as they last had
// it. What they had in hand has failed.
const Kill FaultKind = "kill"

func (d *Discovery) down(since time.Duration) bool {
	return d.DownFor > 0 && since >= d.DownAt && since < d.DownAt+d.DownFor
}

// discovery has it go down, if it does.
func (s *sim) discovery() {
	d := s.r.Discovery
	if d == nil || d.DownFor == 0 {
		return
	}
	s.After(d.DownAt, func() {
		for _, c := range s.sidecars {
			if c.watches {
				c.watches = false
				s.unheard(c)
			}
		}
	})
}

// subscribe is a sidecar's call for the list.
func (s *sim) subscribe(c *sidecar) {
	d := s.r.Discovery
	if d == nil {
		return
	}
	s.out.Calls++
	if second := s.Since() / time.Second; second != s.callsIn {
		s.callsIn, s.calls = second, 0
	}
	s.calls++
	s.out.MostCalls = max(s.out.MostCalls, s.calls)
	life := c.life
	if d.down(s.Since()) || s.served-s.Now() > d.Timeout {
		s.out.CallsTurnedAway++
		s.After(wire, func() {
			if c.life == life {
				s.unheard(c)
			}
		})
		return
	}
	s.spend(d.CallLines + len(s.nodes))
	s.At(s.served, func() {
		switch {
		case c.life != life:
		case d.down(s.Since()):
			s.unheard(c)
		default:
			c.watches = true
			s.out.Listed = s.Since()
			s.tell(c, s.list(), balancer.FullUpdate)
		}
	})
}

// policyAsks is what a policy in place of the module waits before it asks again, jittered by half.
const policyAsks = 2 * time.Second

// unheard tells a sidecar that its call was in vain, or its watch has ended.
func (s *sim) unheard(c *sidecar) {
	if c.p == nil {
		s.module(c, balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
		return
	}
	life := c.life
	s.After(policyAsks/2+time.Duration(c.rng.Int64N(int64(policyAsks))), func() {
		if c.life == life {
			s.subscribe(c)
		}
	})
}

// spend has discovery work through lines.
func (s *sim) spend(lines int) {
	cost := time.Duration(float64(lines) / s.r.Discovery.Lines * float64(time.Second))
	s.served = max(s.served, s.Now()) + cost
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

// kills has a part of the sidecars be killed at once.
func (s *sim) kills(f Fault) {
	of := s.rng.Perm(len(s.sidecars))[:int(f.Part*float64(len(s.sidecars))+0.5)]
	slices.Sort(of)
	s.After(f.At, func() {
		for _, i := range of {
			s.kill(s.sidecars[i])
		}
	})
}

// kill ends a sidecar's process and starts it again: it knows its last list, and nothing else.
func (s *sim) kill(c *sidecar) {
	c.life++
	c.watches, c.timer = false, 0
	held := make([]*request, 0, len(c.asked))
	for _, q := range c.asked {
		held = append(held, q)
	}
	slices.SortFunc(held, func(a, b *request) int { return int(a.came - b.came) })
	clear(c.asked)
	for n, p := range c.conns {
		s.close(c, n, len(p.idle)+p.out)
	}
	clear(c.conns)
	clear(c.leave)
	b, err := balancer.New(c.set, s.r.Seed<<16+uint64(c.index)+uint64(c.life)<<40)
	if err != nil { // the same settings were taken before
		panic(err)
	}
	c.b = b
	if c.p != nil {
		c.p = s.r.Policy(c.rng)
	}
	s.begin(c)
	for _, q := range held { // their clients come again, to the new process
		if !q.done {
			q.done = true
			s.out.Failed++
			s.ended(c, q, &s.out.Failed, 0)
		}
	}
}

// begin gives a sidecar's new process its first list.
func (s *sim) begin(c *sidecar) {
	kind, l := balancer.FullUpdate, s.list()
	if s.r.Discovery != nil {
		kind = balancer.CachedUpdate
		if c.life > 0 {
			l = &endpoints.List{Snapshot: true, Endpoints: slices.Clone(c.known)}
		}
	}
	s.tell(c, l, kind)
	if c.p != nil {
		s.subscribe(c)
	}
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
