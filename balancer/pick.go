package balancer

// Estimate and pick: the lower of two random choices by peak-EWMA latency x (pending+1), and what feeds the
// estimates.

import (
	"math"
	"slices"
	"time"
)

// pick returns the upstream for r's next attempt, or nil. The ordinary case is the lower load of two
// random ready upstreams. Upstreams already tried are left out while another is ready.
func (b *Balancer) pick(r *request) *upstream {
	if u := b.pickTold(r); u != nil {
		return u
	}
	home, away, size := b.scratchA[:0], b.scratchB[:0], b.subset()
	collect := func(ok func(*upstream) bool) {
		for _, u := range b.list {
			group := &away
			if u.zone == b.set.Zone {
				group = &home
			}
			if len(*group) < size && ok(u) && b.mayTry(r, u) {
				*group = append(*group, u)
			}
			if len(home) == size && len(away) == size {
				break // the rest of a large list costs time and changes nothing
			}
		}
	}
	fresh := func(u *upstream) bool {
		return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.u == u })
	}
	collect(func(u *upstream) bool { return b.ready(u, r) && fresh(u) })
	if len(home)+len(away) == 0 {
		collect(func(u *upstream) bool { return b.ready(u, r) })
	}
	if len(home)+len(away) == 0 && r.out == 0 { // panic: better a doubtful upstream than none
		collect(func(*upstream) bool { return true })
	}
	b.scratchA, b.scratchB = home, away
	return b.zonePick(r, home, away)
}

// said is what an upstream answered to a probe.
type said struct {
	at      time.Duration
	inHand  int           // and what was sent to it since
	latency time.Duration // 0: not told
}

// probed notes an answer, or that there was none. Guards against estimates that are old where little is sent.
func (b *Balancer) probed(e ProbeResult) {
	u := b.ups[e.Upstream]
	if u == nil {
		return
	}
	b.told = slices.DeleteFunc(b.told, func(x *upstream) bool { return x == u })
	if u.said = (said{}); e.Result != OK || e.InFlight < 0 || e.Latency < 0 {
		return
	}
	u.said = said{b.now, e.InFlight, e.Latency}
	if b.told = append(b.told, u); len(b.told) > toldMost {
		b.told = slices.Delete(b.told, 0, 1)
	}
}

// pickTold is the design's choice where the random ones were drawn by who probed them: the lowest load of
// those that have answered just now, for a first attempt. It is nil unless two of them are ready.
func (b *Balancer) pickTold(r *request) (best *upstream) {
	if len(b.told) == 0 || len(r.attempts) > 0 {
		return nil
	}
	n, least := 0, 0.0
	cross := b.set.CrossZonePrice * crossAims * b.meanAim
	for _, u := range b.told {
		if !b.saidNow(u) || !b.ready(u, r) || !b.mayTry(r, u) {
			continue
		}
		x := b.load(u)
		if u.zone != b.set.Zone && cross >= b.fleet/4 {
			x += cross
		}
		if n++; best == nil || x < least {
			best, least = u, x
		}
	}
	if n < 2 {
		return nil
	}
	return best
}

// saidNow tells whether what an upstream said still holds.
func (b *Balancer) saidNow(u *upstream) bool { return u.said.at > 0 && b.now-u.said.at < toldFor }

// subset is how many upstreams this sidecar chooses among: the first ready ones of its list, drawn by chance,
// so many that each is heard every subsetEvery; a busy sidecar uses all. Guards against stale estimates, and
// against connections that grow as sidecars times upstreams.
func (b *Balancer) subset() int {
	return max(subsetMin, int(math.Ceil(b.offered.per(b.now)*subsetEvery.Seconds())))
}

// zonePick stays in the home zone while it serves about as well. Guards against paying for crossings; acts
// where one costs, as latency, more than a quarter of what a request takes.
func (b *Balancer) zonePick(r *request, home, away []*upstream) *upstream {
	cross := b.set.CrossZonePrice * crossAims * b.meanAim
	if len(home) == 0 || len(away) == 0 || cross < b.fleet/4 {
		return b.twoChoices(append(home, away...))
	}
	near, far := b.twoChoices(home), b.twoChoices(away)
	if b.load(far)+cross >= b.load(near) {
		return near
	}
	for _, u := range home { // two of it may stand high by a failure each; what is not heard looks idle
		if b.subset() >= len(b.list) && b.load(u) < b.load(near) {
			near = u
		}
	}
	if b.load(far)+cross < b.load(near) {
		return far
	}
	return near
}

// twoChoices is the design's pick: the lower load of two distinct random upstreams.
func (b *Balancer) twoChoices(from []*upstream) *upstream {
	switch len(from) {
	case 0:
		return nil
	case 1:
		return from[0]
	}
	i := b.rng.IntN(len(from))
	j := b.rng.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if b.load(from[j]) < b.load(from[i]) {
		i = j
	}
	return from[i]
}

// load is the design's: latency x (pending+1). Exceptions: an idle estimate decays to the mean of its kind
// of machine, not to nothing (idleness is not speed), an attempt out takes its age at least, and what the
// upstream itself has just said counts where it is more.
func (b *Balancer) load(u *upstream) float64 {
	w := u.est.weight(b.now, b.decay)
	latency := u.est.value*w + *u.mean*(1-w)
	if len(u.out) > 0 {
		a := u.out[0]
		latency = max(latency, (b.now-a.sent).Seconds()/a.r.cost)
	}
	pending := len(u.out) + u.streams
	if b.saidNow(u) { // it knows what others have sent
		pending = max(pending, u.said.inHand)
		latency = max(latency, u.said.latency.Seconds())
	}
	return latency * float64(pending+1)
}

// estimate is a peak-EWMA in seconds.
type estimate struct {
	value float64
	at    time.Duration
}

func (e *estimate) weight(now, decay time.Duration) float64 {
	return math.Exp(-float64(now-e.at) / float64(decay))
}

// add replaces the estimate by a sample above its projection to now, and blends in any other.
func (e *estimate) add(sample float64, now, decay time.Duration) {
	if now < e.at {
		return
	}
	w := e.weight(now, decay)
	if sample > e.value*w {
		e.value = sample
	} else {
		e.value = e.value*w + sample*(1-w)
	}
	e.at = now
}

// keepFor sets how long estimates count. Guards against a sidecar that sees little and has forgotten each
// upstream, also the failing ones, by the time that it draws it again.
func (b *Balancer) keepFor() {
	offered := b.offered.per(b.now)
	heard := min(float64(len(b.list))/max(offered, 1e-3), subsetEvery.Seconds())
	b.decay = seconds(max(decayAims*b.meanAim, decayHeard*heard))
}

// observe feeds an attempt's outcome to the estimates. Samples are normalised by the work expected of the
// request, so that one costly request does not make its upstream look slow.
func (b *Balancer) observe(a *attempt, res Result, elapsed time.Duration) {
	x := elapsed.Seconds()
	norm := x / a.r.cost
	// Guards against false shedding at quiet sidecars, and none in overload: see pressure.
	took := min(x/(a.r.aim-a.r.arrived).Seconds(), crowdMost)
	if res == Rejected {
		took = crowdMost
	}
	if res != NotSent && res != ConnectFailed && (res != Cancelled || took > b.crowd) {
		b.crowd += crowdWeight * (took - b.crowd)
		b.crowdAt = b.now
	}
	switch res {
	case OK:
		b.served.add(1, b.now)
		c := a.r.class
		c.mean += meanWeight * (x - c.mean)
		b.mean += meanWeight * (x - b.mean)
		b.fleet += meanWeight * (norm - b.fleet)
		*a.u.mean += fewWeight * (norm - *a.u.mean)
		b.mid.add(norm)
		b.late.add(norm)
	case ServerError, Rejected:
		norm = max(norm, penaltyAims*b.meanAim)
	case NotSent:
		return
	case Cancelled, Timeout: // took at least this long
		if norm > b.late.v {
			b.late.add(norm)
			b.mid.add(norm)
		}
		if res == Cancelled && norm <= a.u.est.value {
			return
		}
	}
	a.u.est.add(norm, b.now, b.decay)
}

// cost is the work expected of a request, relative to the mean request: from its hint, else from its class.
func (b *Balancer) cost(c *class, hint time.Duration) float64 {
	x := c.mean / b.mean
	if hint > 0 {
		if b.hintMean == 0 {
			b.hintMean = hint.Seconds()
		}
		b.hintMean += meanWeight * (hint.Seconds() - b.hintMean)
		x = hint.Seconds() / b.hintMean
	}
	return min(max(x, 0.25), 8)
}
