package admission

import "time"

// maxWaitEstimate bounds the estimated waiting time, in seconds, so that it fits into a time.Duration.
const maxWaitEstimate = 3600

// waitTooLong reports whether a request that arrives would be admitted too late to meet its latency objective or, once
// the objective has passed, its deadline. A request within its objective may always wait if nothing is ahead of it. So
// may a request of a principal of weight 0, which waits for the capacity that others leave.
func (q *Queue) waitTooLong(e *entry) bool {
	rate := q.serviceRate(e.flow)
	if rate <= 0 {
		return false
	}
	ahead := q.costAhead(e.flow)
	start := q.now + time.Duration(min(ahead/rate, maxWaitEstimate)*float64(time.Second))
	latest := e.objectiveAt
	if e.pastObjective {
		latest = e.deadline
	}
	return start+e.class.costBound() > latest && (e.pastObjective || ahead > 0)
}

// costAhead returns the cost, in seconds, that is served before a further request of a flow: the flow's backlog and, if
// the flow or its group has nothing queued, the cost that the flow or group has been served beyond its share.
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

// serviceRate returns the rate at which a flow is served, in seconds of cost per second, if all members that are active
// now remain active.
func (q *Queue) serviceRate(f *flow) float64 {
	share := q.groupLevel.capacityShare(&f.group.member)
	if inner := f.group.flowLevel.capacityShare(&f.member); inner > 0 {
		share *= inner
	}
	return share * q.limiter.limit
}

// costUnderLoad returns the mean cost of requests while the limit is saturated, in seconds. It is the observed mean,
// but at least the middle of the range in which the limiter keeps the time in flight.
func (q *Queue) costUnderLoad() float64 {
	return max(minCost, q.meanCost, q.limiter.baseTime*(growRatio+shrinkRatio)/2)
}
