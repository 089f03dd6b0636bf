package membership

import (
	"cmp"
	"slices"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
)

// describe returns the address and the properties of an upstream. They come from the first effective record that is not removed. Later
// records supply properties that the first record lacks, a later start time, or a preferred address.
func (m *Merge) describe(effective []*record) endpoints.Endpoint {
	listed := slices.DeleteFunc(slices.Clone(effective), func(r *record) bool { return r.state == Removed })
	if len(listed) == 0 {
		listed = effective
	}
	e := listed[0].endpoint
	addressRecord := listed[0] // the record whose address is used
	for _, r := range listed[1:] {
		o := &r.endpoint
		if e.StartedMs == 0 || o.StartedMs > e.StartedMs+m.startToleranceMs() {
			e.StartedMs = cmp.Or(o.StartedMs, e.StartedMs)
		}
		e.Zone = cmp.Or(e.Zone, o.Zone)
		e.MachineType = cmp.Or(e.MachineType, o.MachineType)
		e.TLSIdentity = cmp.Or(e.TLSIdentity, o.TLSIdentity)
		if e.Cell == balancer.UnknownCell {
			e.Cell = o.Cell
		}
		if o.Address != addressRecord.endpoint.Address && o.Address != "" && m.hasPreferredAddress(r, addressRecord) {
			addressRecord = r
		}
	}
	e.Address = addressRecord.endpoint.Address
	return e
}

// hasPreferredAddress reports whether the address of record a is preferred to that of record b. An address at which no other name is listed
// is preferred, then the address of the record with the later start time, then the address that was listed last.
func (m *Merge) hasPreferredAddress(a, b *record) bool {
	return cmp.Or(cmp.Compare(m.addressTaken(b), m.addressTaken(a)), cmp.Compare(a.endpoint.StartedMs, b.endpoint.StartedMs),
		cmp.Compare(a.sequence, b.sequence)) > 0
}

// addressTaken returns 1 if another name is listed at a record's address, and 0 otherwise.
func (m *Merge) addressTaken(r *record) int {
	for _, o := range m.recordsByAddress[r.endpoint.Address] {
		if o.endpoint.Name != r.endpoint.Name && o.state != Removed {
			return 1
		}
	}
	return 0
}

// nameFor returns the name of the first effective record that is not removed, or of the first record if all are removed.
func nameFor(effective []*record) string {
	for _, r := range effective {
		if r.state != Removed {
			return r.endpoint.Name
		}
	}
	return effective[0].endpoint.Name
}

// isSameStart reports whether two start times, in milliseconds, are close enough to belong to one instance.
func (m *Merge) isSameStart(a, b float64) bool {
	d := a - b
	return max(d, -d) <= m.startToleranceMs()
}

func (m *Merge) startToleranceMs() float64 {
	return float64(m.options.StartTimeTolerance.D().Milliseconds())
}
