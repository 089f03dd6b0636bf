package lease

import "slices"

// modelStep is a step that the model may take.
type modelStep struct {
	name  string
	fault bool
	apply func(w *world) // carries out the step in the world that lists it, or in a copy of that world
}

// stepList collects the steps that are possible in a world.
type stepList struct {
	world *world
	steps []modelStep
}

func (l *stepList) add(name string, apply func(w *world)) {
	l.steps = append(l.steps, modelStep{name, false, apply})
}

// addFault adds a step that is a fault, unless the world has had the largest allowed number of faults.
func (l *stepList) addFault(name string, apply func(w *world)) {
	if l.world.faults < l.world.bounds.faults {
		l.steps = append(l.steps, modelStep{name, true, func(w *world) { w.faults++; apply(w) }})
	}
}

// steps returns the possible next steps. Their order is fixed, so that a seed of the random search always results in the same walk.
func (w *world) steps() []modelStep {
	l := &stepList{world: w}
	if w.quanta < w.bounds.quanta {
		l.add("a quantum passes", func(w *world) {
			w.quanta++
			w.advance()
		})
	}
	l.addMessages()
	l.addRecord()
	for i := range w.holders {
		l.addHolder(i)
	}
	return l.steps
}

// addMessages adds the steps in which a message arrives, is lost or is duplicated.
func (l *stepList) addMessages() {
	for i, m := range l.world.inTransit {
		l.add("a message arrives", func(w *world) {
			w.inTransit = slices.Delete(w.inTransit, i, i+1)
			w.deliver(m)
		})
		l.addFault("a message is lost", func(w *world) { w.inTransit = slices.Delete(w.inTransit, i, i+1) })
		l.addFault("a message arrives and is duplicated", func(w *world) { w.deliver(m) })
	}
}

// addRecord adds the steps in which requests are proposed or applied, or the leader changes.
func (l *stepList) addRecord() {
	w := l.world
	if len(w.proposals) > 0 {
		l.add("a proposal is applied", func(w *world) { w.applyProposal() })
	}
	if next, ok := w.expirations.Next(); ok && next <= w.leaderClock && len(w.proposals) < maxProposals {
		l.add("expiries are proposed", func(w *world) { w.proposals = append(w.proposals, w.expirations.Expired(w.leaderClock)...) })
	}
	for replicated := range len(w.proposals) + 1 {
		l.addFault("the leader changes", func(w *world) { w.changeLeader(replicated) })
	}
}

// addHolder adds the steps in which a holder checks its clock, acquires, releases or transfers. A holder whose next check is
// delayed stands for a paused process.
func (l *stepList) addHolder(i int) {
	w, h := l.world, l.world.holders[i]
	now, client := w.now(i), h.options.Client
	if next, ok := h.Next(); ok && next <= now {
		l.add(client+" checks its clock", func(w *world) { w.perform(i, w.holders[i].Tick(now)) })
	}
	switch {
	case !h.wanted && w.acquisitions[i] < w.bounds.acquisitions:
		l.add(client+" acquires", func(w *world) {
			w.acquisitions[i]++
			w.perform(i, w.holders[i].Acquire(now))
		})
	case h.wanted && h.state == holding:
		l.addFault(client+" releases", func(w *world) { w.perform(i, w.holders[i].Release(now, "")) })
		if other := (i + w.bounds.names) % len(w.holders); other != i {
			l.addFault(client+" transfers", func(w *world) { w.perform(i, w.holders[i].Release(now, w.holders[other].options.Client)) })
		}
	}
}
