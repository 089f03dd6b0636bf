package admission

import (
	"orchiddrift/internal/priorityqueue"
)

// level is the members of one parent.
type level struct {
	weighted      sfqScheduler
	bestEffort    *sfqScheduler // of those of weight 0, that get what is left; nil: there was none yet
	activeWeight  float64       // of active members; those of weight 0 count nothing
	activeMembers int
	byLoad        priorityqueue.Queue[*member] // by load, the largest first
}

func newLevel() level {
	return level{weighted: newSFQScheduler(), byLoad: priorityqueue.New(func(m *member) *int { return &m.loadIndex })}
}

func (l *level) schedulerOf(m *member) *sfqScheduler {
	if m.weight > 0 {
		return &l.weighted
	}
	if l.bestEffort == nil {
		s := newSFQScheduler()
		l.bestEffort = &s
	}
	return l.bestEffort
}

// schedulers are what of it there is.
func (l *level) schedulers() [2]*sfqScheduler { return [2]*sfqScheduler{&l.weighted, l.bestEffort} }

// next is the member whose turn it is; nil: nobody waits.
func (l *level) next() *member {
	switch {
	case l.weighted.ready.Len() > 0:
		return l.weighted.ready.First()
	case l.bestEffort != nil && l.bestEffort.ready.Len() > 0:
		return l.bestEffort.ready.First()
	}
	return nil
}

// capacityShare is the part of the level's capacity that is a member's while all that are active now go on.
func (l *level) capacityShare(m *member) float64 {
	if m.weight <= 0 {
		return 0
	}
	total := l.activeWeight
	if !m.active() {
		total += m.weight
	}
	return m.weight / max(total, m.weight)
}

// activate and idle count a member among those that share the capacity.
func (l *level) activate(m *member) {
	l.activeMembers, l.activeWeight = l.activeMembers+1, l.activeWeight+m.weight
}

func (l *level) deactivate(m *member) {
	l.activeMembers, l.activeWeight = l.activeMembers-1, l.activeWeight-m.weight
	if l.activeMembers == 0 {
		l.activeWeight = 0 // sums of fractions drift
		l.weighted.endBusyPeriod()
		if l.bestEffort != nil {
			l.bestEffort.endBusyPeriod()
		}
	}
}

// reset is for a level that nobody is in.
func (l *level) reset() {
	l.weighted.virtualTime, l.weighted.maxFinishTag, l.bestEffort = 0, 0, nil
}

// setWeight gives a member another weight under way. Its tags are of the old one until they are used up.
func (l *level) setWeight(m *member, weight float64) {
	if weight == m.weight {
		return
	}
	if m.active() {
		l.activeWeight += weight - m.weight
	}
	was := l.schedulerOf(m)
	waits, rests := m.readyIndex >= 0, m.indebtedIndex >= 0
	was.ready.Remove(m)
	was.indebted.Remove(m)
	m.weight = weight
	now := l.schedulerOf(m)
	if now != was { // the other's virtual time is another
		m.finishTag = now.virtualTime
		rests = false
	}
	if waits {
		now.enqueue(m)
	} else if rests {
		now.indebted.Set(m, m.finishTag, 0)
	}
}
