package balancer

import (
	"errors"
	"math"
	"time"
)

// Snapshot is what a Balancer has learnt, as its process passes it on to a successor. Times are ages at that moment.
type Snapshot struct {
	Upstreams             map[string]UpstreamSnapshot `json:"Upstreams"`
	MeanLatency           float64                     `json:"Mean"`  // latency, seconds
	MeanNormalizedLatency float64                     `json:"Fleet"` // normalised, seconds
	MedianLatency         float64                     `json:"Mid"`   // quantiles of it
	LateLatency           float64                     `json:"Late"`
	MeanCostHint          float64                     `json:"HintMean"` // seconds
	Classes               map[string]float64          `json:"Classes"`  // mean seconds an answer takes
	MachineTypes          map[string]float64          `json:"Kinds"`    // mean normalised latency by kind of machine
	QueueingLimit         float64                     `json:"Limit"`
	ServedRate            float64                     `json:"Served"`  // answers a second
	OfferedRate           float64                     `json:"Offered"` // work a second, in mean requests
}

// UpstreamSnapshot is what is known of one upstream.
type UpstreamSnapshot struct {
	Uptime              time.Duration `json:"CameUp"`   // before the moment; 0: long ago
	Estimate            float64       `json:"Estimate"` // seconds, normalised
	Age                 time.Duration `json:"Age"`      // of Estimate
	ErrorRatio          float64       `json:"Wrong"`
	ConsecutiveErrors   int           `json:"Errors"`
	ConsecutiveFailures int           `json:"Fails"`
	Ejections           int           `json:"Ejections"`
	EjectedFor          time.Duration `json:"Out"` // how much longer it is left out
}

// Validate says what can't be used.
func (k *Snapshot) Validate() error {
	ok := func(x float64) bool { return x >= 0 && x < 1e6 } // seconds; false for what is no number
	all := ok(k.MeanLatency) && ok(k.MeanNormalizedLatency) && ok(k.MedianLatency) && ok(k.LateLatency) && ok(k.MeanCostHint) && ok(k.QueueingLimit) && ok(k.ServedRate) &&
		ok(k.OfferedRate)
	for _, of := range []map[string]float64{k.Classes, k.MachineTypes} {
		for _, x := range of {
			all = all && ok(x)
		}
	}
	for _, u := range k.Upstreams {
		all = all && ok(u.Estimate) && u.ErrorRatio >= 0 && u.ErrorRatio <= 1 && u.Uptime >= 0 && u.Age >= 0 && u.ConsecutiveErrors >= 0 && u.ConsecutiveFailures >= 0 &&
			u.Ejections >= 0 && u.Ejections < math.MaxInt32 && u.EjectedFor >= 0 && u.EjectedFor <= 2*ejectMax
	}
	if !all {
		return errors.New("a number is out of range")
	}
	return nil
}

// Snapshot is what the Balancer has learnt by now.
func (b *Balancer) Snapshot(now time.Duration) *Snapshot {
	k := &Snapshot{Upstreams: make(map[string]UpstreamSnapshot, len(b.list)), MeanLatency: b.mean, MeanNormalizedLatency: b.fleet, MedianLatency: b.mid.v, LateLatency: b.late.v,
		MeanCostHint: b.hintMean, Classes: make(map[string]float64, len(b.classes)), MachineTypes: make(map[string]float64, len(b.means)), QueueingLimit: b.limit,
		ServedRate: b.served.per(now), OfferedRate: b.offered.per(now)}
	for _, u := range b.list {
		l := UpstreamSnapshot{Estimate: u.est.value, Age: max(0, now-u.est.at), ErrorRatio: u.wrong, ConsecutiveErrors: u.errors, ConsecutiveFailures: u.fails,
			Ejections: u.ejections, EjectedFor: max(0, u.until-now)}
		if u.cameUp > 0 {
			l.Uptime = max(1, now-u.cameUp)
		}
		k.Upstreams[u.id] = l
	}
	for name, c := range b.classes {
		k.Classes[name] = c.mean
	}
	for name, mean := range b.means {
		k.MachineTypes[name] = *mean
	}
	return k
}

// recall begins a rate as one that has been so for long.
func (r *rate) recall(perSec float64, now time.Duration) {
	r.begun, r.sum, r.at, r.since = true, perSec*r.memory.Seconds(), now, now-100*r.memory
}

// sameStart is how far apart two processes may take the start of one upstream to be: their clocks began apart.
const sameStart = 100 * time.Millisecond

// Restore takes over what a predecessor had learnt, in a Balancer that has seen nothing yet but a list. What it says of upstreams that
// are not listed, or have started anew since, does not count; a cold one's budget is drawn anew.
func (b *Balancer) Restore(now time.Duration, k *Snapshot) {
	take := func(to *float64, from float64) {
		if from > 0 {
			*to = from
		}
	}
	take(&b.mean, k.MeanLatency)
	take(&b.fleet, k.MeanNormalizedLatency)
	take(&b.mid.v, k.MedianLatency)
	take(&b.late.v, k.LateLatency)
	take(&b.hintMean, k.MeanCostHint)
	if k.QueueingLimit > 0 {
		b.limit = min(limitMax, max(limitMin, k.QueueingLimit))
	}
	// All that was the predecessor's comes here. Guards against shedding because nothing has been served yet.
	b.served.recall(k.ServedRate, now)
	b.offered.recall(k.OfferedRate, now)
	for name, mean := range k.Classes {
		if c := b.classes[name]; c != nil {
			take(&c.mean, mean)
		}
	}
	for name, mean := range k.MachineTypes {
		if of := b.means[name]; of != nil {
			take(of, mean)
		}
	}
	for _, u := range b.list {
		l, known := k.Upstreams[u.id]
		if !known || (l.Uptime == 0) != (u.cameUp <= 0) || l.Uptime > 0 && (now-u.cameUp-l.Uptime).Abs() > sameStart {
			continue
		}
		if l.Estimate > 0 {
			u.est = estimate{l.Estimate, now - l.Age}
		}
		u.wrong, u.errors, u.fails, u.ejections = l.ErrorRatio, l.ConsecutiveErrors, l.ConsecutiveFailures, l.Ejections
		if u.fails > 0 {
			u.silentSince = now
		}
		if l.Ejections > 0 {
			u.until = now + l.EjectedFor
		}
	}
}
