package balancer

// Cold upstreams: what is sent to one that has just started stays within a budget.

import (
	"slices"
	"time"
)

// chill begins an upstream's warm-up at from. Its estimate is a little below its kind's: the budget holds it
// back, and nothing waits there yet. Guards against budgets left unused beside full upstreams.
func (b *Balancer) chill(u *upstream, from time.Duration) {
	u.cold, u.coldFrom, u.filled, u.tokens = true, from, b.now, b.rng.Float64()
	u.est = estimate{coldFirst * *u.mean, b.now}
}

// warmth is the least share of its capacity that a starting upstream has by now.
func (b *Balancer) warmth(u *upstream) float64 {
	if u.cold && b.now-u.coldFrom >= b.set.SlowStartWindow {
		u.cold = false
	}
	if !u.cold {
		return 1
	}
	age := float64(b.now-u.coldFrom) / float64(b.set.SlowStartWindow)
	return min(1, b.set.SlowStartMinCapacity+(1-b.set.SlowStartMinCapacity)*age)
}

// coldAllows holds a cold upstream to a part of what would push it over. The rule counts all sidecars' work;
// each does its part by sending no more than that multiple of its mean load, as far as the upstream is warm.
// Only those that list it in their subset do: else, with many cold, every sidecar would come to each of them.
// What its kind of machine takes for a request, beside the mean, tells how far from the mean its capacity is.
func (b *Balancer) coldAllows(u *upstream) bool {
	f := b.warmth(u)
	if !u.cold {
		return true
	}
	size := min(len(b.list), b.subset())
	if !slices.Contains(b.list[:size], u) {
		return false
	}
	if b.set.OverloadMultiple > 0 {
		f *= coldPart * b.set.OverloadMultiple * min(max(b.fleet / *u.mean, 1/coldKind), coldKind)
	}
	perSec := f * b.offered.per(b.now) / float64(size)
	depth := max(1, perSec*b.set.OverloadWindow.Seconds()/10)
	u.tokens = min(depth, u.tokens+perSec*(b.now-u.filled).Seconds())
	u.filled = b.now
	return u.tokens >= 1
}
