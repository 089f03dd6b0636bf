// Package staleness decides when a list of upstreams is asked for, so that no change of it is heard of later than it counts as
// told. It has no I/O and no clock: a driver says what happens and when, and does what it is told.
//
// A call is one question to discovery that stays open as a watch. The list is current as long as a call speaks: it brings a list, a
// change or a sign of life. A call that ends, or that has been quiet for longer than one that is well can be, leaves it open whether
// something was missed; from then on there is one deadline, Machine.Deadline, at which what was missed counts as told (budget.go). All
// waits are derived from what is left until then. A call that is quiet is not given up before a later one speaks: it may be waiting
// its turn at a discovery that works through calls one after another.
//
// At another address nothing is known, and a call asks for the whole list first; a watch follows (redirect.go). Calls may be refused
// however well discovery is, since others take its places: see budget.go for who waits then.
package staleness

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options are a Machine's parameters.
type Options struct {
	Pushed     bool          // the list is pushed to an agent at hand: calls cost nothing, and what it has counts as told at once
	MaxPollAge time.Duration // without a watch the list holds for so long from the last call; 0: not told
	FleetSize  int           // that follow the same list
	DrainGrace time.Duration // for what is sent after a change counts as told; 0: not told
}

// CallID names a call, from 1 up.
type CallID uint64

// ActionKind of an Action.
type ActionKind int

// The actions.
const (
	OpenCall  ActionKind = iota // make a call
	CloseCall                   // end it; nothing that it says counts any more
)

// Request is what a call asks discovery for.
type Request int

// The requests.
const (
	WatchChanges Request = iota // what changes from the version that is known on
	FetchList                   // the whole list; the call is over once it is heard
)

func (r Request) String() string {
	if r == FetchList {
		return "list"
	}
	return "watch"
}

// Action is what the driver is to do.
type Action struct {
	Kind    ActionKind
	Call    CallID
	Request Request // of Open
}

type call struct {
	id      CallID
	request Request
	begun   time.Duration
	heard   time.Duration // when it last spoke
	spread  time.Duration // added to the silence that it may keep: fleets do not ask as one
	spoke   bool

	patience time.Duration // it may be silent for so long before its first word
}

// Machine is not safe for concurrent use. It holds no more than mostCalls calls, and mostPrevious to addresses before. Times are on any clock that goes on.
type Machine struct {
	o        Options
	rng      *rand.Rand
	calls    []call // that are open, the oldest first
	last     CallID
	lastMade time.Duration // when the last call was made
	due      time.Duration
	pressed  bool          // due is the deadline of something that may have been missed
	hold     time.Duration // no call is made before, since one has ended
	fails    int           // calls that ended since one spoke
	quiet    int           // calls in a row that were replaced and had not spoken
	told     time.Duration // when the list was last known to be current
	started  bool

	informed bool // a call has spoken since the start

	watchPending bool           // the whole list was heard, and the watch behind it waits
	listWanted   bool           // nothing is known of what the present address has
	previous     []previousCall // to addresses before, the oldest first; see Redirect
	redirects    int            // how often another address was named, in the series of the last one
	redirected   time.Duration  // when that was
}

const never = time.Duration(1<<63 - 1)

// New returns a Machine that has not begun. Random numbers come from rng.
func New(o Options, rng *rand.Rand) *Machine {
	return &Machine{o: o, rng: rng, due: never}
}

// Start has the first call made, and those after it.
func (m *Machine) Start(now time.Duration) []Action {
	m.started, m.told, m.due = true, now, now+toldSilent
	return m.callNow(now)
}

// CallActive says that a call spoke: it brought a list, a change, or a line that stands for none. Part of a line is nothing.
func (m *Machine) CallActive(now time.Duration, id CallID) []Action {
	if i := m.findPrevious(id); i >= 0 {
		return m.heardPrevious(now, i)
	}
	i := m.find(id)
	if i < 0 {
		return nil
	}
	if m.calls[i].request == FetchList {
		return m.listed(now, i)
	}
	c := &m.calls[i]
	if !c.spoke {
		c.spread = m.spread()
	}
	c.spoke, c.heard = true, now
	m.current(now)
	acts := m.closeAllPrevious()
	for ; i > 0; i-- { // it knows all that they could say
		acts = append(acts, m.close(0))
	}
	return acts
}

// listed takes the answer to a call for the whole list, which is over with it, and has the watch made that follows.
func (m *Machine) listed(now time.Duration, i int) []Action {
	took := now - m.calls[i].begun
	crowded := m.fails > 0 || took > crowdedAfter
	m.calls = slices.Delete(m.calls, i, i+1)
	m.current(now)
	m.listWanted = false
	acts := m.closeAll()
	// The list is good for a while, and others may have none; but the watch may take as long as the list did, and twice that.
	wait := min(watchLater, (toldSilent-2*took)/2)
	if crowded && !m.o.Pushed && wait > 0 {
		m.hold, m.watchPending = now+m.jitter(wait), true
		return acts
	}
	return append(acts, m.callNow(now)...)
}

// current says that the list is known to be current.
func (m *Machine) current(now time.Duration) {
	m.fails, m.quiet, m.hold, m.pressed = 0, 0, 0, false
	m.informed, m.told, m.due = true, now, now+toldSilent
}

// CallEnded says that a call ended by itself, or could not be made.
func (m *Machine) CallEnded(now time.Duration, id CallID) []Action {
	if i := m.findPrevious(id); i >= 0 {
		m.previous = slices.Delete(m.previous, i, i+1)
		return nil
	}
	i := m.find(id)
	if i < 0 {
		return nil
	}
	m.calls = slices.Delete(m.calls, i, i+1)
	m.fails++
	if m.o.Pushed && !m.pressed && !m.standing(now) { // else there is no deadline but for the waits: see budget.go
		m.pressed, m.due = true, now+m.o.grace()
	}
	m.hold = now + m.backoff(now)
	return nil
}

// doubt sets the deadline of a call that may have been silent since it last spoke, or was made.
func (m *Machine) doubt(now, since time.Duration) {
	if m.pressed = true; m.o.Pushed {
		since = now + m.o.grace() - toldSilent
	}
	m.due = min(m.due, since+toldSilent)
}

// Tick looks at what has been waited for long enough. It is called at Next, or at any time.
func (m *Machine) Tick(now time.Duration) []Action {
	acts := m.endPrevious(now)
	if len(m.calls) == 0 {
		if !m.started || now < m.hold {
			return acts
		}
		return append(acts, m.callNow(now)...)
	}
	for now >= m.limit() {
		youngest := m.calls[len(m.calls)-1]
		if m.callStands(now) && !youngest.spoke { // the one before it is well after all
			acts = append(acts, m.close(len(m.calls)-1))
			continue
		}
		if !m.pressed {
			m.doubt(now, max(youngest.begun, youngest.heard))
		}
		if now < m.hold { // the one made beside it was turned away
			break
		}
		if !youngest.spoke {
			m.quiet++
		}
		if len(m.calls) >= mostCalls {
			acts = append(acts, m.close(0))
		}
		acts = append(acts, m.callNow(now)...)
	}
	return acts
}

// limit is until when the youngest call may be quiet.
func (m *Machine) limit() time.Duration {
	if len(m.calls) == 0 {
		return never
	}
	c := &m.calls[len(m.calls)-1]
	if c.spoke {
		return c.heard + silence + c.spread
	}
	return c.begun + c.patience
}

// Next is when Tick is due.
func (m *Machine) Next() time.Duration {
	next := m.limit()
	switch {
	case !m.started:
		return never
	case len(m.calls) == 0:
		next = m.hold
	case m.pressed:
		next = max(next, m.hold)
	}
	return min(next, m.previousEnds())
}

// Deadline is when what may have been missed counts as told; the list may be too old from then on.
func (m *Machine) Deadline() time.Duration { return m.due }

// CurrentAt is when the list was last known to be current.
func (m *Machine) CurrentAt() time.Duration { return m.told }

// Failures is how many calls have ended since one spoke.
func (m *Machine) Failures() int { return m.fails }

// Connected tells whether a call speaks, or the whole list was heard and the watch behind it is still to be made.
func (m *Machine) Connected(now time.Duration) bool { return m.standing(now) || m.watchPending }

// Accepts tells whether what a call says counts.
func (m *Machine) Accepts(id CallID) bool { return m.find(id) >= 0 || m.findPrevious(id) >= 0 }

func (m *Machine) standing(now time.Duration) bool {
	return m.callStands(now) || slices.ContainsFunc(m.previous, func(c previousCall) bool { return c.standing(now) })
}

// callStands is standing at the present address.
func (m *Machine) callStands(now time.Duration) bool {
	return slices.ContainsFunc(m.calls, func(c call) bool { return c.standing(now) })
}

// standing tells whether a watch has spoken, and for no longer than one that is well may be quiet.
func (c *call) standing(now time.Duration) bool {
	return c.spoke && now < c.heard+silence+c.spread
}

func (m *Machine) callNow(now time.Duration) []Action {
	m.last++
	m.lastMade, m.watchPending = now, false
	request := WatchChanges
	if m.listWanted {
		request = FetchList
	}
	m.calls = append(m.calls, call{id: m.last, request: request, begun: now, patience: m.patience(now)})
	return []Action{{Kind: OpenCall, Call: m.last, Request: request}}
}

func (m *Machine) close(i int) Action {
	id := m.calls[i].id
	m.calls = slices.Delete(m.calls, i, i+1)
	return Action{Kind: CloseCall, Call: id}
}

func (m *Machine) closeAll() []Action {
	var acts []Action
	for len(m.calls) > 0 {
		acts = append(acts, m.close(0))
	}
	return acts
}

func (m *Machine) find(id CallID) int {
	return slices.IndexFunc(m.calls, func(c call) bool { return c.id == id })
}
