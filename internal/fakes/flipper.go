package fakes

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Flipper changes instances of a registry between up and out of service at random. It records requests that reach an
// instance after clients of the registry were notified that the instance is out of service.
type Flipper struct {
	Eureka *Eureka
	App    string
	Within time.Duration // a request that arrives later than this after the notification of a client is a violation

	mu           sync.Mutex
	nodes        map[string]*flippedInstance
	lastArrivals []time.Duration // for each flip that was followed by requests: time from the flip to the last of these requests
	violations   []time.Duration // for each violation: time from the notification of a client to the arrival of the request
	flips        int
}

// flippedInstance is the state of one instance since its last flip out of service.
type flippedInstance struct {
	out     bool
	at      time.Time
	version int           // version of the registry after the flip
	last    time.Duration // time from the flip to the last request that arrived after it
}

// NewFlipper returns a Flipper for instances that are up.
func NewFlipper(e *Eureka, app string, within time.Duration, ids ...string) *Flipper {
	f := &Flipper{Eureka: e, App: app, Within: within, nodes: map[string]*flippedInstance{}}
	for _, id := range ids {
		f.nodes[id] = &flippedInstance{}
	}
	return f
}

// Flip flips one instance at random, unless that would put more than half of them out of service.
func (f *Flipper) Flip(rng *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids, out := make([]string, 0, len(f.nodes)), 0
	for id, n := range f.nodes {
		ids = append(ids, id)
		if n.out {
			out++
		}
	}
	slices.Sort(ids)
	id := ids[rng.IntN(len(ids))]
	n := f.nodes[id]
	f.flips++
	if n.out {
		f.recordLastArrival(n)
		n.out = false
		f.Eureka.Override(f.App, id, "")
		return
	}
	if 2*(out+1) > len(ids) {
		return
	}
	n.out, n.at, n.last = true, time.Now(), 0
	f.Eureka.Override(f.App, id, "OUT_OF_SERVICE")
	n.version = f.Eureka.Version()
}

// RecordArrival records that a new request reached an instance just now.
func (f *Flipper) RecordArrival(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[id]
	if n == nil || !n.out {
		return
	}
	n.last = time.Since(n.at)
	if notified := f.Eureka.FirstNotified(n.version); !notified.IsZero() && time.Since(notified) > f.Within {
		f.violations = append(f.violations, time.Since(notified))
	}
}

func (f *Flipper) recordLastArrival(n *flippedInstance) {
	if n.last > 0 {
		f.lastArrivals = append(f.lastArrivals, n.last)
	}
}

// Result returns the number of calls of Flip, the sorted times from each flip out of service to the last request that
// followed it, and the time from notification to arrival of each violation.
func (f *Flipper) Result() (flips int, last, violations []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.out {
			f.recordLastArrival(n)
			n.last = 0
		}
	}
	return f.flips, slices.Sorted(slices.Values(f.lastArrivals)), f.violations
}
