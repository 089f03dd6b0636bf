// Package lifecycle holds what a process that serves is about to do: serve, drain, leave its clients to a successor, or stop. It is a
// state machine without I/O or a clock: calls, signals and the time go in; whether clients are wanted, whether answers end their
// connection and which idle connections are to be closed come out.
package lifecycle

import "time"

// State is what the process is at.
type State int

// The states.
const (
	Serving  State = iota
	Draining       // sends its clients away; may serve again
	Replaced       // a successor serves: finishes what it has, to the end
	Stopping       // on its own: accepts for a while yet, finishes what it has, to the end
)

func (s State) String() string { return [...]string{"serving", "draining", "replaced", "stopping"}[s] }

// When idle connections are closed. The front asks each 0.1 s whether clients are wanted, and sends new connections for 0.2 s more.
// The longer a connection rests, the less likely is a request that crosses its close.
const (
	drainFirst = 600 * time.Millisecond // after a drain began, those that have rested for restLong
	drainLast  = 2500 * time.Millisecond
	restLong   = time.Second
	restShort  = 50 * time.Millisecond // and from drainLast on all that are not about to bring their first request

	quietAfter  = 450 * time.Millisecond // after Stopping began, those that have rested for restShort
	acceptAfter = 600 * time.Millisecond // and all of them; no new ones are accepted from then on
	lastPart    = 400 * time.Millisecond // Replaced: all idle ones this long before what is unanswered is failed
)

// Machine is one process's. It is not safe for concurrent use. Times are on the caller's clock.
type Machine struct {
	grace time.Duration // after Replaced or Stopping began, what is unanswered is failed
	state State
	since time.Duration // the state began
}

// New is a process that serves.
func New(grace time.Duration) *Machine { return &Machine{grace: grace} }

// State is what it is at.
func (l *Machine) State() State { return l.state }

// Drain sends clients away; false: the process is ending, and they are leaving already.
func (l *Machine) Drain(now time.Duration) bool {
	if l.state == Serving {
		l.state, l.since = Draining, now
	}
	return l.state == Draining
}

// Undrain takes clients again; false: the process is ending.
func (l *Machine) Undrain(now time.Duration) bool {
	if l.state == Draining {
		l.state, l.since = Serving, now
	}
	return l.state == Serving
}

// Stop ends the process: by itself, or in favour of a successor that serves. Only the first call counts.
func (l *Machine) Stop(now time.Duration, successor bool) {
	if l.Ending() {
		return
	}
	l.state, l.since = Stopping, now
	if successor {
		l.state = Replaced
	}
}

// Ending tells whether the process ends.
func (l *Machine) Ending() bool { return l.state == Replaced || l.state == Stopping }

// Ready tells whether clients are to be sent here. A process that leaves them to a successor speaks for that one.
func (l *Machine) Ready() bool { return l.state == Serving || l.state == Replaced }

// CloseAfterAnswer tells whether each answer is the last of its connection.
func (l *Machine) CloseAfterAnswer() bool { return l.state != Serving }

// Accepts tells whether new connections are taken.
func (l *Machine) Accepts(now time.Duration) bool {
	switch l.state {
	case Replaced:
		return false
	case Stopping:
		return now-l.since < acceptAfter
	}
	return true
}

// IdleTimeout is how long a connection may have rested before it is closed now, and when to ask again; false: no connection is closed for
// that, and there is nothing to ask before the next change of state.
func (l *Machine) IdleTimeout(now time.Duration) (rest, again time.Duration, close bool) {
	const step = 100 * time.Millisecond
	age := now - l.since
	first, last := drainFirst, drainLast
	switch l.state {
	case Serving:
		return 0, 0, false
	case Replaced:
		last = max(first, l.grace-lastPart)
	case Stopping:
		switch {
		case age < quietAfter:
			return 0, quietAfter - age, false
		case age < acceptAfter:
			return restShort, acceptAfter - age, true
		}
		return 0, step, true
	}
	switch {
	case age < first:
		return 0, first - age, false
	case age < last:
		return restLong, min(step, last-age), true
	}
	return restShort, step, true
}

// Abort tells whether what is unanswered is to be failed now, and else how long there is yet. Only an ending process comes to it.
func (l *Machine) Abort(now time.Duration) (left time.Duration, abort bool) {
	if !l.Ending() {
		return 0, false
	}
	left = l.since + l.grace - now
	return max(left, 0), left <= 0
}
