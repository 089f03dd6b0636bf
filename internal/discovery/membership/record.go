package membership

import (
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// record is the latest report of one source about one endpoint.
type record struct {
	source     *source
	endpoint   endpoints.Endpoint // as the source listed it
	state      State
	stateSince time.Time // when the source first reported this state
	sequence   uint64    // Merge.sequence at the last change
	doubted    bool      // removed in a mass removal that is not applied yet; the state is still Up
	withdrawn  bool      // the source is aged, and no other source lists the endpoint
	holdUntil  time.Time // end of RemovalHold for a removed record, end of MassRemovalHold for a doubted record
	timerAt    time.Time // when the record's timer fires; zero if no timer is set
	forgotten  bool      // the record is no longer part of the Merge

	upstream *upstream // the upstream that the record is merged into, or nil
	previous *upstream // the value of upstream before the current merge
}

// setRecord stores the listed entry e of a source and its state in the record r. r is nil if the source has no record of the endpoint yet.
func (m *Merge) setRecord(s *source, r *record, e *endpoints.Endpoint, state State) {
	if r != nil && !r.doubted && !r.withdrawn && r.state == state && r.endpoint == *e {
		return
	}
	m.sequence++
	switch {
	case r == nil:
		r = m.newRecord(s, e)
	case r.endpoint.Address != e.Address:
		m.touch(r)
		m.unindex(r)
		r.endpoint = *e
		m.index(r)
	}
	m.endDoubt(r)
	m.setState(r, state)
	r.endpoint, r.sequence, r.withdrawn = *e, m.sequence, false
	m.dirty[r] = true
}

func (m *Merge) newRecord(s *source, e *endpoints.Endpoint) *record {
	r := &record{source: s, endpoint: *e, state: Absent}
	s.records[e.Name] = r
	m.index(r)
	if u := m.upstreams[e.Name]; u != nil { // an upstream that kept this name (see upstreamFor) may have to be renamed
		for other := range u.records {
			m.dirty[other] = true
		}
	}
	return r
}

// setState changes a record's state and updates the source's number of records that are up.
func (m *Merge) setState(r *record, state State) {
	if r.state == state {
		return
	}
	if r.state == Up {
		r.source.upCount--
	}
	if state == Up {
		r.source.upCount++
	}
	r.state, r.stateSince, r.holdUntil = state, m.now, time.Time{}
}

// forgetRecord removes a record from the Merge.
func (m *Merge) forgetRecord(r *record) {
	m.touch(r)
	if r.state == Up {
		r.source.upCount--
	}
	if r.doubted {
		r.source.doubtedCount--
	}
	m.unindex(r)
	delete(r.source.records, r.endpoint.Name)
	delete(m.dirty, r)
	r.forgotten = true
	r.detach()
}

// detach removes a record from its upstream.
func (r *record) detach() {
	if r.upstream != nil {
		delete(r.upstream.records, r)
		r.upstream = nil
	}
}

// touch marks the other records of r's upstream as dirty, so that they are merged again.
func (m *Merge) touch(r *record) {
	if r.upstream == nil {
		return
	}
	m.touched[r.upstream] = true
	for other := range r.upstream.records {
		if other != r {
			m.dirty[other] = true
		}
	}
}

func (m *Merge) index(r *record) {
	m.recordsByName[r.endpoint.Name] = append(m.recordsByName[r.endpoint.Name], r)
	if r.endpoint.Address != "" {
		m.recordsByAddress[r.endpoint.Address] = append(m.recordsByAddress[r.endpoint.Address], r)
	}
}

func (m *Merge) unindex(r *record) {
	removeFrom(m.recordsByName, r.endpoint.Name, r)
	if r.endpoint.Address != "" {
		removeFrom(m.recordsByAddress, r.endpoint.Address, r)
	}
}

func removeFrom(index map[string][]*record, key string, r *record) {
	remaining := slices.DeleteFunc(index[key], func(x *record) bool { return x == r })
	if len(remaining) == 0 {
		delete(index, key)
		return
	}
	index[key] = remaining
}
