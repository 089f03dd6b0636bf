package admission

import "orchiddrift/internal/priorityqueue"

// member takes part in the fair queueing of one level: a group among all groups, or a flow among the flows of its
// group. Tags are in virtual time, which is cost (seconds in flight) divided by weight.
type member struct {
	weight     float64 // 0 for a best-effort member
	startTag   float64 // of its next request
	finishTag  float64 // of the request that it dispatched last
	readyOrder uint64  // orders equal start tags: the member that has waited longest goes first

	readyIndex    int // in sfqScheduler.ready; -1 if nothing is queued
	indebtedIndex int // in sfqScheduler.indebted; -1 if the member is not in it
	loadIndex     int // in level.byLoad; -1 if nothing is queued

	queued      int
	inFlight    int
	queuedBytes int64
	backlog     float64 // estimated cost of its queued requests, s
	arriving    bool    // Arrive is deciding on a request of this member, which must not be forgotten

	group *group
	flow  *flow // nil if the member is the group itself
}

func newMember(g *group, f *flow, weight float64) member {
	return member{weight: weight, readyIndex: -1, indebtedIndex: -1, loadIndex: -1, group: g, flow: f}
}

// active reports whether a member has a request queued or in flight.
func (m *member) active() bool { return m.queued+m.inFlight > 0 }

// effectiveWeight returns the weight that costs are divided by. It is the same for all best-effort members.
func (m *member) effectiveWeight() float64 {
	if m.weight > 0 {
		return m.weight
	}
	return 1
}

// sfqScheduler is start-time fair queueing with several requests in flight, SFQ(D): P. Goyal, H. Vin, H. Cheng,
// "Start-time Fair Queuing" (SIGCOMM 1996); W. Jin, J. Chase, J. Kaur, "Interposed Proportional Sharing for a Storage
// Service Utility" (SIGMETRICS 2004) for the depth D, here the concurrency limit.
//
// A member that had nothing queued gets the start tag max(virtual time, its finish tag). The member with the smallest
// start tag is dispatched next, and virtual time is the start tag of the last dispatch. A request's cost is known only
// when it has ended. Its difference from the estimate moves the member's tags then, so that over time the members get
// their shares of the actual cost.
type sfqScheduler struct {
	virtualTime  float64
	maxFinishTag float64
	ready        priorityqueue.Queue[*member] // members with queued requests, by start tag
	indebted     priorityqueue.Queue[*member] // idle members, by finish tag; they are not forgotten until virtual time catches up
	nextOrder    uint64
}

func newSFQScheduler() sfqScheduler {
	return sfqScheduler{
		ready:    priorityqueue.New(func(m *member) *int { return &m.readyIndex }),
		indebted: priorityqueue.New(func(m *member) *int { return &m.indebtedIndex }),
	}
}

// enqueue adds a member that had nothing queued.
func (s *sfqScheduler) enqueue(m *member) {
	s.indebted.Remove(m)
	s.setReady(m, max(s.virtualTime, m.finishTag))
}

// setReady gives a member a start tag and its position after members of the same tag.
func (s *sfqScheduler) setReady(m *member, startTag float64) {
	s.nextOrder++
	m.startTag, m.readyOrder = startTag, s.nextOrder
	s.ready.Set(m, m.startTag, m.readyOrder)
}

// dispatch charges a member for a request of the given estimated cost. inOrder reports that the request was selected by
// the member's start tag, which moves virtual time, and not from the reserved lane. moreQueued reports that the member
// has further queued requests.
func (s *sfqScheduler) dispatch(m *member, cost float64, inOrder, moreQueued bool) {
	if inOrder {
		s.virtualTime = max(s.virtualTime, m.startTag)
	}
	m.finishTag = m.startTag + cost/m.effectiveWeight()
	s.maxFinishTag = max(s.maxFinishTag, m.finishTag)
	if !moreQueued {
		s.ready.Remove(m)
		return
	}
	s.setReady(m, m.finishTag)
}

// correctCost charges a member for the difference between a request's actual and estimated cost.
func (s *sfqScheduler) correctCost(m *member, difference float64) {
	backToBack := m.startTag == m.finishTag // the next request starts where the last one finishes
	m.finishTag += difference / m.effectiveWeight()
	s.maxFinishTag = max(s.maxFinishTag, m.finishTag)
	if m.indebtedIndex >= 0 {
		s.indebted.Set(m, m.finishTag, 0)
	}
	if m.readyIndex < 0 {
		return
	}
	if backToBack {
		m.startTag = m.finishTag
	} else {
		m.startTag = max(m.startTag, m.finishTag)
	}
	s.ready.Set(m, m.startTag, m.readyOrder)
}

// isAhead reports whether a member has been served more than its share up to virtual time.
func (s *sfqScheduler) isAhead(m *member) bool { return m.finishTag > s.virtualTime }

// endBusyPeriod moves virtual time to the largest finish tag when no member is active, so that no member is ahead of
// it.
func (s *sfqScheduler) endBusyPeriod() { s.virtualTime = max(s.virtualTime, s.maxFinishTag) }
