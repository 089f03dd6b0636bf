package staleness

import (
	"slices"
	"time"
)

// Redirect reports that the list is served at another address from now on. The list is fetched from that address at once. In a series of
// redirects the fetch is delayed, so that not every redirect takes a place in the server's queue.
//
// The calls to earlier addresses are superseded. They stay open until the watch at the new address delivers a message, but at most for
// redirectDeadline, so that no change is lost between two addresses and no place in a server's queue is given up. Until the new address has
// answered, the messages of superseded calls are newer than the list in use. After that, discovery.Watcher applies only the draining and
// removed endpoints in these messages.
func (m *Machine) Redirect(now time.Duration) []Action {
	if !m.started {
		return nil
	}
	actions := m.supersedeCalls(now)
	inSeries := m.redirects > 0 && now < m.lastRedirectAt+redirectSeriesGap
	m.redirects++
	if !inSeries {
		m.redirects = 1
	}
	m.lastRedirectAt = now
	m.needList, m.watchDelayed = true, false
	m.consecutiveFailures, m.consecutiveTimeouts = 0, 0
	m.mayHaveMissed, m.deadline = true, min(m.deadline, now+redirectDeadline)
	m.nextCallAt = now
	if inSeries && !m.options.Pushed {
		m.nextCallAt = m.redirectFetchAt(now)
	}
	if now < m.nextCallAt {
		return actions
	}
	return append(actions, m.openCall(now)...)
}

// supersedeCalls moves the open calls to the superseded calls. While there are more than maxSupersededCalls superseded calls, it closes
// the oldest call that is not healthy, or the oldest call if all are healthy.
func (m *Machine) supersedeCalls(now time.Duration) []Action {
	for _, c := range m.calls {
		c.closeAt = now + redirectDeadline
		m.superseded = append(m.superseded, c)
	}
	m.calls = nil
	var actions []Action
	for len(m.superseded) > maxSupersededCalls {
		oldest := max(0, slices.IndexFunc(m.superseded, func(c call) bool { return !c.healthy(now) }))
		actions = append(actions, m.superseded.close(oldest))
	}
	return actions
}

// supersededActive handles a message of superseded call i. Until the list of the new address has been fetched, the message shows that the
// list is current. After that, only messages from the new address show this.
func (m *Machine) supersededActive(now time.Duration, i int) {
	c := &m.superseded[i]
	c.connected, c.lastActive = c.request == WatchChanges, now
	if m.needList {
		m.everCurrent, m.currentAt = true, now
		if !m.options.Pushed {
			m.deadline = now + notificationDeadline
		}
	}
	if c.request == FetchList { // the answer ends the call
		m.superseded.remove(i)
	}
}

// Recheck reports that a superseded call has delivered a change that the list of the current address may lack. The list is fetched
// again, unless a watch at the current address is healthy.
func (m *Machine) Recheck(now time.Duration) []Action {
	if m.needList || m.calls.anyHealthy(now) {
		return nil
	}
	m.needList = true
	return append(m.calls.closeAll(), m.openCall(now)...)
}

// closeExpired closes the superseded calls whose closeAt has been reached.
func (m *Machine) closeExpired(now time.Duration) []Action {
	var actions []Action
	for now >= m.nextExpiry() {
		actions = append(actions, m.superseded.close(0))
	}
	return actions
}

// nextExpiry returns the time at which the oldest superseded call must be closed.
func (m *Machine) nextExpiry() time.Duration {
	if len(m.superseded) == 0 {
		return never
	}
	return m.superseded[0].closeAt
}
