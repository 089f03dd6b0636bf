package staleness

import (
	"slices"
	"time"
)

// Redirect reports that the list is served at another address from now on. The list is fetched there at once; in a series of redirects
// the fetch is held for a moment, so that not each of them takes a place in the server's queue.
//
// The calls to earlier addresses are superseded. They go on until the watch at the new address delivers, and for redirectDeadline at
// most, so that no change falls between two addresses and no place in a server's queue is given up. What they deliver is newer than the
// list in use until the new address has answered; after that only their withdrawals count (see Watcher).
func (m *Machine) Redirect(now time.Duration) []Action {
	if !m.started {
		return nil
	}
	actions := m.supersedeCalls(now)
	inSeries := m.redirects > 0 && now < m.redirectedAt+redirectSeriesGap
	m.redirects++
	if !inSeries {
		m.redirects = 1
	}
	m.redirectedAt = now
	m.needList, m.watchDelayed = true, false
	m.consecutiveFailures, m.consecutiveTimeouts = 0, 0
	m.mayHaveMissed, m.deadline = true, min(m.deadline, now+redirectDeadline)
	m.nextCallAt = now
	if inSeries && !m.options.Pushed {
		m.nextCallAt = m.redirectHold(now)
	}
	if now < m.nextCallAt {
		return actions
	}
	return append(actions, m.openCall(now)...)
}

// supersedeCalls moves the open calls to the superseded ones. Of too many the oldest that is not healthy is closed.
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

// supersededActive takes a sign of life of superseded call i. It keeps the list current until that of the new address is there, whose
// own age counts from then on.
func (m *Machine) supersededActive(now time.Duration, i int) {
	c := &m.superseded[i]
	c.connected, c.lastActive = c.request == WatchChanges, now
	if m.needList {
		m.everCurrent, m.currentAt = true, now
		if !m.options.Pushed {
			m.deadline = now + notificationDeadline
		}
	}
	if c.request == FetchList { // it is over with its answer
		m.superseded.remove(i)
	}
}

// Recheck reports that a superseded call has delivered a change which the list of the present address may lack: the list is fetched
// again, unless a watch at the present address delivers.
func (m *Machine) Recheck(now time.Duration) []Action {
	if m.needList || m.calls.anyHealthy(now) {
		return nil
	}
	m.needList = true
	return append(m.calls.closeAll(), m.openCall(now)...)
}

// closeExpired closes the superseded calls whose time is over.
func (m *Machine) closeExpired(now time.Duration) []Action {
	var actions []Action
	for now >= m.nextExpiry() {
		actions = append(actions, m.superseded.close(0))
	}
	return actions
}

// nextExpiry returns when the oldest superseded call is closed.
func (m *Machine) nextExpiry() time.Duration {
	if len(m.superseded) == 0 {
		return never
	}
	return m.superseded[0].closeAt
}
