package fleetsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

type node struct {
	name                                string
	index                               int
	zone                                string
	up                                  bool
	listed                              bool
	overloaded                          bool
	silent                              bool // it is down and its machine with it: nothing is refused or reset
	restarted                           bool
	startedAt                           time.Duration // 0: long ago
	queue                               []*attempt
	busy                                bool
	running                             *attempt
	speed                               float64
	newConnections                      int // connections since newConnectionsSince
	newConnectionsSince                 time.Duration
	meanLatency                         float64       // mean time here, s
	probeWork                           time.Duration // work that probes have cost
	incarnation                         int           // of its process: what it had before is lost
	servedTime                          time.Duration
	attempts                            int
	openConnections, maxOpenConnections int
	faults                              []*Fault
	lastReport                          LoadReport
	latenciesByInFlight                 []latencyRing // by requests in hand that were found
	reportSince                         time.Duration // of the second that util is counted in
	busyInReport                        time.Duration
	answersInReport                     int
	recentWork                          float64 // work that came, forgotten over FallTime, s
	recentWorkAt                        time.Duration
	overloadedSince                     time.Duration
}

// capacity is the part of a warm node's that a node has now.
func (s *simulation) capacity(n *node) float64 {
	set := &s.run.Settings
	age := s.Now() - n.startedAt
	if n.startedAt == 0 || set.SlowStartWindow == 0 || age >= set.SlowStartWindow || set.SlowStartMinCapacity == 0 {
		return 1
	}
	return set.SlowStartMinCapacity + (1-set.SlowStartMinCapacity)*float64(age)/float64(set.SlowStartWindow)
}

func (s *simulation) attemptArrived(a *attempt) {
	n := a.node
	if a.ended || a.sidecar.partitionedFrom(n) {
		return
	}
	if !n.up {
		if !n.silent {
			s.attemptEnded(a, balancer.Reset)
		}
		return
	}
	n.attempts++
	switch {
	case n.fault(Reject) != nil:
		s.respondAfter(networkRoundTrip/2, a, balancer.Rejected)
		return
	case n.fault(Errors) != nil:
		s.recordExecution(a)
		s.respondAfter(networkRoundTrip/2, a, balancer.ServerError)
		return
	}
	s.recordOverload(n, a.request.serviceTime)
	if len(n.queue) >= maxNodeQueue {
		s.respondAfter(networkRoundTrip/2, a, balancer.Rejected)
		return
	}
	a.inFlightAtArrival, a.arrivedAt = n.inFlight(), s.Now()
	n.queue = append(n.queue, a)
	s.serveQueue(n)
}

// recordOverload counts what comes to a cold node: more than FallMultiple of what it can do, kept up for FallTime, and it falls over.
func (s *simulation) recordOverload(n *node, work time.Duration) {
	set := &s.run.Settings
	if set.OverloadMultiple == 0 || set.OverloadWindow == 0 || s.capacity(n) >= 1 {
		n.recentWork, n.overloadedSince = 0, 0
		return
	}
	window := set.OverloadWindow.Seconds()
	if passed := (s.Now() - n.recentWorkAt).Seconds(); passed > 0 {
		n.recentWork *= max(0, 1-passed/window)
	}
	n.recentWorkAt = s.Now()
	n.recentWork += work.Seconds()
	switch over := n.recentWork/window > set.OverloadMultiple*s.capacity(n); {
	case !over:
		n.overloadedSince = 0
	case n.overloadedSince == 0:
		n.overloadedSince = s.Now()
	case s.Now()-n.overloadedSince >= set.OverloadWindow && !n.overloaded:
		n.overloaded = true
		s.result.NodesOverloaded++
		s.stopNode(n)
	}
}

func (s *simulation) serveQueue(n *node) {
	for !n.busy && len(n.queue) > 0 && n.fault(Freeze) == nil {
		a := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if a.ended {
			continue
		}
		took := time.Duration(float64(a.request.serviceTime+n.probeWork) / s.capacity(n) / n.speed)
		if f := n.fault(Slow); f != nil {
			took = time.Duration(float64(took) * f.Factor)
		}
		n.probeWork = 0
		n.busy, n.running = true, a
		epoch := n.incarnation
		var over func()
		over = func() {
			if n.incarnation != epoch {
				return // it was reset
			}
			if f := n.fault(Freeze); f != nil {
				s.At(max(s.Now()+time.Millisecond, virtualtime.Origin+f.At+f.Duration), over)
				return
			}
			s.recordServiceTime(n, took)
			if s.run.Policy != nil {
				n.recordLatency(a.inFlightAtArrival, s.Now()-a.arrivedAt)
			}
			s.recordExecution(a)
			n.busy, n.running = false, nil
			n.servedTime += a.request.serviceTime
			n.meanLatency += ((s.Now() - a.sentAt).Seconds() - n.meanLatency) * latencySmoothing
			s.respondAfter(networkRoundTrip/2, a, balancer.OK)
			s.serveQueue(n)
		}
		s.After(took, over)
	}
}

// stopNode ends a node's process: what it has is reset.
func (s *simulation) stopNode(n *node) {
	n.up, n.busy = false, false
	n.incarnation++
	lost := n.queue
	if n.running != nil {
		lost = append(lost, n.running)
	}
	n.queue, n.running = nil, nil
	if n.silent {
		lost = nil // their senders wait until they have had enough
	}
	for _, a := range lost {
		s.After(networkRoundTrip/2, func() { s.attemptEnded(a, balancer.Reset) })
	}
	for _, sc := range s.sidecars {
		if pool := sc.pools[n]; pool != nil {
			s.connectionsClosed(sc, n, len(pool.idleSince))
			pool.idleSince = pool.idleSince[:0]
		}
	}
}

func (s *simulation) startNode(n *node) {
	if n.up || n.overloaded {
		return
	}
	n.up, n.silent, n.startedAt = true, false, s.Now()
	s.announceStatus(n, endpoints.StatusReady)
}

func (n *node) inFlight() int {
	if n.busy {
		return len(n.queue) + 1
	}
	return len(n.queue)
}
