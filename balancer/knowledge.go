package balancer

import (
	"errors"
	"math"
	"time"
)

// Knowledge is what a Balancer has learnt, as its process passes it on to a successor. Times are ages at that moment.
type Knowledge struct {
	Upstreams map[string]Learnt  `json:"Upstreams"`
	Mean      float64            `json:"Mean"`  // latency, seconds
	Fleet     float64            `json:"Fleet"` // normalised, seconds
	Mid       float64            `json:"Mid"`   // quantiles of it
	Late      float64            `json:"Late"`
	HintMean  float64            `json:"HintMean"` // seconds
	Classes   map[string]float64 `json:"Classes"`  // mean seconds an answer takes
	Kinds     map[string]float64 `json:"Kinds"`    // mean normalised latency by kind of machine
	Limit     float64            `json:"Limit"`
	Served    float64            `json:"Served"`  // answers a second
	Offered   float64            `json:"Offered"` // work a second, in mean requests
}

// Learnt is what is known of one upstream.
type Learnt struct {
	CameUp    time.Duration `json:"CameUp"`   // before the moment; 0: long ago
	Estimate  float64       `json:"Estimate"` // seconds, normalised
	Age       time.Duration `json:"Age"`      // of Estimate
	Wrong     float64       `json:"Wrong"`
	Errors    int           `json:"Errors"`
	Fails     int           `json:"Fails"`
	Ejections int           `json:"Ejections"`
	Out       time.Duration `json:"Out"` // how much longer it is left out
}

// Check says what can't be used.
func (k *Knowledge) Check() error {
	ok := func(x float64) bool { return x >= 0 && x < 1e6 } // seconds; false for what is no number
	all := ok(k.Mean) && ok(k.Fleet) && ok(k.Mid) && ok(k.Late) && ok(k.HintMean) && ok(k.Limit) && ok(k.Served) &&
		ok(k.Offered)
	for _, of := range []map[string]float64{k.Classes, k.Kinds} {
		for _, x := range of {
			all = all && ok(x)
		}
	}
	for _, u := range k.Upstreams {
		all = all && ok(u.Estimate) && u.Wrong >= 0 && u.Wrong <= 1 && u.CameUp >= 0 && u.Age >= 0 && u.Errors >= 0 && u.Fails >= 0 &&
			u.Ejections >= 0 && u.Ejections < math.MaxInt32 && u.Out >= 0 && u.Out <= 2*ejectMax
	}
	if !all {
		return errors.New("a number is out of range")
	}
	return nil
}

// Know is what the Balancer has learnt by now.
func (b *Balancer) Know(now time.Duration) *Knowledge {
	k := &Knowledge{Upstreams: make(map[string]Learnt, len(b.list)), Mean: b.mean, Fleet: b.fleet, Mid: b.mid.v, Late: b.late.v,
		HintMean: b.hintMean, Classes: make(map[string]float64, len(b.classes)), Kinds: make(map[string]float64, len(b.means)), Limit: b.limit,
		Served: b.served.per(now), Offered: b.offered.per(now)}
	for _, u := range b.list {
		l := Learnt{Estimate: u.est.value, Age: max(0, now-u.est.at), Wrong: u.wrong, Errors: u.errors, Fails: u.fails,
			Ejections: u.ejections, Out: max(0, u.until-now)}
		if u.cameUp > 0 {
			l.CameUp = max(1, now-u.cameUp)
		}
		k.Upstreams[u.id] = l
	}
	for name, c := range b.classes {
		k.Classes[name] = c.mean
	}
	for name, mean := range b.means {
		k.Kinds[name] = *mean
	}
	return k
}

// recall begins a rate as one that has been so for long.
func (r *rate) recall(perSec float64, now time.Duration) {
	r.begun, r.sum, r.at, r.since = true, perSec*r.memory.Seconds(), now, now-100*r.memory
}

// sameStart is how far apart two processes may take the start of one upstream to be: their clocks began apart.
const sameStart = 100 * time.Millisecond

// Recall takes over what a predecessor had learnt, in a Balancer that has seen nothing yet but a list. What it says of upstreams that
// are not listed, or have started anew since, does not count; a cold one's budget is drawn anew.
func (b *Balancer) Recall(now time.Duration, k *Knowledge) {
	take := func(to *float64, from float64) {
		if from > 0 {
			*to = from
		}
	}
	take(&b.mean, k.Mean)
	take(&b.fleet, k.Fleet)
	take(&b.mid.v, k.Mid)
	take(&b.late.v, k.Late)
	take(&b.hintMean, k.HintMean)
	if k.Limit > 0 {
		b.limit = min(limitMax, max(limitMin, k.Limit))
	}
	// All that was the predecessor's comes here. Guards against shedding because nothing has been served yet.
	b.served.recall(k.Served, now)
	b.offered.recall(k.Offered, now)
	for name, mean := range k.Classes {
		if c := b.classes[name]; c != nil {
			take(&c.mean, mean)
		}
	}
	for name, mean := range k.Kinds {
		if of := b.means[name]; of != nil {
			take(of, mean)
		}
	}
	for _, u := range b.list {
		l, known := k.Upstreams[u.id]
		if !known || (l.CameUp == 0) != (u.cameUp <= 0) || l.CameUp > 0 && (now-u.cameUp-l.CameUp).Abs() > sameStart {
			continue
		}
		if l.Estimate > 0 {
			u.est = estimate{l.Estimate, now - l.Age}
		}
		u.wrong, u.errors, u.fails, u.ejections = l.Wrong, l.Errors, l.Fails, l.Ejections
		if u.fails > 0 {
			u.silentSince = now
		}
		if l.Ejections > 0 {
			u.until = now + l.Out
		}
	}
}
