package membership

import (
	"cmp"
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// mergeDirty merges the dirty records again and returns the changes of the merged list.
func (m *Merge) mergeDirty() []Change {
	if len(m.dirty) == 0 && len(m.touched) == 0 {
		return nil
	}
	affected := m.affectedRecords()
	for _, r := range affected {
		r.previous = r.upstream
		r.detach()
	}
	merged := map[*upstream]bool{}
	var changes []Change
	for _, r := range affected {
		if !m.dirty[r] {
			continue // merged with a previous group
		}
		u, change := m.mergeGroup(m.takeGroup(r))
		if u != nil {
			merged[u] = true
		}
		if change != nil {
			changes = append(changes, *change)
		}
	}
	for u := range m.touched {
		if !merged[u] && u.listed && len(u.records) == 0 {
			changes = append(changes, m.removeUpstream(u, "no source lists it"))
		}
	}
	clear(m.touched)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// affectedRecords returns the dirty records and all records that were, or will be, merged with a dirty record. The result is sorted by
// source rank and endpoint name. affectedRecords marks the returned records as dirty and their upstreams as touched.
func (m *Merge) affectedRecords() []*record {
	affected := make([]*record, 0, len(m.dirty))
	for r := range m.dirty {
		affected = append(affected, r)
	}
	add := func(r *record) {
		if !m.dirty[r] {
			m.dirty[r] = true
			affected = append(affected, r)
		}
	}
	for i := 0; i < len(affected); i++ {
		r := affected[i]
		if r.upstream != nil {
			m.touched[r.upstream] = true
			for other := range r.upstream.records {
				add(other)
			}
		}
		m.visitNeighbours(r, add)
	}
	slices.SortFunc(affected, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.source.rank, b.source.rank), cmp.Compare(a.endpoint.Name, b.endpoint.Name))
	})
	return affected
}

// takeGroup returns r and the other dirty records of its upstream, and clears their dirty marks.
func (m *Merge) takeGroup(r *record) []*record {
	group := []*record{r}
	delete(m.dirty, r)
	for i := 0; i < len(group); i++ {
		m.visitNeighbours(group[i], func(other *record) {
			if m.dirty[other] {
				delete(m.dirty, other)
				group = append(group, other)
			}
		})
	}
	return group
}

// visitNeighbours calls visit for each other record with the name of r, and for each record with the address of r. A record with the same
// address is omitted if a source lists the two names at different addresses, since they then belong to different upstreams.
func (m *Merge) visitNeighbours(r *record, visit func(*record)) {
	for _, other := range m.recordsByName[r.endpoint.Name] {
		if other != r {
			visit(other)
		}
	}
	if r.endpoint.Address == "" {
		return
	}
	for _, other := range m.recordsByAddress[r.endpoint.Address] {
		if other != r && other.endpoint.Name != r.endpoint.Name && !m.areDistinct(r.endpoint.Name, other.endpoint.Name) {
			visit(other)
		}
	}
}

// areDistinct reports whether some source lists the names a and b at different addresses.
func (m *Merge) areDistinct(a, b string) bool {
	for _, x := range m.recordsByName[a] {
		y := x.source.records[b]
		if y != nil && y.endpoint.Address != x.endpoint.Address && x.state != Removed && y.state != Removed {
			return true
		}
	}
	return false
}

// mergeGroup merges the records of one upstream and returns the upstream and the change of the merged list. The upstream is nil if it was
// never listed and is not listed now. The change is nil if the merged list does not change.
func (m *Merge) mergeGroup(group []*record) (*upstream, *Change) {
	effective := effectiveRecords(group)
	if len(effective) == 0 {
		return nil, nil
	}
	state, sourceName := combine(m.reports(effective))
	e := m.describe(effective)
	u := m.upstreamFor(group, effective, &e)
	if u == nil {
		if state != Up && mergedStatus(state, false) == endpoints.StatusGone {
			return nil, nil
		}
		u = m.newUpstream(nameFor(effective))
	}
	e.Name = u.name
	for _, r := range group {
		r.upstream = u
		u.records[r] = true
	}
	reason := sourceName + " says " + state.String()
	if state == Up {
		reason = m.holdBackIfFlapping(u, reason)
	}
	u.heldBack = state == Up && u.heldUntil.After(m.now)
	e.Status = mergedStatus(state, u.listed)
	if u.heldBack {
		e.Status = endpoints.StatusTerminating
	}
	return u, m.publish(u, e, reason)
}

// effectiveRecords returns the records of a group that determine the result, sorted by source rank. For each source and address only the
// record of the latest instance is effective. Withdrawn records are never effective.
func effectiveRecords(group []*record) []*record {
	effective := make([]*record, 0, MaxSources)
	for _, r := range group {
		if r.withdrawn {
			continue
		}
		i := slices.IndexFunc(effective, func(s *record) bool {
			return s.source == r.source && s.endpoint.Address == r.endpoint.Address
		})
		switch {
		case i < 0:
			effective = append(effective, r)
		case isLaterInstance(r, effective[i]):
			effective[i] = r
		}
	}
	slices.SortFunc(effective, func(a, b *record) int { return cmp.Compare(a.source.rank, b.source.rank) })
	return effective
}

// isLaterInstance reports whether record a describes a later instance than record b of the same source and address.
func isLaterInstance(a, b *record) bool {
	if (a.state == Removed) != (b.state == Removed) {
		return b.state == Removed
	}
	return cmp.Or(cmp.Compare(a.endpoint.StartedMs, b.endpoint.StartedMs), cmp.Compare(a.sequence, b.sequence)) > 0
}

// reports returns the state that each effective record reports. The state is Absent if the reported instance has been replaced.
func (m *Merge) reports(effective []*record) []report {
	reports := make([]report, len(effective))
	for i, r := range effective {
		reports[i] = report{source: r.source.name, state: r.state, aged: m.isAged(r.source)}
		if m.isOfReplacedInstance(r, effective) {
			reports[i].state = Absent
		}
	}
	return reports
}

// isOfReplacedInstance reports whether a record that is draining, out of service, down or removed describes an instance that has been
// replaced. An instance has been replaced if another name is up at the same address, and the instance of that name started more than
// StartTimeTolerance after the record got its state.
func (m *Merge) isOfReplacedInstance(r *record, effective []*record) bool {
	if r.state == Up || r.state == Starting || r.state == Unknown {
		return false
	}
	replacedAfter := r.stateSince.Add(m.options.StartTimeTolerance.D())
	return slices.ContainsFunc(effective, func(o *record) bool {
		return o.endpoint.Name != r.endpoint.Name && o.state == Up && o.endpoint.Address == r.endpoint.Address &&
			time.UnixMilli(int64(o.endpoint.StartedMs)).After(replacedAfter)
	})
}
