package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

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

const (
	crowds    = 16 // shared groups for principals beyond the bound
	flowPart  = 16 // one group may have this fraction of the known principals as flows
	crowdName = "\x00"
)

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
