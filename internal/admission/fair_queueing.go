package admission

import (
	"orchiddrift/internal/priorityqueue"
)

// member is one of those between whom a level is fair: a group among groups, or a flow among those of its group. Times
// are virtual: cost (seconds of a place) divided by weight.
type member struct {
	weight                    float64 // 0: gets only what the others leave
	startTag, finishTag       float64 // of what it sends next, and of what it sent last
	readyOrder                uint64  // among equal starts, who has waited for longest goes first
	readyIndex, indebtedIndex int     // places in the heaps of its level; -1: not in it
	loadIndex                 int     // place among those that hold most; -1: holds nothing
	queued                    int
	inFlight                  int // in hand beyond the door
	queuedBytes               int64
	backlog                   float64 // cost of what waits
	arriving                  bool    // a request of it is being decided on: it is not forgotten
	group                     *group
	flow                      *flow // nil: the member is the group itself
}

func (m *member) active() bool { return m.queued+m.inFlight > 0 }

// effectiveWeight is the weight to divide by: members without one are equal among themselves.
func (m *member) effectiveWeight() float64 {
	if m.weight > 0 {
		return m.weight
	}
	return 1
}

// sfqScheduler is start-time fair queueing over several places, SFQ(D): P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing"
// (SIGCOMM 1996); W. Jin, J. Chase, J. Kaur, "Interposed Proportional Sharing for a Storage Service Utility"
// (SIGMETRICS 2004) for the D places. A member that begins to wait gets the start max(v, finish), the least start goes
// next, v is the start that went last. What a request took in the end is known only when it has: the difference to what
// was charged moves the member's tags then, so that over time shares are of what was really taken.
type sfqScheduler struct {
	virtualTime, maxFinishTag float64 // virtual time, and the largest finish so far
	ready                     priorityqueue.Queue[*member]
	indebted                  priorityqueue.Queue[*member] // have nothing waiting and a finish above v: they are not forgotten before v gets there
	nextOrder                 uint64
}

func newSFQScheduler() sfqScheduler {
	return sfqScheduler{ready: priorityqueue.New(func(m *member) *int { return &m.readyIndex }),
		indebted: priorityqueue.New(func(m *member) *int { return &m.indebtedIndex })}
}

// enqueue has a member wait: it had nothing waiting before.
func (s *sfqScheduler) enqueue(m *member) {
	s.indebted.Remove(m)
	s.nextOrder++
	m.startTag, m.readyOrder = max(s.virtualTime, m.finishTag), s.nextOrder
	s.ready.Set(m, m.startTag, m.readyOrder)
}

// dispatch is for one request of a waiting member that goes, by turn or out of it: v moves with turns only. more says that
// others of it wait.
func (s *sfqScheduler) dispatch(m *member, cost float64, turn, more bool) {
	if turn {
		s.virtualTime = max(s.virtualTime, m.startTag)
	}
	m.finishTag = m.startTag + cost/m.effectiveWeight()
	s.maxFinishTag = max(s.maxFinishTag, m.finishTag)
	if !more {
		s.ready.Remove(m)
		return
	}
	s.nextOrder++
	m.startTag, m.readyOrder = m.finishTag, s.nextOrder
	s.ready.Set(m, m.startTag, m.readyOrder)
}

// correctCost corrects what a member was charged.
func (s *sfqScheduler) correctCost(m *member, by float64) {
	follows := m.startTag == m.finishTag
	m.finishTag += by / m.effectiveWeight()
	s.maxFinishTag = max(s.maxFinishTag, m.finishTag)
	if m.indebtedIndex >= 0 {
		s.indebted.Set(m, m.finishTag, 0)
	}
	if m.readyIndex < 0 {
		return
	}
	if follows {
		m.startTag = m.finishTag
	} else {
		m.startTag = max(m.startTag, m.finishTag)
	}
	s.ready.Set(m, m.startTag, m.readyOrder)
}

// isAhead tells whether a member had more than it is due up to now.
func (s *sfqScheduler) isAhead(m *member) bool { return m.finishTag > s.virtualTime }

// endBusyPeriod is for the moment at which no member has anything waiting or in hand: nobody owes anything any more.
func (s *sfqScheduler) endBusyPeriod() { s.virtualTime = max(s.virtualTime, s.maxFinishTag) }
