package admission

import "orchiddrift/internal/priorityqueue"

// level holds the members that share one capacity: all groups, or the flows of one group.
type level struct {
	weighted      sfqScheduler
	bestEffort    *sfqScheduler // members of weight 0, which get the capacity that others leave; nil until there is such a member
	activeWeight  float64       // sum over active members
	activeMembers int
	byLoad        priorityqueue.Queue[*member] // members with queued requests, the highest load first
}

func newLevel() level {
	return level{
		weighted: newSFQScheduler(),
		byLoad:   priorityqueue.New(func(m *member) *int { return &m.loadIndex }),
	}
}

// schedulerOf returns the scheduler that a member belongs to by its weight.
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

// schedulers returns both schedulers; the second one may be nil.
func (l *level) schedulers() [2]*sfqScheduler { return [2]*sfqScheduler{&l.weighted, l.bestEffort} }

// next returns the member whose request is dispatched next, or nil if nothing is queued.
func (l *level) next() *member {
	switch {
	case l.weighted.ready.Len() > 0:
		return l.weighted.ready.First()
	case l.bestEffort != nil && l.bestEffort.ready.Len() > 0:
		return l.bestEffort.ready.First()
	}
	return nil
}

// capacityShare returns a member's fraction of the level's capacity while all members that are active now remain
// active.
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

// activate counts a member among those that share the capacity.
func (l *level) activate(m *member) {
	l.activeMembers++
	l.activeWeight += m.weight
}

// deactivate removes a member from those that share the capacity. The busy period ends when no member is active
// any more.
func (l *level) deactivate(m *member) {
	l.activeMembers--
	l.activeWeight -= m.weight
	if l.activeMembers > 0 {
		return
	}
	l.activeWeight = 0 // discards the rounding errors of the sum
	l.weighted.endBusyPeriod()
	if l.bestEffort != nil {
		l.bestEffort.endBusyPeriod()
	}
}

// reset prepares a level without members for reuse.
func (l *level) reset() {
	l.weighted.virtualTime, l.weighted.maxFinishTag, l.bestEffort = 0, 0, nil
}

// setWeight changes a member's weight. Its present tags still reflect the old weight; new tags use the new one.
func (l *level) setWeight(m *member, weight float64) {
	if weight == m.weight {
		return
	}
	if m.active() {
		l.activeWeight += weight - m.weight
	}
	before := l.schedulerOf(m)
	ready, indebted := m.readyIndex >= 0, m.indebtedIndex >= 0
	before.ready.Remove(m)
	before.indebted.Remove(m)
	m.weight = weight
	after := l.schedulerOf(m)
	if after != before { // the two schedulers have different virtual times
		m.finishTag = after.virtualTime
		indebted = false
	}
	if ready {
		after.enqueue(m)
	} else if indebted {
		after.indebted.Set(m, m.finishTag, 0)
	}
}
