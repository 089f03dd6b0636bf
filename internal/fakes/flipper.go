package fakes

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Flipper flips instances of a registry between up and out of service at random, and holds what reaches them against what
// the registry's clients had been notified of by then.
type Flipper struct {
	Eureka *Eureka
	App    string
	Within time.Duration // nothing new may come later than this after a client was notified

	mu    sync.Mutex
	nodes map[string]*flipped
	late  []time.Duration // of each flip that anything came after: from the flip to the last that came
	wrong []time.Duration // from the notification of a client to what came later than Within
	flips int
}

type flipped struct {
	out     bool
	at      time.Time
	version int
	last    time.Duration // of what came after the flip
}

// NewFlipper returns one for instances that are up.
func NewFlipper(e *Eureka, app string, within time.Duration, ids ...string) *Flipper {
	f := &Flipper{Eureka: e, App: app, Within: within, nodes: map[string]*flipped{}}
	for _, id := range ids {
		f.nodes[id] = &flipped{}
	}
	return f
}

// Flip flips one at random; no more than half of them are out of service.
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
		f.note(n)
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

// RecordArrival says that something new reached an instance just now.
func (f *Flipper) RecordArrival(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[id]
	if n == nil || !n.out {
		return
	}
	n.last = time.Since(n.at)
	if notified := f.Eureka.FirstNotified(n.version); !notified.IsZero() && time.Since(notified) > f.Within {
		f.wrong = append(f.wrong, time.Since(notified))
	}
}

func (f *Flipper) note(n *flipped) {
	if n.last > 0 {
		f.late = append(f.late, n.last)
	}
}

// Result is the number of flips, from each flip out of service to the last that came after it, and what came later than
// allowed.
func (f *Flipper) Result() (flips int, last, wrong []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.out {
			f.note(n)
			n.last = 0
		}
	}
	return f.flips, slices.Sorted(slices.Values(f.late)), f.wrong
}
