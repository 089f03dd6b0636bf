package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

type pool struct {
	idle []time.Duration // since when, the newest last
	out  int
}

type attempt struct {
	of     *request
	by     *sidecar
	number int
	node   *node
	sent   time.Duration
	ended  bool
	conn   bool // it holds a connection
	found  int  // in hand at its node
	in     time.Duration
	life   int // of its sidecar's process
}

func (c *sidecar) pool(n *node) *pool {
	p := c.conns[n]
	if p == nil {
		p = &pool{}
		c.conns[n] = p
	}
	return p
}

// send has an attempt go out, on an idle connection or a new one.
func (s *sim) send(c *sidecar, x balancer.Action) {
	q := c.asked[x.ID]
	if q == nil {
		return
	}
	n := s.byName[x.Upstream]
	a := &attempt{of: q, by: c, number: len(q.attempts), node: n, sent: s.Now(), life: c.life}
	q.attempts = append(q.attempts, a)
	s.out.Sends++
	s.point().Sends++
	if c.leave[n.name] {
		s.broken("sent to " + n.name + " after it was told to be leaving")
	}
	limit := q.expires - s.Now()
	if x.Timeout > 0 {
		limit = min(limit, x.Timeout)
	}
	s.After(limit, func() { s.outcome(a, balancer.Timeout) })
	if c.warm != nil {
		c.warm.RecordUse(s.Now(), n.name)
	}
	p := c.pool(n)
	delay := time.Duration(0)
	if last := len(p.idle) - 1; last >= 0 {
		p.idle = p.idle[:last]
	} else {
		if !n.up {
			wait := wire
			if n.silent {
				wait = max(wire, s.r.Settings.ConnectTimeout)
			}
			s.out.Unreached++
			s.After(wait, func() { s.outcome(a, balancer.ConnectFailed) })
			return
		}
		delay = s.r.Connect
		s.made(c, n)
		if a.number == 0 {
			s.out.Waited++
		}
	}
	p.out++
	a.conn = true
	s.After(delay+wire/2, func() { s.arrive(a) })
}

func (s *sim) outcome(a *attempt, r balancer.Result) {
	if a.ended || a.life != a.by.life {
		return
	}
	a.ended = true
	c, q := a.by, a.of
	if a.conn {
		p := c.conns[a.node]
		p.out--
		if (r == balancer.OK || r == balancer.Rejected) && a.node.up {
			p.idle = append(p.idle, s.Now())
		} else {
			s.close(c, a.node, 1)
		}
	}
	if r == balancer.OK && !q.done {
		s.took = append(s.took, s.Now()-q.came)
		s.answer(c, q.id, &s.out.Served, 0)
	}
	if c.p != nil {
		s.chosen(c, q, a, r)
		return
	}
	if s.r.Probes != nil {
		if r != balancer.OK {
			s.answer(c, q.id, &s.out.Failed, 0)
		}
		return
	}
	s.module(c, balancer.Outcome{ID: q.id, Attempt: a.number, Result: r, Elapsed: s.Now() - a.sent, Final: q.done})
}

// after has an answer come to a sidecar, unless a cut is between them then.
func (s *sim) after(d time.Duration, a *attempt, r balancer.Result) {
	s.After(d, func() {
		if !a.by.cut(a.node) {
			s.outcome(a, r)
		}
	})
}

// cut tells whether a sidecar does not reach a node.
func (c *sidecar) cut(n *node) bool {
	return c.zone != n.zone && (n.has(Cut) != nil || c.home.has(Cut) != nil)
}

// made counts a connection that is being made.
func (s *sim) made(c *sidecar, n *node) {
	c.open++
	c.top = max(c.top, c.open)
	n.open++
	n.top = max(n.top, n.open)
	s.out.Opened++
	if s.Now()-n.madeFrom >= time.Second {
		n.made, n.madeFrom = 0, s.Now()
	}
	n.made++
	s.out.MostMade = max(s.out.MostMade, n.made)
}

func (s *sim) close(c *sidecar, n *node, count int) {
	c.open -= count
	n.open -= count
}

// sweep closes what has stood idle, and has the subset follow the traffic and the time.
func (s *sim) sweep(c *sidecar) {
	for n, p := range c.conns {
		drop := 0
		for drop < len(p.idle) && s.Now()-p.idle[drop] >= s.r.Idle {
			drop++
		}
		p.idle = p.idle[drop:]
		s.close(c, n, drop)
		if len(p.idle)+p.out == 0 {
			delete(c.conns, n)
		}
	}
	if c.s != nil {
		c.rate += rateBlend * (float64(c.sent)/sweep.Seconds() - c.rate) // as discovery.SubsetSink does
		c.sent = 0
		s.members(c, c.s.Rate(s.at(s.Now()), c.rate), balancer.IncrementalUpdate)
	}
	s.After(sweep, func() { s.sweep(c) })
}
