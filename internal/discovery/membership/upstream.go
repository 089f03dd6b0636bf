package membership

import (
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// upstream is an entry of the merged list. One that was removed is remembered for FlapWindow.
type upstream struct {
	name     string
	endpoint endpoints.Endpoint // as last returned
	records  map[*record]bool   // that it is merged from
	listed   bool               // it is in the merged list, ready or draining
	removed  time.Time          // when it was last removed from the merged list
	timerAt  time.Time          // zero: no timer is set

	readyCounted bool // in Merge.readyCount

	lostReady   []time.Time // when it stopped being ready, within FlapWindow and maxFlapsCounted at most
	heldUntil   time.Time   // it flaps: not ready before
	heldBack    bool        // it would be ready, but for heldUntil
	heldCounted bool        // in Merge.heldCount
}

// newUpstream adds an upstream that is not listed yet.
func (m *Merge) newUpstream(name string) *upstream {
	u := &upstream{name: name, records: map[*record]bool{}}
	m.upstreams[name] = u
	return u
}

// upstreamFor returns the upstream that a group is listed as; nil: none. Where the source of the name is gone, an instance keeps the name
// as long as no other group claims it, so that no connection and no statistics are lost.
func (m *Merge) upstreamFor(group, effective []*record, e *endpoints.Endpoint) *upstream {
	if u := m.upstreams[nameFor(effective)]; u != nil {
		return u
	}
	for _, r := range group {
		u := r.previous
		if u == nil || !u.listed || len(u.records) > 0 || u.endpoint.Address != e.Address || !m.isSameStart(u.endpoint.StartedMs, e.StartedMs) {
			continue
		}
		isClaimed := slices.ContainsFunc(m.recordsByName[u.name], func(x *record) bool {
			return x.state != Removed && !slices.Contains(group, x)
		})
		if !isClaimed {
			return u
		}
	}
	return nil
}

// publish sets what the merged list has of an upstream, and returns the change; nil: there is none.
func (m *Merge) publish(u *upstream, e endpoints.Endpoint, reason string) *Change {
	if u.listed && m.isSameStart(u.endpoint.StartedMs, e.StartedMs) && u.endpoint.StartedMs != 0 && u.endpoint.Address == e.Address {
		e.StartedMs = u.endpoint.StartedMs // sources differ a little, and connections are tied to it
	}
	m.countHeld(u)
	m.countReady(u, e.Status == endpoints.StatusReady)
	if e.Status == endpoints.StatusGone {
		if !u.listed {
			u.endpoint = e
			m.rememberRemoved(u)
			return nil
		}
		change := m.removeUpstream(u, reason)
		return &change
	}
	isSame := u.listed && u.endpoint == e
	u.endpoint, u.listed = e, true
	if isSame {
		return nil
	}
	return &Change{e, reason}
}

// removeUpstream removes an upstream from the merged list.
func (m *Merge) removeUpstream(u *upstream, reason string) Change {
	if u.readyCounted {
		u.readyCounted = false
		m.readyCount--
		u.lostReady = append(u.lostReady, m.now)
	}
	u.heldBack = false
	m.countHeld(u)
	u.listed = false
	u.endpoint.Status = endpoints.StatusGone
	m.rememberRemoved(u)
	return Change{u.endpoint, reason}
}

// rememberRemoved has an upstream that is not listed forgotten after FlapWindow.
func (m *Merge) rememberRemoved(u *upstream) {
	u.removed = m.now
	m.setUpstreamTimer(m.now.Add(m.options.FlapWindow.D()), u)
}

// upstreamDue is the timer of an upstream that is held back or not listed.
func (m *Merge) upstreamDue(u *upstream) {
	switch {
	case m.upstreams[u.name] != u:
	case !u.heldUntil.IsZero() && u.heldUntil.After(m.now):
		m.setUpstreamTimer(u.heldUntil, u)
	case u.heldBack:
		for r := range u.records {
			m.dirty[r] = true
		}
	case !u.listed && m.now.Sub(u.removed) >= m.options.FlapWindow.D():
		delete(m.upstreams, u.name)
	case !u.listed:
		m.setUpstreamTimer(u.removed.Add(m.options.FlapWindow.D()), u)
	}
}
