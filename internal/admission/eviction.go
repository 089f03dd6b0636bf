package admission

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
