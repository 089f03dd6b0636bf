// Package lifecycle decides how a serving process ends: whether it serves, drains, is replaced by a successor, or stops. It is a pure state
// machine without I/O, goroutines or a clock. Its inputs are operators' requests, signals and the time. Its outputs are whether the process
// is ready, whether responses are the last of their connection, and which idle connections are to be closed. Package daemon drives it.
//
//	            Drain                    Stop
//	Serving <----------> Draining ----------------> Stopping   Accepts: for acceptPeriod; then ends
//	    |      Undrain      |
//	    |                   |       Stop(successor)
//	    '-------------------+---------------------> Replaced   accepts nothing; ends
//
// Stop leads from Serving to Stopping as well. Stopping and Replaced are final: the process completes its requests, and after the grace
// period Abort reports that the requests still unanswered are to be failed.
package lifecycle

import "time"

// State is the state of a process.
type State int

// The states of a process.
const (
	Serving  State = iota
	Draining       // not ready: clients are asked to disconnect; may return to Serving
	Replaced       // a successor serves; this process completes its requests, then ends
	Stopping       // no successor serves; this process accepts connections for acceptPeriod, completes its requests, then ends
)

// String returns the state's name, as it is logged and reported at the control address.
func (s State) String() string {
	return [...]string{"serving", "draining", "replaced", "stopping"}[s]
}

// Times that determine when idle connections are closed. Load balancers in front of the process poll its readiness every 100 ms and send
// new connections for 200 ms more, so clients disconnect by themselves first. The longer a connection has been idle, the less
// likely a request arrives while the connection is being closed.
const (
	// drainClosePeriod is the time from the start of Draining or Replaced after which connections idle for longIdle are closed.
	drainClosePeriod = 600 * time.Millisecond
	// drainCloseAllPeriod is the time from the start of Draining after which connections idle for shortIdle are closed.
	drainCloseAllPeriod = 2500 * time.Millisecond
	// replacedCloseAllLead is the time that is left of the grace period when a process in state Replaced begins to close connections that
	// have been idle for shortIdle.
	replacedCloseAllLead = 400 * time.Millisecond

	longIdle  = time.Second
	shortIdle = 50 * time.Millisecond // keeps new connections open that are about to send their first request

	// stopClosePeriod is the time from the start of Stopping after which connections idle for shortIdle are closed.
	stopClosePeriod = 450 * time.Millisecond
	// acceptPeriod is the time from the start of Stopping after which no connections are accepted and all idle connections are closed.
	acceptPeriod = 600 * time.Millisecond

	// idleCheckInterval is the time between two checks for idle connections while they are being closed.
	idleCheckInterval = 100 * time.Millisecond
)

// Machine is the state machine of one process. It is not safe for concurrent use. All times are on the caller's clock.
type Machine struct {
	gracePeriod time.Duration // time from the start of Replaced or Stopping until unanswered requests are failed
	state       State
	since       time.Duration // start of the current state
}

// New returns a Machine in state Serving. Unanswered requests are failed a grace period after Stop.
func New(gracePeriod time.Duration) *Machine { return &Machine{gracePeriod: gracePeriod} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Drain starts Draining, in which clients are asked to disconnect. It returns false if the process is ending.
func (m *Machine) Drain(now time.Duration) bool {
	if m.state == Serving {
		m.state, m.since = Draining, now
	}
	return m.state == Draining
}

// Undrain ends Draining and returns to Serving. It returns false if the process is ending.
func (m *Machine) Undrain(now time.Duration) bool {
	if m.state == Draining {
		m.state, m.since = Serving, now
	}
	return m.state == Serving
}

// Stop ends the process. successor says whether a successor serves in its place. Only the first call has an effect.
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

// Ready reports whether clients should connect to this process's address. A replaced process is ready because its successor has the same
// address.
func (m *Machine) Ready() bool { return m.state == Serving || m.state == Replaced }

// CloseAfterAnswer reports whether each connection is closed after its next response.
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

// IdleTimeout returns the idle time from which connections are closed now, and the time until IdleTimeout is to be called again. If the
// result closing is false, no connection is closed now; if the result next is 0 too, no call is needed before the next change of state.
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

// closeGradually returns the results of IdleTimeout for a process whose clients can connect to another one. age is the time since the state
// began. At first only connections that have been idle for longIdle are closed, and after closeAllPeriod also connections that have been
// idle for shortIdle.
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

// closeAtStop returns the results of IdleTimeout for a process that stops without a successor. age is the time since it began to stop.
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

// Abort reports whether unanswered requests are to be failed now, and otherwise the time left until then. If the process is not ending, it
// returns 0 and false.
func (m *Machine) Abort(now time.Duration) (left time.Duration, abort bool) {
	if !m.Ending() {
		return 0, false
	}
	left = m.since + m.gracePeriod - now
	return max(left, 0), left <= 0
}
