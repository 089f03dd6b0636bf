package membership

import (
	"slices"
	"time"
)

// removal is a recent removal of an endpoint by a source.
type removal struct {
	at     time.Time
	record *record
}

// applyRemovals applies the removal of endpoints that a source no longer lists.
//
// If all of the source's endpoints, or more than MassRemovalFraction of them within MassRemovalWindow, are removed, these removals are
// doubted for MassRemovalHold. The reason is that a registry that has just started, or that is cut off from its instances, lists few of
// them. A listed status, such as draining, is never doubted. If another source has removed an endpoint too, the doubt has no effect, and
// the endpoint is removed immediately.
func (m *Merge) applyRemovals(s *source, removed []*record) {
	s.recentRemovals = slices.DeleteFunc(s.recentRemovals, func(x removal) bool {
		return m.now.Sub(x.at) > m.options.MassRemovalWindow.D() || x.record.forgotten || x.record.state != Removed
	})
	isMass := m.isMassRemoval(s, removed)
	for _, r := range removed {
		switch {
		case r.doubted: // stays doubted until its hold ends
		case isMass && r.state == Up:
			m.doubt(r)
		default:
			if r.state == Up {
				s.recentRemovals = append(s.recentRemovals, removal{m.now, r})
			}
			m.removeRecord(r)
		}
	}
}

// isMassRemoval reports whether the removed records, the recent removals and the doubted records together are all of the source's
// endpoints or more than MassRemovalFraction of them. In that case isMassRemoval also marks the recent removals as doubted.
func (m *Merge) isMassRemoval(s *source, removed []*record) bool {
	lost := 0
	for _, r := range removed {
		if r.state == Up && !r.doubted {
			lost++
		}
	}
	missing := len(s.recentRemovals) + s.doubtedCount + lost
	remaining := s.upCount - s.doubtedCount - lost
	if lost == 0 || m.options.MassRemovalHold <= 0 {
		return false
	}
	if remaining != 0 && !(missing > 1 && float64(missing) > m.options.MassRemovalFraction*float64(remaining+missing)) {
		return false
	}
	m.note("source %s lacks %d of %d upstreams at once: not believed for %v", s.name, missing, remaining+missing, m.options.MassRemovalHold.D())
	for _, x := range s.recentRemovals {
		m.setState(x.record, Up)
		m.doubt(x.record)
	}
	s.recentRemovals = nil
	return true
}

// doubt delays the removal of a record by MassRemovalHold.
func (m *Merge) doubt(r *record) {
	r.doubted = true
	r.source.doubtedCount++
	r.holdUntil = m.now.Add(m.options.MassRemovalHold.D())
	m.dirty[r] = true
	m.setRecordTimer(r.holdUntil, r)
}

// endDoubt marks a record as no longer doubted.
func (m *Merge) endDoubt(r *record) {
	if r.doubted {
		r.source.doubtedCount--
		r.doubted = false
	}
}

// removeRecord marks a record as removed. For RemovalHold the removal outweighs another source's report that the endpoint is up.
func (m *Merge) removeRecord(r *record) {
	m.endDoubt(r)
	m.sequence++
	r.sequence = m.sequence
	m.setState(r, Removed)
	r.holdUntil = m.now.Add(m.options.RemovalHold.D())
	m.dirty[r] = true
	m.setRecordTimer(r.holdUntil, r)
}

// onRecordTimer handles the timer of a record that is doubted or removed.
func (m *Merge) onRecordTimer(r *record) {
	switch {
	case r.forgotten || r.holdUntil.IsZero():
	case r.holdUntil.After(m.now):
		m.setRecordTimer(r.holdUntil, r)
	case r.doubted:
		m.note("source %s still does not list %s: the removal is applied", r.source.name, r.endpoint.Name)
		m.removeRecord(r)
	case r.state == Removed:
		m.forgetRecord(r)
	}
}
