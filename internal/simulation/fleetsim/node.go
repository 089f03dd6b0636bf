package fleetsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

// minFreezeRecheck is the minimum time between two checks whether a node is still frozen.
const minFreezeRecheck = time.Millisecond

// node is a modelled upstream with one core and a queue.
type node struct {
	name        string
	index       int
	zone        string
	speed       float64 // multiplies its service rate
	up          bool
	listed      bool          // in the endpoint list, as ready
	silent      bool          // its machine is down: connections get no response at all
	restarted   bool          // at least once in the run
	overloaded  bool          // it stopped for good because of overload
	startedAt   time.Duration // 0: before the run
	incarnation int           // number of stops
	faults      []*Fault      // in effect

	queue     []*attempt
	busy      bool
	running   *attempt
	probeWork time.Duration // cost of probes, added to the next attempt's service time

	recentWork      float64       // service time of recent arrivals, decaying over OverloadWindow, s
	recentWorkAt    time.Duration // when recentWork was last updated
	overloadedSince time.Duration // 0: the recent work is within bounds

	attempts            int           // received
	servedTime          time.Duration // of completed attempts, on a warm node
	meanLatency         float64       // exponentially weighted, s
	openConnections     int
	maxOpenConnections  int
	newConnections      int // since newConnectionsSince
	newConnectionsSince time.Duration

	lastReport          LoadReport
	reportSince         time.Duration // start of the report's current interval
	busyInReport        time.Duration
	answersInReport     int
	latenciesByInFlight []latencyRing // by the number in flight at arrival; nil: none recorded
}

// capacity returns a node's current capacity as a fraction of a warm node's. It grows linearly over SlowStartWindow.
func (s *simulation) capacity(n *node) float64 {
	settings := &s.run.Settings
	age := s.Now() - n.startedAt
	if n.startedAt == 0 || settings.SlowStartWindow == 0 || age >= settings.SlowStartWindow || settings.SlowStartMinCapacity == 0 {
		return 1
	}
	return settings.SlowStartMinCapacity + (1-settings.SlowStartMinCapacity)*float64(age)/float64(settings.SlowStartWindow)
}

// attemptArrived handles an attempt that reaches its node: the node queues it, or answers it according to its state and faults.
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

// recordOverload counts an arrival at a node in slow start. The node stops for good once the work that arrives has exceeded
// OverloadMultiple times its capacity throughout OverloadWindow.
func (s *simulation) recordOverload(n *node, serviceTime time.Duration) {
	settings := &s.run.Settings
	if settings.OverloadMultiple == 0 || settings.OverloadWindow == 0 || s.capacity(n) >= 1 {
		n.recentWork, n.overloadedSince = 0, 0
		return
	}
	window := settings.OverloadWindow.Seconds()
	if elapsed := (s.Now() - n.recentWorkAt).Seconds(); elapsed > 0 {
		n.recentWork *= max(0, 1-elapsed/window)
	}
	n.recentWorkAt = s.Now()
	n.recentWork += serviceTime.Seconds()
	switch exceeded := n.recentWork/window > settings.OverloadMultiple*s.capacity(n); {
	case !exceeded:
		n.overloadedSince = 0
	case n.overloadedSince == 0:
		n.overloadedSince = s.Now()
	case s.Now()-n.overloadedSince >= settings.OverloadWindow && !n.overloaded:
		n.overloaded = true
		s.result.NodesOverloaded++
		s.stopNode(n)
	}
}

// serveQueue starts serving the next attempt in the queue, if the node's core is free.
func (s *simulation) serveQueue(n *node) {
	for !n.busy && len(n.queue) > 0 && n.fault(Freeze) == nil {
		a := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if a.ended {
			continue
		}
		duration := time.Duration(float64(a.request.serviceTime+n.probeWork) / s.capacity(n) / n.speed)
		if f := n.fault(Slow); f != nil {
			duration = time.Duration(float64(duration) * f.Factor)
		}
		n.probeWork = 0
		n.busy, n.running = true, a
		incarnation := n.incarnation
		s.After(duration, func() { s.serviceEnded(n, a, duration, incarnation) })
	}
}

// serviceEnded answers an attempt that was served, and continues with the queue. While the node is frozen, serviceEnded reschedules
// itself. It does nothing if the node has stopped since, which a changed incarnation shows.
func (s *simulation) serviceEnded(n *node, a *attempt, duration time.Duration, incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	if f := n.fault(Freeze); f != nil {
		thawedAt := virtualtime.Origin + f.At + f.Duration
		s.At(max(s.Now()+minFreezeRecheck, thawedAt), func() { s.serviceEnded(n, a, duration, incarnation) })
		return
	}
	s.recordServiceTime(n, duration)
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

// stopNode ends a node's process. Its attempts are reset, unless its machine is silent; its connections close.
func (s *simulation) stopNode(n *node) {
	n.up, n.busy = false, false
	n.incarnation++
	lost := n.queue
	if n.running != nil {
		lost = append(lost, n.running)
	}
	n.queue, n.running = nil, nil
	if n.silent {
		lost = nil // the attempts time out
	}
	for _, a := range lost {
		s.After(networkRoundTrip/2, func() { s.attemptEnded(a, balancer.Reset) })
	}
	for _, sc := range s.sidecars {
		s.closeIdle(sc, n)
	}
}

// startNode starts a node again, in slow start. An overloaded node stays down.
func (s *simulation) startNode(n *node) {
	if n.up || n.overloaded {
		return
	}
	n.up, n.silent, n.startedAt = true, false, s.Now()
	s.announceStatus(n, endpoints.StatusReady)
}

// inFlight returns the number of attempts that are queued or being served.
func (n *node) inFlight() int {
	if n.busy {
		return len(n.queue) + 1
	}
	return len(n.queue)
}
