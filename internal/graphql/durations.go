package graphql

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxOperationKinds is the number of kinds of operations whose durations are kept. A kind is a set of root fields. It does not
// depend on the operation's name, which the client chooses.
const maxOperationKinds = 512

// durationEstimates holds the mean duration for each unit of cost, over all operations and by kind of operation. The static cost
// compares an operation with others of its kind; these rates turn the cost into an expected duration.
type durationEstimates struct {
	all   rate
	kinds *simplelru.LRU[string, *rate]
}

// rate is an exponentially weighted moving average of the seconds for each unit of cost.
type rate struct {
	secondsPerUnit float64
	samples        int
}

const (
	minSampleWeight = 1.0 / 16 // of a new sample in the average
	minSamples      = 4        // below this number of samples a rate is not used
)

func newDurationEstimates() *durationEstimates {
	d := &durationEstimates{}
	d.kinds, _ = simplelru.NewLRU[string, *rate](maxOperationKinds, nil) // its only error is a size below 1
	return d
}

func (r *rate) add(newValue float64) {
	r.samples++
	r.secondsPerUnit += max(minSampleWeight, 1/float64(r.samples)) * (newValue - r.secondsPerUnit)
}

// costUnits adds 1 to a cost, so that operations with a cost near 0 do not lead to an extreme rate.
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

// maxDurationEstimate bounds the expected duration of an operation.
const maxDurationEstimate = time.Hour

// estimate returns the expected duration of an operation, or 0 if there are too few samples.
func (d *durationEstimates) estimate(kind string, cost float64) time.Duration {
	r, ok := d.kinds.Get(kind)
	if !ok || r.samples < minSamples {
		if r = &d.all; r.samples < minSamples {
			return 0
		}
	}
	return time.Duration(min(r.secondsPerUnit*costUnits(cost), maxDurationEstimate.Seconds()) * float64(time.Second))
}
