package admission

// updateLoads puts a group and its flows where their loads belong, which another bound or weight has changed.
func (q *Queue) updateLoads(g *group) {
	if g.loadIndex >= 0 {
		q.groupLevel.byLoad.Set(&g.member, -q.load(&g.member), 0)
	}
	for _, f := range g.flows {
		q.updateFlowLoad(f)
	}
	q.updateFlowLoad(&g.sharedFlow)
}

func (q *Queue) updateFlowLoad(f *flow) {
	if f.loadIndex >= 0 {
		f.group.flowLevel.byLoad.Set(&f.member, -q.load(&f.member), 0)
	}
}

// load is how much of the queue a member holds, for its weight.
func (q *Queue) load(m *member) float64 {
	return q.loadWith(m, 0, 0)
}

func (q *Queue) loadWith(m *member, requests int, bytes int64) float64 {
	held := float64(m.queued+requests)/float64(q.options.MaxQueued) + float64(m.queuedBytes+bytes)/float64(max(1, q.options.MaxQueuedBytes))
	if m.weight <= 0 {
		return held * maxWeight * maxWeight // before all who have a weight
	}
	return held / m.weight
}

// selectVictim is who is given up so that e may wait: of the group that holds the most for its weight, e counted in, of its flow
// that does, the least worthy, of those the newest. e itself, where that is so.
func (q *Queue) selectVictim(e *entry) *entry {
	f, g := e.flow, e.flow.group
	if q.queued == 0 {
		return e
	}
	most := q.groupLevel.byLoad.First()
	if most.group != g && q.load(most) <= q.loadWith(&g.member, 1, e.bytes) {
		most = &g.member
	}
	if most.group == g && g.queued == 0 {
		return e
	}
	of := most.group.flowLevel.byLoad.First()
	if of != &f.member && most.group == g && q.load(of) <= q.loadWith(&f.member, 1, e.bytes) {
		of = &f.member
	}
	if of == &f.member {
		if f.queued == 0 {
			return e
		}
		if last := f.lists[len(f.lists)-1]; e.reserved || last.priorityWeight < e.priorityWeight {
			return last.last
		}
		return e
	}
	runs := of.flow.lists
	return runs[len(runs)-1].last
}
