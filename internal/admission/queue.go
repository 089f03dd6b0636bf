package admission

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/priorityqueue"
)

// Queue is the state machine. See the package's comment.
type Queue struct {
	o       Options
	weights map[string]float64
	classes map[string]*class
	other   *class // of requests of no known class
	now     time.Duration
	seed    uint64
	rng     *rand.Rand

	root   level
	groups map[string]*group
	known  int // groups and flows beside the shared ones
	limit  limiter
	passed int
	budget budget
	usual  float64 // mean cost of all requests, s

	entries []*entry
	free    []uint32
	waiting int
	bytes   int64
	dues    priorityqueue.Queue[*entry]
	lane    entry // of those who came when told: a ring by next and prev, lane itself its root
	byLane  bool  // the last one went by the lane

	calendar    calendar
	promises    int
	lapses      priorityqueue.Queue[*flow]
	spareGroups []*group
	spareFlows  []*flow
}

type state int8

const (
	none state = iota
	waits
	passes
)

// entry is a request between its arrival and its end.
type entry struct {
	index, gen uint32
	state      state
	redeemed   bool // it came when told
	late       bool // its aim has passed while it waited
	hinted     time.Duration
	flow       *flow
	class      *class
	worth      float64
	cost       float64
	arrival    time.Duration
	went       time.Duration
	aim        time.Duration
	expires    time.Duration
	due        time.Duration // when to look at it again
	bytes      int64
	print      uint64
	prev, next *entry // in its run
	before     *entry // in the lane
	after      *entry
	at         int // in dues
}

func (e *entry) ticket() Ticket { return Ticket(e.gen)<<32 | Ticket(e.index) }

// New returns a Door for a service's classes. The options have passed Options.Check.
func New(o Options, classes []balancer.Class, seed uint64) *Queue {
	d := &Queue{o: o, weights: o.weights(), classes: map[string]*class{}, seed: seed,
		rng: rand.New(rand.NewPCG(seed, 0x646f6f72)), groups: map[string]*group{}, limit: newLimiter(o.MinLimit, o.MaxLimit),
		budget: budget{tokens: budgetAll, most: budgetAll}, usual: costUsual, other: &class{usual: costUsual}}
	for _, c := range classes {
		k := &class{Class: c, usual: costUsual}
		if k.PriorityWeight == 0 {
			k.PriorityWeight = 1
		}
		if k.LatencyObjective == 0 {
			k.LatencyObjective = k.Deadline
		}
		d.classes[c.Name] = k
	}
	d.root = newLevel()
	d.dues = priorityqueue.New(func(e *entry) *int { return &e.at })
	d.lapses = priorityqueue.New(func(f *flow) *int { return &f.lapsing })
	d.lane.before, d.lane.after = &d.lane, &d.lane
	d.calendar = newCalendar(o.longest(), d.rng)
	return d
}

// Configure changes the options under way: weights count for what goes from now on, lower bounds turn nobody away who
// waits already.
func (d *Queue) Configure(now time.Duration, o Options) {
	d.tell(now)
	if o.longest() != d.o.longest() {
		d.calendar = newCalendar(o.longest(), d.rng)
	}
	d.o, d.weights = o, o.weights()
	d.limit.least, d.limit.most = float64(o.MinLimit), float64(o.MaxLimit)
	d.limit.set(d.limit.limit)
	for _, g := range d.groups {
		d.root.reweigh(&g.member, d.weightOf(g))
		d.weigh(g)
		d.forgetGroup(g)
	}
}

func (d *Queue) weightOf(g *group) float64 {
	if w, named := d.weights[g.name]; named && !g.crowd {
		return w
	}
	return d.o.DefaultWeight
}

// tell takes the time in. A clock that stands is taken as it is, one that goes back as standing.
func (d *Queue) tell(now time.Duration) { d.now = max(d.now, now) }

// Arrive brings a request. Its own fate, now or later, comes as an action of the returned Ticket, like that of whoever
// else it touches.
func (d *Queue) Arrive(now time.Duration, a Arrival, acts []Action) (Ticket, []Action) {
	acts = d.pass(now, acts)
	c := d.classes[a.Class]
	if c == nil {
		c = d.other
	}
	c.hinted(a.CostHint)
	f := d.find(a.Group, a.Flow)
	g := f.group
	f.coming, g.coming = true, true // who gives way to it may be the last of its own group
	e := d.entry()
	e.flow, e.class, e.hinted, e.arrival, e.bytes = f, c, a.CostHint, d.now, a.Bytes
	e.print = a.Fingerprint
	e.aim, e.expires = a.ArrivedAt+c.LatencyObjective+time.Duration(c.ObjectiveStretch*float64(a.CostHint)), a.Deadline
	if c.LatencyObjective <= 0 {
		e.aim = a.Deadline
	}
	e.cost = c.estimate(a.CostHint, g.honesty)
	e.worth = c.PriorityWeight
	e.late = d.now >= e.aim
	if e.late {
		e.worth *= c.LateValueFraction
	}

	if d.redeem(f, a.Fingerprint) {
		e.redeemed = true
	} else if why, ok := d.admit(e, a.Retry); !ok {
		return e.ticket(), d.refuse(e, why, acts)
	}
	if full := d.waiting >= d.o.MaxQueued || d.bytes+e.bytes > int64(d.o.MaxQueuedBytes); full && (d.waiting > 0 || d.passed >= d.limit.places()) {
		victim := d.victim(e)
		if victim == e {
			return e.ticket(), d.refuse(e, QueueFull, acts)
		}
		d.remove(victim)
		acts = d.refuse(victim, QueueFull, acts)
		for d.bytes+e.bytes > int64(d.o.MaxQueuedBytes) && d.waiting > 0 {
			if victim = d.victim(e); victim == e {
				return e.ticket(), d.refuse(e, QueueFull, acts)
			}
			d.remove(victim)
			acts = d.refuse(victim, QueueFull, acts)
		}
	}
	d.wait(e)
	return e.ticket(), d.serve(acts)
}

// admit tells whether a request may wait, or why not.
func (d *Queue) admit(e *entry, repeat bool) (Reason, bool) {
	g := e.flow.group
	crowded := d.waiting > 0 || d.passed >= d.limit.places()
	if !repeat {
		g.budget.first(d.o.RetryRatio)
		d.budget.first(d.o.RetryRatio)
	}
	if !crowded {
		return 0, true
	}
	if repeat && !(g.budget.may() && d.budget.may()) {
		return RetryBudgetExhausted, false
	}
	if e.class.LateValueFraction <= 0 && e.late || d.now >= e.expires {
		return WaitTooLong, false
	}
	// Of weight 0: it waits for what is left, as long as it may.
	if rate := d.rateOf(e.flow); rate > 0 {
		begin := d.now + time.Duration(min(d.ahead(e.flow)/rate, 3600)*float64(time.Second))
		last := e.aim
		if e.late {
			last = e.expires
		}
		if begin+e.class.mostly() > last && (e.late || d.ahead(e.flow) > 0) {
			return WaitTooLong, false
		}
	}
	if repeat {
		g.budget.spend()
		d.budget.spend()
	}
	return 0, true
}

// wait has e wait.
func (d *Queue) wait(e *entry) {
	f, g := e.flow, e.flow.group
	f.coming, g.coming = false, false
	e.state = waits
	if e.redeemed {
		e.after, e.before = &d.lane, d.lane.before
		d.lane.before.after, d.lane.before = e, e
	}
	f.push(e)
	d.waiting++
	d.bytes += e.bytes
	for _, m := range [2]*member{&f.member, &g.member} {
		l := d.levelOf(m)
		if !m.active() {
			l.activate(m)
		}
		m.waiting++
		m.bytes += e.bytes
		m.queued += e.cost
		if m.waiting == 1 {
			l.of(m).wake(m)
		}
		l.most.Set(m, -d.load(m), 0)
	}
	e.due = e.lastStart()
	d.dues.Set(e, float64(e.due), uint64(e.index))
}

// lastStart is when a request that waits is to be looked at: when it would miss its aim, and then its end.
func (e *entry) lastStart() time.Duration {
	if e.late {
		return e.expires - min(e.spent(), (e.expires-e.arrival)/2)
	}
	return min(e.aim-min(e.spent(), (e.aim-e.arrival)/2), e.expires)
}

func (d *Queue) levelOf(m *member) *level {
	if m.flow == nil {
		return &d.root
	}
	return &m.group.level
}

// out takes a waiting request out of all that counts waiting ones but the ready heaps.
func (d *Queue) out(e *entry) {
	f, g := e.flow, e.flow.group
	d.dues.Remove(e)
	f.pull(e)
	if e.redeemed {
		e.before.after, e.after.before = e.after, e.before
		e.before, e.after = nil, nil
	}
	d.waiting--
	d.bytes -= e.bytes
	for _, m := range [2]*member{&f.member, &g.member} {
		l := d.levelOf(m)
		m.waiting--
		m.bytes -= e.bytes
		if m.queued -= e.cost; m.waiting == 0 {
			m.queued = 0
			l.most.Remove(m)
		} else {
			l.most.Set(m, -d.load(m), 0)
		}
	}
}

// remove takes a waiting request out that does not go on.
func (d *Queue) remove(e *entry) {
	d.out(e)
	for _, m := range [2]*member{&e.flow.member, &e.flow.group.member} {
		l := d.levelOf(m)
		if m.waiting == 0 {
			l.of(m).ready.Remove(m)
		}
		d.rested(l, m)
	}
}

// rested is for a member of which something has ended.
func (d *Queue) rested(l *level, m *member) {
	if m.active() {
		return
	}
	if s := l.of(m); s.owes(m) && m.rest < 0 {
		s.resting.Set(m, m.finish, 0)
	}
	l.idle(m)
}

// refuse words a refusal, and forgets the request.
func (d *Queue) refuse(e *entry, why Reason, acts []Action) []Action {
	in, kept := d.promise(e)
	acts = append(acts, Action{Kind: Reject, Ticket: e.ticket(), RetryAfter: in, Reserved: kept, Reason: why})
	d.end(e)
	return acts
}

// end gives a request's entry back.
func (d *Queue) end(e *entry) {
	f := e.flow
	if e.state == none { // it never waited
		f.coming, f.group.coming = false, false
	}
	e.state, e.flow, e.class = none, nil, nil
	e.gen++
	d.free = append(d.free, e.index)
	d.forget(f)
}

// entry is an unused one.
func (d *Queue) entry() *entry {
	if n := len(d.free); n > 0 {
		e := d.entries[d.free[n-1]]
		d.free = d.free[:n-1]
		*e = entry{index: e.index, gen: e.gen, at: -1}
		return e
	}
	e := &entry{index: uint32(len(d.entries)), gen: 1, at: -1}
	d.entries = append(d.entries, e)
	return e
}

// serve lets on who may.
func (d *Queue) serve(acts []Action) []Action {
	for d.waiting > 0 && d.passed < d.limit.places() {
		e := d.turn()
		d.out(e)
		f, g := e.flow, e.flow.group
		for _, m := range [2]*member{&f.member, &g.member} {
			l := d.levelOf(m)
			l.of(m).charge(m, e.cost, !d.byLane, m.waiting > 0)
			m.passed++
		}
		e.state, e.went = passes, d.now
		d.passed++
		acts = append(acts, Action{Kind: Admit, Ticket: e.ticket()})
		d.paid(&g.level)
		d.paid(&d.root)
	}
	if d.waiting > 0 {
		d.limit.bound = true
	}
	return acts
}

// turn is who goes next: by turns those who came when told, and those whose turn it is by virtual time.
func (d *Queue) turn() *entry {
	if first := d.lane.after; first != &d.lane && !d.byLane {
		d.byLane = true
		return first
	}
	d.byLane = false
	return d.root.next().group.level.next().flow.runs[0].first
}

// paid forgets those members of a level whose debts are paid by now.
func (d *Queue) paid(l *level) {
	for _, s := range l.halves() {
		for s != nil && s.resting.Len() > 0 && !s.owes(s.resting.First()) {
			m := s.resting.First()
			s.resting.Remove(m)
			if m.flow != nil {
				d.forget(m.flow)
			} else {
				d.forgetGroup(m.group)
			}
		}
	}
}

// Cancel takes out a request whose client has left while it waited. For any other it does nothing.
func (d *Queue) Cancel(now time.Duration, t Ticket, acts []Action) []Action {
	d.tell(now)
	if e := d.held(t, waits); e != nil {
		d.remove(e)
		d.end(e)
	}
	return d.serve(d.pass(now, acts))
}

// Done ends a request that went on.
func (d *Queue) Done(now time.Duration, t Ticket, how Outcome, acts []Action) []Action {
	acts = d.pass(now, acts)
	e := d.held(t, passes)
	if e == nil {
		return acts
	}
	f, g, c := e.flow, e.flow.group, e.class
	took := max(costLeast, (d.now - e.went).Seconds())
	d.passed--
	for _, m := range [2]*member{&f.member, &g.member} {
		l := d.levelOf(m)
		l.of(m).settle(m, took-e.cost)
		m.passed--
		d.rested(l, m)
	}
	if how == Completed {
		g.honesty = c.honest(g.honesty, e.hinted, took)
		c.took(took)
		d.usual += (took - d.usual) * costBlend
	}
	if how != ClientGone {
		d.limit.sample(d.now, c, took, d.passed+1, how == RejectedByBalancer)
	}
	d.end(e)
	d.paid(&d.root)
	return d.serve(acts)
}

// Wake does what is due.
func (d *Queue) Wake(now time.Duration, acts []Action) []Action { return d.serve(d.pass(now, acts)) }

// Next is when Wake is to be called at the latest; false: there is no need.
func (d *Queue) Next() (time.Duration, bool) {
	if d.dues.Len() == 0 {
		return 0, false
	}
	return d.dues.First().due, true
}

// pass has time pass: who can't be answered in time any more is turned away at once.
func (d *Queue) pass(now time.Duration, acts []Action) []Action {
	d.tell(now)
	for d.dues.Len() > 0 && d.dues.First().due <= d.now {
		e := d.dues.First()
		if !e.late && e.class.LateValueFraction > 0 && e.expires > e.aim {
			e.flow.pull(e)
			e.late = true
			e.worth *= e.class.LateValueFraction
			e.flow.push(e)
			if e.due = e.lastStart(); e.due > d.now {
				d.dues.Set(e, float64(e.due), uint64(e.index))
				continue
			}
		}
		d.remove(e)
		acts = d.refuse(e, QueueTimeout, acts)
	}
	d.lapse()
	return acts
}

// held is the request of a ticket, if it is in that state.
func (d *Queue) held(t Ticket, s state) *entry {
	i := int(uint32(t))
	if i >= len(d.entries) {
		return nil
	}
	if e := d.entries[i]; e.gen == uint32(t>>32) && e.state == s {
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
func (d *Queue) Stats() Stats {
	return Stats{Queued: d.waiting, InFlight: d.passed, Limit: d.limit.places(), QueuedBytes: d.bytes, Principals: d.known, Reservations: d.promises}
}
