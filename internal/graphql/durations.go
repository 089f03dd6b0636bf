package graphql

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxLearnt is how many kinds of operations are remembered by what they took. Kinds are told apart by their root fields, not
// by names, which are the client's.
const maxLearnt = 512

// learnt is what a unit of cost took, in all and by kind of operation: the static estimate says how large an operation is
// beside others of its kind, and this how long that takes.
type learnt struct {
	all  rate
	kind *simplelru.LRU[string, *rate]
}

// rate is a mean that forgets, of seconds for a unit of cost.
type rate struct {
	per float64
	n   int
}

const (
	learnWeight = 1.0 / 16
	learnLeast  = 4 // answers of a kind before its own rate counts
)

func newLearnt() *learnt {
	l := &learnt{}
	l.kind, _ = simplelru.NewLRU[string, *rate](maxLearnt, nil) // it refuses only sizes under 1
	return l
}

func (r *rate) add(per float64) {
	r.n++
	r.per += max(learnWeight, 1/float64(r.n)) * (per - r.per)
}

// unit keeps the cost of operations that cost next to nothing from blowing the rate up.
func unit(cost float64) float64 { return 1 + cost }

func (l *learnt) add(kind string, cost float64, took time.Duration) {
	per := max(0, took.Seconds()) / unit(cost)
	l.all.add(per)
	r, ok := l.kind.Get(kind)
	if !ok {
		r = &rate{}
		l.kind.Add(kind, r)
	}
	r.add(per)
}

// maxHint bounds what an operation is expected to take.
const maxHint = time.Hour

func (l *learnt) hint(kind string, cost float64) time.Duration {
	r, ok := l.kind.Get(kind)
	if !ok || r.n < learnLeast {
		if r = &l.all; r.n < learnLeast {
			return 0
		}
	}
	return time.Duration(min(r.per*unit(cost), maxHint.Seconds()) * float64(time.Second))
}
