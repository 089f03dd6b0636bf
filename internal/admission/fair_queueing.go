package admission

import (
	"orchiddrift/internal/priorityqueue"
)

// member is one of those between whom a level is fair: a group among groups, or a flow among those of its group. Times
// are virtual: cost (seconds of a place) divided by weight.
type member struct {
	weight        float64 // 0: gets only what the others leave
	start, finish float64 // of what it sends next, and of what it sent last
	order         uint64  // among equal starts, who has waited for longest goes first
	ready, rest   int     // places in the heaps of its level; -1: not in it
	most          int     // place among those that hold most; -1: holds nothing
	waiting       int
	passed        int // in hand beyond the door
	bytes         int64
	queued        float64 // cost of what waits
	coming        bool    // a request of it is being decided on: it is not forgotten
	group         *group
	flow          *flow // nil: the member is the group itself
}

func (m *member) active() bool { return m.waiting+m.passed > 0 }

// share is the weight to divide by: members without one are equal among themselves.
func (m *member) share() float64 {
	if m.weight > 0 {
		return m.weight
	}
	return 1
}

// sfq is start-time fair queueing over several places, SFQ(D): P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing"
// (SIGCOMM 1996); W. Jin, J. Chase, J. Kaur, "Interposed Proportional Sharing for a Storage Service Utility"
// (SIGMETRICS 2004) for the D places. A member that begins to wait gets the start max(v, finish), the least start goes
// next, v is the start that went last. What a request took in the end is known only when it has: the difference to what
// was charged moves the member's tags then, so that over time shares are of what was really taken.
type sfq struct {
	v, last float64 // virtual time, and the largest finish so far
	ready   priorityqueue.Queue[*member]
	resting priorityqueue.Queue[*member] // have nothing waiting and a finish above v: they are not forgotten before v gets there
	order   uint64
}

func newSFQ() sfq {
	return sfq{ready: priorityqueue.New(func(m *member) *int { return &m.ready }),
		resting: priorityqueue.New(func(m *member) *int { return &m.rest })}
}

// wake has a member wait: it had nothing waiting before.
func (s *sfq) wake(m *member) {
	s.resting.Remove(m)
	s.order++
	m.start, m.order = max(s.v, m.finish), s.order
	s.ready.Set(m, m.start, m.order)
}

// charge is for one request of a waiting member that goes, by turn or out of it: v moves with turns only. more says that
// others of it wait.
func (s *sfq) charge(m *member, cost float64, turn, more bool) {
	if turn {
		s.v = max(s.v, m.start)
	}
	m.finish = m.start + cost/m.share()
	s.last = max(s.last, m.finish)
	if !more {
		s.ready.Remove(m)
		return
	}
	s.order++
	m.start, m.order = m.finish, s.order
	s.ready.Set(m, m.start, m.order)
}

// settle corrects what a member was charged.
func (s *sfq) settle(m *member, by float64) {
	follows := m.start == m.finish
	m.finish += by / m.share()
	s.last = max(s.last, m.finish)
	if m.rest >= 0 {
		s.resting.Set(m, m.finish, 0)
	}
	if m.ready < 0 {
		return
	}
	if follows {
		m.start = m.finish
	} else {
		m.start = max(m.start, m.finish)
	}
	s.ready.Set(m, m.start, m.order)
}

// owes tells whether a member had more than it is due up to now.
func (s *sfq) owes(m *member) bool { return m.finish > s.v }

// calm is for the moment at which no member has anything waiting or in hand: nobody owes anything any more.
func (s *sfq) calm() { s.v = max(s.v, s.last) }
