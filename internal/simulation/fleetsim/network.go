package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

// connectionPool holds a sidecar's connections to one node.
type connectionPool struct {
	idleSince []time.Duration // time since which each idle connection is idle, the latest last
	inUse     int
}

// closeIdle closes a sidecar's idle connections to a node.
func (s *simulation) closeIdle(sc *sidecar, n *node) {
	if pool := sc.pools[n]; pool != nil {
		s.connectionsClosed(sc, n, len(pool.idleSince))
		pool.idleSince = pool.idleSince[:0]
	}
}

// attempt is one attempt of a request at a node.
type attempt struct {
	request           *request
	sidecar           *sidecar
	incarnation       int // incarnation of the sidecar when the attempt was sent
	number            int // number of the attempt within the request, from 0
	node              *node
	sentAt            time.Duration
	arrivedAt         time.Duration // time of arrival at the node's queue
	inFlightAtArrival int           // number in flight at the node when the attempt arrived
	hasConnection     bool
	ended             bool
}

// pool returns the sidecar's pool of connections to a node. It creates the pool if it does not exist.
func (c *sidecar) pool(n *node) *connectionPool {
	pool := c.pools[n]
	if pool == nil {
		pool = &connectionPool{}
		c.pools[n] = pool
	}
	return pool
}

// sendAttempt sends an attempt over an idle connection, or over a new one if no connection is idle.
func (s *simulation) sendAttempt(sc *sidecar, action balancer.Action) {
	req := sc.pending[action.ID]
	if req == nil {
		return
	}
	n := s.byName[action.Upstream]
	a := &attempt{request: req, sidecar: sc, number: len(req.attempts), node: n, sentAt: s.Now(), incarnation: sc.incarnation}
	req.attempts = append(req.attempts, a)
	s.result.Attempts++
	s.currentPoint().Attempts++
	if sc.inactive[n.name] {
		s.recordViolation("sent to " + n.name + " after it was told to be leaving")
	}
	timeout := req.deadline - s.Now()
	if action.Timeout > 0 {
		timeout = min(timeout, action.Timeout)
	}
	s.After(timeout, func() { s.attemptEnded(a, balancer.Timeout) })
	if sc.prewarmer != nil {
		sc.prewarmer.RecordUse(s.Now(), n.name)
	}
	pool := sc.pool(n)
	delay := time.Duration(0)
	if newest := len(pool.idleSince) - 1; newest >= 0 {
		pool.idleSince = pool.idleSince[:newest]
	} else {
		if !n.up {
			s.connectFailed(a)
			return
		}
		delay = s.run.ConnectDelay
		s.connectionOpened(sc, n)
		if a.number == 0 {
			s.result.RequestsDelayedByConnect++
		}
	}
	pool.inUse++
	a.hasConnection = true
	s.After(delay+networkRoundTrip/2, func() { s.attemptArrived(a) })
}

// connectFailed ends an attempt whose node is down. If the node's machine refuses connections, the attempt ends after a round trip,
// otherwise after ConnectTimeout.
func (s *simulation) connectFailed(a *attempt) {
	delay := networkRoundTrip
	if a.node.silent {
		delay = max(networkRoundTrip, s.run.Settings.ConnectTimeout)
	}
	s.result.ConnectFailures++
	s.After(delay, func() { s.attemptEnded(a, balancer.ConnectFailed) })
}

// attemptEnded passes the first result of an attempt to its sidecar and ignores later ones. It returns the attempt's connection to
// the pool or closes it.
func (s *simulation) attemptEnded(a *attempt, result balancer.Result) {
	if a.ended || a.incarnation != a.sidecar.incarnation {
		return
	}
	a.ended = true
	sc, req := a.sidecar, a.request
	if a.hasConnection {
		pool := sc.pools[a.node]
		pool.inUse--
		if (result == balancer.OK || result == balancer.Rejected) && a.node.up {
			pool.idleSince = append(pool.idleSince, s.Now())
		} else {
			s.connectionsClosed(sc, a.node, 1)
		}
	}
	if result == balancer.OK && !req.done {
		s.latencies = append(s.latencies, s.Now()-req.arrivedAt)
		s.finishRequest(sc, req.id, &s.result.Served, 0)
	}
	if sc.policy != nil {
		s.policyAttemptEnded(sc, req, a, result)
		return
	}
	if s.run.SyncProbes != nil {
		if result != balancer.OK {
			s.finishRequest(sc, req.id, &s.result.Failed, 0)
		}
		return
	}
	s.handleEvent(sc, balancer.Outcome{ID: req.id, Attempt: a.number, Result: result, Elapsed: s.Now() - a.sentAt, Final: req.done})
}

// respondAfter delivers an answer to a sidecar after a delay, unless a partition separates the node from the sidecar at that time.
func (s *simulation) respondAfter(d time.Duration, a *attempt, result balancer.Result) {
	s.After(d, func() {
		if !a.sidecar.partitionedFrom(a.node) {
			s.attemptEnded(a, result)
		}
	})
}

// partitionedFrom reports whether a partition separates a sidecar from a node.
func (c *sidecar) partitionedFrom(n *node) bool {
	return c.zone != n.zone && (n.fault(Partition) != nil || c.zoneNode.fault(Partition) != nil)
}

// connectionOpened counts a new connection from a sidecar to a node.
func (s *simulation) connectionOpened(sc *sidecar, n *node) {
	sc.openConnections++
	sc.maxOpenConnections = max(sc.maxOpenConnections, sc.openConnections)
	n.openConnections++
	n.maxOpenConnections = max(n.maxOpenConnections, n.openConnections)
	s.result.ConnectionsOpened++
	if s.Now()-n.newConnectionsSince >= time.Second {
		n.newConnections, n.newConnectionsSince = 0, s.Now()
	}
	n.newConnections++
	s.result.MaxConnectionsOpenedPerSecond = max(s.result.MaxConnectionsOpenedPerSecond, n.newConnections)
}

// connectionsClosed subtracts closed connections from the numbers of open connections.
func (s *simulation) connectionsClosed(sc *sidecar, n *node, count int) {
	sc.openConnections -= count
	n.openConnections -= count
}

// sweepSidecar closes connections that have reached the idle timeout, and updates the subset according to the current request rate
// and time. It runs every sweepPeriod.
func (s *simulation) sweepSidecar(sc *sidecar) {
	for n, pool := range sc.pools {
		expired := 0
		for expired < len(pool.idleSince) && s.Now()-pool.idleSince[expired] >= s.run.IdleTimeout {
			expired++
		}
		pool.idleSince = pool.idleSince[expired:]
		s.connectionsClosed(sc, n, expired)
		if len(pool.idleSince)+pool.inUse == 0 {
			delete(sc.pools, n)
		}
	}
	if sc.subset != nil {
		sc.requestRate += rateSmoothing * (float64(sc.requestsSinceSweep)/sweepPeriod.Seconds() - sc.requestRate)
		sc.requestsSinceSweep = 0
		s.updateEndpoints(sc, sc.subset.Rate(s.wallTime(s.Now()), sc.requestRate), balancer.IncrementalUpdate)
	}
	s.After(sweepPeriod, func() { s.sweepSidecar(sc) })
}
