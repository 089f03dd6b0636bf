package membership

import (
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// upstream is an entry of the merged list. A removed upstream is remembered for FlapWindow.
type upstream struct {
	name     string
	endpoint endpoints.Endpoint // the entry of the merged list as last returned in a Change
	records  map[*record]bool   // the records that are merged into this upstream
	listed   bool               // the upstream is in the merged list, ready or draining
	removed  time.Time          // time of the last removal from the merged list
	timerAt  time.Time          // when the upstream's timer fires; zero if no timer is set

	readyCounted bool // Merge.readyCount includes the upstream

	lostReady   []time.Time // times within FlapWindow at which the upstream stopped being ready, at most maxFlapsCounted
	heldUntil   time.Time   // a flapping upstream is not ready before this time
	heldBack    bool        // the upstream is not ready only because heldUntil has not passed
	heldCounted bool        // Merge.heldCount includes the upstream
}

// newUpstream adds an upstream that is not listed yet to m.
func (m *Merge) newUpstream(name string) *upstream {
	u := &upstream{name: name, records: map[*record]bool{}}
	m.upstreams[name] = u
	return u
}

// upstreamFor returns the upstream that a group of records is merged into, or nil if there is none yet. If the source that gave an instance
// its name no longer lists the instance, the instance keeps the name as long as no other group uses the name. Otherwise the connections and
// statistics of the instance would be lost.
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

// publish sets an upstream's entry in the merged list and returns the change, or nil if nothing changed.
func (m *Merge) publish(u *upstream, e endpoints.Endpoint, reason string) *Change {
	if u.listed && m.isSameStart(u.endpoint.StartedMs, e.StartedMs) && u.endpoint.StartedMs != 0 && u.endpoint.Address == e.Address {
		e.StartedMs = u.endpoint.StartedMs // sources differ slightly, and a changed start time would close connections
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

// removeUpstream removes an upstream from the merged list and returns the change.
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

// rememberRemoved sets a timer so that an upstream that is not listed is forgotten after FlapWindow.
func (m *Merge) rememberRemoved(u *upstream) {
	u.removed = m.now
	m.setUpstreamTimer(m.now.Add(m.options.FlapWindow.D()), u)
}

// onUpstreamTimer handles the timer of an upstream that is held back or not listed.
func (m *Merge) onUpstreamTimer(u *upstream) {
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
