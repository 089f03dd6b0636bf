package membership

import (
	"slices"
	"time"
)

// removal is an endpoint that a source has just removed.
type removal struct {
	at     time.Time
	record *record
}

// applyRemovals takes the endpoints that a source lacks now.
//
// Where those are most of what it had within MassRemovalWindow, or all, they are doubted for MassRemovalHold, together with those that
// were removed just before: a registry that has just started, or is cut off from its instances, knows few. A status
// that is listed, such as a drain, is never doubted, and where another source has removed an endpoint too that counts at once.
func (m *Merge) applyRemovals(s *source, removed []*record) {
	s.recentRemovals = slices.DeleteFunc(s.recentRemovals, func(x removal) bool {
		return m.now.Sub(x.at) > m.options.MassRemovalWindow.D() || x.record.forgotten || x.record.state != Removed
	})
	isMass := m.isMassRemoval(s, removed)
	for _, r := range removed {
		switch {
		case r.doubted: // as before
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

// isMassRemoval reports whether removed, with the recent removals and the doubted records, is more than MassRemovalFraction of what the
// source had. The recent removals are doubted then.
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

// doubt keeps a record for MassRemovalHold that its source lacks.
func (m *Merge) doubt(r *record) {
	r.doubted = true
	r.source.doubtedCount++
	r.until = m.now.Add(m.options.MassRemovalHold.D())
	m.dirty[r] = true
	m.setRecordTimer(r.until, r)
}

// endDoubt ends the doubt about a record.
func (m *Merge) endDoubt(r *record) {
	if r.doubted {
		r.source.doubtedCount--
		r.doubted = false
	}
}

// removeRecord takes a record for removed. That outweighs another source's up for RemovalHold.
func (m *Merge) removeRecord(r *record) {
	m.endDoubt(r)
	m.sequence++
	r.sequence = m.sequence
	m.setState(r, Removed)
	r.until = m.now.Add(m.options.RemovalHold.D())
	m.dirty[r] = true
	m.setRecordTimer(r.until, r)
}

// recordDue is the timer of a record that is doubted or removed.
func (m *Merge) recordDue(r *record) {
	switch {
	case r.forgotten || r.until.IsZero():
	case r.until.After(m.now):
		m.setRecordTimer(r.until, r)
	case r.doubted:
		m.note("source %s still lacks %s: believed", r.source.name, r.endpoint.Name)
		m.removeRecord(r)
	case r.state == Removed:
		m.forgetRecord(r)
	}
}
