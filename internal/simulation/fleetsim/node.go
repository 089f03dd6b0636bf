package fleetsim

import (
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
)

type node struct {
	name      string
	index     int
	zone      string
	up        bool
	listed    bool
	fallen    bool
	silent    bool // it is down and its machine with it: nothing is refused or reset
	restarted bool
	started   time.Duration // 0: long ago
	queue     []*attempt
	busy      bool
	running   *attempt
	speed     float64
	made      int // connections since madeFrom
	madeFrom  time.Duration
	took      float64       // mean time here, s
	owed      time.Duration // work that probes have cost
	epoch     int           // of its process: what it had before is lost
	work      time.Duration
	asked     int
	open, top int
	faults    []*Fault
	util      Report
	latencies []recentLatencies // by requests in hand that were found
	busyFrom  time.Duration     // of the second that util is counted in
	busyTime  time.Duration
	answers   int
	recent    float64 // work that came, forgotten over FallTime, s
	recentAt  time.Duration
	overSince time.Duration
}

// capacity is the part of a warm node's that a node has now.
func (s *sim) capacity(n *node) float64 {
	set := &s.r.Settings
	age := s.Now() - n.started
	if n.started == 0 || set.SlowStartWindow == 0 || age >= set.SlowStartWindow || set.SlowStartMinCapacity == 0 {
		return 1
	}
	return set.SlowStartMinCapacity + (1-set.SlowStartMinCapacity)*float64(age)/float64(set.SlowStartWindow)
}

func (s *sim) arrive(a *attempt) {
	n := a.node
	if a.ended || a.by.cut(n) {
		return
	}
	if !n.up {
		if !n.silent {
			s.outcome(a, balancer.Reset)
		}
		return
	}
	n.asked++
	switch {
	case n.has(TurnAway) != nil:
		s.after(wire/2, a, balancer.Rejected)
		return
	case n.has(Errors) != nil:
		s.ran(a)
		s.after(wire/2, a, balancer.ServerError)
		return
	}
	s.pushed(n, a.of.work)
	if len(n.queue) >= nodeQueue {
		s.after(wire/2, a, balancer.Rejected)
		return
	}
	a.found, a.in = n.inHand(), s.Now()
	n.queue = append(n.queue, a)
	s.work(n)
}

// pushed counts what comes to a cold node: more than FallMultiple of what it can do, kept up for FallTime, and it falls over.
func (s *sim) pushed(n *node, work time.Duration) {
	set := &s.r.Settings
	if set.OverloadMultiple == 0 || set.OverloadWindow == 0 || s.capacity(n) >= 1 {
		n.recent, n.overSince = 0, 0
		return
	}
	window := set.OverloadWindow.Seconds()
	if passed := (s.Now() - n.recentAt).Seconds(); passed > 0 {
		n.recent *= max(0, 1-passed/window)
	}
	n.recentAt = s.Now()
	n.recent += work.Seconds()
	switch over := n.recent/window > set.OverloadMultiple*s.capacity(n); {
	case !over:
		n.overSince = 0
	case n.overSince == 0:
		n.overSince = s.Now()
	case s.Now()-n.overSince >= set.OverloadWindow && !n.fallen:
		n.fallen = true
		s.out.Fell++
		s.stop(n)
	}
}

func (s *sim) work(n *node) {
	for !n.busy && len(n.queue) > 0 && n.has(Freeze) == nil {
		a := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if a.ended {
			continue
		}
		took := time.Duration(float64(a.of.work+n.owed) / s.capacity(n) / n.speed)
		if f := n.has(Slow); f != nil {
			took = time.Duration(float64(took) * f.Factor)
		}
		n.owed = 0
		n.busy, n.running = true, a
		epoch := n.epoch
		var over func()
		over = func() {
			if n.epoch != epoch {
				return // it was reset
			}
			if f := n.has(Freeze); f != nil {
				s.At(max(s.Now()+time.Millisecond, virtualtime.Origin+f.At+f.For), over)
				return
			}
			s.worked(n, took)
			if s.r.Policy != nil {
				n.keepLatency(a.found, s.Now()-a.in)
			}
			s.ran(a)
			n.busy, n.running = false, nil
			n.work += a.of.work
			n.took += ((s.Now() - a.sent).Seconds() - n.took) * tookBlend
			s.after(wire/2, a, balancer.OK)
			s.work(n)
		}
		s.After(took, over)
	}
}

// stop ends a node's process: what it has is reset.
func (s *sim) stop(n *node) {
	n.up, n.busy = false, false
	n.epoch++
	lost := n.queue
	if n.running != nil {
		lost = append(lost, n.running)
	}
	n.queue, n.running = nil, nil
	if n.silent {
		lost = nil // their senders wait until they have had enough
	}
	for _, a := range lost {
		s.After(wire/2, func() { s.outcome(a, balancer.Reset) })
	}
	for _, c := range s.sidecars {
		if p := c.conns[n]; p != nil {
			s.close(c, n, len(p.idle))
			p.idle = p.idle[:0]
		}
	}
}

func (s *sim) start(n *node) {
	if n.up || n.fallen {
		return
	}
	n.up, n.silent, n.started = true, false, s.Now()
	s.announce(n, endpoints.StatusReady)
}

func (n *node) inHand() int {
	if n.busy {
		return len(n.queue) + 1
	}
	return len(n.queue)
}
