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
	rank           int                // index in Merge.sources
	records        map[string]*record // by endpoint name
	upCount        int                // number of records that are up, including doubted records
	doubtedCount   int                // number of doubted records
	recentRemovals []removal          // removals within MassRemovalWindow
	leftOut        int                // number of entries of the last list beyond MaxEntries
	lostAt         time.Time          // when the source was lost; zero while it is healthy
	upWhenLost     int                // value of upCount at lostAt
}

func (s *source) isLost() bool { return !s.lostAt.IsZero() }

// loseSource marks a source as lost.
func (m *Merge) loseSource(s *source) {
	s.lostAt, s.upWhenLost = m.now, s.upCount
	m.note("source %s is lost: its last list stays in force for %v", s.name, m.options.SilentSourceHold.D())
	m.setSourceTimer(m.now.Add(m.options.SilentSourceHold.D()), s)
}

// recoverSource marks a source as healthy again. Its records that were withdrawn since its loss count again.
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

// isAged reports whether a source has been lost for SilentSourceHold or longer. A report of an aged source counts only if no other source
// reports the upstream.
func (m *Merge) isAged(s *source) bool {
	return s.isLost() && m.now.Sub(s.lostAt) >= m.options.SilentSourceHold.D()
}

// onSourceTimer handles the timer of a lost source. It withdraws the next endpoints that only this source lists, about one agingSteps-th
// of the list at a time. It withdraws none unless another source is healthy and reports an endpoint as up, so that the loss of sources
// alone never empties the merged list.
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

// withdraw withdraws up to count records of endpoints that only this source lists, in the order of the names, and reports whether more of
// these records are left. Endpoints that other sources list too are merged again, since the state of an aged source counts less.
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
