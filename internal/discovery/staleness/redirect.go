package staleness

import (
	"slices"
	"time"
)

// Redirect says that another address tells the list from now on. It is asked for the whole list, at once but in a series of such words.
//
// The calls to addresses before go on until the new address's watch has spoken, so that no change falls between the two, and no later than
// what the new address has to tell counts as told. What they say is newer than the list that requests are sent by, and a place in the queue
// of a crowded discovery is not given up.
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
	if m.due <= now {
		return now
	}
	wait := min(max((m.due-now)/leftPart, reloadHoldLeast), reloadHoldMost)
	return min(now+m.jitter(wait), m.lastMade+reloadSeries)
}

// previousCall is one to an address before.
type previousCall struct {
	call
	until time.Duration // it is closed
}

// keepPrevious has the calls that are open go on as previous ones. Of too many the oldest is closed that does not stand.
func (m *Machine) keepPrevious(now time.Duration) []Action {
	for _, c := range m.calls {
		m.previous = append(m.previous, previousCall{c, now + toldMoved})
	}
	m.calls = nil
	var acts []Action
	for len(m.previous) > mostPrevious {
		oldest := max(0, slices.IndexFunc(m.previous, func(c previousCall) bool { return !c.standing(now) }))
		acts = append(acts, m.closePrevious(oldest))
	}
	return acts
}

// heardPrevious takes a word of a previous call. The new address is asked all the same; once its list is known, that one's age counts.
func (m *Machine) heardPrevious(now time.Duration, i int) []Action {
	c := &m.previous[i]
	c.spoke, c.heard = c.request == WatchChanges, now
	if m.listWanted {
		m.informed, m.told = true, now
		if !m.o.Pushed {
			m.due = now + toldSilent
		}
	}
	if c.request == FetchList { // it is over
		m.previous = slices.Delete(m.previous, i, i+1)
	}
	return nil
}

// Recheck says that a previous call has told something that the present address's list may lack: that is asked for again.
func (m *Machine) Recheck(now time.Duration) []Action {
	if m.listWanted || m.callStands(now) {
		return nil
	}
	m.listWanted = true
	return append(m.closeAll(), m.callNow(now)...)
}

func (m *Machine) closePrevious(i int) Action {
	id := m.previous[i].id
	m.previous = slices.Delete(m.previous, i, i+1)
	return Action{Kind: CloseCall, Call: id}
}

func (m *Machine) closeAllPrevious() []Action {
	var acts []Action
	for len(m.previous) > 0 {
		acts = append(acts, m.closePrevious(0))
	}
	return acts
}

// endPrevious closes the previous calls whose time is over.
func (m *Machine) endPrevious(now time.Duration) []Action {
	var acts []Action
	for now >= m.previousEnds() {
		acts = append(acts, m.closePrevious(0))
	}
	return acts
}

// findPrevious is a call's place among the previous ones, or below 0.
func (m *Machine) findPrevious(id CallID) int {
	return slices.IndexFunc(m.previous, func(c previousCall) bool { return c.id == id })
}

// previousEnds is when the oldest previous call is closed.
func (m *Machine) previousEnds() time.Duration {
	if len(m.previous) == 0 {
		return never
	}
	return m.previous[0].until
}
