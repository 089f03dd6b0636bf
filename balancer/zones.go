package balancer

// Zones: one that says nothing any more is left out as a whole. Guards against a lost zone that each sidecar
// finds out about one upstream after the other, with two lost requests for each.

import (
	"maps"
	"slices"
	"time"
)

// zonesKept is how many zones more than there are upstreams may be kept.
const zonesKept = 16

// zone is what was heard of the upstreams that share one.
type zone struct {
	heard   time.Duration // when one of them last answered
	silence int           // number of the present silence: it goes on with the first failure after that
	misses  int           // upstreams that failed in it, and none answered
	since   time.Duration // when the first of these failures came
	losses  int           // times that the zone was left out, without an answer between
	tried   time.Duration // when it was last left out: what was sent before tells no more
	until   time.Duration // left out until
}

func (b *Balancer) zoneOf(name string) *zone {
	z := b.zones[name]
	if z == nil {
		if len(b.zones) > len(b.list)+zonesKept {
			maps.DeleteFunc(b.zones, func(_ string, z *zone) bool {
				return !slices.ContainsFunc(b.list, func(u *upstream) bool { return u.in == z })
			})
		}
		z = &zone{silence: 1}
		b.zones[name] = z
	}
	return z
}

// sends notes an attempt at an upstream of a zone that was left out: the next waits until this one has told.
func (z *zone) sends(until time.Duration) {
	if z.losses > 0 {
		z.until = max(z.until, until)
	}
}

// hears notes that u has answered: its zone is there.
func (b *Balancer) hears(u *upstream) {
	u.heard = b.now
	z := u.in
	if z.losses > 0 {
		b.logOf(u, "zone %s answers again", u.zone)
	}
	z.heard, z.misses, z.losses, z.until = b.now, 0, 0, 0
	z.silence++
}

// misses notes that an attempt at u ended without an answer. Where that befell lostVotes upstreams of a zone,
// none of it heard since those were sent, while another zone answered, the zone is taken as lost: it is tried
// with one request at a time, after a wait that doubles, and what is out to it goes elsewhere too.
func (b *Balancer) misses(u *upstream, a *attempt) {
	z := u.in
	if a.sent <= z.heard || z.losses > 0 && a.sent <= z.tried {
		return
	}
	if u.missed != z.silence {
		u.missed = z.silence
		if z.misses++; z.misses == 1 {
			z.since = b.now
		}
	}
	if z.misses < lostVotes || !b.heardElsewhere(z) {
		return
	}
	d := min(ejectBase<<min(z.losses, 10), ejectMax) / 2
	z.tried, z.until = b.now, b.now+time.Duration(float64(d)*(0.75+0.5*b.rng.Float64()))
	if z.losses++; z.losses > 1 {
		return
	}
	b.logOf(u, "zone %s is silent: %d of its upstreams fail", u.zone, z.misses)
	for _, x := range b.list {
		for _, out := range x.out {
			if x.in == z && out.r.class.Idempotency != NonIdempotent {
				out.r.lateAt = b.now
				b.after(b.now, timerLate, out.r)
			}
		}
	}
}

// heardElsewhere tells whether another zone answered since z fell silent: else the fault may be our own.
func (b *Balancer) heardElsewhere(z *zone) bool {
	for _, u := range b.list {
		if u.in != z && u.in.heard >= z.since && u.in.heard > 0 {
			return true
		}
	}
	return false
}
