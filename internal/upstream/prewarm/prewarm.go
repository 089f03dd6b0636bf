// Package prewarm decides which connections to upstreams are opened before a request needs them, and how fast: so that the
// first request to an upstream that is new to a sidecar does not wait for a connection, and so that a fleet that restarts is not
// met by all connections at once. It is a state machine: members, uses and ends in, what to open out; no I/O, no clock. Its
// random numbers are its caller's.
//
// A member is opened to when it is new, at a random moment within Options.Spread, and again while it was used within
// Options.IdleAfter and has fewer than Options.ConnectionsPerUpstream open. Three bounds hold: Options.Rate a second, Options.MaxFraction of all connections
// that there may be, and a wait between tries of one that can't be had that doubles up to maxBackoff. So an upstream that M
// sidecars have among their own gets at most M x Each connections ahead of use, spread over Spread when it starts.
package prewarm

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"orchiddrift/internal/priorityqueue"
	"orchiddrift/internal/units"
)

// Options are a Warmer's parameters, and its part of the operator's file.
type Options struct {
	Enabled                bool           `toml:"on" doc:"Opens connections to its own upstreams before requests need them."`
	ConnectionsPerUpstream int            `toml:"each" default:"1" doc:"Connections that each upstream of its own is to have open, idle or in use."`
	Rate                   float64        `toml:"rate" default:"20" doc:"Connections opened ahead a second, at most."`
	Spread                 units.Duration `toml:"spread" default:"2s" doc:"An upstream that is new is connected to at a random moment within this."`
	IdleAfter              units.Duration `toml:"recent" default:"1m" doc:"An upstream that was not asked for so long is not connected to again."`
	MaxFraction            float64        `toml:"part" default:"0.25" doc:"Nothing is opened ahead once this part of the connections that there may be is open."`
}

// Default is what holds where nothing is said.
func Default() Options {
	return Options{ConnectionsPerUpstream: 1, Rate: 20, Spread: units.Duration(2 * time.Second), IdleAfter: units.Duration(time.Minute), MaxFraction: 0.25}
}

// Check is tomlfile.Checker's.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.ConnectionsPerUpstream < 1 || o.ConnectionsPerUpstream > 64 {
		report("each", "%d is not from 1 to 64", o.ConnectionsPerUpstream)
	}
	if !(o.Rate >= 0.1 && o.Rate <= 10_000) {
		report("rate", "%v is not from 0.1 to 10000", o.Rate)
	}
	if !(o.MaxFraction > 0 && o.MaxFraction <= 1) {
		report("part", "%v is not a part, above 0", o.MaxFraction)
	}
}

const (
	recheckInterval = time.Second // a member that needs nothing is looked at again after it
	minBackoff      = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
	burstSeconds    = 0.1 // s of Rate that may come at once
)

// Prewarmer is the state machine. It holds one entry for each member. It is not safe for concurrent use.
type Prewarmer struct {
	options    Options
	maxOpen    int
	rng        *rand.Rand
	members    map[string]*member
	due        priorityqueue.Queue[*member]
	sequence   uint64
	tokens     float64
	refilledAt time.Duration
}

type member struct {
	name        string
	process     uint64 // which process of that name it is
	heapIndex   int    // place in due
	dueAt       time.Duration
	usedAt      time.Duration
	neverOpened bool // nothing was opened to it yet
	opening     int
	failures    int
}

// New returns a Warmer for so many connections at most.
func New(o Options, connections int, rng *rand.Rand) *Prewarmer {
	return &Prewarmer{options: o, maxOpen: int(o.MaxFraction * float64(connections)), rng: rng, members: map[string]*member{},
		due: priorityqueue.New(func(m *member) *int { return &m.heapIndex }), tokens: 1}
}

// SetMembers brings all that are its own and take requests, each with a number that another process of the name has another of.
func (w *Prewarmer) SetMembers(now time.Duration, ready map[string]uint64) {
	for name, m := range w.members {
		if process, stays := ready[name]; !stays || process != m.process {
			w.due.Remove(m)
			delete(w.members, name)
		}
	}
	var fresh []string
	for name := range ready {
		if w.members[name] == nil {
			fresh = append(fresh, name)
		}
	}
	slices.Sort(fresh) // the same seed gives them the same times
	for _, name := range fresh {
		m := &member{name: name, process: ready[name], heapIndex: -1, neverOpened: true}
		w.members[name] = m
		w.schedule(m, now+w.randomBelow(w.options.Spread.D()))
	}
}

// randomBelow is a random time below d.
func (w *Prewarmer) randomBelow(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(max(d, 0)) + 1))
}

func (w *Prewarmer) schedule(m *member, when time.Duration) {
	w.sequence++
	m.dueAt = when
	w.due.Set(m, float64(when), w.sequence)
}

// RecordUse says that a request has gone to a member.
func (w *Prewarmer) RecordUse(now time.Duration, name string) {
	if m := w.members[name]; m != nil {
		m.usedAt = now
	}
}

// Tick names members to open a connection to, now; Ended must follow for each. open tells how many a member has open, and
// total how many all have.
func (w *Prewarmer) Tick(now time.Duration, open func(name string) int, total int) (names []string) {
	w.tokens = min(max(1, w.options.Rate*burstSeconds), w.tokens+w.options.Rate*max(0, now-w.refilledAt).Seconds())
	w.refilledAt = max(w.refilledAt, now)
	for w.due.Len() > 0 && w.due.First().dueAt <= now {
		m := w.due.First()
		wanted := m.neverOpened || m.usedAt > 0 && now-m.usedAt <= w.options.IdleAfter.D()
		if !wanted || open(m.name)+m.opening >= w.options.ConnectionsPerUpstream {
			m.neverOpened = m.neverOpened && open(m.name) == 0
			w.schedule(m, now+recheckInterval)
			continue
		}
		if total+len(names) >= w.maxOpen {
			w.schedule(m, now+recheckInterval)
			continue
		}
		if w.tokens < 1 {
			return names // it keeps its turn
		}
		w.tokens--
		m.opening++
		names = append(names, m.name)
		w.schedule(m, now+recheckInterval) // for the next, where it is to have several
	}
	return names
}

// Connected says that what Tick named is open, or could not be had.
func (w *Prewarmer) Connected(now time.Duration, name string, process uint64, ok bool) {
	m := w.members[name]
	if m == nil || m.process != process || m.opening == 0 {
		return
	}
	m.opening--
	if ok {
		m.neverOpened, m.failures = false, 0
		w.schedule(m, now+w.randomBelow(recheckInterval))
		return
	}
	wait := min(maxBackoff, time.Duration(float64(minBackoff)*math.Pow(2, float64(min(m.failures, 10)))))
	m.failures++
	w.schedule(m, now+wait/2+w.randomBelow(wait))
}

// Process is the number that a member is known by.
func (w *Prewarmer) Process(name string) uint64 {
	if m := w.members[name]; m != nil {
		return m.process
	}
	return 0
}

// Next is when Tick has something to do at the earliest; false: nobody is its own.
func (w *Prewarmer) Next(now time.Duration) (time.Duration, bool) {
	if w.due.Len() == 0 {
		return 0, false
	}
	at := w.due.First().dueAt
	if w.tokens < 1 {
		at = max(at, w.refilledAt+time.Duration((1-w.tokens)/w.options.Rate*float64(time.Second)))
	}
	return max(at, now), true
}
