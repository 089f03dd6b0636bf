package balancer

// Refusals: what is turned away at its arrival, what is given up later, and how its client is told.

import (
	"math"
	"slices"
	"time"
)

// mayRefuse: a refusal tells the client that trying again is harmless.
func mayRefuse(r *request) bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == ScopeAll {
		return true
	}
	return len(r.prior) == 0 && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayRun })
}

// giveUp ends a request without an answer. A refused client is told to stay away for good or, where it will
// be back while late answers count, to be back in time. Guards against repeats past their aim.
func (b *Balancer) giveUp(r *request) {
	if r.done {
		return
	}
	b.cancelRest(r, -1)
	b.learnLimit(r)
	if mayRefuse(r) {
		a := Action{Kind: Reject, ID: r.id}
		if b.set.RetryAfterAllowed {
			a.RetryAfter = b.set.MaxRetryAfter
			if wait, c := (r.aim-b.now)/2, r.class; wait > 0 && c.LateValueFraction > 0 && a.RetryAfter < c.Deadline {
				a.RetryAfter = min(a.RetryAfter, wait)
			}
		}
		b.act(a)
	} else {
		b.act(Action{Kind: Fail, ID: r.id})
	}
	b.close(r)
}

// admit refuses what is worth least while there is more in hand than can be served in time.
func (b *Balancer) admit(r *request) bool {
	v := b.value(r)
	lower, equal := 0.0, 0.0
	n := min(b.ranked, rankOver)
	for _, x := range b.ranks[:n] {
		if x < v {
			lower++
		} else if x == v {
			equal++
		}
	}
	b.ranks[b.ranked%rankOver] = v
	b.ranked++
	if n == 0 {
		return true
	}
	rank := (lower + equal*b.rng.Float64()) / float64(n)
	ok := b.pressure() <= 1+rank/2
	if !ok && b.shedding == 0 {
		b.log("shedding begins: %d in hand, %.0f answers a second", b.waiting, b.served.per(b.now))
	} else if ok && b.shedding != 0 && b.now-b.shedding > servedMemory {
		b.log("shedding ended")
		b.shedding = 0
	}
	if !ok {
		b.shedding = b.now
	}
	return ok
}

// hold counts a request in hand, or with -1 out of it.
func (b *Balancer) hold(r *request, n int) {
	if r.held == (n > 0) {
		return
	}
	r.held = n > 0
	b.waiting += n
	b.arrivals += time.Duration(n) * r.arrived
	b.inHand += float64(n) / (r.aim - r.arrived).Seconds()
	if b.waiting == 0 {
		b.inHand = 0 // sums of fractions drift
	}
}

// pressure compares the requests in hand with what is served while one of them may wait (Little's law):
// above 1 they would take more than the limit of their aim on average. Guards against queues that grow
// faster than late answers tell of, and against jams that feed on themselves. What is in hand only since a
// moment counts less, so that a burst on a calm day passes. With few in hand a rate of answers is noise:
// there it is the share of their aim that recent attempts took. That tells late, and less the more is
// refused: it sheds in proportion, what is worth least first, and lets a fifth go on that tells of it.
func (b *Balancer) pressure() float64 {
	n := float64(b.waiting)
	if n < float64(len(b.list))/float64(b.set.FleetSize) { // less than one for each upstream of its share
		return 0
	}
	if n < fewInHand {
		c := b.crowd * math.Exp(-float64(b.now-b.crowdAt)/float64(crowdMemory)) / crowdFrom
		return min(c, 1+(c-1)*crowdShed, crowdMax)
	}
	age := (time.Duration(b.waiting)*b.now - b.arrivals).Seconds() / n // mean
	return min(1, age*b.inHand/n/limitAge) * min(pressureMax, b.inHand/(b.limit*max(b.served.per(b.now), 1e-3)))
}

// learnLimit narrows the limit for a request that ended late under pressure, and widens it for one in time.
// Guards against upstreams that slow down when crowded; one not heard since is hung, not crowded.
func (b *Balancer) learnLimit(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if b.now < r.aim-2*b.set.Tick {
		b.limit = min(limitMax, b.limit*(1+limitStep*lateAllowed))
	} else if last.u.heard > last.sent && b.pressure() > 1 {
		b.limit = max(limitMin, b.limit*(1-limitStep))
	}
}

// value is a request's worth for each unit of work; part of what a tenant sends beyond its share counts as
// little.
func (b *Balancer) value(r *request) float64 {
	v := r.class.PriorityWeight
	if !b.set.WeightPerWork {
		v /= r.cost
	}
	if r.stale {
		v *= r.class.LateValueFraction
	}
	if r.tenant >= 0 {
		t := &b.tenants[r.tenant]
		t.add(1, b.now)
		total := 0.0
		for i := range b.tenants {
			total += b.tenants[i].per(b.now)
		}
		share := b.set.Tenants[r.tenant].Quota
		if use := t.per(b.now) / total; b.rng.Float64()*use > share {
			v *= b.set.OverQuotaWeight
		}
	}
	return v
}
