package graphql

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxOperationKinds is how many kinds of operations are remembered by what they took. Kinds are told apart by their root fields, not
// by names, which are the client's.
const maxOperationKinds = 512

// durationEstimates is what a unit of cost took, in all and by kind of operation: the static estimate says how large an operation is
// beside others of its kind, and this how long that takes.
type durationEstimates struct {
	all   rate
	kinds *simplelru.LRU[string, *rate]
}

// rate is a mean that forgets, of seconds for a unit of cost.
type rate struct {
	secondsPerUnit float64
	samples        int
}

const (
	minSampleWeight = 1.0 / 16
	minSamples      = 4 // answers of a kind before its own rate counts
)

func newDurationEstimates() *durationEstimates {
	d := &durationEstimates{}
	d.kinds, _ = simplelru.NewLRU[string, *rate](maxOperationKinds, nil) // it refuses only sizes under 1
	return d
}

func (r *rate) add(newValue float64) {
	r.samples++
	r.secondsPerUnit += max(minSampleWeight, 1/float64(r.samples)) * (newValue - r.secondsPerUnit)
}

// costUnits keeps the cost of operations that cost next to nothing from blowing the rate up.
func costUnits(cost float64) float64 { return 1 + cost }

func (d *durationEstimates) add(kind string, cost float64, took time.Duration) {
	secondsPerUnit := max(0, took.Seconds()) / costUnits(cost)
	d.all.add(secondsPerUnit)
	r, ok := d.kinds.Get(kind)
	if !ok {
		r = &rate{}
		d.kinds.Add(kind, r)
	}
	r.add(secondsPerUnit)
}

// maxDurationEstimate bounds what an operation is expected to take.
const maxDurationEstimate = time.Hour

func (d *durationEstimates) estimate(kind string, cost float64) time.Duration {
	r, ok := d.kinds.Get(kind)
	if !ok || r.samples < minSamples {
		if r = &d.all; r.samples < minSamples {
			return 0
		}
	}
	return time.Duration(min(r.secondsPerUnit*costUnits(cost), maxDurationEstimate.Seconds()) * float64(time.Second))
}
