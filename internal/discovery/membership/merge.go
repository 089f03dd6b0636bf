package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// The limits of a Merge.
const (
	MaxSources = 8
	MaxEntries = 20_000 // maximum per source; further entries are ignored, and a note gives their number
	maxNotes   = 16     // maximum per input; further notes are only counted
)

// Change is a change of the merged list. Its Status is one of the statuses that package endpoints defines.
type Change struct {
	endpoints.Endpoint
	Reason string
}

// Output is the result of an input of a Merge.
type Output struct {
	Changes []Change // sorted by name
	Notes   []string // log messages about sources, and about decisions that do not change the merged list
}

// Merge merges the endpoint lists of its sources. It is not safe for concurrent use. The time passed to it must not go back.
type Merge struct {
	options  Options
	now      time.Time
	sequence uint64 // number of record changes so far

	sources       []*source // by rank: the properties of an upstream come from the first source that lists it
	sourcesByName map[string]*source

	recordsByName    map[string][]*record
	recordsByAddress map[string][]*record
	dirty            map[*record]bool // records that must be merged again

	upstreams  map[string]*upstream // by name; removed upstreams are remembered for FlapWindow
	touched    map[*upstream]bool   // upstreams that a dirty record was merged into
	readyCount int                  // upstreams that are ready
	heldCount  int                  // upstreams that are held back for flapping

	timers       timerHeap
	notes        []string
	omittedNotes int // number of notes beyond maxNotes, which are not stored
}

// New returns a Merge without sources.
func New(o Options) *Merge {
	return &Merge{
		options:          o,
		sourcesByName:    map[string]*source{},
		recordsByName:    map[string][]*record{},
		recordsByAddress: map[string][]*record{},
		dirty:            map[*record]bool{},
		upstreams:        map[string]*upstream{},
		touched:          map[*upstream]bool{},
	}
}

// AddSource adds a source with an empty list. It is ranked behind the other sources, or before them if the parameter first is set.
func (m *Merge) AddSource(name string, first bool) error {
	if m.sourcesByName[name] != nil {
		return fmt.Errorf("adding source: name %q is already in use", name)
	}
	if len(m.sources) >= MaxSources {
		return fmt.Errorf("adding source: the limit of %d sources is reached", MaxSources)
	}
	s := &source{name: name, records: map[string]*record{}}
	m.sourcesByName[name] = s
	if first {
		m.sources = slices.Insert(m.sources, 0, s)
	} else {
		m.sources = append(m.sources, s)
	}
	m.setRanks()
	return nil
}

// Configure replaces the options. The new options apply to an upstream when its records are merged the next time.
func (m *Merge) Configure(o Options) { m.options = o }

// RemoveSource removes a source that an operator has removed from the configuration. Upstreams that only this source listed are removed
// immediately.
func (m *Merge) RemoveSource(now time.Time, name string) Output {
	s := m.begin(now, name)
	if s == nil {
		return Output{}
	}
	for _, r := range s.records {
		m.forgetRecord(r)
	}
	delete(m.sourcesByName, name)
	m.sources = slices.DeleteFunc(m.sources, func(x *source) bool { return x == s })
	m.setRanks()
	m.note("source %s is no longer followed", name)
	return m.end()
}

func (m *Merge) setRanks() {
	for i, s := range m.sources {
		s.rank = i
	}
}

// Update applies a source's snapshot or changes.
func (m *Merge) Update(now time.Time, name string, l *endpoints.List) Output {
	s := m.begin(now, name)
	if s == nil {
		return Output{}
	}
	m.recoverSource(s)
	listed := make(map[string]bool, len(l.Endpoints))
	var removed []*record
	leftOut := 0
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		listed[e.Name] = true
		state := stateOf(e.Status)
		r := s.records[e.Name]
		switch {
		case state == Removed:
			if r != nil && r.state != Removed {
				removed = append(removed, r)
			}
		case r == nil && len(s.records) >= MaxEntries:
			leftOut++
		default:
			m.setRecord(s, r, e, state)
		}
	}
	if l.Snapshot {
		for name, r := range s.records {
			if !listed[name] && r.state != Removed {
				removed = append(removed, r)
			}
		}
	}
	if leftOut > 0 && leftOut != s.leftOut {
		m.note("source %s lists more than %d upstreams: %d are left out", s.name, MaxEntries, leftOut)
	}
	s.leftOut = leftOut
	m.applyRemovals(s, removed)
	return m.end()
}

// Current records that a source is healthy and has no changes.
func (m *Merge) Current(now time.Time, name string) Output {
	if s := m.begin(now, name); s != nil {
		m.recoverSource(s)
	}
	return m.end()
}

// Lost records that a source is silent or broken.
func (m *Merge) Lost(now time.Time, name string) Output {
	if s := m.begin(now, name); s != nil && !s.isLost() {
		m.loseSource(s)
	}
	return m.end()
}

// Tick advances the time. The caller must call Tick at the time that Next returns, and may call it at any other time.
func (m *Merge) Tick(now time.Time) Output {
	m.begin(now, "")
	return m.end()
}

// Next returns the time at which Tick is due, or the zero time if no timer is set.
func (m *Merge) Next() time.Time {
	if len(m.timers) == 0 {
		return time.Time{}
	}
	return m.timers[0].at
}

// List returns the merged list, sorted by name.
func (m *Merge) List() []endpoints.Endpoint {
	list := make([]endpoints.Endpoint, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		if u.listed {
			list = append(list, u.endpoint)
		}
	}
	slices.SortFunc(list, func(a, b endpoints.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// begin is called first by each method that handles an input. It advances the time, fires the timers that are due, and
// returns the source called name, or nil if there is none.
func (m *Merge) begin(now time.Time, name string) *source {
	if now.After(m.now) {
		m.now = now
	}
	m.fireTimers()
	return m.sourcesByName[name]
}

// end finishes an input. It merges the dirty records again and returns the output.
func (m *Merge) end() Output {
	out := Output{Changes: m.mergeDirty(), Notes: m.notes}
	if m.omittedNotes > 0 {
		out.Notes = append(out.Notes, fmt.Sprintf("and %d more notes", m.omittedNotes))
	}
	m.notes, m.omittedNotes = nil, 0
	return out
}

func (m *Merge) note(format string, args ...any) {
	if len(m.notes) >= maxNotes {
		m.omittedNotes++
		return
	}
	m.notes = append(m.notes, fmt.Sprintf(format, args...))
}
