package staleness

import (
	"slices"
	"time"
)

// Redirect says that another address tells the list from now on. It is asked for the whole list, at once but in a series of such words.
//
// One call to an address before goes on: a watch that stands, else the call that has waited for its answer the longest. What it says is
// newer than the list that requests are sent by, and a place in the queue of a crowded discovery is not given up. A watch ends once the new
// address's watch has spoken, so that no change falls between the two; a call that waits ends with the new address's list; each no later
// than what the new address has to tell counts as told.
func (m *Machine) Redirect(now time.Duration) []Action {
	if !m.started {
		return nil
	}
	acts := m.keepPrevious(now)
	series := m.redirects > 0 && now < m.redirected+reloadSeries
	m.redirects++
	if !series {
		m.redirects = 1
	}
	m.redirected, m.listWanted, m.watchPending = now, true, false
	m.fails, m.quiet, m.pressed, m.due = 0, 0, true, min(m.due, now+toldMoved)
	m.hold = now
	if series && !m.o.Pushed {
		m.hold = m.holdInSeries(now)
	}
	if now < m.hold {
		return acts
	}
	return append(acts, m.callNow(now)...)
}

// holdInSeries is until when no call is made behind one of several reloads. However long the series is, the list is asked for once in
// reloadSeries.
func (m *Machine) holdInSeries(now time.Duration) time.Duration {
	wait := min(max((m.due-now)/leftPart, reloadHoldLeast), reloadHoldMost)
	return min(now+m.jitter(wait), m.lastMade+reloadSeries)
}

// keepPrevious makes one of the calls that are open the previous one, and ends the others.
func (m *Machine) keepPrevious(now time.Duration) []Action {
	if m.previous == nil && len(m.calls) > 0 {
		i := max(0, slices.IndexFunc(m.calls, func(c call) bool { return c.standing(now) }))
		kept := m.calls[i]
		m.calls = slices.Delete(m.calls, i, i+1)
		m.previous = &kept
		m.previousUntil = now + toldMoved
	}
	return m.closeAll()
}

// heardPrevious takes a word of the previous call. The new address is asked all the same; once its list is known, that one's age counts.
func (m *Machine) heardPrevious(now time.Duration) []Action {
	m.previous.spoke, m.previous.heard = true, now
	if m.listWanted {
		m.informed, m.told = true, now
		if !m.o.Pushed {
			m.due = now + toldSilent
		}
	}
	if m.previous.request == List {
		m.previous = nil
	}
	return nil
}

// Recheck says that the previous call has told something that the present address's list may lack: that is asked for again.
func (m *Machine) Recheck(now time.Duration) []Action {
	if m.previous == nil || m.listWanted {
		return nil
	}
	m.listWanted = true
	return append(m.closeAll(), m.callNow(now)...)
}

// closeWaitingPrevious closes the previous call unless it is a watch that stands.
func (m *Machine) closeWaitingPrevious(now time.Duration) []Action {
	if m.previous != nil && m.previous.standing(now) {
		return nil
	}
	return m.closePrevious()
}

func (m *Machine) closePrevious() []Action {
	if m.previous == nil {
		return nil
	}
	id := m.previous.id
	m.previous = nil
	return []Action{{Kind: Close, Call: id}}
}

func (m *Machine) isPrevious(id CallID) bool {
	return m.previous != nil && m.previous.id == id
}

// previousEnds is when the previous call is closed.
func (m *Machine) previousEnds() time.Duration {
	if m.previous == nil {
		return never
	}
	return m.previousUntil
}
