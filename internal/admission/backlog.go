package admission

import (
	"time"
)

// run is what waits of one flow and one worth, in the order of coming.
type run struct {
	worth       float64
	first, last *entry
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
