package subset

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring is the upstreams of one zone, or of all others, in as many orders as there are rounds. Every sidecar has the same
// orders, since they follow from the names alone.
type ring struct {
	rounds [][]place // each the same upstreams, by another hash
	names  map[string]bool
	self   uint64 // of the sidecar, where its index is not known
}

type place struct {
	hash uint64
	name string
}

func newRing(self uint64) *ring {
	return &ring{names: map[string]bool{}, self: self}
}

func hashOf(round uint64, name string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], round)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

func compare(a, b place) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) }

// add and remove cost a look-up and a move of memory a round.
func (r *ring) add(name string) {
	if r.names[name] {
		return
	}
	r.names[name] = true
	for n := range r.rounds {
		p := place{hashOf(uint64(n), name), name}
		at, _ := slices.BinarySearchFunc(r.rounds[n], p, compare)
		r.rounds[n] = slices.Insert(r.rounds[n], at, p)
	}
}

func (r *ring) remove(name string) {
	if !r.names[name] {
		return
	}
	delete(r.names, name)
	for n := range r.rounds {
		p := place{hashOf(uint64(n), name), name}
		if at, ok := slices.BinarySearchFunc(r.rounds[n], p, compare); ok {
			r.rounds[n] = slices.Delete(r.rounds[n], at, at+1)
		}
	}
}

// round is the upstreams in the order of one round, which is made when it is first asked for.
func (r *ring) round(n int) []place {
	for len(r.rounds) <= n {
		order := make([]place, 0, len(r.names))
		for name := range r.names {
			order = append(order, place{hashOf(uint64(len(r.rounds)), name), name})
		}
		slices.SortFunc(order, compare)
		r.rounds = append(r.rounds, order)
	}
	return r.rounds[n]
}

// maxRounds bounds the orders that are kept; further rounds go by the first ones again.
const maxRounds = 16

// share lists the upstreams that are one sidecar's, in the order of preference, and at least a few beyond want, to borrow
// from. The first own of them are its own.
//
// With a known index: the rounds stand one behind the other, that makes rounds x upstreams places, and they are dealt out in
// sidecars equal pieces. Each upstream stands in each round once, so it is some sidecar's as often as there are rounds: no
// upstream has more than another, whatever the names are. One upstream more or less moves each end of a piece by at most
// the number of rounds.
//
// Without: the upstreams whose hash with the sidecar's own name is lowest (rendezvous hashing). How many sidecars an
// upstream has is then binomial.
func (r *ring) share(index, sidecars, want, beyond int) (names []string, own int) {
	n := len(r.names)
	if n == 0 || want <= 0 {
		return nil, 0
	}
	if want >= n {
		return r.all(), n
	}
	if index < 0 || sidecars <= 0 {
		return r.rendezvous(min(n, want+beyond)), want
	}
	rounds := (want*sidecars + n - 1) / n // at least want; less than an upstream's share of the sidecars more
	total := rounds * n
	from, to := index*total/sidecars, (index+1)*total/sidecars
	seen := make(map[string]bool, want+beyond)
	for at := from; len(names) < min(n, to-from+beyond) && at < from+2*n; at++ {
		p := r.round(at / n % rounds % maxRounds)[at%n]
		if at >= to && own == 0 {
			own = len(names)
		}
		if !seen[p.name] {
			seen[p.name] = true
			names = append(names, p.name)
		}
	}
	if own == 0 {
		own = min(len(names), to-from)
	}
	return names, own
}

func (r *ring) all() []string {
	names := make([]string, 0, len(r.names))
	for _, p := range r.round(0) {
		names = append(names, p.name)
	}
	return names
}

func (r *ring) rendezvous(want int) []string {
	order := make([]place, 0, len(r.names))
	for name := range r.names {
		order = append(order, place{hashOf(r.self, name), name})
	}
	slices.SortFunc(order, compare)
	names := make([]string, want)
	for i := range names {
		names[i] = order[i].name
	}
	return names
}
