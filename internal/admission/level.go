package admission

import (
	"orchiddrift/internal/priorityqueue"
)

// level is the members of one parent.
type level struct {
	fair    sfq
	free    *sfq    // of those of weight 0, that get what is left; nil: there was none yet
	weights float64 // of active members; those of weight 0 count nothing
	actives int
	most    priorityqueue.Queue[*member] // by load, the largest first
}

func newLevel() level {
	return level{fair: newSFQ(), most: priorityqueue.New(func(m *member) *int { return &m.most })}
}

func (l *level) of(m *member) *sfq {
	if m.weight > 0 {
		return &l.fair
	}
	if l.free == nil {
		s := newSFQ()
		l.free = &s
	}
	return l.free
}

// halves are what of it there is.
func (l *level) halves() [2]*sfq { return [2]*sfq{&l.fair, l.free} }

// next is the member whose turn it is; nil: nobody waits.
func (l *level) next() *member {
	switch {
	case l.fair.ready.Len() > 0:
		return l.fair.ready.First()
	case l.free != nil && l.free.ready.Len() > 0:
		return l.free.ready.First()
	}
	return nil
}

// rate is the part of the level's capacity that is a member's while all that are active now go on.
func (l *level) rate(m *member) float64 {
	if m.weight <= 0 {
		return 0
	}
	total := l.weights
	if !m.active() {
		total += m.weight
	}
	return m.weight / max(total, m.weight)
}

// activate and idle count a member among those that share the capacity.
func (l *level) activate(m *member) { l.actives, l.weights = l.actives+1, l.weights+m.weight }

func (l *level) idle(m *member) {
	l.actives, l.weights = l.actives-1, l.weights-m.weight
	if l.actives == 0 {
		l.weights = 0 // sums of fractions drift
		l.fair.calm()
		if l.free != nil {
			l.free.calm()
		}
	}
}

// reset is for a level that nobody is in.
func (l *level) reset() {
	l.fair.v, l.fair.last, l.free = 0, 0, nil
}

// reweigh gives a member another weight under way. Its tags are of the old one until they are used up.
func (l *level) reweigh(m *member, weight float64) {
	if weight == m.weight {
		return
	}
	if m.active() {
		l.weights += weight - m.weight
	}
	was := l.of(m)
	waits, rests := m.ready >= 0, m.rest >= 0
	was.ready.Remove(m)
	was.resting.Remove(m)
	m.weight = weight
	now := l.of(m)
	if now != was { // the other's virtual time is another
		m.finish = now.v
		rests = false
	}
	if waits {
		now.wake(m)
	} else if rests {
		now.resting.Set(m, m.finish, 0)
	}
}
