// Package lifecycle decides what a serving process does at its end: serve, drain, leave its clients to a successor, or stop. It is a pure
// state machine without I/O, goroutines or a clock: operators' calls, signals and the time go in; whether the process is ready, whether
// answers are the last of their connection and which idle connections are to be closed come out. Package daemon drives it.
//
//	            Drain                    Stop
//	Serving <----------> Draining ----------------> Stopping   Accepts: for acceptPeriod; then ends
//	    |      Undrain      |
//	    |                   |       Stop(successor)
//	    '-------------------+---------------------> Replaced   accepts nothing; ends
//
// Stop leads from Serving to Stopping as well. Stopping and Replaced are final: the process finishes the requests that it has, and after
// the grace period Abort fails those that are unanswered.
package lifecycle

import "time"

// State is the state of a process.
type State int

// The states.
const (
	Serving  State = iota
	Draining       // not ready: clients are asked to leave; may serve again
	Replaced       // a successor serves: finishes the requests that it has, then ends
	Stopping       // no successor: accepts connections for a while, finishes the requests that it has, then ends
)

// String returns the state's name in logs and on the control address.
func (s State) String() string {
	return [...]string{"serving", "draining", "replaced", "stopping"}[s]
}

// When idle connections are closed. Load balancers in front poll readiness every 100 ms and send new connections for 200 ms more, so
// clients leave by themselves first. The longer a connection has been idle, the less likely is a request that crosses its close.
const (
	// drainClosePeriod is the time from the start of Draining or Replaced after which connections idle for longIdle are closed.
	drainClosePeriod = 600 * time.Millisecond
	// drainCloseAllPeriod is the time from the start of Draining after which connections idle for shortIdle are closed.
	drainCloseAllPeriod = 2500 * time.Millisecond
	// replacedCloseAllLead is the time before the end of the grace period from which Replaced closes connections idle for shortIdle.
	replacedCloseAllLead = 400 * time.Millisecond

	longIdle  = time.Second
	shortIdle = 50 * time.Millisecond // spares new connections that are about to send their first request

	// stopClosePeriod is the time from the start of Stopping after which connections idle for shortIdle are closed.
	stopClosePeriod = 450 * time.Millisecond
	// acceptPeriod is the time from the start of Stopping after which no connections are accepted and all idle ones are closed.
	acceptPeriod = 600 * time.Millisecond

	// idleCheckInterval is the time between two checks for idle connections while they are closed.
	idleCheckInterval = 100 * time.Millisecond
)

// Machine is the state machine of one process. It is not safe for concurrent use. All times are on the caller's clock.
type Machine struct {
	gracePeriod time.Duration // from Replaced or Stopping to Abort
	state       State
	since       time.Duration // when state began
}

// New returns a Machine in state Serving. Unanswered requests are failed a grace period after Stop.
func New(gracePeriod time.Duration) *Machine { return &Machine{gracePeriod: gracePeriod} }

// State returns the state.
func (m *Machine) State() State { return m.state }

// Drain asks clients to leave. It returns false if the process is ending.
func (m *Machine) Drain(now time.Duration) bool {
	if m.state == Serving {
		m.state, m.since = Draining, now
	}
	return m.state == Draining
}

// Undrain serves clients again. It returns false if the process is ending.
func (m *Machine) Undrain(now time.Duration) bool {
	if m.state == Draining {
		m.state, m.since = Serving, now
	}
	return m.state == Serving
}

// Stop ends the process, in favour of a successor that serves or without one. Only the first call has an effect.
func (m *Machine) Stop(now time.Duration, successor bool) {
	if m.Ending() {
		return
	}
	m.state, m.since = Stopping, now
	if successor {
		m.state = Replaced
	}
}

// Ending reports whether the process is ending.
func (m *Machine) Ending() bool { return m.state == Replaced || m.state == Stopping }

// Ready reports whether clients should connect to this address. A replaced process answers for its successor, which has the same one.
func (m *Machine) Ready() bool { return m.state == Serving || m.state == Replaced }

// CloseAfterAnswer reports whether each answer is the last of its connection.
func (m *Machine) CloseAfterAnswer() bool { return m.state != Serving }

// Accepts reports whether this process accepts new connections.
func (m *Machine) Accepts(now time.Duration) bool {
	switch m.state {
	case Replaced:
		return false
	case Stopping:
		return now-m.since < acceptPeriod
	default:
		return true
	}
}

// IdleTimeout returns the idle time from which connections are closed now, and when to ask again. If closing is false none is closed now;
// if next is 0 too there is nothing to ask before the next change of state.
func (m *Machine) IdleTimeout(now time.Duration) (idle, next time.Duration, closing bool) {
	age := now - m.since
	switch m.state {
	case Draining:
		return closeGradually(age, drainCloseAllPeriod)
	case Replaced:
		return closeGradually(age, max(drainClosePeriod, m.gracePeriod-replacedCloseAllLead))
	case Stopping:
		return closeAtStop(age)
	default:
		return 0, 0, false
	}
}

// closeGradually is IdleTimeout for a process whose clients have another one to go to, at an age of its state: first only connections that
// have been idle for long are closed, and after closeAllPeriod nearly all.
func closeGradually(age, closeAllPeriod time.Duration) (idle, next time.Duration, closing bool) {
	switch {
	case age < drainClosePeriod:
		return 0, drainClosePeriod - age, false
	case age < closeAllPeriod:
		return longIdle, min(idleCheckInterval, closeAllPeriod-age), true
	default:
		return shortIdle, idleCheckInterval, true
	}
}

// closeAtStop is IdleTimeout for a process that stops without a successor, at an age of its state.
func closeAtStop(age time.Duration) (idle, next time.Duration, closing bool) {
	switch {
	case age < stopClosePeriod:
		return 0, stopClosePeriod - age, false
	case age < acceptPeriod:
		return shortIdle, acceptPeriod - age, true
	default:
		return 0, idleCheckInterval, true
	}
}

// Abort reports whether unanswered requests are to be failed now, and otherwise the time left. It is always false, with no time left,
// unless the process is ending.
func (m *Machine) Abort(now time.Duration) (left time.Duration, abort bool) {
	if !m.Ending() {
		return 0, false
	}
	left = m.since + m.gracePeriod - now
	return max(left, 0), left <= 0
}
