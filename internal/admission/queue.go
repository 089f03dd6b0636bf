package admission

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/priorityqueue"
)

// Queue is the state machine. See the package's comment.
type Queue struct {
	options      Options
	weights      map[string]float64
	classes      map[string]*classStats
	defaultClass *classStats // of requests of no known class
	now          time.Duration
	seed         uint64
	rng          *rand.Rand

	groupLevel      level
	groups          map[string]*group
	knownPrincipals int // groups and flows beside the shared ones
	limiter         limiter
	inFlight        int
	retryBudget     retryBudget
	meanCost        float64 // mean cost of all requests, s

	entries      []*entry
	freeEntries  []uint32
	queued       int
	queuedBytes  int64
	timeouts     priorityqueue.Queue[*entry]
	reservedLane entry // of those who came when told: a ring by next and prev, lane itself its root
	lastFromLane bool  // the last one went by the lane

	calendar            calendar
	reservations        int
	reservationExpiries priorityqueue.Queue[*flow]
	spareGroups         []*group
	spareFlows          []*flow
}

type entryState int8

const (
	entryFree entryState = iota
	entryQueued
	entryAdmitted
)

// entry is a request between its arrival and its end.
type entry struct {
	index, generation uint32
	state             entryState
	reserved          bool // it came when told
	pastObjective     bool // its aim has passed while it waited
	costHint          time.Duration
	flow              *flow
	class             *classStats
	priorityWeight    float64
	estimatedCost     float64
	arrivedAt         time.Duration
	admittedAt        time.Duration
	objectiveAt       time.Duration
	deadline          time.Duration
	timeoutAt         time.Duration // when to look at it again
	bytes             int64
	fingerprint       uint64
	prev, next        *entry // in its run
	prevReserved      *entry // in the lane
	nextReserved      *entry
	timeoutIndex      int // in dues
}

func (e *entry) ticket() Ticket { return Ticket(e.generation)<<32 | Ticket(e.index) }

// New returns a Door for a service's classes. The options have passed Options.Check.
func New(o Options, classes []balancer.Class, seed uint64) *Queue {
	q := &Queue{options: o, weights: o.weightsByName(), classes: map[string]*classStats{}, seed: seed,
		rng: rand.New(rand.NewPCG(seed, 0x646f6f72)), groups: map[string]*group{}, limiter: newLimiter(o.MinLimit, o.MaxLimit),
		retryBudget: retryBudget{tokens: totalRetryBurst, capacity: totalRetryBurst}, meanCost: initialCost, defaultClass: &classStats{meanCost: initialCost}}
	for _, c := range classes {
		k := &classStats{Class: c, meanCost: initialCost}
		if k.PriorityWeight == 0 {
			k.PriorityWeight = 1
		}
		if k.LatencyObjective == 0 {
			k.LatencyObjective = k.Deadline
		}
		q.classes[c.Name] = k
	}
	q.groupLevel = newLevel()
	q.timeouts = priorityqueue.New(func(e *entry) *int { return &e.timeoutIndex })
	q.reservationExpiries = priorityqueue.New(func(f *flow) *int { return &f.expiryIndex })
	q.reservedLane.prevReserved, q.reservedLane.nextReserved = &q.reservedLane, &q.reservedLane
	q.calendar = newCalendar(o.maxRetryAfter(), q.rng)
	return q
}

// Configure changes the options under way: weights count for what goes from now on, lower bounds turn nobody away who
// waits already.
func (q *Queue) Configure(now time.Duration, o Options) {
	q.advanceClock(now)
	if o.maxRetryAfter() != q.options.maxRetryAfter() {
		q.calendar = newCalendar(o.maxRetryAfter(), q.rng)
	}
	q.options, q.weights = o, o.weightsByName()
	q.limiter.min, q.limiter.max = float64(o.MinLimit), float64(o.MaxLimit)
	q.limiter.setLimit(q.limiter.limit)
	for _, g := range q.groups {
		q.groupLevel.setWeight(&g.member, q.groupWeight(g))
		q.updateLoads(g)
		q.forgetGroup(g)
	}
}

func (q *Queue) groupWeight(g *group) float64 {
	if w, named := q.weights[g.name]; named && !g.overflow {
		return w
	}
	return q.options.DefaultWeight
}

// advanceClock takes the time in. A clock that stands is taken as it is, one that goes back as standing.
func (q *Queue) advanceClock(now time.Duration) { q.now = max(q.now, now) }

// Arrive brings a request. Its own fate, now or later, comes as an action of the returned Ticket, like that of whoever
// else it touches.
func (q *Queue) Arrive(now time.Duration, a Arrival, acts []Action) (Ticket, []Action) {
	acts = q.advance(now, acts)
	c := q.classes[a.Class]
	if c == nil {
		c = q.defaultClass
	}
	c.observeHint(a.CostHint)
	f := q.flowFor(a.Group, a.Flow)
	g := f.group
	f.arriving, g.arriving = true, true // who gives way to it may be the last of its own group
	e := q.newEntry()
	e.flow, e.class, e.costHint, e.arrivedAt, e.bytes = f, c, a.CostHint, q.now, a.Bytes
	e.fingerprint = a.Fingerprint
	e.objectiveAt, e.deadline = a.ArrivedAt+c.LatencyObjective+time.Duration(c.ObjectiveStretch*float64(a.CostHint)), a.Deadline
	if c.LatencyObjective <= 0 {
		e.objectiveAt = a.Deadline
	}
	e.estimatedCost = c.estimateCost(a.CostHint, g.hintAccuracy)
	e.priorityWeight = c.PriorityWeight
	e.pastObjective = q.now >= e.objectiveAt
	if e.pastObjective {
		e.priorityWeight *= c.LateValueFraction
	}

	if q.redeemReservation(f, a.Fingerprint) {
		e.reserved = true
	} else if why, ok := q.mayWait(e, a.Retry); !ok {
		return e.ticket(), q.reject(e, why, acts)
	}
	if full := q.queued >= q.options.MaxQueued || q.queuedBytes+e.bytes > int64(q.options.MaxQueuedBytes); full && (q.queued > 0 || q.inFlight >= q.limiter.current()) {
		victim := q.selectVictim(e)
		if victim == e {
			return e.ticket(), q.reject(e, QueueFull, acts)
		}
		q.removeQueued(victim)
		acts = q.reject(victim, QueueFull, acts)
		for q.queuedBytes+e.bytes > int64(q.options.MaxQueuedBytes) && q.queued > 0 {
			if victim = q.selectVictim(e); victim == e {
				return e.ticket(), q.reject(e, QueueFull, acts)
			}
			q.removeQueued(victim)
			acts = q.reject(victim, QueueFull, acts)
		}
	}
	q.enqueue(e)
	return e.ticket(), q.dispatch(acts)
}

// mayWait tells whether a request may wait, or why not.
func (q *Queue) mayWait(e *entry, repeat bool) (Reason, bool) {
	g := e.flow.group
	crowded := q.queued > 0 || q.inFlight >= q.limiter.current()
	if !repeat {
		g.retryBudget.deposit(q.options.RetryRatio)
		q.retryBudget.deposit(q.options.RetryRatio)
	}
	if !crowded {
		return 0, true
	}
	if repeat && !(g.retryBudget.available() && q.retryBudget.available()) {
		return RetryBudgetExhausted, false
	}
	if e.class.LateValueFraction <= 0 && e.pastObjective || q.now >= e.deadline {
		return WaitTooLong, false
	}
	// Of weight 0: it waits for what is left, as long as it may.
	if rate := q.serviceRate(e.flow); rate > 0 {
		begin := q.now + time.Duration(min(q.costAhead(e.flow)/rate, 3600)*float64(time.Second))
		last := e.objectiveAt
		if e.pastObjective {
			last = e.deadline
		}
		if begin+e.class.costBound() > last && (e.pastObjective || q.costAhead(e.flow) > 0) {
			return WaitTooLong, false
		}
	}
	if repeat {
		g.retryBudget.withdraw()
		q.retryBudget.withdraw()
	}
	return 0, true
}

// enqueue has e wait.
func (q *Queue) enqueue(e *entry) {
	f, g := e.flow, e.flow.group
	f.arriving, g.arriving = false, false
	e.state = entryQueued
	if e.reserved {
		e.nextReserved, e.prevReserved = &q.reservedLane, q.reservedLane.prevReserved
		q.reservedLane.prevReserved.nextReserved, q.reservedLane.prevReserved = e, e
	}
	f.push(e)
	q.queued++
	q.queuedBytes += e.bytes
	for _, m := range [2]*member{&f.member, &g.member} {
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

// latestStart is when a request that waits is to be looked at: when it would miss its aim, and then its end.
func (e *entry) latestStart() time.Duration {
	if e.pastObjective {
		return e.deadline - min(e.expectedServiceTime(), (e.deadline-e.arrivedAt)/2)
	}
	return min(e.objectiveAt-min(e.expectedServiceTime(), (e.objectiveAt-e.arrivedAt)/2), e.deadline)
}

func (q *Queue) levelOf(m *member) *level {
	if m.flow == nil {
		return &q.groupLevel
	}
	return &m.group.flowLevel
}

// dequeue takes a waiting request out of all that counts waiting ones but the ready heaps.
func (q *Queue) dequeue(e *entry) {
	f, g := e.flow, e.flow.group
	q.timeouts.Remove(e)
	f.remove(e)
	if e.reserved {
		e.prevReserved.nextReserved, e.nextReserved.prevReserved = e.nextReserved, e.prevReserved
		e.prevReserved, e.nextReserved = nil, nil
	}
	q.queued--
	q.queuedBytes -= e.bytes
	for _, m := range [2]*member{&f.member, &g.member} {
		l := q.levelOf(m)
		m.queued--
		m.queuedBytes -= e.bytes
		if m.backlog -= e.estimatedCost; m.queued == 0 {
			m.backlog = 0
			l.byLoad.Remove(m)
		} else {
			l.byLoad.Set(m, -q.load(m), 0)
		}
	}
}

// removeQueued takes a waiting request out that does not go on.
func (q *Queue) removeQueued(e *entry) {
	q.dequeue(e)
	for _, m := range [2]*member{&e.flow.member, &e.flow.group.member} {
		l := q.levelOf(m)
		if m.queued == 0 {
			l.schedulerOf(m).ready.Remove(m)
		}
		q.deactivateIfIdle(l, m)
	}
}

// deactivateIfIdle is for a member of which something has ended.
func (q *Queue) deactivateIfIdle(l *level, m *member) {
	if m.active() {
		return
	}
	if s := l.schedulerOf(m); s.isAhead(m) && m.indebtedIndex < 0 {
		s.indebted.Set(m, m.finishTag, 0)
	}
	l.deactivate(m)
}

// reject words a refusal, and forgets the request.
func (q *Queue) reject(e *entry, why Reason, acts []Action) []Action {
	in, kept := q.reserve(e)
	acts = append(acts, Action{Kind: Reject, Ticket: e.ticket(), RetryAfter: in, Reserved: kept, Reason: why})
	q.releaseEntry(e)
	return acts
}

// releaseEntry gives a request's entry back.
func (q *Queue) releaseEntry(e *entry) {
	f := e.flow
	if e.state == entryFree { // it never waited
		f.arriving, f.group.arriving = false, false
	}
	e.state, e.flow, e.class = entryFree, nil, nil
	e.generation++
	q.freeEntries = append(q.freeEntries, e.index)
	q.forgetFlow(f)
}

// newEntry is an unused one.
func (q *Queue) newEntry() *entry {
	if n := len(q.freeEntries); n > 0 {
		e := q.entries[q.freeEntries[n-1]]
		q.freeEntries = q.freeEntries[:n-1]
		*e = entry{index: e.index, generation: e.generation, timeoutIndex: -1}
		return e
	}
	e := &entry{index: uint32(len(q.entries)), generation: 1, timeoutIndex: -1}
	q.entries = append(q.entries, e)
	return e
}

// dispatch lets on who may.
func (q *Queue) dispatch(acts []Action) []Action {
	for q.queued > 0 && q.inFlight < q.limiter.current() {
		e := q.nextEntry()
		q.dequeue(e)
		f, g := e.flow, e.flow.group
		for _, m := range [2]*member{&f.member, &g.member} {
			l := q.levelOf(m)
			l.schedulerOf(m).dispatch(m, e.estimatedCost, !q.lastFromLane, m.queued > 0)
			m.inFlight++
		}
		e.state, e.admittedAt = entryAdmitted, q.now
		q.inFlight++
		acts = append(acts, Action{Kind: Admit, Ticket: e.ticket()})
		q.forgetSettled(&g.flowLevel)
		q.forgetSettled(&q.groupLevel)
	}
	if q.queued > 0 {
		q.limiter.saturated = true
	}
	return acts
}

// nextEntry is who goes next: by turns those who came when told, and those whose turn it is by virtual time.
func (q *Queue) nextEntry() *entry {
	if first := q.reservedLane.nextReserved; first != &q.reservedLane && !q.lastFromLane {
		q.lastFromLane = true
		return first
	}
	q.lastFromLane = false
	return q.groupLevel.next().group.flowLevel.next().flow.lists[0].first
}

// forgetSettled forgets those members of a level whose debts are paid by now.
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

// Cancel takes out a request whose client has left while it waited. For any other it does nothing.
func (q *Queue) Cancel(now time.Duration, t Ticket, acts []Action) []Action {
	q.advanceClock(now)
	if e := q.lookup(t, entryQueued); e != nil {
		q.removeQueued(e)
		q.releaseEntry(e)
	}
	return q.dispatch(q.advance(now, acts))
}

// Done ends a request that went on.
func (q *Queue) Done(now time.Duration, t Ticket, how Outcome, acts []Action) []Action {
	acts = q.advance(now, acts)
	e := q.lookup(t, entryAdmitted)
	if e == nil {
		return acts
	}
	f, g, c := e.flow, e.flow.group, e.class
	took := max(minCost, (q.now - e.admittedAt).Seconds())
	q.inFlight--
	for _, m := range [2]*member{&f.member, &g.member} {
		l := q.levelOf(m)
		l.schedulerOf(m).correctCost(m, took-e.estimatedCost)
		m.inFlight--
		q.deactivateIfIdle(l, m)
	}
	if how == Completed {
		g.hintAccuracy = c.updateHintAccuracy(g.hintAccuracy, e.costHint, took)
		c.observeCost(took)
		q.meanCost += (took - q.meanCost) * costSmoothing
	}
	if how != ClientGone {
		q.limiter.observe(q.now, c, took, q.inFlight+1, how == RejectedByBalancer)
	}
	q.releaseEntry(e)
	q.forgetSettled(&q.groupLevel)
	return q.dispatch(acts)
}

// Wake does what is due.
func (q *Queue) Wake(now time.Duration, acts []Action) []Action {
	return q.dispatch(q.advance(now, acts))
}

// Next is when Wake is to be called at the latest; false: there is no need.
func (q *Queue) Next() (time.Duration, bool) {
	if q.timeouts.Len() == 0 {
		return 0, false
	}
	return q.timeouts.First().timeoutAt, true
}

// advance has time pass: who can't be answered in time any more is turned away at once.
func (q *Queue) advance(now time.Duration, acts []Action) []Action {
	q.advanceClock(now)
	for q.timeouts.Len() > 0 && q.timeouts.First().timeoutAt <= q.now {
		e := q.timeouts.First()
		if !e.pastObjective && e.class.LateValueFraction > 0 && e.deadline > e.objectiveAt {
			e.flow.remove(e)
			e.pastObjective = true
			e.priorityWeight *= e.class.LateValueFraction
			e.flow.push(e)
			if e.timeoutAt = e.latestStart(); e.timeoutAt > q.now {
				q.timeouts.Set(e, float64(e.timeoutAt), uint64(e.index))
				continue
			}
		}
		q.removeQueued(e)
		acts = q.reject(e, QueueTimeout, acts)
	}
	q.expireReservations()
	return acts
}

// lookup is the request of a ticket, if it is in that state.
func (q *Queue) lookup(t Ticket, s entryState) *entry {
	i := int(uint32(t))
	if i >= len(q.entries) {
		return nil
	}
	if e := q.entries[i]; e.generation == uint32(t>>32) && e.state == s {
		return e
	}
	return nil
}

// Stats is what the door holds now.
type Stats struct {
	Queued, InFlight, Limit  int
	QueuedBytes              int64
	Principals, Reservations int
}

// Stats shows what the door holds.
func (q *Queue) Stats() Stats {
	return Stats{Queued: q.queued, InFlight: q.inFlight, Limit: q.limiter.current(), QueuedBytes: q.queuedBytes, Principals: q.knownPrincipals, Reservations: q.reservations}
}
