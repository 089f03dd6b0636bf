package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxInsertions is the largest number of added positions that are inserted one by one. If more were added, the whole ring is sorted instead.
const maxInsertions = 32

// ring holds the ready endpoints of the sidecar's zone, or of all other zones. Their order depends only on their names and is therefore
// the same in every sidecar.
type ring struct {
	sorted      []position
	added       []position // not yet in sorted
	sidecarHash uint64     // hash of the sidecar's name, for rendezvous hashing
}

// position is an endpoint's place on the ring.
type position struct {
	hash uint64
	name string
}

func newRing(sidecarHash uint64) *ring { return &ring{sidecarHash: sidecarHash} }

func positionOf(name string) position { return position{xxhash.Sum64String(name), name} }

func comparePositions(a, b position) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// size returns the number of endpoints.
func (r *ring) size() int {
	r.mergeAdded()
	return len(r.sorted)
}

// add adds an endpoint that is not on the ring. mergeAdded inserts it later, which costs a binary search and a memory copy, or sorts the
// ring once if many endpoints were added.
func (r *ring) add(name string) { r.added = append(r.added, positionOf(name)) }

// mergeAdded moves the added positions to their places in sorted.
func (r *ring) mergeAdded() {
	if len(r.added) > maxInsertions {
		r.sorted = append(r.sorted, r.added...)
		slices.SortFunc(r.sorted, comparePositions)
	} else {
		for _, p := range r.added {
			i, _ := slices.BinarySearchFunc(r.sorted, p, comparePositions)
			r.sorted = slices.Insert(r.sorted, i, p)
		}
	}
	r.added = r.added[:0]
}

// remove removes an endpoint, if it is on the ring.
func (r *ring) remove(name string) {
	r.mergeAdded()
	if i, found := slices.BinarySearchFunc(r.sorted, positionOf(name), comparePositions); found {
		r.sorted = slices.Delete(r.sorted, i, i+1)
	}
}

// share returns a sidecar's endpoints in order of preference. The first shareSize endpoints are the sidecar's share, which has at least
// the wanted number of endpoints if the ring is large enough. They are followed by endpoints that the sidecar may borrow, extra at most.
//
// If the index is known, the ring of n endpoints is cut at the bounds b(j) = floor(j n / m), where m is the number of sidecars. Sidecar i
// has the endpoints from b(i) to b(i+c), with c = ceil(want m / n). Each endpoint lies between two neighbouring bounds and is in the share
// of exactly c sidecars, for any n and m. Adding or removing an endpoint moves a bound by at most one position. Adding a sidecar moves a
// bound by at most n/m positions, which is a c-th of a share.
//
// If the index is not known, the sidecar has the endpoints for which the combined hash of endpoint and sidecar is lowest (rendezvous
// hashing). The number of sidecars that use an endpoint is then binomially distributed.
func (r *ring) share(index, fleetSize, want, extra int) (names []string, shareSize int) {
	n := r.size()
	switch {
	case want <= 0 || n == 0:
		return nil, 0
	case want >= n:
		return r.arc(0, n), n
	case index < 0 || fleetSize <= 0:
		return r.rendezvous(min(n, want+extra)), want
	}
	segments := (want*fleetSize + n - 1) / n
	begin, end := index*n/fleetSize, (index+segments)*n/fleetSize
	shareSize = min(n, max(1, end-begin))
	return r.arc(begin, min(n, shareSize+extra)), shareSize
}

// arc returns consecutive endpoints, and continues at the start of the ring after its end. The parameter begin is the index of the first
// endpoint, and count is the number of endpoints.
func (r *ring) arc(begin, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = r.sorted[(begin+i)%len(r.sorted)].name
	}
	return names
}

// rendezvous returns the count endpoints for which the combined hash of endpoint and sidecar is lowest.
func (r *ring) rendezvous(count int) []string {
	order := make([]position, len(r.sorted))
	for i, p := range r.sorted {
		order[i] = position{mix(p.hash ^ r.sidecarHash), p.name}
	}
	slices.SortFunc(order, comparePositions)
	names := make([]string, count)
	for i := range names {
		names[i] = order[i].name
	}
	return names
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
