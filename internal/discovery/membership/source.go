package membership

import (
	"maps"
	"slices"
	"time"
)

// The list of a source that stays lost is withdrawn in agingSteps steps, each SilentSourceHold/agingSteps after the other and no less than
// minAgingInterval.
const (
	agingSteps       = 10
	minAgingInterval = time.Second
)

// source is one source of lists.
type source struct {
	name           string
	rank           int
	records        map[string]*record // by the endpoint's name
	upCount        int                // records that are up, doubted ones included
	doubtedCount   int                // records that are doubted
	recentRemovals []removal          // within MassRemovalWindow
	leftOut        int                // entries of the last list beyond MaxEntries
	lostAt         time.Time          // zero: it is healthy
	upWhenLost     int                // upCount at lostAt
}

func (s *source) isLost() bool { return !s.lostAt.IsZero() }

// loseSource takes a source for lost.
func (m *Merge) loseSource(s *source) {
	s.lostAt, s.upWhenLost = m.now, s.upCount
	m.note("source %s is lost: what it said last is kept for %v", s.name, m.options.SilentSourceHold.D())
	m.setSourceTimer(m.now.Add(m.options.SilentSourceHold.D()), s)
}

// recoverSource takes a source for healthy again: what was withdrawn since its loss counts again.
func (m *Merge) recoverSource(s *source) {
	if !s.isLost() {
		return
	}
	m.note("source %s is back after %v", s.name, m.now.Sub(s.lostAt).Round(time.Millisecond))
	wasAged := m.isAged(s)
	s.lostAt = time.Time{}
	for _, r := range s.records {
		if r.withdrawn || wasAged {
			r.withdrawn = false
			m.dirty[r] = true
		}
	}
}

// isAged reports whether a source has been lost for so long that it counts only where no other source does.
func (m *Merge) isAged(s *source) bool {
	return s.isLost() && m.now.Sub(s.lostAt) >= m.options.SilentSourceHold.D()
}

// ageSource is the timer of a lost source. Of what only this source lists it withdraws one step, as long as another source is healthy and
// has an endpoint that is up: the merged list is never emptied for want of sources.
func (m *Merge) ageSource(s *source) {
	if m.sourcesByName[s.name] != s || !s.isLost() {
		return
	}
	if agesAt := s.lostAt.Add(m.options.SilentSourceHold.D()); agesAt.After(m.now) { // it recovered, and was lost again
		m.setSourceTimer(agesAt, s)
		return
	}
	hasOther := slices.ContainsFunc(m.sources, func(x *source) bool { return x != s && !x.isLost() && x.upCount > 0 })
	left := 0
	if hasOther {
		left = max(1, (s.upWhenLost+agingSteps-1)/agingSteps)
	}
	if more := m.withdraw(s, left); more || !hasOther {
		m.setSourceTimer(m.now.Add(max(m.options.SilentSourceHold.D()/agingSteps, minAgingInterval)), s)
	}
}

// withdraw withdraws up to count records that only this source has, in the order of the names, and reports whether there are more. Those
// that other sources have too are merged anew, without this source.
func (m *Merge) withdraw(s *source, count int) (more bool) {
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[name]
		switch {
		case r.withdrawn || r.state == Removed:
		case r.upstream != nil && len(r.upstream.records) > 1:
			m.dirty[r] = true
		case count > 0:
			count--
			r.withdrawn = true
			m.dirty[r] = true
			m.note("source %s has been silent for %v: %s, which only it lists, is withdrawn", s.name, m.now.Sub(s.lostAt).Round(time.Second), name)
		default:
			more = true
		}
	}
	return more
}
