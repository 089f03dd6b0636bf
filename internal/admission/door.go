// Package admission decides, before the balancer sees a request, who goes on, who waits and in which order, and who is turned
// away with what word on when to come back. It is fair between principals, the tenants or clients that requests come from:
// one that floods takes from itself.
//
// A Door is a pure state machine: every call brings the time and appends what is to be done. It does no I/O, reads no clock,
// and is not safe for concurrent use; package doorkeeper drives it. All random numbers come from its seed.
//
//	Arrive   a request has come: it goes on, waits, or is refused; somebody else who waits may be refused for it
//	Leave    one that waits has lost its client
//	Done     one that went on has its answer
//	Wake     the time of Next has come
//
// Files: sfq.go shares places between principals, limit.go finds how many there are, cost.go what a request takes of them,
// promise.go when who was refused may come back, budget.go bounds repeats, principal.go names principals.
//
// Bounds: Options.MaxQueued requests wait; Options.MaxPrincipals groups and flows are known, of one group a 16th at most, beside 16
// shared ones; one of them takes under 700 bytes with its name, and what waits and was promised 1 MB at the defaults,
// so 12 MB at 16,384 (TestMemory). A principal is forgotten
// when nothing of it waits or is in hand, it owes nothing (its finish is no later than virtual time) and no promise to it
// stands. None of that depends on how many others there are, so that a flood of names neither keeps nor ousts anybody.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/priorityqueue"
)

// Ticket is one request at the door. It is never used again.
type Ticket uint64

// Arrival is a request that has come. Times are those of the clock that Door's calls bring.
type Arrival struct {
	Group, Flow string // see By.Names
	Class       string
	CostHint    time.Duration // what the client says it costs; 0: nothing
	ArrivedAt   time.Duration // when its time began to count: its aim counts from here
	Deadline    time.Duration // when its client stops waiting
	Bytes       int64         // of its body, kept while it waits
	Retry       bool          // marked as a repeat by its client
	Fingerprint uint64        // tells requests apart, the same for a repeat; 0: not known
}

// ActionKind tells actions apart.
type ActionKind int

// What is to be done with a request.
const (
	Admit  ActionKind = iota // goes on; Done must follow
	Reject                   // is turned away: it was not done, trying again is harmless
)

// Reason says why a request was refused.
type Reason int

// The reasons, in the order in which they are looked at.
const (
	RetryBudgetExhausted Reason = iota // its principal's repeats, or all, are more than their part
	WaitTooLong                        // its principal's turn won't come in its wanted time
	QueueFull                          // its principal holds the most of a full queue, for its weight
	QueueTimeout                       // its turn did not come in time
)

var reasons = [...]string{"repeats over their budget", "no turn in its wanted time", "the queue is full", "no turn in time"}

func (r Reason) String() string { return reasons[r] }

// Action is one thing to do.
type Action struct {
	Kind       ActionKind
	Ticket     Ticket
	RetryAfter time.Duration // of Refuse: when to come back
	Reserved   bool          // of Refuse: it is remembered, and who comes then goes before others
	Reason     Reason        // of Refuse
}

// Outcome is how a request that went on ended.
type Outcome int

// The results.
const (
	Completed          Outcome = iota // by an upstream, well or not, or it failed after its time
	RejectedByBalancer                // the balancer refused it: the upstreams have too much
	ClientGone                        // its client left
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

// group is a principal of the first source.
type group struct {
	member
	name    string
	level   level // of its flows
	flows   map[string]*flow
	shared  flow // of requests without a second source, and of flows beyond the bound
	honesty float64
	budget  budget
	crowd   bool // one of the 16 that stand for those beyond the bound
	gone    bool // forgotten
}

// flow is a principal of the second source, within its group.
type flow struct {
	member
	name     string
	runs     []run // what waits, the worthiest first
	promises []promise
	promised float64 // their cost
	lapse    time.Duration
	lapsing  int
}

// run is what waits of one flow and one worth, in the order of coming.
type run struct {
	worth       float64
	first, last *entry
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

const (
	crowds    = 16 // shared groups for principals beyond the bound
	flowPart  = 16 // one group may have this fraction of the known principals as flows
	crowdName = "\x00"
)

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

// weigh puts a group and its flows where their loads belong, which another bound or weight has changed.
func (d *Queue) weigh(g *group) {
	if g.most >= 0 {
		d.root.most.Set(&g.member, -d.load(&g.member), 0)
	}
	for _, f := range g.flows {
		d.weighFlow(f)
	}
	d.weighFlow(&g.shared)
}

func (d *Queue) weighFlow(f *flow) {
	if f.most >= 0 {
		f.group.level.most.Set(&f.member, -d.load(&f.member), 0)
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

// spent is how long the request will take beyond the door, as such requests do now.
func (e *entry) spent() time.Duration {
	return seconds(e.class.usual)
}

// ahead is the cost of what goes before another request of a flow, for what the flow and its group owe too.
func (d *Queue) ahead(f *flow) float64 {
	g := f.group
	cost := f.queued
	if s := g.level.of(&f.member); s.owes(&f.member) && f.waiting == 0 {
		cost += (f.finish - s.v) * f.share()
	}
	if s := d.root.of(&g.member); s.owes(&g.member) && g.waiting == 0 {
		cost += (g.finish - s.v) * g.share()
	}
	return cost
}

// rateOf is what a flow gets, in cost a second, while all that are active go on.
func (d *Queue) rateOf(f *flow) float64 {
	part := d.root.rate(&f.group.member)
	if inner := f.group.level.rate(&f.member); inner > 0 {
		part *= inner
	}
	return part * d.limit.limit
}

// crowdedCost is the mean cost of requests while the limit binds, s: what is seen then, or where it is not, what it would be
// in the middle of what the limit aims at.
func (d *Queue) crowdedCost() float64 {
	return max(costLeast, d.usual, d.limit.base*(rLow+rHigh)/2)
}

// load is how much of the queue a member holds, for its weight.
func (d *Queue) load(m *member) float64 {
	return d.loadWith(m, 0, 0)
}

func (d *Queue) loadWith(m *member, requests int, bytes int64) float64 {
	held := float64(m.waiting+requests)/float64(d.o.MaxQueued) + float64(m.bytes+bytes)/float64(max(1, d.o.MaxQueuedBytes))
	if m.weight <= 0 {
		return held * maxWeight * maxWeight // before all who have a weight
	}
	return held / m.weight
}

// victim is who is given up so that e may wait: of the group that holds the most for its weight, e counted in, of its flow
// that does, the least worthy, of those the newest. e itself, where that is so.
func (d *Queue) victim(e *entry) *entry {
	f, g := e.flow, e.flow.group
	if d.waiting == 0 {
		return e
	}
	most := d.root.most.First()
	if most.group != g && d.load(most) <= d.loadWith(&g.member, 1, e.bytes) {
		most = &g.member
	}
	if most.group == g && g.waiting == 0 {
		return e
	}
	of := most.group.level.most.First()
	if of != &f.member && most.group == g && d.load(of) <= d.loadWith(&f.member, 1, e.bytes) {
		of = &f.member
	}
	if of == &f.member {
		if f.waiting == 0 {
			return e
		}
		if last := f.runs[len(f.runs)-1]; e.redeemed || last.worth < e.worth {
			return last.last
		}
		return e
	}
	runs := of.flow.runs
	return runs[len(runs)-1].last
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

// push puts e behind those of its worth.
func (f *flow) push(e *entry) {
	worth := e.worth
	if e.redeemed {
		worth += 1e18 // before all others
	}
	i := 0
	for i < len(f.runs) && f.runs[i].worth > worth {
		i++
	}
	if i == len(f.runs) || f.runs[i].worth != worth {
		f.runs = append(f.runs, run{})
		copy(f.runs[i+1:], f.runs[i:])
		f.runs[i] = run{worth: worth}
	}
	r := &f.runs[i]
	e.prev, e.next = r.last, nil
	if r.last == nil {
		r.first = e
	} else {
		r.last.next = e
	}
	r.last = e
}

// pull takes e out of its run.
func (f *flow) pull(e *entry) {
	for i := range f.runs {
		r := &f.runs[i]
		if r.first == e {
			r.first = e.next
		}
		if r.last == e {
			r.last = e.prev
		}
		if r.first == nil {
			f.runs = append(f.runs[:i], f.runs[i+1:]...)
			break
		}
	}
	if e.prev != nil {
		e.prev.next = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
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

// find is a request's flow, made where it is not known.
func (d *Queue) find(groupName, flowName string) *flow {
	g := d.groups[groupName]
	if g == nil {
		crowd := false
		if d.known >= d.o.MaxPrincipals {
			h := xxhash.NewWithSeed(d.seed)
			_, _ = h.WriteString(groupName) // never fails
			groupName, crowd = crowdName+string(rune('a'+h.Sum64()%crowds)), true
			g = d.groups[groupName]
		}
		if g == nil {
			g = d.newGroup(groupName, crowd)
		}
	}
	if flowName == "" || g.crowd {
		return &g.shared
	}
	f := g.flows[flowName]
	if f == nil {
		if d.known >= d.o.MaxPrincipals || len(g.flows) >= max(1, d.o.MaxPrincipals/flowPart) {
			return &g.shared
		}
		f = d.newFlow(g, flowName)
	}
	return f
}

func (d *Queue) newGroup(name string, crowd bool) *group {
	var g *group
	if n := len(d.spareGroups); n > 0 {
		g = d.spareGroups[n-1]
		d.spareGroups = d.spareGroups[:n-1]
	} else {
		g = &group{level: newLevel()}
	}
	g.name, g.crowd, g.gone, g.honesty, g.budget = name, crowd, false, 1, budget{tokens: 1, most: budgetOne}
	g.member = member{ready: -1, rest: -1, most: -1, group: g}
	g.weight = d.weightOf(g)
	g.shared.reset(g, "")
	d.groups[name] = g
	if !crowd {
		d.known++
	}
	return g
}

func (d *Queue) newFlow(g *group, name string) *flow {
	var f *flow
	if n := len(d.spareFlows); n > 0 {
		f = d.spareFlows[n-1]
		d.spareFlows = d.spareFlows[:n-1]
	} else {
		f = &flow{}
	}
	f.reset(g, name)
	if g.flows == nil {
		g.flows = map[string]*flow{}
	}
	g.flows[name] = f
	d.known++
	return f
}

func (f *flow) reset(g *group, name string) {
	*f = flow{name: name, runs: f.runs[:0], promises: f.promises[:0], lapsing: -1,
		member: member{weight: 1, ready: -1, rest: -1, most: -1, group: g, flow: f}}
}

const spares = 64 // groups and flows kept for the next ones

// forget lets a flow go that nothing needs any more, and then its group.
func (d *Queue) forget(f *flow) {
	g := f.group
	if f.active() || f.coming || len(f.promises) > 0 {
		return
	}
	if s := g.level.of(&f.member); s.owes(&f.member) { // it rests until that is paid
		return
	} else if f != &g.shared && g.flows[f.name] == f {
		s.resting.Remove(&f.member)
		delete(g.flows, f.name)
		d.known--
		if len(d.spareFlows) < spares {
			d.spareFlows = append(d.spareFlows, f)
		}
	}
	d.forgetGroup(g)
}

// forgetGroup lets a group go of which nothing is left.
func (d *Queue) forgetGroup(g *group) {
	if g.active() || g.coming || g.gone {
		return
	}
	d.paidWithin(g)
	if s := d.root.of(&g.member); len(g.flows) > 0 || len(g.shared.promises) > 0 || s.owes(&g.member) {
		return
	}
	d.root.of(&g.member).resting.Remove(&g.member)
	delete(d.groups, g.name)
	g.gone = true
	if !g.crowd {
		d.known--
	}
	if len(d.spareGroups) < spares {
		g.level.reset()
		d.spareGroups = append(d.spareGroups, g)
	}
}

// paidWithin forgets the flows of a group that has nothing waiting or in hand: none of them owes the others anything.
func (d *Queue) paidWithin(g *group) {
	for _, s := range g.level.halves() {
		for s != nil && s.resting.Len() > 0 {
			f := s.resting.First().flow
			s.resting.Remove(&f.member)
			if len(f.promises) == 0 && f != &g.shared {
				delete(g.flows, f.name)
				d.known--
			}
		}
	}
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
