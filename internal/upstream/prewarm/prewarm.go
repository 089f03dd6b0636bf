// Package prewarm decides which connections to upstreams are opened before a request needs them, and how fast, so that the first request to
// a new upstream does not wait for a connection, and a fleet that restarts does not open all its connections at once. It is a state
// machine: members, uses and results in, names of upstreams to connect to out; no I/O, no clock. upstream.Pool.Prewarm drives it. Its
// random numbers come from its caller.
//
// A connection to a member is opened when the member is new, at a random time within Options.Spread, and again while it was used within
// Options.IdleAfter and has fewer than Options.ConnectionsPerUpstream connections. Three bounds hold: Options.Rate a second,
// Options.MaxFraction of all connections, and a backoff that doubles up to maxBackoff for a member that cannot be connected to. So an
// upstream that is in the subsets of M sidecars gets at most M x ConnectionsPerUpstream connections ahead of use, spread over
// Options.Spread when it starts.
package prewarm

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"orchiddrift/internal/priorityqueue"
	"orchiddrift/internal/units"
)

// Options are the parameters of a Prewarmer, and its section of the operator's file.
type Options struct {
	Enabled                bool           `toml:"on" doc:"Opens connections to its own upstreams before requests need them."`
	ConnectionsPerUpstream int            `toml:"each" default:"1" doc:"Connections that each upstream of its own is to have open, idle or in use."`
	Rate                   float64        `toml:"rate" default:"20" doc:"Connections opened ahead a second, at most."`
	Spread                 units.Duration `toml:"spread" default:"2s" doc:"An upstream that is new is connected to at a random moment within this."`
	IdleAfter              units.Duration `toml:"recent" default:"1m" doc:"An upstream that was not asked for so long is not connected to again."`
	MaxFraction            float64        `toml:"part" default:"0.25" doc:"Nothing is opened ahead once this part of the connections that there may be is open."`
}

// Default returns the options where the file sets none.
func Default() Options {
	return Options{ConnectionsPerUpstream: 1, Rate: 20, Spread: units.Duration(2 * time.Second), IdleAfter: units.Duration(time.Minute), MaxFraction: 0.25}
}

// Check implements tomlfile.Checker.
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
	// recheckInterval is when a member that needs no connection is looked at again.
	recheckInterval = time.Second
	// minBackoff after a failed connect doubles with each further one, maxBackoffDoublings times at most, up to maxBackoff.
	minBackoff          = 500 * time.Millisecond
	maxBackoff          = 30 * time.Second
	maxBackoffDoublings = 10
	// burstSeconds of Options.Rate may be opened at once.
	burstSeconds = 0.1
)

// Prewarmer is the state machine. It holds one entry for each member. It is not safe for concurrent use.
type Prewarmer struct {
	options    Options
	maxOpen    int // connections in all beyond which nothing is opened ahead
	rng        *rand.Rand
	members    map[string]*member
	due        priorityqueue.Queue[*member]
	sequence   uint64        // orders members that are due at the same time
	tokens     float64       // connections that may be opened now, of Options.Rate
	refilledAt time.Duration // when tokens were last added
}

// member is an upstream of the subset that takes requests.
type member struct {
	name        string
	process     uint64        // the incarnation of the upstream
	heapIndex   int           // in due
	dueAt       time.Duration // when it is looked at again
	usedAt      time.Duration // its latest request; 0: none
	neverOpened bool          // no connection has been opened to it
	opening     int           // connects in progress
	failures    int           // consecutive failed connects
}

// New returns a Prewarmer for a pool of at most maxConnections.
func New(o Options, maxConnections int, rng *rand.Rand) *Prewarmer {
	return &Prewarmer{
		options: o,
		maxOpen: int(o.MaxFraction * float64(maxConnections)),
		rng:     rng,
		members: map[string]*member{},
		due:     priorityqueue.New(func(m *member) *int { return &m.heapIndex }),
		tokens:  1,
	}
}

// SetMembers brings the upstreams that take requests, each with a number of its incarnation.
func (p *Prewarmer) SetMembers(now time.Duration, ready map[string]uint64) {
	for name, m := range p.members {
		if process, stays := ready[name]; !stays || process != m.process {
			p.due.Remove(m)
			delete(p.members, name)
		}
	}
	var added []string
	for name := range ready {
		if p.members[name] == nil {
			added = append(added, name)
		}
	}
	slices.Sort(added) // the same seed gives them the same times
	for _, name := range added {
		m := &member{name: name, process: ready[name], heapIndex: -1, neverOpened: true}
		p.members[name] = m
		p.schedule(m, now+p.randomUpTo(p.options.Spread.D()))
	}
}

// randomUpTo draws a time from 0 to d.
func (p *Prewarmer) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(max(d, 0)) + 1))
}

func (p *Prewarmer) schedule(m *member, at time.Duration) {
	p.sequence++
	m.dueAt = at
	p.due.Set(m, float64(at), p.sequence)
}

// RecordUse notes that a request was sent to a member.
func (p *Prewarmer) RecordUse(now time.Duration, name string) {
	if m := p.members[name]; m != nil {
		m.usedAt = now
	}
}

// Tick names the members to open a connection to now; Connected follows for each. open is the number of open connections of a member,
// total that of all.
func (p *Prewarmer) Tick(now time.Duration, open func(name string) int, total int) (names []string) {
	p.refill(now)
	for p.due.Len() > 0 && p.due.First().dueAt <= now {
		m := p.due.First()
		if !p.needsConnection(m, now, open(m.name)) {
			m.neverOpened = m.neverOpened && open(m.name) == 0
			p.schedule(m, now+recheckInterval)
			continue
		}
		if total+len(names) >= p.maxOpen {
			p.schedule(m, now+recheckInterval)
			continue
		}
		if p.tokens < 1 {
			return names // the member keeps its turn
		}
		p.tokens--
		m.opening++
		names = append(names, m.name)
		p.schedule(m, now+recheckInterval) // for its next connection
	}
	return names
}

// refill adds the tokens of the time that has passed.
func (p *Prewarmer) refill(now time.Duration) {
	burst := max(1, p.options.Rate*burstSeconds)
	p.tokens = min(burst, p.tokens+p.options.Rate*max(0, now-p.refilledAt).Seconds())
	p.refilledAt = max(p.refilledAt, now)
}

// needsConnection reports whether a connection is to be opened to a member that has so many.
func (p *Prewarmer) needsConnection(m *member, now time.Duration, open int) bool {
	recentlyUsed := m.usedAt > 0 && now-m.usedAt <= p.options.IdleAfter.D()
	if !m.neverOpened && !recentlyUsed {
		return false
	}
	return open+m.opening < p.options.ConnectionsPerUpstream
}

// Connected ends what Tick began: a connection is open, or could not be made.
func (p *Prewarmer) Connected(now time.Duration, name string, process uint64, ok bool) {
	m := p.members[name]
	if m == nil || m.process != process || m.opening == 0 {
		return
	}
	m.opening--
	if ok {
		m.neverOpened, m.failures = false, 0
		p.schedule(m, now+p.randomUpTo(recheckInterval))
		return
	}
	doublings := min(m.failures, maxBackoffDoublings)
	backoff := min(maxBackoff, time.Duration(float64(minBackoff)*math.Pow(2, float64(doublings))))
	m.failures++
	p.schedule(m, now+backoff/2+p.randomUpTo(backoff))
}

// Process is the number by which a member's process is known; 0: it is no member.
func (p *Prewarmer) Process(name string) uint64 {
	if m := p.members[name]; m != nil {
		return m.process
	}
	return 0
}

// Next is the earliest time at which Tick has something to do; false: there is no member.
func (p *Prewarmer) Next(now time.Duration) (time.Duration, bool) {
	if p.due.Len() == 0 {
		return 0, false
	}
	at := p.due.First().dueAt
	if p.tokens < 1 {
		untilToken := time.Duration((1 - p.tokens) / p.options.Rate * float64(time.Second))
		at = max(at, p.refilledAt+untilToken)
	}
	return max(at, now), true
}
