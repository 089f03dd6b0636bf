package admission

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/priorityqueue"
)

// Queue is the state machine of the package comment. Make one with New.
type Queue struct {
	options      Options
	weights      map[string]float64 // of Options.Weights, by principal
	classes      map[string]*classStats
	defaultClass *classStats // of requests of an unknown class
	now          time.Duration
	seed         uint64
	rng          *rand.Rand

	groupLevel      level
	groups          map[string]*group
	knownPrincipals int // groups and flows, without overflow groups and shared flows
	limiter         limiter
	inFlight        int
	retryBudget     retryBudget // of all groups together
	meanCost        float64     // of all requests, s

	entries      []*entry // by index
	freeEntries  []uint32
	queued       int
	queuedBytes  int64
	timeouts     priorityqueue.Queue[*entry] // queued requests by timeoutAt
	reservedLane entry                       // root of the ring of queued requests that came back at their reserved time
	lastFromLane bool                        // the last request was dispatched from the reserved lane

	calendar            calendar
	reservations        int
	reservationExpiries priorityqueue.Queue[*flow] // flows by nextExpiry
	spareGroups         []*group                   // for reuse
	spareFlows          []*flow
}

// randomStream selects the queue's stream of random numbers ("door" in ASCII): another one than that of other users of
// the same seed.
const randomStream = 0x646f6f72

// New returns a Queue for a service's classes. The options have passed Options.Check.
func New(o Options, classes []balancer.Class, seed uint64) *Queue {
	q := &Queue{
		options:      o,
		weights:      o.weightsByName(),
		classes:      map[string]*classStats{},
		defaultClass: &classStats{meanCost: initialCost},
		seed:         seed,
		rng:          rand.New(rand.NewPCG(seed, randomStream)),
		groupLevel:   newLevel(),
		groups:       map[string]*group{},
		limiter:      newLimiter(o.MinLimit, o.MaxLimit),
		retryBudget:  retryBudget{tokens: totalRetryBurst, capacity: totalRetryBurst},
		meanCost:     initialCost,
	}
	for _, class := range classes {
		stats := &classStats{Class: class, meanCost: initialCost}
		if stats.PriorityWeight == 0 {
			stats.PriorityWeight = 1
		}
		if stats.LatencyObjective == 0 {
			stats.LatencyObjective = stats.Deadline
		}
		q.classes[class.Name] = stats
	}
	q.timeouts = priorityqueue.New(func(e *entry) *int { return &e.timeoutIndex })
	q.reservationExpiries = priorityqueue.New(func(f *flow) *int { return &f.expiryIndex })
	q.reservedLane.prevReserved, q.reservedLane.nextReserved = &q.reservedLane, &q.reservedLane
	q.calendar = newCalendar(o.maxRetryAfter(), q.rng)
	return q
}

// Configure replaces the options. Weights count for what is dispatched from now on; lower bounds reject nothing that
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

// advanceClock sets the time. A clock that goes back is taken as one that stands still.
func (q *Queue) advanceClock(now time.Duration) { q.now = max(q.now, now) }

// Arrive brings a request. The returned ticket names it in the actions, those of this call and of later ones; other
// requests may have actions too.
func (q *Queue) Arrive(now time.Duration, a Arrival, actions []Action) (Ticket, []Action) {
	actions = q.advance(now, actions)
	class := q.classes[a.Class]
	if class == nil {
		class = q.defaultClass
	}
	class.observeHint(a.CostHint)
	f := q.flowFor(a.Group, a.Flow)
	f.arriving, f.group.arriving = true, true // not to be forgotten with the last request that this one evicts
	e := q.entryFor(&a, class, f)
	if q.redeemReservation(f, a.Fingerprint) {
		e.reserved = true
	} else if reason, ok := q.mayWait(e, a.Retry); !ok {
		return e.ticket(), q.reject(e, reason, actions)
	}
	actions, fits := q.makeSpace(e, actions)
	if !fits {
		return e.ticket(), q.reject(e, QueueFull, actions)
	}
	q.enqueue(e)
	return e.ticket(), q.dispatch(actions)
}

// entryFor returns the entry of a request that has arrived.
func (q *Queue) entryFor(a *Arrival, class *classStats, f *flow) *entry {
	e := q.newEntry()
	e.flow, e.class, e.costHint, e.arrivedAt, e.bytes, e.fingerprint = f, class, a.CostHint, q.now, a.Bytes, a.Fingerprint
	e.deadline = a.Deadline
	e.objectiveAt = a.ArrivedAt + class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(a.CostHint))
	if class.LatencyObjective <= 0 {
		e.objectiveAt = a.Deadline
	}
	e.estimatedCost = class.estimateCost(a.CostHint, f.group.hintAccuracy)
	e.priorityWeight = class.PriorityWeight
	e.pastObjective = q.now >= e.objectiveAt
	if e.pastObjective {
		e.priorityWeight *= class.LateValueFraction
	}
	return e
}

// mayWait reports whether a request without a reservation may join the queue, or else why not. It deposits first
// requests into the retry budgets, and withdraws retries that may wait. While nothing is saturated every request may.
func (q *Queue) mayWait(e *entry, retry bool) (Reason, bool) {
	g := e.flow.group
	if !retry {
		g.retryBudget.deposit(q.options.RetryRatio)
		q.retryBudget.deposit(q.options.RetryRatio)
	}
	if !q.saturated() {
		return 0, true
	}
	if retry && !(g.retryBudget.available() && q.retryBudget.available()) {
		return RetryBudgetExhausted, false
	}
	if e.class.LateValueFraction <= 0 && e.pastObjective || q.now >= e.deadline {
		return WaitTooLong, false
	}
	if q.waitTooLong(e) {
		return WaitTooLong, false
	}
	if retry {
		g.retryBudget.withdraw()
		q.retryBudget.withdraw()
	}
	return 0, true
}

// saturated reports whether a request that arrives now has to wait.
func (q *Queue) saturated() bool { return q.queued > 0 || q.inFlight >= q.limiter.current() }

// Cancel removes a queued request whose client has disconnected. For any other request it does nothing.
func (q *Queue) Cancel(now time.Duration, t Ticket, actions []Action) []Action {
	q.advanceClock(now)
	if e := q.lookup(t, entryQueued); e != nil {
		q.removeQueued(e)
		q.releaseEntry(e)
	}
	return q.dispatch(q.advance(now, actions))
}

// Done ends an admitted request, and learns from its cost.
func (q *Queue) Done(now time.Duration, t Ticket, outcome Outcome, actions []Action) []Action {
	actions = q.advance(now, actions)
	e := q.lookup(t, entryAdmitted)
	if e == nil {
		return actions
	}
	g, class := e.flow.group, e.class
	cost := max(minCost, (q.now - e.admittedAt).Seconds())
	q.inFlight--
	for _, m := range e.members() {
		l := q.levelOf(m)
		l.schedulerOf(m).correctCost(m, cost-e.estimatedCost)
		m.inFlight--
		q.deactivateIfIdle(l, m)
	}
	if outcome == Completed {
		g.hintAccuracy = class.updateHintAccuracy(g.hintAccuracy, e.costHint, cost)
		class.observeCost(cost)
		q.meanCost += (cost - q.meanCost) * costSmoothing
	}
	if outcome != ClientGone {
		q.limiter.observe(q.now, class, cost, q.inFlight+1, outcome == RejectedByBalancer)
	}
	q.releaseEntry(e)
	q.forgetSettled(&q.groupLevel)
	return q.dispatch(actions)
}

// Wake handles timeouts that are due.
func (q *Queue) Wake(now time.Duration, actions []Action) []Action {
	return q.dispatch(q.advance(now, actions))
}

// Next returns when Wake must be called at the latest; false: not at all, as things are.
func (q *Queue) Next() (time.Duration, bool) {
	if q.timeouts.Len() == 0 {
		return 0, false
	}
	return q.timeouts.First().timeoutAt, true
}

// advance sets the time, rejects queued requests that can no longer be answered in time, and lets reservations expire.
func (q *Queue) advance(now time.Duration, actions []Action) []Action {
	q.advanceClock(now)
	for q.timeouts.Len() > 0 && q.timeouts.First().timeoutAt <= q.now {
		e := q.timeouts.First()
		if q.demote(e) {
			continue
		}
		q.removeQueued(e)
		actions = q.reject(e, QueueTimeout, actions)
	}
	q.expireReservations()
	return actions
}

// demote lowers the priority weight of a queued request that will miss its latency objective, if its class gives a late
// answer any value. It reports whether the request may go on waiting, until it would miss its deadline.
func (q *Queue) demote(e *entry) bool {
	if e.pastObjective || e.class.LateValueFraction <= 0 || e.deadline <= e.objectiveAt {
		return false
	}
	e.flow.remove(e)
	e.pastObjective = true
	e.priorityWeight *= e.class.LateValueFraction
	e.flow.insert(e)
	e.timeoutAt = e.latestStart()
	if e.timeoutAt <= q.now {
		return false
	}
	q.timeouts.Set(e, float64(e.timeoutAt), uint64(e.index))
	return true
}

// reject appends the rejection of a request that is not queued, and releases its entry.
func (q *Queue) reject(e *entry, reason Reason, actions []Action) []Action {
	retryAfter, reserved := q.reserve(e)
	actions = append(actions, Action{Kind: Reject, Ticket: e.ticket(), RetryAfter: retryAfter, Reserved: reserved, Reason: reason})
	q.releaseEntry(e)
	return actions
}

// Stats is what a queue holds.
type Stats struct {
	Queued, InFlight, Limit  int
	QueuedBytes              int64
	Principals, Reservations int
}

// Stats returns what the queue holds now.
func (q *Queue) Stats() Stats {
	return Stats{Queued: q.queued, InFlight: q.inFlight, Limit: q.limiter.current(), QueuedBytes: q.queuedBytes,
		Principals: q.knownPrincipals, Reservations: q.reservations}
}
