package membership

import (
	"slices"
	"time"
)

const (
	maxFlapsCounted = 64 // times at which an upstream stopped being ready that are remembered
	heldBackDivisor = 4  // at most one upstream in so many is held back
)

// holdBackIfFlapping holds an upstream back that comes up, if it has stopped being ready MaxFlaps times within FlapWindow, until FlapHold
// after the last time. No more than a quarter of the upstreams are held back, and never the only one. It returns the reason for the
// upstream's status.
func (m *Merge) holdBackIfFlapping(u *upstream, reason string) string {
	holdIsOver := u.heldBack && !u.heldUntil.IsZero() && !u.heldUntil.After(m.now)
	if m.options.MaxFlaps == 0 || u.readyCounted || holdIsOver {
		return reason
	}
	if u.heldUntil.After(m.now) {
		return "it flaps: held back"
	}
	u.lostReady = slices.DeleteFunc(u.lostReady, func(t time.Time) bool { return m.now.Sub(t) > m.options.FlapWindow.D() })
	if len(u.lostReady) < m.options.MaxFlaps || m.tooManyHeld() {
		return reason
	}
	until := u.lostReady[len(u.lostReady)-1].Add(m.options.FlapHold.D())
	if !until.After(m.now) {
		return reason
	}
	u.heldUntil = until
	m.setUpstreamTimer(until, u)
	return reason + ", but it flaps: held back for " + m.options.FlapHold.String()
}

// tooManyHeld reports whether no further upstream may be held back.
func (m *Merge) tooManyHeld() bool {
	return m.heldCount > 0 && heldBackDivisor*(m.heldCount+1) > m.readyCount+m.heldCount || m.readyCount == 0
}

// countReady counts an upstream as ready or not, and remembers when it stopped being ready.
func (m *Merge) countReady(u *upstream, isReady bool) {
	if u.readyCounted == isReady {
		return
	}
	u.readyCounted = isReady
	if isReady {
		m.readyCount++
		return
	}
	m.readyCount--
	if m.options.MaxFlaps == 0 {
		return
	}
	if u.lostReady = append(u.lostReady, m.now); len(u.lostReady) > maxFlapsCounted {
		u.lostReady = u.lostReady[1:]
	}
}

// countHeld counts an upstream as held back or not.
func (m *Merge) countHeld(u *upstream) {
	switch {
	case u.heldBack && !u.heldCounted:
		m.heldCount++
	case !u.heldBack && u.heldCounted:
		m.heldCount--
	}
	u.heldCounted = u.heldBack
}
