package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

// Discovery is a service of fixed capacity that sidecars ask for the list, in place of a list that reaches all. It works
// through calls in turn; one that would wait longer than Timeout is turned away at once.
type Discovery struct {
	LinesPerSecond float64 // that it works through in a second: a call's, and one for each change and sidecar that watches
	LinesPerCall   int     // what a call costs beside a line for each node
	Timeout        time.Duration
	DownAt         time.Duration // from then on all watches have ended, and calls are turned away
	DownFor        time.Duration
}

// Kill is the kind of fault that befalls sidecars: Part of them are killed at once and start again with the list as they last had
// it. What they had in hand has failed.
const Kill FaultKind = "kill"

func (d *Discovery) down(since time.Duration) bool {
	return d.DownFor > 0 && since >= d.DownAt && since < d.DownAt+d.DownFor
}

// scheduleDiscoveryOutage has it go down, if it does.
func (s *simulation) scheduleDiscoveryOutage() {
	d := s.run.Discovery
	if d == nil || d.DownFor == 0 {
		return
	}
	s.After(d.DownAt, func() {
		for _, sc := range s.sidecars {
			if sc.watching {
				sc.watching = false
				s.discoveryFailed(sc)
			}
		}
	})
}

// subscribe is a sidecar's call for the list.
func (s *simulation) subscribe(sc *sidecar) {
	d := s.run.Discovery
	if d == nil {
		return
	}
	s.result.ListCalls++
	if second := s.Since() / time.Second; second != s.callCountSecond {
		s.callCountSecond, s.callsInSecond = second, 0
	}
	s.callsInSecond++
	s.result.MaxListCallsPerSecond = max(s.result.MaxListCallsPerSecond, s.callsInSecond)
	life := sc.incarnation
	if d.down(s.Since()) || s.discoveryBusyUntil-s.Now() > d.Timeout {
		s.result.ListCallsRejected++
		s.After(networkRoundTrip, func() {
			if sc.incarnation == life {
				s.discoveryFailed(sc)
			}
		})
		return
	}
	s.chargeDiscovery(d.LinesPerCall + len(s.nodes))
	s.At(s.discoveryBusyUntil, func() {
		switch {
		case sc.incarnation != life:
		case d.down(s.Since()):
			s.discoveryFailed(sc)
		default:
			sc.watching = true
			s.result.LastFullListAt = s.Since()
			s.deliverList(sc, s.currentList(), balancer.FullUpdate)
		}
	})
}

// policyPollInterval is what a policy in place of the module waits before it asks again, jittered by half.
const policyPollInterval = 2 * time.Second

// discoveryFailed tells a sidecar that its call was in vain, or its watch has ended.
func (s *simulation) discoveryFailed(sc *sidecar) {
	if sc.policy == nil {
		s.handleEvent(sc, balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
		return
	}
	life := sc.incarnation
	s.After(policyPollInterval/2+time.Duration(sc.rng.Int64N(int64(policyPollInterval))), func() {
		if sc.incarnation == life {
			s.subscribe(sc)
		}
	})
}

// chargeDiscovery has discovery work through lines.
func (s *simulation) chargeDiscovery(lines int) {
	cost := time.Duration(float64(lines) / s.run.Discovery.LinesPerSecond * float64(time.Second))
	s.discoveryBusyUntil = max(s.discoveryBusyUntil, s.Now()) + cost
}
