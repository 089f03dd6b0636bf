package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// group is a principal of the first source.
type group struct {
	member
	name         string
	flowLevel    level // of its flows
	flows        map[string]*flow
	sharedFlow   flow // of requests without a second source, and of flows beyond the bound
	hintAccuracy float64
	retryBudget  retryBudget
	overflow     bool // one of the 16 that stand for those beyond the bound
	forgotten    bool // forgotten
}

// flow is a principal of the second source, within its group.
type flow struct {
	member
	name         string
	lists        []entryList // what waits, the worthiest first
	reservations []reservation
	reservedCost float64 // their cost
	nextExpiry   time.Duration
	expiryIndex  int
}

const (
	overflowGroups   = 16 // shared groups for principals beyond the bound
	groupFlowDivisor = 16 // one group may have this fraction of the known principals as flows
	overflowPrefix   = "\x00"
)

// flowFor is a request's flow, made where it is not known.
func (q *Queue) flowFor(groupName, flowName string) *flow {
	g := q.groups[groupName]
	if g == nil {
		crowd := false
		if q.knownPrincipals >= q.options.MaxPrincipals {
			h := xxhash.NewWithSeed(q.seed)
			_, _ = h.WriteString(groupName) // never fails
			groupName, crowd = overflowPrefix+string(rune('a'+h.Sum64()%overflowGroups)), true
			g = q.groups[groupName]
		}
		if g == nil {
			g = q.newGroup(groupName, crowd)
		}
	}
	if flowName == "" || g.overflow {
		return &g.sharedFlow
	}
	f := g.flows[flowName]
	if f == nil {
		if q.knownPrincipals >= q.options.MaxPrincipals || len(g.flows) >= max(1, q.options.MaxPrincipals/groupFlowDivisor) {
			return &g.sharedFlow
		}
		f = q.newFlow(g, flowName)
	}
	return f
}

func (q *Queue) newGroup(name string, crowd bool) *group {
	var g *group
	if n := len(q.spareGroups); n > 0 {
		g = q.spareGroups[n-1]
		q.spareGroups = q.spareGroups[:n-1]
	} else {
		g = &group{flowLevel: newLevel()}
	}
	g.name, g.overflow, g.forgotten, g.hintAccuracy, g.retryBudget = name, crowd, false, 1, retryBudget{tokens: 1, capacity: groupRetryBurst}
	g.member = member{readyIndex: -1, indebtedIndex: -1, loadIndex: -1, group: g}
	g.weight = q.groupWeight(g)
	g.sharedFlow.reset(g, "")
	q.groups[name] = g
	if !crowd {
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

func (f *flow) reset(g *group, name string) {
	*f = flow{name: name, lists: f.lists[:0], reservations: f.reservations[:0], expiryIndex: -1,
		member: member{weight: 1, readyIndex: -1, indebtedIndex: -1, loadIndex: -1, group: g, flow: f}}
}

const maxSpares = 64 // groups and flows kept for the next ones

// forgetFlow lets a flow go that nothing needs any more, and then its group.
func (q *Queue) forgetFlow(f *flow) {
	g := f.group
	if f.active() || f.arriving || len(f.reservations) > 0 {
		return
	}
	if s := g.flowLevel.schedulerOf(&f.member); s.isAhead(&f.member) { // it rests until that is paid
		return
	} else if f != &g.sharedFlow && g.flows[f.name] == f {
		s.indebted.Remove(&f.member)
		delete(g.flows, f.name)
		q.knownPrincipals--
		if len(q.spareFlows) < maxSpares {
			q.spareFlows = append(q.spareFlows, f)
		}
	}
	q.forgetGroup(g)
}

// forgetGroup lets a group go of which nothing is left.
func (q *Queue) forgetGroup(g *group) {
	if g.active() || g.arriving || g.forgotten {
		return
	}
	q.forgetIndebtedFlows(g)
	if s := q.groupLevel.schedulerOf(&g.member); len(g.flows) > 0 || len(g.sharedFlow.reservations) > 0 || s.isAhead(&g.member) {
		return
	}
	q.groupLevel.schedulerOf(&g.member).indebted.Remove(&g.member)
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

// forgetIndebtedFlows forgets the flows of a group that has nothing waiting or in hand: none of them owes the others anything.
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
