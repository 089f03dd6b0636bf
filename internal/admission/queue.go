package admission

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/priorityqueue"
)

// Queue is the state machine that the package comment describes. New creates one.
type Queue struct {
	options      Options
	weights      map[string]float64 // Options.Weights by principal name
	classes      map[string]*classStats
	defaultClass *classStats // for requests of an unknown class
	now          time.Duration
	seed         uint64
	rng          *rand.Rand

	groupLevel      level
	groups          map[string]*group
	knownPrincipals int // groups and flows, without overflow groups and shared flows
	limiter         limiter
	inFlight        int
	retryBudget     retryBudget // shared by all groups
	meanCost        float64     // mean cost of all requests, s

	entries              []*entry // indexed by entry.index
	freeEntries          []uint32
	queued               int
	queuedBytes          int64
	timeouts             priorityqueue.Queue[*entry] // queued requests by timeoutAt
	reservedLane         entry                       // sentinel of the ring of queued requests that came back at their reserved time
	lastFromReservedLane bool                        // the last request was dispatched from the reserved lane

	calendar            calendar
	reservations        int
	reservationExpiries priorityqueue.Queue[*flow] // flows by nextExpiry
	spareGroups         []*group                   // forgotten groups, kept for reuse
	spareFlows          []*flow
}

// randomStream is the queue's stream of random numbers ("door" in ASCII). It differs from the streams of other users of
// the same seed.
const randomStream = 0x646f6f72

// New returns a Queue for the classes of a service. The options must have passed Options.Check.
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

// Configure replaces the options. New weights apply to requests that are dispatched from now on. Lower bounds do not
// reject requests that are already queued.
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

// advanceClock sets the current time. A time before the current one is ignored.
func (q *Queue) advanceClock(now time.Duration) { q.now = max(q.now, now) }

// Arrive decides on a request that has arrived. The returned ticket identifies the request in the actions of this call
// and of later ones. The actions may also concern other requests.
func (q *Queue) Arrive(now time.Duration, a Arrival, actions []Action) (Ticket, []Action) {
	actions = q.advance(now, actions)
	class := q.classes[a.Class]
	if class == nil {
		class = q.defaultClass
	}
	class.observeHint(a.CostHint)
	f := q.flowFor(a.Group, a.Flow)
	f.arriving, f.group.arriving = true, true // the flow and group stay known even if their last queued request is evicted
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

// entryFor returns a new entry for a request that has arrived.
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

// mayWait reports whether a request without a reservation may join the queue, and if not, the reason for its rejection.
// A first request adds to the retry budgets, and a retry that may wait takes a token from them. While the limit is not
// saturated, every request may join.
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

// Cancel removes a queued request whose client has disconnected. It ignores the ticket of any other request.
func (q *Queue) Cancel(now time.Duration, t Ticket, actions []Action) []Action {
	q.advanceClock(now)
	if e := q.lookup(t, entryQueued); e != nil {
		q.removeQueued(e)
		q.releaseEntry(e)
	}
	return q.dispatch(q.advance(now, actions))
}

// Done ends an admitted request, and updates the cost estimates and the concurrency limit with its actual cost.
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

// Next returns the latest time at which Wake must be called. It returns false if no request is queued.
func (q *Queue) Next() (time.Duration, bool) {
	if q.timeouts.Len() == 0 {
		return 0, false
	}
	return q.timeouts.First().timeoutAt, true
}

// advance sets the current time, rejects queued requests that can no longer be answered in time, and removes expired
// reservations.
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

// demote lowers the priority weight of a queued request that will miss its latency objective, if late answers still
// have value in its class. It reports whether the request may go on waiting for an answer before its deadline.
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

// Stats are the counts of what a Queue holds.
type Stats struct {
	Queued, InFlight, Limit  int
	QueuedBytes              int64
	Principals, Reservations int
}

// Stats returns the current counts.
func (q *Queue) Stats() Stats {
	return Stats{Queued: q.queued, InFlight: q.inFlight, Limit: q.limiter.current(), QueuedBytes: q.queuedBytes,
		Principals: q.knownPrincipals, Reservations: q.reservations}
}
