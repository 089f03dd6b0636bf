package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

// Discovery is a discovery service of fixed capacity. Each sidecar calls it for the list and then watches for changes. The
// service answers calls in turn; a call that would wait longer than Timeout is rejected at once.
type Discovery struct {
	LinesPerSecond float64 // capacity; a change costs one line for each watching sidecar
	LinesPerCall   int     // cost of a call, in addition to one line for each node
	Timeout        time.Duration
	DownAt         time.Duration // since the start; watches end and calls are rejected
	DownFor        time.Duration // 0: it is never down
}

// Kill is a fault of sidecars: a fraction of them is killed at the same moment and restarts at once with the cached list. Their pending
// requests fail.
const Kill FaultKind = "kill"

// down reports whether the service is down at a time since the start.
func (d *Discovery) down(since time.Duration) bool {
	return d.DownFor > 0 && since >= d.DownAt && since < d.DownAt+d.DownFor
}

// scheduleDiscoveryOutage ends all watches when the discovery service goes down.
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

// subscribe calls the discovery service for a sidecar. The answer is the full list, and a watch for changes begins with it.
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
	incarnation := sc.incarnation
	if d.down(s.Since()) || s.discoveryBusyUntil-s.Now() > d.Timeout {
		s.result.ListCallsRejected++
		s.After(networkRoundTrip, func() {
			if sc.incarnation == incarnation {
				s.discoveryFailed(sc)
			}
		})
		return
	}
	s.chargeDiscovery(d.LinesPerCall + len(s.nodes))
	s.At(s.discoveryBusyUntil, func() {
		switch {
		case sc.incarnation != incarnation: // the sidecar was killed
		case d.down(s.Since()):
			s.discoveryFailed(sc)
		default:
			sc.watching = true
			s.result.LastFullListAt = s.Since()
			s.deliverList(sc, s.currentList(), balancer.FullUpdate)
		}
	})
}

// policyPollInterval is the mean time until a sidecar with a Policy calls again after a failure. Jitter varies it by up to half.
const policyPollInterval = 2 * time.Second

// discoveryFailed notifies a sidecar that its call failed or its watch ended. The balancer decides when to call again; a sidecar with a
// Policy calls again after about policyPollInterval.
func (s *simulation) discoveryFailed(sc *sidecar) {
	if sc.policy == nil {
		s.handleEvent(sc, balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
		return
	}
	incarnation := sc.incarnation
	s.After(policyPollInterval/2+time.Duration(sc.rng.Int64N(int64(policyPollInterval))), func() {
		if sc.incarnation == incarnation {
			s.subscribe(sc)
		}
	})
}

// chargeDiscovery adds a number of lines to the work of the discovery service.
func (s *simulation) chargeDiscovery(lines int) {
	cost := time.Duration(float64(lines) / s.run.Discovery.LinesPerSecond * float64(time.Second))
	s.discoveryBusyUntil = max(s.discoveryBusyUntil, s.Now()) + cost
}
