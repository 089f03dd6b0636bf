package membership

import (
	"slices"
	"time"
)

const (
	maxFlapsCounted = 64 // maximum number of entries in upstream.lostReady
	heldBackDivisor = 4  // at most one in heldBackDivisor upstreams is held back, but see tooManyHeld
)

// holdBackIfFlapping holds back an upstream that comes up, if the upstream has stopped being ready at least MaxFlaps times within
// FlapWindow. The hold ends FlapHold after the upstream last stopped being ready. At most a quarter of the upstreams are held back, but one
// may always be held back while another upstream is ready. holdBackIfFlapping returns the reason for the upstream's status.
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

// tooManyHeld reports whether the limit on upstreams that are held back at the same time has been reached.
func (m *Merge) tooManyHeld() bool {
	return m.heldCount > 0 && heldBackDivisor*(m.heldCount+1) > m.readyCount+m.heldCount || m.readyCount == 0
}

// countReady counts u in or out of readyCount, and stores the time at which u stops being ready.
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

// countHeld counts u in or out of heldCount, the number of upstreams that are held back.
func (m *Merge) countHeld(u *upstream) {
	switch {
	case u.heldBack && !u.heldCounted:
		m.heldCount++
	case !u.heldBack && u.heldCounted:
		m.heldCount--
	}
	u.heldCounted = u.heldBack
}
