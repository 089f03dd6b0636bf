// Package prewarm decides which connections to upstreams are opened before a request needs them, and how fast, so that the first request to
// a new upstream does not wait for a connection, and a fleet that restarts does not open all its connections at once. The package is a
// state machine without I/O or a clock: its inputs are members, uses and results of connection attempts, its output is the names of
// upstreams to connect to. upstream.Pool.Prewarm drives it. Its random numbers come from its caller.
//
// A new member gets its first connection at a random time within Options.Spread. After that, connections to a member are opened while it was
// used within Options.IdleAfter and has fewer than Options.ConnectionsPerUpstream connections. Three bounds hold: Options.Rate per second,
// Options.MaxFraction of the maximum number of connections, and a backoff that doubles up to maxBackoff for a member that cannot be
// connected to. So an upstream that is in the subsets of M sidecars gets at most M x ConnectionsPerUpstream connections ahead of use, spread
// over Options.Spread when it starts.
package prewarm

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"orchiddrift/internal/priorityqueue"
	"orchiddrift/internal/units"
)

// Options are the parameters of a Prewarmer, and its section of the configuration file.
type Options struct {
	Enabled                bool           `toml:"on" doc:"Opens connections to the upstreams of the subset before requests need them."`
	ConnectionsPerUpstream int            `toml:"each" default:"1" doc:"Number of connections that each upstream of the subset should have open, idle or in use."`
	Rate                   float64        `toml:"rate" default:"20" doc:"Maximum number of connections opened ahead of use per second."`
	Spread                 units.Duration `toml:"spread" default:"2s" doc:"The first connection to a new upstream is opened at a random time within this period."`
	IdleAfter              units.Duration `toml:"recent" default:"1m" doc:"No further connections are opened ahead of use to an upstream that has received no request for this long."`
	MaxFraction            float64        `toml:"part" default:"0.25" doc:"No connections are opened ahead of use once this fraction of the maximum number of connections is open."`
}

// Default returns the options that apply if the file does not set them.
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
		report("part", "%v is not above 0 and up to 1", o.MaxFraction)
	}
}

const (
	// recheckInterval is the time after which a member is checked again for whether it needs a connection.
	recheckInterval = time.Second
	// minBackoff is the backoff after a failed connect. It doubles with each further failure, maxBackoffDoublings times at most, up to
	// maxBackoff.
	minBackoff          = 500 * time.Millisecond
	maxBackoff          = 30 * time.Second
	maxBackoffDoublings = 10
	// burstSeconds is the ratio of the number of connections that may be opened at once to Options.Rate.
	burstSeconds = 0.1
)

// Prewarmer is the state machine. It holds one entry for each member. It is not safe for concurrent use.
type Prewarmer struct {
	options    Options
	maxOpen    int // once this many connections are open, none is opened ahead of use
	rng        *rand.Rand
	members    map[string]*member
	due        priorityqueue.Queue[*member]
	sequence   uint64        // orders members that are due at the same time
	tokens     float64       // connections that Options.Rate allows to be opened now
	refilledAt time.Duration // when tokens were last added
}

// member is an upstream of the subset that accepts requests.
type member struct {
	name        string
	process     uint64        // number of the upstream's incarnation
	heapIndex   int           // position in Prewarmer.due
	dueAt       time.Duration // when Tick checks it next
	usedAt      time.Duration // time of its latest request; 0 if it has had none
	neverOpened bool          // no connection to it has been open yet
	opening     int           // connection attempts in progress
	failures    int           // consecutive failed connection attempts
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

// SetMembers sets the upstreams that accept requests, each with the number of its incarnation.
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
	slices.Sort(added) // so that the same seed gives the same times
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

// RecordUse records that a request was sent to a member.
func (p *Prewarmer) RecordUse(now time.Duration, name string) {
	if m := p.members[name]; m != nil {
		m.usedAt = now
	}
}

// Tick returns the members to which the caller opens a connection now; the caller then calls Connected for each of them. open returns the
// number of open connections of a member, total is the number of all open connections.
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
			return names // the member stays first in the queue
		}
		p.tokens--
		m.opening++
		names = append(names, m.name)
		p.schedule(m, now+recheckInterval) // for its next connection
	}
	return names
}

// refill adds the tokens for the time that has passed.
func (p *Prewarmer) refill(now time.Duration) {
	burst := max(1, p.options.Rate*burstSeconds)
	p.tokens = min(burst, p.tokens+p.options.Rate*max(0, now-p.refilledAt).Seconds())
	p.refilledAt = max(p.refilledAt, now)
}

// needsConnection reports whether a member that has open connections needs another one.
func (p *Prewarmer) needsConnection(m *member, now time.Duration, open int) bool {
	recentlyUsed := m.usedAt > 0 && now-m.usedAt <= p.options.IdleAfter.D()
	if !m.neverOpened && !recentlyUsed {
		return false
	}
	return open+m.opening < p.options.ConnectionsPerUpstream
}

// Connected records the result of a connection attempt that Tick requested: ok says whether the connection is open.
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

// Process returns the number of a member's incarnation, or 0 if there is no such member.
func (p *Prewarmer) Process(name string) uint64 {
	if m := p.members[name]; m != nil {
		return m.process
	}
	return 0
}

// Next returns the earliest time at which Tick may have a member to check. It returns false if there are no members.
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
