package balancer

import (
	"maps"
	"slices"
	"time"
)

// upstream is the state of one incarnation of an endpoint. A restart of the endpoint, which the endpoint
// list shows as another start time, begins a new incarnation.
type upstream struct {
	name      string
	zone      string
	cell      int
	active    bool          // the endpoint list shows it as Active: it may get attempts
	startedAt time.Duration // clock time of its start according to the endpoint list; 0 if it started long ago
	zoneState *zoneState

	machineTypeLatency *float64 // mean normalized latency, in seconds, shared by its machine type's upstreams
	latency            peakEWMA // normalized latency, in seconds
	report             loadReport

	inFlight      []*attempt    // attempts without an answer, oldest first
	activeStreams int           // attempts whose response has begun and on which the upstream still works
	lastAnswerAt  time.Duration // clock time of its latest answer of any kind

	outlier   outlierState
	slowStart slowStartState
}

// outlierState is the state of outlier detection for an upstream. A good answer ends an ejection.
type outlierState struct {
	consecutiveFailures  int           // attempts without an answer (connect failed, reset, timeout) in a row
	firstFailureSentAt   time.Duration // clock time at which the first of these attempts was sent
	consecutiveErrors    int           // error answers in a row
	errorRatio           float64       // moving average of the share of error answers, 0 to 1
	consecutiveEjections int           // ejections since its latest return; 0 while it is not ejected
	ejectedUntil         time.Duration // clock time before which it gets no attempt
	countedInEpoch       int           // zoneState.failureEpoch in which it was last counted as failed
}

// slowStartState is the token bucket that holds back an upstream that has just started.
type slowStartState struct {
	active     bool
	startedAt  time.Duration // clock time at which the slow start window began
	tokens     float64       // work that may be sent now, in mean requests
	refilledAt time.Duration // clock time of the latest refill
}

// loadReport is the load that an upstream reported in its latest answer to a load probe.
type loadReport struct {
	receivedAt time.Duration // clock time; 0 if there is no report
	inFlight   int           // requests at the upstream, plus attempts that this sidecar has sent since
	latency    time.Duration // latency of the upstream's recent requests; 0 if it is not reported
}

// zoneState is the state of outage detection for a zone.
type zoneState struct {
	lastAnswerAt         time.Duration // clock time of the latest answer from one of its upstreams
	failureEpoch         int           // number of the period that began with that answer, from 1
	failedUpstreams      int           // upstreams that failed in this period
	firstFailureAt       time.Duration // clock time of the first of these failures
	consecutiveEjections int           // ejections since the latest answer; 0 while it is not ejected
	ejectedAt            time.Duration // clock time of the latest ejection
	ejectedUntil         time.Duration // clock time before which its upstreams get no attempt
}

func (u *upstream) removeInFlight(a *attempt) {
	u.inFlight = slices.DeleteFunc(u.inFlight, func(other *attempt) bool { return other == a })
}

// pending returns the number of attempts that the upstream works on.
func (u *upstream) pending() int { return len(u.inFlight) + u.activeStreams }

// spareZoneStatesMax is how many zone states beyond the number of upstreams are kept before the unused ones
// are removed.
const spareZoneStatesMax = 16

// zoneStateFor returns the state of the named zone, and creates it if there is none.
func (b *Balancer) zoneStateFor(name string) *zoneState {
	if z := b.zones[name]; z != nil {
		return z
	}
	if len(b.zones) > len(b.shuffled)+spareZoneStatesMax {
		maps.DeleteFunc(b.zones, func(_ string, z *zoneState) bool {
			return !slices.ContainsFunc(b.shuffled, func(u *upstream) bool { return u.zoneState == z })
		})
	}
	z := &zoneState{failureEpoch: 1}
	b.zones[name] = z
	return z
}
