package fleetsim

// keepWarm opens what the sidecar's warmer names, as upstream.Pool.Prewarm does.
func (s *sim) keepWarm(c *sidecar) {
	c.warm.SetMembers(s.Now(), c.ready)
	open := func(name string) int {
		p := c.conns[s.byName[name]]
		if p == nil {
			return 0
		}
		return len(p.idle) + p.out
	}
	for _, name := range c.warm.Tick(s.Now(), open, c.open) {
		n, process := s.byName[name], c.warm.Process(name)
		if !n.up {
			s.After(wire, func() { c.warm.Connected(s.Now(), name, process, false) })
			continue
		}
		s.made(c, n)
		s.out.Ahead++
		epoch := n.epoch
		s.After(s.r.Connect, func() {
			ok := n.up && n.epoch == epoch
			if ok {
				p := c.pool(n)
				p.idle = append(p.idle, s.Now())
			} else {
				s.close(c, n, 1)
			}
			c.warm.Connected(s.Now(), name, process, ok)
		})
	}
	s.After(warmEvery, func() { s.keepWarm(c) })
}
