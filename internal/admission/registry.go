package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// group is a principal that the first of Options.PrincipalSources names.
type group struct {
	member
	name         string
	flowLevel    level
	flows        map[string]*flow
	sharedFlow   flow    // for requests without a second source, and for flows beyond the bound
	hintAccuracy float64 // ratio of its requests' costs to their hints; 1 if the hints are exact
	retryBudget  retryBudget
	overflow     bool // it is one of the overflow groups
	forgotten    bool // it was removed from Queue.groups, and may be kept for reuse
}

// flow is a principal that the second of Options.PrincipalSources names, within its group.
type flow struct {
	member
	name         string
	lists        []entryList   // queued requests, by descending priority weight
	reservations []reservation // by time, the earliest first
	reservedCost float64       // sum over its reservations, s
	nextExpiry   time.Duration // when the first reservation expires
	expiryIndex  int           // in Queue.reservationExpiries; -1 if the flow is not in it
}

const (
	overflowGroups   = 16     // number of groups that share the requests of principals beyond Options.MaxPrincipals
	groupFlowDivisor = 16     // a group may have as many flows as MaxPrincipals divided by this
	overflowPrefix   = "\x00" // prefix of the names of overflow groups; no principal's name begins with it
	maxSpares        = 64     // maximum number of groups, and also of flows, that are kept for reuse
)

// flowFor returns the flow of a request, and creates its group and flow if they are not known. Beyond the bounds, the
// hash of the group's name selects one of the overflow groups, and the group's shared flow stands in for a new flow.
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

// overflowName returns the name of the overflow group that a principal belongs to.
func (q *Queue) overflowName(name string) string {
	h := xxhash.NewWithSeed(q.seed)
	_, _ = h.WriteString(name) // never fails
	return overflowPrefix + string(rune('a'+h.Sum64()%overflowGroups))
}

// groupWeight returns the configured weight of a group. Overflow groups have the default weight.
func (q *Queue) groupWeight(g *group) float64 {
	if w, configured := q.weights[g.name]; configured && !g.overflow {
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

// forgetFlow removes a flow that has no requests and no reservations, and then its group if that is unused too. A flow
// whose finish tag is ahead of virtual time is removed later, by forgetSettled.
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

// forgetGroup removes a group that has no requests, flows or reservations and whose finish tag is not ahead of virtual
// time.
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

// forgetIndebtedFlows removes the indebted flows of a group that has nothing queued or in flight. Their debt has no
// effect there, because no other flow competes with them.
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
