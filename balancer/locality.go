package balancer

import "time"

const (
	// crossZoneObjectives converts CrossZonePrice, in points of service, to latency: the price times this
	// many mean latency objectives.
	crossZoneObjectives = 3.5
	crossZoneMinShare   = 0.25 // share of the mean latency below which the cross-zone cost is ignored
)

// crossZoneCost returns the extra latency that a cross-zone attempt counts as, in seconds.
func (b *Balancer) crossZoneCost() float64 {
	return b.settings.CrossZonePrice * crossZoneObjectives * b.meanObjective
}

// prefersLocal reports whether a cross-zone cost, in seconds, is high enough to prefer this sidecar's zone.
func (b *Balancer) prefersLocal(crossZoneCost float64) bool {
	return crossZoneCost >= b.latency.normalizedMean*crossZoneMinShare
}

// pickZone compares one candidate of this sidecar's zone with one of the other zones, each found by the power
// of two choices. If crossing zones costs, it takes the local candidate unless its load exceeds the remote
// load by more than the cross-zone cost, in seconds. If the candidate set covers all upstreams, it compares
// every local upstream first, as a failure may have raised both estimates of a random pair.
func (b *Balancer) pickZone(local, remote []*upstream) *upstream {
	crossZoneCost := b.crossZoneCost()
	if len(local) == 0 || len(remote) == 0 || !b.prefersLocal(crossZoneCost) {
		return b.powerOfTwoChoices(append(local, remote...))
	}
	localChoice, remoteChoice := b.powerOfTwoChoices(local), b.powerOfTwoChoices(remote)
	if b.load(remoteChoice)+crossZoneCost >= b.load(localChoice) {
		return localChoice
	}
	for _, u := range local {
		if b.candidateSetSize() >= len(b.shuffled) && b.load(u) < b.load(localChoice) {
			localChoice = u
		}
	}
	if b.load(remoteChoice)+crossZoneCost < b.load(localChoice) {
		return remoteChoice
	}
	return localChoice
}

// delayNextTrial delays the next trial of an ejected zone. The parameter until is the earliest clock time of
// that trial: by then, the attempt just sent should have an answer.
func (z *zoneState) delayNextTrial(until time.Duration) {
	if z.consecutiveEjections > 0 {
		z.ejectedUntil = max(z.ejectedUntil, until)
	}
}

// recordZoneAnswer notes that u has answered, which ends an outage of its zone.
func (b *Balancer) recordZoneAnswer(u *upstream) {
	z := u.zoneState
	if z.consecutiveEjections > 0 {
		b.logUpstreamEvent(u, "zone %s answers again", u.zone)
	}
	z.lastAnswerAt = b.now
	z.failedUpstreams, z.consecutiveEjections, z.ejectedUntil = 0, 0, 0
	z.failureEpoch++
}

const (
	// zoneOutageUpstreams is how many upstreams of a zone must fail, with no answer from the zone, to show an
	// outage.
	zoneOutageUpstreams = 3

	// zoneEjectionParts divides an upstream's ejection time: a zone is ejected for the quotient.
	zoneEjectionParts = 2
)

// recordZoneFailure notes that attempt a at u ended without an answer, and ejects the zone if that shows an
// outage: zoneOutageUpstreams have failed since the zone's latest answer, and another zone has answered
// since. An ejected zone gets one trial at a time, after a time that doubles. Ejecting the zone as a whole
// saves the attempts that it would cost to eject each of its upstreams.
func (b *Balancer) recordZoneFailure(u *upstream, a *attempt) {
	z := u.zoneState
	if a.sentAt <= z.lastAnswerAt || z.consecutiveEjections > 0 && a.sentAt <= z.ejectedAt {
		return
	}
	if u.outlier.countedInEpoch != z.failureEpoch {
		u.outlier.countedInEpoch = z.failureEpoch
		z.failedUpstreams++
		if z.failedUpstreams == 1 {
			z.firstFailureAt = b.now
		}
	}
	if z.failedUpstreams < zoneOutageUpstreams || !b.otherZoneAnswered(z) {
		return
	}
	z.ejectedAt = b.now
	ejectedFor := ejectionTime(z.consecutiveEjections) / zoneEjectionParts
	z.ejectedUntil = b.now + b.jitter(ejectedFor, ejectionJitterMin, ejectionJitterMax)
	z.consecutiveEjections++
	if z.consecutiveEjections > 1 {
		return
	}
	b.logUpstreamEvent(u, "zone %s is silent: %d of its upstreams fail", u.zone, z.failedUpstreams)
	b.expireAttempts(z)
}

// expireAttempts makes a zone's idempotent attempts late now, so that other zones get their requests.
func (b *Balancer) expireAttempts(z *zoneState) {
	for _, u := range b.shuffled {
		for _, a := range u.inFlight {
			if u.zoneState == z && a.request.class.Idempotency != NonIdempotent {
				a.request.timing.attemptLateAt = b.now
				b.schedule(b.now, timerAttemptLate, a.request)
			}
		}
	}
}

// otherZoneAnswered reports whether another zone has answered since z began to fail. If none has, the fault
// may lie in this sidecar's own network.
func (b *Balancer) otherZoneAnswered(z *zoneState) bool {
	for _, u := range b.shuffled {
		other := u.zoneState
		if other != z && other.lastAnswerAt >= z.firstFailureAt && other.lastAnswerAt > 0 {
			return true
		}
	}
	return false
}
