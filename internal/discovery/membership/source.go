package membership

import (
	"maps"
	"slices"
	"time"
)

// The list of a source that stays lost is withdrawn in agingSteps steps. The time between two steps is SilentSourceHold/agingSteps, and
// at least minAgingInterval.
const (
	agingSteps       = 10
	minAgingInterval = time.Second
)

// source is one source of endpoint lists.
type source struct {
	name           string
	rank           int
	records        map[string]*record // by endpoint name
	upCount        int                // records that are up, including doubted ones
	doubtedCount   int                // records that are doubted
	recentRemovals []removal          // removals within MassRemovalWindow
	leftOut        int                // entries of the last list that exceeded MaxEntries
	lostAt         time.Time          // zero: the source is healthy
	upWhenLost     int                // upCount at lostAt
}

func (s *source) isLost() bool { return !s.lostAt.IsZero() }

// loseSource marks a source as lost.
func (m *Merge) loseSource(s *source) {
	s.lostAt, s.upWhenLost = m.now, s.upCount
	m.note("source %s is lost: its last list stays in force for %v", s.name, m.options.SilentSourceHold.D())
	m.setSourceTimer(m.now.Add(m.options.SilentSourceHold.D()), s)
}

// recoverSource marks a source as healthy again. Records that were withdrawn since its loss count again.
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

// isAged reports whether a source has been lost for SilentSourceHold. Its reports then count only if no other source reports the
// upstream.
func (m *Merge) isAged(s *source) bool {
	return s.isLost() && m.now.Sub(s.lostAt) >= m.options.SilentSourceHold.D()
}

// onSourceTimer handles the timer of a lost source. It withdraws the next step of the endpoints that only this source lists, provided
// that another source is healthy and has an endpoint that is up. So the loss of sources alone never empties the merged list.
func (m *Merge) onSourceTimer(s *source) {
	if m.sourcesByName[s.name] != s || !s.isLost() {
		return
	}
	if agesAt := s.lostAt.Add(m.options.SilentSourceHold.D()); agesAt.After(m.now) { // the source recovered and was lost again
		m.setSourceTimer(agesAt, s)
		return
	}
	hasOther := slices.ContainsFunc(m.sources, func(x *source) bool { return x != s && !x.isLost() && x.upCount > 0 })
	toWithdraw := 0
	if hasOther {
		toWithdraw = max(1, (s.upWhenLost+agingSteps-1)/agingSteps)
	}
	if more := m.withdraw(s, toWithdraw); more || !hasOther {
		m.setSourceTimer(m.now.Add(max(m.options.SilentSourceHold.D()/agingSteps, minAgingInterval)), s)
	}
}

// withdraw withdraws up to count records of endpoints that only this source lists, in the order of the names, and reports whether more
// are left. Records that other sources have too are merged again, now that this source is aged.
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
