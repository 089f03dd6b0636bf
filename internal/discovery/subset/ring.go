package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring is the upstreams of one zone, or of all others, in an order that every sidecar has, since it follows from the names
// alone.
type ring struct {
	order []place
	fresh []place // added and not yet in order: many at once are sorted in together
	self  uint64  // of the sidecar, where its index is not known
}

type place struct {
	hash uint64
	name string
}

func newRing(self uint64) *ring { return &ring{self: self} }

func placeOf(name string) place { return place{xxhash.Sum64String(name), name} }

func compare(a, b place) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) }

func (r *ring) len() int {
	r.settle()
	return len(r.order)
}

// add is for a name that is not there. It and remove cost a look-up and a move of memory.
func (r *ring) add(name string) { r.fresh = append(r.fresh, placeOf(name)) }

// settle takes in what was added.
func (r *ring) settle() {
	if len(r.fresh) > 32 {
		r.order = append(r.order, r.fresh...)
		slices.SortFunc(r.order, compare)
	} else {
		for _, p := range r.fresh {
			at, _ := slices.BinarySearchFunc(r.order, p, compare)
			r.order = slices.Insert(r.order, at, p)
		}
	}
	r.fresh = r.fresh[:0]
}

func (r *ring) remove(name string) {
	r.settle()
	if at, there := slices.BinarySearchFunc(r.order, placeOf(name), compare); there {
		r.order = slices.Delete(r.order, at, at+1)
	}
}

// share lists the upstreams that are one sidecar's, in the order of preference, and some beyond to borrow from. The first
// own of them are its own: want at least, as far as there are any.
//
// With a known index: of n upstreams and m sidecars, b(j) = floor(j n / m) are bounds on the ring, one for each sidecar, and
// sidecar i has those from b(i) to b(i+c), with c = ceil(want m / n). Each upstream lies between two neighbouring bounds, and
// so is the own of exactly c sidecars, whatever n and m are. One upstream more or less moves a bound by one at most; one
// sidecar more moves it by n/m at most, a c-th of a share.
//
// Without: the upstreams whose hash with the sidecar's own name is lowest (rendezvous hashing). How many sidecars an
// upstream has is then binomial.
func (r *ring) share(index, sidecars, want, beyond int) (names []string, own int) {
	n := r.len()
	switch {
	case want <= 0 || n == 0:
		return nil, 0
	case want >= n:
		return r.from(0, n), n
	case index < 0 || sidecars <= 0:
		return r.rendezvous(min(n, want+beyond)), want
	}
	c := (want*sidecars + n - 1) / n
	begin, end := index*n/sidecars, (index+c)*n/sidecars
	own = min(n, max(1, end-begin))
	return r.from(begin, min(n, own+beyond)), own
}

// from is so many upstreams from one on, round the ring.
func (r *ring) from(begin, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = r.order[(begin+i)%len(r.order)].name
	}
	return names
}

func (r *ring) rendezvous(want int) []string {
	order := make([]place, len(r.order))
	for i, p := range r.order {
		order[i] = place{mix(p.hash ^ r.self), p.name}
	}
	slices.SortFunc(order, compare)
	names := make([]string, want)
	for i := range names {
		names[i] = order[i].name
	}
	return names
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014): an order for each sidecar out of one hash a name.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
