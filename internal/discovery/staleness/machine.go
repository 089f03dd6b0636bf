package staleness

import (
	"math/rand/v2"
	"time"
)

// never is later than any time on the driver's clock.
const never = time.Duration(1<<63 - 1)

// Machine schedules the calls for one list. It is not safe for concurrent use. All times are on one monotonic clock of the driver.
//
// At most maxOpenCalls calls to the current address and maxSupersededCalls calls to earlier addresses are open.
type Machine struct {
	options Options
	rng     *rand.Rand
	started bool

	calls        callSet // open calls to the current address
	superseded   callSet // open calls to earlier addresses; see Redirect
	lastID       CallID
	lastOpenedAt time.Duration
	nextCallAt   time.Duration // no call is opened before this time; 0 if no backoff applies
	needList     bool          // the next call must fetch the list, since the version at the current address is unknown
	watchDelayed bool          // the list was fetched, and the watch that follows is opened at nextCallAt

	everCurrent   bool          // a call has delivered a message since the start
	currentAt     time.Duration // when the list was last known to be current
	deadline      time.Duration // when the list becomes stale
	mayHaveMissed bool          // a change may have been missed, and deadline is its notification deadline

	consecutiveFailures int // number of calls that ended since a call last delivered a message
	consecutiveTimeouts int // number of consecutive calls that were replaced before their first byte

	redirects      int // number of redirects in the current series
	lastRedirectAt time.Duration
}

// New returns a Machine that has not started. The jitter comes from rng.
func New(o Options, rng *rand.Rand) *Machine {
	return &Machine{options: o, rng: rng, deadline: never}
}

// Start opens the first call.
func (m *Machine) Start(now time.Duration) []Action {
	m.started = true
	m.currentAt = now
	m.deadline = now + notificationDeadline
	return m.openCall(now)
}

// CallActive reports that a call delivered a complete message: the list, a change, or a heartbeat.
func (m *Machine) CallActive(now time.Duration, id CallID) []Action {
	if i := m.superseded.find(id); i >= 0 {
		m.supersededActive(now, i)
		return nil
	}
	i := m.calls.find(id)
	if i < 0 {
		return nil
	}
	if m.calls[i].request == FetchList {
		return m.listFetched(now, i)
	}
	c := &m.calls[i]
	if !c.connected {
		c.silenceSpread = m.silenceSpread()
	}
	c.connected, c.lastActive = true, now
	m.markCurrent(now)
	actions := m.superseded.closeAll()
	return append(actions, m.calls.closeOldest(i)...) // the older calls cannot deliver a change that this call does not deliver
}

// listFetched handles the answer to poll i, which ends the call. It opens the watch that follows, or delays the watch if the server is
// overloaded.
func (m *Machine) listFetched(now time.Duration, i int) []Action {
	fetchDuration := now - m.calls[i].openedAt
	overloaded := m.consecutiveFailures > 0 || fetchDuration > overloadLatency
	m.calls.remove(i)
	m.markCurrent(now)
	m.needList = false
	actions := m.calls.closeAll()
	delay := watchDelay(fetchDuration)
	if overloaded && !m.options.Pushed && delay > 0 {
		m.nextCallAt, m.watchDelayed = now+m.jitter(delay), true
		return actions
	}
	return append(actions, m.openCall(now)...)
}

// markCurrent records that the list is current. This ends any backoff and moves the deadline.
func (m *Machine) markCurrent(now time.Duration) {
	m.consecutiveFailures, m.consecutiveTimeouts = 0, 0
	m.nextCallAt = 0
	m.everCurrent, m.currentAt = true, now
	m.deadline, m.mayHaveMissed = now+notificationDeadline, false
}

// CallEnded reports that a call ended by itself, or could not be opened.
func (m *Machine) CallEnded(now time.Duration, id CallID) []Action {
	if i := m.superseded.find(id); i >= 0 {
		m.superseded.remove(i)
		return nil
	}
	i := m.calls.find(id)
	if i < 0 {
		return nil
	}
	m.calls.remove(i)
	m.consecutiveFailures++
	if m.options.Pushed && !m.mayHaveMissed && !m.anyHealthy(now) {
		m.mayHaveMissed, m.deadline = true, now+m.options.grace()
	}
	m.nextCallAt = now + m.backoff(now)
	return nil
}

// callTimedOut sets the deadline for a change that may have been missed since call c last delivered a message, or since it was opened.
func (m *Machine) callTimedOut(now time.Duration, c *call) {
	m.mayHaveMissed = true
	if m.options.Pushed {
		m.deadline = min(m.deadline, now+m.options.grace())
		return
	}
	m.deadline = min(m.deadline, max(c.openedAt, c.lastActive)+notificationDeadline)
}

// Tick opens and closes the calls that are due. It must be called at the time that Next returns, and may be called at any other time.
func (m *Machine) Tick(now time.Duration) []Action {
	actions := m.closeExpired(now)
	if len(m.calls) == 0 {
		if !m.started || now < m.nextCallAt {
			return actions
		}
		return append(actions, m.openCall(now)...)
	}
	for now >= m.timeoutAt() {
		youngest := len(m.calls) - 1
		if m.calls.anyHealthy(now) && !m.calls[youngest].connected {
			actions = append(actions, m.calls.close(youngest)) // the earlier watch delivers messages again
			continue
		}
		if !m.mayHaveMissed {
			m.callTimedOut(now, &m.calls[youngest])
		}
		if now < m.nextCallAt { // another call has ended, and the backoff after it still applies
			break
		}
		actions = append(actions, m.replaceTimedOut(now)...)
	}
	return actions
}

// replaceTimedOut opens a call beside the youngest call, which timed out. If maxOpenCalls are open, it closes the oldest call first.
func (m *Machine) replaceTimedOut(now time.Duration) []Action {
	if !m.calls[len(m.calls)-1].connected {
		m.consecutiveTimeouts++
	}
	var actions []Action
	if len(m.calls) >= maxOpenCalls {
		actions = append(actions, m.calls.close(0))
	}
	return append(actions, m.openCall(now)...)
}

// timeoutAt returns the time at which the youngest call to the current address times out.
func (m *Machine) timeoutAt() time.Duration {
	if len(m.calls) == 0 {
		return never
	}
	return m.calls[len(m.calls)-1].timeoutAt()
}

// Next returns the time at which Tick is due.
func (m *Machine) Next() time.Duration {
	next := m.timeoutAt()
	switch {
	case !m.started:
		return never
	case len(m.calls) == 0:
		next = m.nextCallAt
	case m.mayHaveMissed:
		next = max(next, m.nextCallAt)
	}
	return min(next, m.nextExpiry())
}

// Deadline returns the notification deadline of a change that may have been missed. From that time on the list is stale.
func (m *Machine) Deadline() time.Duration { return m.deadline }

// CurrentAt returns the time at which the list was last known to be current.
func (m *Machine) CurrentAt() time.Duration { return m.currentAt }

// Failures returns how many calls have ended since a call last delivered a message.
func (m *Machine) Failures() int { return m.consecutiveFailures }

// Connected reports whether a watch is healthy, or the list was fetched and the watch that follows is delayed.
func (m *Machine) Connected(now time.Duration) bool { return m.anyHealthy(now) || m.watchDelayed }

// Accepts reports whether a call is open, at the current or an earlier address, so that its messages must be handled.
func (m *Machine) Accepts(id CallID) bool { return m.calls.find(id) >= 0 || m.superseded.find(id) >= 0 }

// anyHealthy reports whether a watch at any address is healthy.
func (m *Machine) anyHealthy(now time.Duration) bool {
	return m.calls.anyHealthy(now) || m.superseded.anyHealthy(now)
}

// openCall opens a call to the current address. The call is a poll if needList is set, and otherwise a watch.
func (m *Machine) openCall(now time.Duration) []Action {
	m.lastID++
	m.lastOpenedAt, m.watchDelayed = now, false
	request := WatchChanges
	if m.needList {
		request = FetchList
	}
	m.calls = append(m.calls, call{id: m.lastID, request: request, openedAt: now, firstByteTimeout: m.firstByteTimeout(now)})
	return []Action{{Kind: OpenCall, Call: m.lastID, Request: request}}
}
