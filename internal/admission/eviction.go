package admission

// makeSpace evicts queued requests until an arriving request fits into the queue, and reports whether it fits. The
// arriving request does not fit if selectVictim selects it, at first or after some evictions. A request that can be
// admitted at once needs no space.
func (q *Queue) makeSpace(e *entry, actions []Action) (_ []Action, fits bool) {
	maxBytes := int64(q.options.MaxQueuedBytes)
	full := q.queued >= q.options.MaxQueued || q.queuedBytes+e.bytes > maxBytes
	if !full || !q.saturated() {
		return actions, true
	}
	for {
		victim := q.selectVictim(e)
		if victim == e {
			return actions, false
		}
		q.removeQueued(victim)
		actions = q.reject(victim, QueueFull, actions)
		if q.queuedBytes+e.bytes <= maxBytes || q.queued == 0 {
			return actions, true
		}
	}
}

// selectVictim returns the request to reject when an arriving request finds the queue full. In the group with the
// highest load, it takes the flow with the highest load, and of that flow the newest request of the lowest priority
// weight. The arriving request counts as queued, and may be the victim itself.
func (q *Queue) selectVictim(e *entry) *entry {
	f, g := e.flow, e.flow.group
	if q.queued == 0 {
		return e
	}
	heaviest := q.groupLevel.byLoad.First()
	if heaviest.group != g && q.load(heaviest) <= q.loadWith(&g.member, 1, e.bytes) {
		heaviest = &g.member
	}
	if heaviest.group == g && g.queued == 0 {
		return e
	}
	heaviestFlow := heaviest.group.flowLevel.byLoad.First()
	if heaviestFlow != &f.member && heaviest.group == g && q.load(heaviestFlow) <= q.loadWith(&f.member, 1, e.bytes) {
		heaviestFlow = &f.member
	}
	if heaviestFlow != &f.member {
		return heaviestFlow.flow.newestOfLowestPriority()
	}
	if f.queued == 0 {
		return e
	}
	if e.reserved || f.lists[len(f.lists)-1].priorityWeight < e.priorityWeight {
		return f.newestOfLowestPriority()
	}
	return e
}

// newestOfLowestPriority returns the newest of a flow's queued requests with the lowest priority weight. The flow's
// next eviction is that of this request.
func (f *flow) newestOfLowestPriority() *entry { return f.lists[len(f.lists)-1].last }

// load returns a member's share of the bound on requests plus its share of the bound on bytes, divided by the member's
// weight.
func (q *Queue) load(m *member) float64 { return q.loadWith(m, 0, 0) }

// loadWith returns the load that a member would have with further requests and bytes.
func (q *Queue) loadWith(m *member, requests int, bytes int64) float64 {
	held := float64(m.queued+requests)/float64(q.options.MaxQueued) + float64(m.queuedBytes+bytes)/float64(max(1, q.options.MaxQueuedBytes))
	if m.weight <= 0 {
		return held * maxWeight * maxWeight // above the load of every member that has a weight
	}
	return held / m.weight
}

// updateLoads reorders a group and its flows by their loads, after a change of the bounds or weights.
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
