package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// group is a principal of the first source.
type group struct {
	member
	name         string
	flowLevel    level
	flows        map[string]*flow
	sharedFlow   flow    // of requests without a second source, and of flows beyond the bound
	hintAccuracy float64 // what its requests cost over what their hints say; 1: as stated
	retryBudget  retryBudget
	overflow     bool // one of overflowGroups
	forgotten    bool // removed from Queue.groups, and possibly kept for reuse
}

// flow is a principal of the second source, within its group.
type flow struct {
	member
	name         string
	lists        []entryList   // what is queued, by descending priority weight
	reservations []reservation // the earliest first
	reservedCost float64       // of all reservations, s
	nextExpiry   time.Duration // of the first reservation
	expiryIndex  int           // in Queue.reservationExpiries; -1: not in it
}

const (
	overflowGroups   = 16     // groups that share the requests of principals beyond Options.MaxPrincipals
	groupFlowDivisor = 16     // a group may have MaxPrincipals divided by this as flows
	overflowPrefix   = "\x00" // of the names of overflow groups; no principal's name begins with it
	maxSpares        = 64     // groups, and flows, that are kept for reuse
)

// flowFor returns the flow of a request, and makes its group and flow if they are not known. Beyond the bounds a group
// is one of the overflow groups, by its name's hash, and a flow is its group's shared flow.
func (q *Queue) flowFor(groupName, flowName string) *flow {
	g := q.groups[groupName]
	if g == nil {
		overflow := q.knownPrincipals >= q.options.MaxPrincipals
		if overflow {
			groupName = q.overflowName(groupName)
			g = q.groups[groupName]
		}
		if g == nil {
			g = q.newGroup(groupName, overflow)
		}
	}
	if flowName == "" || g.overflow {
		return &g.sharedFlow
	}
	if f := g.flows[flowName]; f != nil {
		return f
	}
	if q.knownPrincipals >= q.options.MaxPrincipals || len(g.flows) >= max(1, q.options.MaxPrincipals/groupFlowDivisor) {
		return &g.sharedFlow
	}
	return q.newFlow(g, flowName)
}

// overflowName is the name of the overflow group that a principal belongs to.
func (q *Queue) overflowName(name string) string {
	h := xxhash.NewWithSeed(q.seed)
	_, _ = h.WriteString(name) // never fails
	return overflowPrefix + string(rune('a'+h.Sum64()%overflowGroups))
}

// groupWeight is the configured weight of a group.
func (q *Queue) groupWeight(g *group) float64 {
	if w, named := q.weights[g.name]; named && !g.overflow {
		return w
	}
	return q.options.DefaultWeight
}

func (q *Queue) newGroup(name string, overflow bool) *group {
	var g *group
	if n := len(q.spareGroups); n > 0 {
		g = q.spareGroups[n-1]
		q.spareGroups = q.spareGroups[:n-1]
	} else {
		g = &group{flowLevel: newLevel()}
	}
	g.name, g.overflow, g.forgotten, g.hintAccuracy = name, overflow, false, 1
	g.retryBudget = retryBudget{tokens: newGroupRetryTokens, capacity: groupRetryBurst}
	g.member = newMember(g, nil, q.groupWeight(g))
	g.sharedFlow.reset(g, "")
	q.groups[name] = g
	if !overflow {
		q.knownPrincipals++
	}
	return g
}

func (q *Queue) newFlow(g *group, name string) *flow {
	var f *flow
	if n := len(q.spareFlows); n > 0 {
		f = q.spareFlows[n-1]
		q.spareFlows = q.spareFlows[:n-1]
	} else {
		f = &flow{}
	}
	f.reset(g, name)
	if g.flows == nil {
		g.flows = map[string]*flow{}
	}
	g.flows[name] = f
	q.knownPrincipals++
	return f
}

// reset makes f an empty flow of a group. All flows of a group have the same weight.
func (f *flow) reset(g *group, name string) {
	*f = flow{member: newMember(g, f, 1), name: name, lists: f.lists[:0], reservations: f.reservations[:0], expiryIndex: -1}
}

// forgetFlow forgets a flow that nothing refers to any more, and then its group. An indebted flow is forgotten later, by
// forgetSettled.
func (q *Queue) forgetFlow(f *flow) {
	g := f.group
	if f.active() || f.arriving || len(f.reservations) > 0 {
		return
	}
	s := g.flowLevel.schedulerOf(&f.member)
	if s.isAhead(&f.member) {
		return
	}
	if f != &g.sharedFlow && g.flows[f.name] == f {
		s.indebted.Remove(&f.member)
		delete(g.flows, f.name)
		q.knownPrincipals--
		if len(q.spareFlows) < maxSpares {
			q.spareFlows = append(q.spareFlows, f)
		}
	}
	q.forgetGroup(g)
}

// forgetGroup forgets a group that nothing refers to any more.
func (q *Queue) forgetGroup(g *group) {
	if g.active() || g.arriving || g.forgotten {
		return
	}
	q.forgetIndebtedFlows(g)
	s := q.groupLevel.schedulerOf(&g.member)
	if len(g.flows) > 0 || len(g.sharedFlow.reservations) > 0 || s.isAhead(&g.member) {
		return
	}
	s.indebted.Remove(&g.member)
	delete(q.groups, g.name)
	g.forgotten = true
	if !g.overflow {
		q.knownPrincipals--
	}
	if len(q.spareGroups) < maxSpares {
		g.flowLevel.reset()
		q.spareGroups = append(q.spareGroups, g)
	}
}

// forgetIndebtedFlows forgets the indebted flows of a group that has nothing queued or in flight: there is no other flow
// that was served less.
func (q *Queue) forgetIndebtedFlows(g *group) {
	for _, s := range g.flowLevel.schedulers() {
		for s != nil && s.indebted.Len() > 0 {
			f := s.indebted.First().flow
			s.indebted.Remove(&f.member)
			if len(f.reservations) == 0 && f != &g.sharedFlow {
				delete(g.flows, f.name)
				q.knownPrincipals--
			}
		}
	}
}
