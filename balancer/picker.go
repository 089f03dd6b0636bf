package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// candidateSampleInterval is how often each candidate should get a request, so that its estimate stays
	// current.
	candidateSampleInterval = 2 * time.Second
	candidateSetSizeMin     = 4 // the least number of upstreams to choose among: two to compare, and spares
)

// candidateSetSize returns how many upstreams this sidecar chooses among: as many as its offered rate, in
// requests a second, can sample at candidateSampleInterval. They are the first available ones of its shuffled
// list. A sidecar with little traffic thus has few connections and current estimates; a busy one uses all.
func (b *Balancer) candidateSetSize() int {
	perInterval := b.offeredRate.perSecond(b.now) * candidateSampleInterval.Seconds()
	return max(candidateSetSizeMin, int(math.Ceil(perInterval)))
}

// pick returns the upstream for r's next attempt, or nil if none may get it. It takes the least loaded by
// load report if there are enough reports, and otherwise chooses at random between available upstreams. It
// prefers untried upstreams. If none is available and r has no attempt in flight, it takes an ejected one.
func (b *Balancer) pick(r *request) *upstream {
	if u := b.pickByLoadReport(r); u != nil {
		return u
	}
	available := func(u *upstream) bool { return b.available(u, r) }
	untried := func(u *upstream) bool {
		return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.upstream == u })
	}
	local, remote := b.candidates(r, func(u *upstream) bool { return available(u) && untried(u) })
	if len(local)+len(remote) == 0 {
		local, remote = b.candidates(r, available)
	}
	if len(local)+len(remote) == 0 && r.inFlight == 0 {
		local, remote = b.candidates(r, func(*upstream) bool { return true })
	}
	return b.pickZone(local, remote)
}

// candidates returns the first upstreams that accept and mayAttempt allow for r: at most candidateSetSize in
// this sidecar's zone and as many in all other zones. The slices are valid until the next call.
func (b *Balancer) candidates(r *request, accept func(*upstream) bool) (local, remote []*upstream) {
	local, remote = b.scratchLocal[:0], b.scratchRemote[:0]
	size := b.candidateSetSize()
	for _, u := range b.shuffled {
		group := &remote
		if u.zone == b.settings.Zone {
			group = &local
		}
		if len(*group) < size && accept(u) && b.mayAttempt(r, u) {
			*group = append(*group, u)
		}
		if len(local) == size && len(remote) == size { // the cost of a pick does not grow with the list
			break
		}
	}
	b.scratchLocal, b.scratchRemote = local, remote
	return local, remote
}

// powerOfTwoChoices returns the less loaded of two distinct random candidates, the only candidate, or nil if
// there is none.
func (b *Balancer) powerOfTwoChoices(candidates []*upstream) *upstream {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	first := b.random.IntN(len(candidates))
	second := b.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if b.load(candidates[second]) < b.load(candidates[first]) {
		return candidates[second]
	}
	return candidates[first]
}

// load returns the value by which upstreams are compared, in seconds: latency x (pending + 1).
//
// The latency is the upstream's estimate. As the estimate ages it fades into the mean of the machine type,
// since an upstream without requests need not be fast. The age of the oldest attempt without an answer,
// divided by its cost, is a lower bound of the latency. A fresh load report may raise latency and pending,
// as it includes the requests of other sidecars.
func (b *Balancer) load(u *upstream) float64 {
	weight := u.latency.weight(b.now, b.latency.decay)
	latency := u.latency.value*weight + *u.machineTypeLatency*(1-weight)
	if len(u.inFlight) > 0 {
		oldest := u.inFlight[0]
		latency = max(latency, (b.now-oldest.sentAt).Seconds()/oldest.request.cost)
	}
	pending := u.pending()
	if b.hasFreshLoadReport(u) {
		pending = max(pending, u.report.inFlight)
		latency = max(latency, u.report.latency.Seconds())
	}
	return latency * float64(pending+1)
}
