package fleetsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

// minFreezeRecheck is the minimum time until a frozen node is checked again.
const minFreezeRecheck = time.Millisecond

// node is a modelled upstream with one core and a queue.
type node struct {
	name        string
	index       int
	zone        string
	speed       float64 // factor of the node's service rate
	up          bool
	listed      bool          // the endpoint list contains the node as ready
	silent      bool          // the machine is down, so connections get no response at all
	restarted   bool          // the node was restarted at least once in the run
	overloaded  bool          // the node stopped for good because of overload
	startedAt   time.Duration // time of the last start; 0 means before the run
	incarnation int           // number of times that the node has stopped
	faults      []*Fault      // faults that affect the node now

	queue     []*attempt
	busy      bool
	running   *attempt
	probeWork time.Duration // CPU time of probes, which is added to the next attempt's service time

	recentWork      float64       // service time of recent arrivals in seconds, decaying over OverloadWindow
	recentWorkAt    time.Duration // when recentWork was last updated
	overloadedSince time.Duration // time since which the recent work is above its bound; 0 if it is not

	attempts            int           // number of attempts received
	servedTime          time.Duration // service time that the completed attempts need at full capacity
	meanLatency         float64       // exponentially weighted mean in seconds
	openConnections     int
	maxOpenConnections  int
	newConnections      int // number of connections opened since newConnectionsSince
	newConnectionsSince time.Duration

	lastReport          LoadReport
	reportSince         time.Duration // start of the current interval of the load report
	busyInReport        time.Duration
	answersInReport     int
	latenciesByInFlight []latencyRing // latencies by the number in flight at the attempt's arrival; nil if none are recorded
}

// capacity returns a node's current capacity as a fraction of its full capacity. During slow start it grows linearly over
// SlowStartWindow.
func (s *simulation) capacity(n *node) float64 {
	settings := &s.run.Settings
	age := s.Now() - n.startedAt
	if n.startedAt == 0 || settings.SlowStartWindow == 0 || age >= settings.SlowStartWindow || settings.SlowStartMinCapacity == 0 {
		return 1
	}
	return settings.SlowStartMinCapacity + (1-settings.SlowStartMinCapacity)*float64(age)/float64(settings.SlowStartWindow)
}

// attemptArrived handles an attempt that reaches its node. Depending on its state and faults, the node queues the attempt or
// answers it at once.
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

// recordOverload counts an arrival at a node in slow start. The node stops for good once the arriving work has exceeded
// OverloadMultiple times the capacity for the whole of OverloadWindow.
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

// serviceEnded answers an attempt that was served, and continues with the queue. While the node is frozen, it reschedules itself.
// If incarnation differs from that of the node, the node has stopped in the meantime and serviceEnded does nothing.
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

// stopNode ends a node's process and closes its connections. The node's attempts are reset, unless its machine is silent.
func (s *simulation) stopNode(n *node) {
	n.up, n.busy = false, false
	n.incarnation++
	lost := n.queue
	if n.running != nil {
		lost = append(lost, n.running)
	}
	n.queue, n.running = nil, nil
	if n.silent {
		lost = nil // these attempts end by their timeouts
	}
	for _, a := range lost {
		s.After(networkRoundTrip/2, func() { s.attemptEnded(a, balancer.Reset) })
	}
	for _, sc := range s.sidecars {
		s.closeIdle(sc, n)
	}
}

// startNode starts a node again in slow start. A node that stopped because of overload stays down.
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
