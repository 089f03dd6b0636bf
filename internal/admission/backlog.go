package admission

import (
	"time"
)

// entryList is what waits of one flow and one worth, in the order of coming.
type entryList struct {
	priorityWeight float64
	first, last    *entry
}

// push puts e behind those of its worth.
func (f *flow) push(e *entry) {
	worth := e.priorityWeight
	if e.reserved {
		worth += 1e18 // before all others
	}
	i := 0
	for i < len(f.lists) && f.lists[i].priorityWeight > worth {
		i++
	}
	if i == len(f.lists) || f.lists[i].priorityWeight != worth {
		f.lists = append(f.lists, entryList{})
		copy(f.lists[i+1:], f.lists[i:])
		f.lists[i] = entryList{priorityWeight: worth}
	}
	r := &f.lists[i]
	e.prev, e.next = r.last, nil
	if r.last == nil {
		r.first = e
	} else {
		r.last.next = e
	}
	r.last = e
}

// remove takes e out of its run.
func (f *flow) remove(e *entry) {
	for i := range f.lists {
		r := &f.lists[i]
		if r.first == e {
			r.first = e.next
		}
		if r.last == e {
			r.last = e.prev
		}
		if r.first == nil {
			f.lists = append(f.lists[:i], f.lists[i+1:]...)
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

// expectedServiceTime is how long the request will take beyond the door, as such requests do now.
func (e *entry) expectedServiceTime() time.Duration {
	return seconds(e.class.meanCost)
}

// costAhead is the cost of what goes before another request of a flow, for what the flow and its group owe too.
func (q *Queue) costAhead(f *flow) float64 {
	g := f.group
	cost := f.backlog
	if s := g.flowLevel.schedulerOf(&f.member); s.isAhead(&f.member) && f.queued == 0 {
		cost += (f.finishTag - s.virtualTime) * f.effectiveWeight()
	}
	if s := q.groupLevel.schedulerOf(&g.member); s.isAhead(&g.member) && g.queued == 0 {
		cost += (g.finishTag - s.virtualTime) * g.effectiveWeight()
	}
	return cost
}

// serviceRate is what a flow gets, in cost a second, while all that are active go on.
func (q *Queue) serviceRate(f *flow) float64 {
	part := q.groupLevel.capacityShare(&f.group.member)
	if inner := f.group.flowLevel.capacityShare(&f.member); inner > 0 {
		part *= inner
	}
	return part * q.limiter.limit
}

// costUnderLoad is the mean cost of requests while the limit binds, s: what is seen then, or where it is not, what it would be
// in the middle of what the limit aims at.
func (q *Queue) costUnderLoad() float64 {
	return max(minCost, q.meanCost, q.limiter.baseTime*(growRatio+shrinkRatio)/2)
}
