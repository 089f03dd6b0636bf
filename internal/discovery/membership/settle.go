package membership

import (
	"cmp"
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// settle merges anew what is dirty, and tells what changed.
func (m *Merge) settle() []Change {
	if len(m.dirty) == 0 && len(m.touched) == 0 {
		return nil
	}
	// Whatever was merged with something dirty, or will be, is dirty too.
	work := make([]*record, 0, len(m.dirty))
	for r := range m.dirty {
		work = append(work, r)
	}
	add := func(r *record) {
		if !m.dirty[r] {
			m.dirty[r] = true
			work = append(work, r)
		}
	}
	for i := 0; i < len(work); i++ {
		r := work[i]
		if r.in != nil {
			m.touched[r.in] = true
			for other := range r.in.records {
				add(other)
			}
		}
		m.neighbours(r, add)
	}
	slices.SortFunc(work, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.src.rank, b.src.rank), cmp.Compare(a.e.Name, b.e.Name))
	})
	for _, r := range work {
		r.was = r.in
		if r.in != nil {
			delete(r.in.records, r)
			r.in = nil
		}
	}
	told := map[*node]bool{}
	var changes []Change
	for _, r := range work {
		if !m.dirty[r] {
			continue
		}
		group := []*record{r} // one upstream
		delete(m.dirty, r)
		for i := 0; i < len(group); i++ {
			m.neighbours(group[i], func(other *record) {
				if m.dirty[other] {
					delete(m.dirty, other)
					group = append(group, other)
				}
			})
		}
		n, c := m.merge(group)
		if n == nil {
			continue
		}
		told[n] = true
		if c != nil {
			changes = append(changes, *c)
		}
	}
	for n := range m.touched {
		if !told[n] && n.told && len(n.records) == 0 {
			changes = append(changes, m.endNode(n, "no source lists it"))
		}
	}
	clear(m.touched)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// neighbours are the records of the same upstream: those of the same name, and those at the same address unless some
// source lists both names at different ones, and so knows them apart.
func (m *Merge) neighbours(r *record, visit func(*record)) {
	for _, other := range m.byID[r.e.Name] {
		if other != r {
			visit(other)
		}
	}
	if r.e.Address == "" {
		return
	}
	for _, other := range m.byAddr[r.e.Address] {
		if other != r && other.e.Name != r.e.Name && !m.apart(r.e.Name, other.e.Name) {
			visit(other)
		}
	}
}

func (m *Merge) apart(a, b string) bool {
	for _, x := range m.byID[a] {
		if y := x.src.records[b]; y != nil && y.e.Address != x.e.Address && x.state != Removed && y.state != Removed {
			return true
		}
	}
	return false
}

// later tells which of two records of one source speaks of the process that runs now.
func later(a, b *record) bool {
	if (a.state == Removed) != (b.state == Removed) {
		return b.state == Removed
	}
	return cmp.Or(cmp.Compare(a.e.StartedMs, b.e.StartedMs), cmp.Compare(a.seq, b.seq)) > 0
}

// merge makes one upstream of the records that speak of it.
func (m *Merge) merge(group []*record) (*node, *Change) {
	speaks := make([]*record, 0, MaxSources) // one of each source and address
	for _, r := range group {
		i := slices.IndexFunc(speaks, func(s *record) bool { return s.src == r.src && s.e.Address == r.e.Address })
		switch {
		case r.aged:
		case i < 0:
			speaks = append(speaks, r)
		case later(r, speaks[i]):
			speaks[i] = r
		}
	}
	if len(speaks) == 0 {
		return nil, nil
	}
	slices.SortFunc(speaks, func(a, b *record) int { return cmp.Compare(a.src.rank, b.src.rank) })
	voices := make([]voice, len(speaks))
	for i, r := range speaks {
		v := voice{source: r.src.name, state: r.state, aged: m.agedOut(r.src)}
		if m.earlier(r, speaks) {
			v.state = Absent
		}
		voices[i] = v
	}
	state, who := verdict(voices)
	e := m.describe(speaks)
	n := m.nodeFor(group, speaks, &e)
	if n == nil {
		if state != Up && status(state, false) == endpoints.StatusGone {
			return nil, nil // never told of
		}
		n = m.newNode(m.nameFor(speaks))
	}
	e.Name = n.name
	for _, r := range group {
		r.in = n
		n.records[r] = true
	}
	reason := who + " says " + state.String()
	if state == Up {
		reason = m.damp(n, reason)
	}
	if n.isHeld = n.hold.After(m.now) && state == Up; n.isHeld {
		e.Status = endpoints.StatusTerminating
	} else {
		e.Status = status(state, n.told)
	}
	return n, m.tell(n, e, reason)
}

// earlier tells whether a record that says draining or gone speaks of a process that has been replaced: another name came
// up at its address well after it was said.
func (m *Merge) earlier(r *record, speaks []*record) bool {
	if r.state == Up || r.state == Starting || r.state == Unknown {
		return false
	}
	return slices.ContainsFunc(speaks, func(o *record) bool {
		return o.e.Name != r.e.Name && o.state == Up && o.e.Address == r.e.Address &&
			time.UnixMilli(int64(o.e.StartedMs)).After(r.told.Add(m.o.StartTimeTolerance.D()))
	})
}

// describe is where and what an upstream is: the first source's word counts, but for a later start.
func (m *Merge) describe(speaks []*record) endpoints.Endpoint {
	listed := slices.DeleteFunc(slices.Clone(speaks), func(r *record) bool { return r.state == Removed })
	if len(listed) == 0 {
		listed = speaks
	}
	e := listed[0].e
	at := listed[0]
	for _, r := range listed[1:] {
		if e.StartedMs == 0 || r.e.StartedMs > e.StartedMs+float64(m.o.StartTimeTolerance.D().Milliseconds()) {
			e.StartedMs = cmp.Or(r.e.StartedMs, e.StartedMs)
		}
		e.Zone, e.MachineType, e.TLSIdentity = cmp.Or(e.Zone, r.e.Zone), cmp.Or(e.MachineType, r.e.MachineType), cmp.Or(e.TLSIdentity, r.e.TLSIdentity)
		e.Cell = cmp.Or(e.Cell, r.e.Cell)
		if r.e.Address != at.e.Address && r.e.Address != "" && m.prefers(r, at) {
			at = r
		}
	}
	e.Address = at.e.Address
	return e
}

// prefers tells which of two addresses of one name is the one now: not one that another name has taken, then that of the
// later start, then the one that was told last.
func (m *Merge) prefers(a, b *record) bool {
	taken := func(r *record) int {
		for _, o := range m.byAddr[r.e.Address] {
			if o.e.Name != r.e.Name && o.state != Removed {
				return 1
			}
		}
		return 0
	}
	return cmp.Or(cmp.Compare(taken(b), taken(a)), cmp.Compare(a.e.StartedMs, b.e.StartedMs), cmp.Compare(a.seq, b.seq)) > 0
}

// nameFor is the name that the first source gives.
func (m *Merge) nameFor(speaks []*record) string {
	for _, r := range speaks {
		if r.state != Removed {
			return r.e.Name
		}
	}
	return speaks[0].e.Name
}

// nodeFor is the node that the group was told as, if its process is still that one. What the name comes from may have gone
// meanwhile: the process keeps it as long as nobody else claims it, so that no estimate and no connection is lost.
func (m *Merge) nodeFor(group, speaks []*record, e *endpoints.Endpoint) *node {
	want := m.nameFor(speaks)
	if n := m.nodes[want]; n != nil {
		return n
	}
	for _, r := range group {
		n := r.was
		if n == nil || !n.told || len(n.records) > 0 || n.e.Address != e.Address || !m.sameStart(n.e.StartedMs, e.StartedMs) {
			continue
		}
		if !slices.ContainsFunc(m.byID[n.name], func(x *record) bool { return x.state != Removed && !slices.Contains(group, x) }) {
			return n
		}
	}
	return nil
}

func (m *Merge) sameStart(a, b float64) bool {
	d := a - b
	return max(d, -d) <= float64(m.o.StartTimeTolerance.D().Milliseconds())
}

func (m *Merge) newNode(name string) *node {
	n := &node{name: name, records: map[*record]bool{}}
	m.nodes[name] = n
	return n
}

// damp holds back an upstream that comes and goes, unless too many are held back already.
func (m *Merge) damp(n *node, reason string) string {
	if m.o.MaxFlaps == 0 || n.counted || !n.hold.IsZero() && !n.hold.After(m.now) && n.isHeld {
		return reason
	}
	if n.hold.After(m.now) {
		return "it flaps: held back"
	}
	n.flips = slices.DeleteFunc(n.flips, func(t time.Time) bool { return m.now.Sub(t) > m.o.FlapWindow.D() })
	if len(n.flips) < m.o.MaxFlaps || m.held > 0 && 4*(m.held+1) > m.ready+m.held || m.ready == 0 {
		return reason
	}
	if until := n.flips[len(n.flips)-1].Add(m.o.FlapHold.D()); until.After(m.now) {
		n.hold = until
		m.at(until, nil, nil, n)
		return reason + ", but it flaps: held back for " + m.o.FlapHold.String()
	}
	return reason
}

// tell notes what the merged list says of a node now; nil: as before.
func (m *Merge) tell(n *node, e endpoints.Endpoint, reason string) *Change {
	wasReady := n.counted
	ready := e.Status == endpoints.StatusReady
	if n.told && m.sameStart(n.e.StartedMs, e.StartedMs) && n.e.StartedMs != 0 && n.e.Address == e.Address {
		e.StartedMs = n.e.StartedMs // sources differ a little; connections are tied to it
	}
	m.held = m.countHeld(n)
	if wasReady != ready {
		if wasReady {
			m.ready--
			if m.o.MaxFlaps > 0 {
				if n.flips = append(n.flips, m.now); len(n.flips) > maxFlips {
					n.flips = n.flips[1:]
				}
			}
		} else {
			m.ready++
		}
		n.counted = ready
	}
	if e.Status == endpoints.StatusGone {
		if !n.told {
			n.e = e
			m.forget(n)
			return nil
		}
		c := m.endNode(n, reason)
		return &c
	}
	same := n.told && n.e == e
	n.e, n.reason, n.told = e, reason, true
	if same {
		return nil
	}
	return &Change{e, reason}
}

// countHeld is how many nodes are held back, with this one's new state.
func (m *Merge) countHeld(n *node) int {
	switch {
	case n.isHeld && !n.inHeld:
		n.inHeld = true
		return m.held + 1
	case !n.isHeld && n.inHeld:
		n.inHeld = false
		return m.held - 1
	}
	return m.held
}

// endNode takes a node off the merged list.
func (m *Merge) endNode(n *node, reason string) Change {
	if n.counted {
		n.counted = false
		m.ready--
		n.flips = append(n.flips, m.now)
	}
	n.isHeld = false
	m.held = m.countHeld(n)
	n.told, n.reason = false, reason
	n.e.Status = endpoints.StatusGone
	m.forget(n)
	return Change{n.e, reason}
}

// forget has a node that is not in the list remembered for its flapping, and no longer.
func (m *Merge) forget(n *node) {
	n.ended = m.now
	m.at(m.now.Add(m.o.FlapWindow.D()), nil, nil, n)
}
