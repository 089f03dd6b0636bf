package fleetsim

import (
	"time"

	"orchiddrift/balancer"
)

// Discovery is a discovery service with a limited capacity. Each sidecar calls it for the list and then watches for changes. The
// service answers calls one after another, and rejects a call at once if the call would wait longer than Timeout.
type Discovery struct {
	LinesPerSecond float64 // capacity in lines; a change costs one line for each watching sidecar
	LinesPerCall   int     // cost of a call in lines, in addition to one line for each node
	Timeout        time.Duration
	DownAt         time.Duration // time since the start at which all watches end and calls begin to be rejected
	DownFor        time.Duration // duration of the outage; 0 means that there is no outage
}

// Kill is a fault of sidecars. A fraction of the sidecars is killed at the same moment, and restarts at once with the cached list.
// Pending requests of these sidecars fail.
const Kill FaultKind = "kill"

// down reports whether the service is down. The parameter since is the time that has passed since the start of the run.
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

// subscribe calls the discovery service for a sidecar. The answer is the full list, after which the sidecar watches for changes.
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
		case sc.incarnation != incarnation: // the sidecar was killed in the meantime
		case d.down(s.Since()):
			s.discoveryFailed(sc)
		default:
			sc.watching = true
			s.result.LastFullListAt = s.Since()
			s.deliverList(sc, s.currentList(), balancer.FullUpdate)
		}
	})
}

// policyPollInterval is the mean time after which a sidecar with a Policy calls again after a failure. Jitter changes it by up to half.
const policyPollInterval = 2 * time.Second

// discoveryFailed notifies a sidecar that its call has failed or its watch has ended. The balancer decides when to call again. A
// sidecar with a Policy calls again after about policyPollInterval.
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

// chargeDiscovery adds a number of lines to the pending work of the discovery service.
func (s *simulation) chargeDiscovery(lines int) {
	cost := time.Duration(float64(lines) / s.run.Discovery.LinesPerSecond * float64(time.Second))
	s.discoveryBusyUntil = max(s.discoveryBusyUntil, s.Now()) + cost
}
