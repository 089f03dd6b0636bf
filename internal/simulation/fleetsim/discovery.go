package fleetsim

import (
	"time"

	"orchiddrift/balancer"
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
