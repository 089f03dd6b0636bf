package fleetsim

// prewarmConnections opens the connections that a sidecar's prewarmer requests, as upstream.Pool.Prewarm does.
func (s *simulation) prewarmConnections(sc *sidecar) {
	sc.prewarmer.SetMembers(s.Now(), sc.prewarmMembers)
	countConnections := func(name string) int {
		pool := sc.pools[s.byName[name]]
		if pool == nil {
			return 0
		}
		return len(pool.idleSince) + pool.inUse
	}
	for _, name := range sc.prewarmer.Tick(s.Now(), countConnections, sc.openConnections) {
		n, process := s.byName[name], sc.prewarmer.Process(name)
		if !n.up {
			s.After(networkRoundTrip, func() { sc.prewarmer.Connected(s.Now(), name, process, false) })
			continue
		}
		s.connectionOpened(sc, n)
		s.result.ConnectionsPrewarmed++
		incarnation := n.incarnation
		s.After(s.run.ConnectDelay, func() {
			connected := n.up && n.incarnation == incarnation
			if connected {
				pool := sc.pool(n)
				pool.idleSince = append(pool.idleSince, s.Now())
			} else {
				s.connectionsClosed(sc, n, 1)
			}
			sc.prewarmer.Connected(s.Now(), name, process, connected)
		})
	}
	s.After(prewarmPeriod, func() { s.prewarmConnections(sc) })
}
