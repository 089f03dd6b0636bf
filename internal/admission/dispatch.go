package admission

// members returns an entry's flow and group, in this order.
func (e *entry) members() [2]*member { return [2]*member{&e.flow.member, &e.flow.group.member} }

// levelOf returns the level of a member: all groups, or the flows of its group.
func (q *Queue) levelOf(m *member) *level {
	if m.flow == nil {
		return &q.groupLevel
	}
	return &m.group.flowLevel
}

// enqueue adds a request to its flow's queue.
func (q *Queue) enqueue(e *entry) {
	f := e.flow
	f.arriving, f.group.arriving = false, false
	e.state = entryQueued
	if e.reserved {
		e.nextReserved, e.prevReserved = &q.reservedLane, q.reservedLane.prevReserved
		q.reservedLane.prevReserved.nextReserved, q.reservedLane.prevReserved = e, e
	}
	f.insert(e)
	q.queued++
	q.queuedBytes += e.bytes
	for _, m := range e.members() {
		l := q.levelOf(m)
		if !m.active() {
			l.activate(m)
		}
		m.queued++
		m.queuedBytes += e.bytes
		m.backlog += e.estimatedCost
		if m.queued == 1 {
			l.schedulerOf(m).enqueue(m)
		}
		l.byLoad.Set(m, -q.load(m), 0)
	}
	e.timeoutAt = e.latestStart()
	q.timeouts.Set(e, float64(e.timeoutAt), uint64(e.index))
}

// dequeue removes a request from its flow's queue and from the counts of queued requests. Its flow and group keep their
// positions in their schedulers.
func (q *Queue) dequeue(e *entry) {
	q.timeouts.Remove(e)
	e.flow.remove(e)
	if e.reserved {
		e.prevReserved.nextReserved, e.nextReserved.prevReserved = e.nextReserved, e.prevReserved
		e.prevReserved, e.nextReserved = nil, nil
	}
	q.queued--
	q.queuedBytes -= e.bytes
	for _, m := range e.members() {
		l := q.levelOf(m)
		m.queued--
		m.queuedBytes -= e.bytes
		m.backlog -= e.estimatedCost
		if m.queued == 0 {
			m.backlog = 0 // discards the rounding errors of the sum
			l.byLoad.Remove(m)
		} else {
			l.byLoad.Set(m, -q.load(m), 0)
		}
	}
}

// removeQueued removes a queued request that will not be admitted.
func (q *Queue) removeQueued(e *entry) {
	q.dequeue(e)
	for _, m := range e.members() {
		l := q.levelOf(m)
		if m.queued == 0 {
			l.schedulerOf(m).ready.Remove(m)
		}
		q.deactivateIfIdle(l, m)
	}
}

// deactivateIfIdle deactivates a member that has nothing queued or in flight. A member whose finish tag is ahead of
// virtual time is kept as indebted.
func (q *Queue) deactivateIfIdle(l *level, m *member) {
	if m.active() {
		return
	}
	if s := l.schedulerOf(m); s.isAhead(m) && m.indebtedIndex < 0 {
		s.indebted.Set(m, m.finishTag, 0)
	}
	l.deactivate(m)
}

// dispatch admits queued requests up to the concurrency limit.
func (q *Queue) dispatch(actions []Action) []Action {
	for q.queued > 0 && q.inFlight < q.limiter.current() {
		e := q.nextEntry()
		q.dequeue(e)
		for _, m := range e.members() {
			l := q.levelOf(m)
			l.schedulerOf(m).dispatch(m, e.estimatedCost, !q.lastFromReservedLane, m.queued > 0)
			m.inFlight++
		}
		e.state, e.admittedAt = entryAdmitted, q.now
		q.inFlight++
		actions = append(actions, Action{Kind: Admit, Ticket: e.ticket()})
		q.forgetSettled(&e.flow.group.flowLevel)
		q.forgetSettled(&q.groupLevel)
	}
	if q.queued > 0 {
		q.limiter.saturated = true
	}
	return actions
}

// nextEntry returns the request to admit next. It alternates between the reserved lane, which holds the requests that
// came back at their reserved time, and the order of fair queueing. So reservations made before the upstreams slowed
// down cannot block all other requests.
func (q *Queue) nextEntry() *entry {
	if first := q.reservedLane.nextReserved; first != &q.reservedLane && !q.lastFromReservedLane {
		q.lastFromReservedLane = true
		return first
	}
	q.lastFromReservedLane = false
	return q.groupLevel.next().group.flowLevel.next().flow.lists[0].first
}

// forgetSettled removes each indebted member of a level once virtual time has reached the member's finish tag.
func (q *Queue) forgetSettled(l *level) {
	for _, s := range l.schedulers() {
		for s != nil && s.indebted.Len() > 0 && !s.isAhead(s.indebted.First()) {
			m := s.indebted.First()
			s.indebted.Remove(m)
			if m.flow != nil {
				q.forgetFlow(m.flow)
			} else {
				q.forgetGroup(m.group)
			}
		}
	}
}
