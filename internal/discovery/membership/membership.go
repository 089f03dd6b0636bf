// Package membership merges what several sources say about a service's upstreams into the one list that the module and the
// directory get. It is a state machine: it is told what came from which source and what time it is, and answers with the
// changes of the merged list, each with its reason. It does no I/O and has no clock. docs/design/membership.md has the
// table of all pairs of states.
//
// A source's list is of directory.Endpoint, as everywhere; besides StatusReady, StatusTerminating and StatusGone the Status
// may be one of this package's, which only a Merge understands.
package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// What a source may say of an upstream besides the directory's words.
const (
	StatusStarting     = "Starting"     // not yet
	StatusUnknown      = "Unknown"      // the source does not know
	StatusOutOfService = "OutOfService" // taken out by an operator
	StatusDown         = "Down"         // its own check says so
)

// The bounds of a Merge.
const (
	MaxSources = 8
	MaxEntries = 20_000 // of a source; what is beyond is left out, and counted in a note
	maxNotes   = 16     // notes about single upstreams of one input; the rest is counted
)

// Change is a change of the merged list: Status is one of the directory's three words.
type Change struct {
	endpoints.Endpoint
	Reason string
}

// Output is what an input led to.
type Output struct {
	Changes []Change // in order of the names
	Notes   []string // about sources, and what was decided that changed nothing: for the log
}

// Merge is the state machine. It is not safe for concurrent use. Time must not go back.
type Merge struct {
	o      Options
	now    time.Time
	seq    uint64
	ranked []*source // the first one's word counts for what is no matter of state
	named  map[string]*source
	byID   map[string][]*record
	byAddr map[string][]*record
	nodes  map[string]*node // as told, by name; those that went are remembered for a while
	ready  int              // of nodes
	held   int              // of nodes: ready but for their flapping
	timers timers

	dirty   map[*record]bool
	touched map[*node]bool
	notes   []string
	more    int // notes beyond maxNotes
}

// source is one list.
type source struct {
	name    string
	rank    int
	records map[string]*record
	up      int       // records that say up, doubted ones included
	lost    time.Time // since when it is silent; zero: it stands
	doubted int
	vanish  []vanished // within MassRemovalWindow
	left    int        // entries that were left out
	lostAt  int        // up when it was lost
}

type vanished struct {
	at time.Time
	r  *record
}

// record is what one source says of one upstream.
type record struct {
	src     *source
	e       endpoints.Endpoint
	state   State
	told    time.Time // when the source first said this state
	seq     uint64    // of the last change in what it says
	until   time.Time // of Gone: how long that counts; of a doubted one: how long it is not believed
	doubted bool      // the source lacks it, and is not believed yet
	aged    bool      // withdrawn: its source has been silent for too long
	in      *node
	was     *node     // during settle: in before
	due     time.Time // of its timer; zero: there is none
	removed bool
}

// node is an upstream of the merged list.
type node struct {
	name    string
	e       endpoints.Endpoint
	reason  string
	records map[*record]bool
	told    bool // it is in the merged list, ready or not
	counted bool // in Merge.ready
	flips   []time.Time
	hold    time.Time // it flaps: not ready before this
	isHeld  bool
	inHeld  bool      // in Merge.held
	ended   time.Time // when it went
	due     time.Time // of its timer; zero: there is none
}

// New returns a Merge without sources.
func New(o Options) *Merge {
	return &Merge{o: o, named: map[string]*source{}, byID: map[string][]*record{}, byAddr: map[string][]*record{},
		nodes: map[string]*node{}, dirty: map[*record]bool{}, touched: map[*node]bool{}}
}

// AddSource makes a source known, ranked behind those there are, or before them. It lists nothing yet.
func (m *Merge) AddSource(name string, first bool) error {
	if m.named[name] != nil {
		return fmt.Errorf("source %q is there already", name)
	}
	if len(m.ranked) >= MaxSources {
		return fmt.Errorf("%d sources at most", MaxSources)
	}
	s := &source{name: name, rank: len(m.ranked), records: map[string]*record{}}
	m.named[name] = s
	if first {
		m.ranked = slices.Insert(m.ranked, 0, s)
	} else {
		m.ranked = append(m.ranked, s)
	}
	m.rank()
	return nil
}

// Configure changes the windows; what has been decided stands until it is looked at again.
func (m *Merge) Configure(o Options) { m.o = o }

// RemoveSource forgets a source: what it said counts no more, and what only it said is withdrawn at once, since an operator
// wants that.
func (m *Merge) RemoveSource(now time.Time, name string) Output {
	s := m.begin(now, name)
	if s == nil {
		return Output{}
	}
	for _, r := range s.records {
		m.drop(r)
	}
	delete(m.named, name)
	m.ranked = slices.DeleteFunc(m.ranked, func(x *source) bool { return x == s })
	m.rank()
	m.note("source %s is no longer followed", name)
	return m.end()
}

func (m *Merge) rank() {
	for i, s := range m.ranked {
		s.rank = i
	}
}

// Update takes a source's list, whole or what changed in it.
func (m *Merge) Update(now time.Time, name string, l *endpoints.List) Output {
	s := m.begin(now, name)
	if s == nil {
		return Output{}
	}
	m.back(s)
	listed := make(map[string]bool, len(l.Endpoints))
	var gone []*record
	leftOut := 0
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		listed[e.Name] = true
		state := stateOf(e.Status)
		r := s.records[e.Name]
		switch {
		case state == Removed:
			if r != nil && r.state != Removed {
				gone = append(gone, r)
			}
		case r == nil && len(s.records) >= MaxEntries:
			leftOut++
		default:
			m.put(s, r, e, state)
		}
	}
	if l.Snapshot {
		for id, r := range s.records {
			if !listed[id] && r.state != Removed {
				gone = append(gone, r)
			}
		}
	}
	if leftOut > 0 && leftOut != s.left {
		m.note("source %s lists more than %d upstreams: %d are left out", s.name, MaxEntries, leftOut)
	}
	s.left = leftOut
	m.vanish(s, gone)
	return m.end()
}

// Current says that a source stands and has nothing new.
func (m *Merge) Current(now time.Time, name string) Output {
	if s := m.begin(now, name); s != nil {
		m.back(s)
	}
	return m.end()
}

// Lost says that a source is silent or broken.
func (m *Merge) Lost(now time.Time, name string) Output {
	if s := m.begin(now, name); s != nil && s.lost.IsZero() {
		s.lost, s.lostAt = now, s.up
		m.note("source %s is lost: what it said last is kept for %v", s.name, m.o.SilentSourceHold.D())
		m.at(now.Add(m.o.SilentSourceHold.D()), s, nil, nil)
	}
	return m.end()
}

// Tick lets time pass: what was due by now happens.
func (m *Merge) Tick(now time.Time) Output {
	m.begin(now, "")
	return m.end()
}

// Next is when Tick is due; zero: nothing is waited for.
func (m *Merge) Next() time.Time {
	if len(m.timers) == 0 {
		return time.Time{}
	}
	return m.timers[0].at
}

// List is the whole merged list, in order of the names.
func (m *Merge) List() []endpoints.Endpoint {
	list := make([]endpoints.Endpoint, 0, len(m.nodes))
	for _, n := range m.nodes {
		if n.told {
			list = append(list, n.e)
		}
	}
	slices.SortFunc(list, func(a, b endpoints.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (m *Merge) begin(now time.Time, name string) *source {
	if now.After(m.now) {
		m.now = now
	}
	m.fire()
	return m.named[name]
}

// end works through what is dirty.
func (m *Merge) end() Output {
	out := Output{Changes: m.settle(), Notes: m.notes}
	if m.more > 0 {
		out.Notes = append(out.Notes, fmt.Sprintf("and %d more", m.more))
	}
	m.notes, m.more = nil, 0
	return out
}

func (m *Merge) note(format string, args ...any) {
	if len(m.notes) >= maxNotes {
		m.more++
		return
	}
	m.notes = append(m.notes, fmt.Sprintf(format, args...))
}

// back takes a source for standing again.
func (m *Merge) back(s *source) {
	if s.lost.IsZero() {
		return
	}
	m.note("source %s is back after %v", s.name, m.now.Sub(s.lost).Round(time.Millisecond))
	overdue := m.agedOut(s)
	s.lost = time.Time{}
	for _, r := range s.records {
		if r.aged || overdue {
			r.aged = false
			m.dirty[r] = true
		}
	}
}

// agedOut tells whether a source has been silent for so long that its word counts only where it is the only one.
func (m *Merge) agedOut(s *source) bool {
	return !s.lost.IsZero() && m.now.Sub(s.lost) >= m.o.SilentSourceHold.D()
}

// put takes what a source says of an upstream.
func (m *Merge) put(s *source, r *record, e *endpoints.Endpoint, state State) {
	if r != nil && !r.doubted && !r.aged && r.state == state && r.e == *e {
		return
	}
	m.seq++
	if r == nil {
		r = &record{src: s, e: *e, state: Absent}
		s.records[e.Name] = r
		m.index(r)
		if n := m.nodes[e.Name]; n != nil { // a process that kept a name which is now somebody's
			for other := range n.records {
				m.dirty[other] = true
			}
		}
	} else if r.e.Address != e.Address {
		m.touch(r)
		m.unindex(r)
		r.e = *e
		m.index(r)
	}
	if r.doubted {
		s.doubted--
		r.doubted = false
	}
	m.setState(r, state)
	r.e, r.seq, r.aged = *e, m.seq, false
	m.dirty[r] = true
}

func (m *Merge) setState(r *record, state State) {
	if r.state == state {
		return
	}
	if r.state == Up {
		r.src.up--
	}
	if state == Up {
		r.src.up++
	}
	r.state, r.told, r.until = state, m.now, time.Time{}
}

// vanish takes what a source lacks now. Where that is most of what it had, it is not believed for a while: a registry
// that has just started, or is cut off from its nodes, knows few. What was said in words, such as a drain, is never
// doubted; and where another source says the same of a node, that one's word counts at once.
func (m *Merge) vanish(s *source, gone []*record) {
	s.vanish = slices.DeleteFunc(s.vanish, func(v vanished) bool {
		return m.now.Sub(v.at) > m.o.MassRemovalWindow.D() || v.r.removed || v.r.state != Removed
	})
	lost := 0
	for _, r := range gone {
		if r.state == Up && !r.doubted {
			lost++
		}
	}
	recent := len(s.vanish) + s.doubted + lost
	remain := s.up - s.doubted - lost
	doubt := lost > 0 && m.o.MassRemovalHold > 0 &&
		(remain == 0 || recent > 1 && float64(recent) > m.o.MassRemovalFraction*float64(remain+recent))
	if doubt {
		m.note("source %s lacks %d of %d upstreams at once: not believed for %v", s.name, recent, remain+recent, m.o.MassRemovalHold.D())
		for _, v := range s.vanish { // those that went just before belong to it
			m.setState(v.r, Up)
			m.doubt(v.r)
		}
		s.vanish = nil
	}
	for _, r := range gone {
		switch {
		case r.doubted: // as before
		case doubt && r.state == Up:
			m.doubt(r)
		default:
			if r.state == Up {
				s.vanish = append(s.vanish, vanished{m.now, r})
			}
			m.gone(r)
		}
	}
}

func (m *Merge) doubt(r *record) {
	r.doubted = true
	r.src.doubted++
	r.until = m.now.Add(m.o.MassRemovalHold.D())
	m.dirty[r] = true
	m.at(r.until, nil, r, nil)
}

// gone believes that an upstream has gone; that counts for a while, against others that still say up.
func (m *Merge) gone(r *record) {
	if r.doubted {
		r.src.doubted--
		r.doubted = false
	}
	m.seq++
	r.seq = m.seq
	m.setState(r, Removed)
	r.until = m.now.Add(m.o.RemovalHold.D())
	m.dirty[r] = true
	m.at(r.until, nil, r, nil)
}

// drop forgets a record.
func (m *Merge) drop(r *record) {
	m.touch(r)
	if r.state == Up {
		r.src.up--
	}
	if r.doubted {
		r.src.doubted--
	}
	m.unindex(r)
	delete(r.src.records, r.e.Name)
	delete(m.dirty, r)
	r.removed = true
	if r.in != nil {
		delete(r.in.records, r)
		r.in = nil
	}
}

// touch has all that was merged with a record looked at again.
func (m *Merge) touch(r *record) {
	if r.in == nil {
		return
	}
	m.touched[r.in] = true
	for other := range r.in.records {
		if other != r {
			m.dirty[other] = true
		}
	}
}

func (m *Merge) index(r *record) {
	m.byID[r.e.Name] = append(m.byID[r.e.Name], r)
	if r.e.Address != "" {
		m.byAddr[r.e.Address] = append(m.byAddr[r.e.Address], r)
	}
}

func (m *Merge) unindex(r *record) {
	remove := func(from map[string][]*record, key string) {
		left := slices.DeleteFunc(from[key], func(x *record) bool { return x == r })
		if len(left) == 0 {
			delete(from, key)
			return
		}
		from[key] = left
	}
	remove(m.byID, r.e.Name)
	if r.e.Address != "" {
		remove(m.byAddr, r.e.Address)
	}
}

// timer is one thing that is due.
type timer struct {
	at time.Time
	s  *source
	r  *record
	n  *node
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// at sets a timer; of a record and a node the earliest counts, which is set again where it comes too early.
func (m *Merge) at(when time.Time, s *source, r *record, n *node) {
	var due *time.Time
	switch {
	case r != nil:
		due = &r.due
	case n != nil:
		due = &n.due
	}
	if due != nil {
		if !due.IsZero() && !when.Before(*due) {
			return
		}
		*due = when
	}
	heap.Push(&m.timers, timer{when, s, r, n})
}

func (m *Merge) fire() {
	for len(m.timers) > 0 && !m.timers[0].at.After(m.now) {
		t := heap.Pop(&m.timers).(timer)
		switch {
		case t.s != nil:
			m.age(t.s)
		case t.r != nil && t.r.due.Equal(t.at):
			t.r.due = time.Time{}
			m.recordDue(t.r)
		case t.n != nil && t.n.due.Equal(t.at):
			t.n.due = time.Time{}
			m.nodeDue(t.n)
		}
	}
}

func (m *Merge) recordDue(r *record) {
	switch {
	case r.removed || r.until.IsZero():
	case r.until.After(m.now):
		m.at(r.until, nil, r, nil)
	case r.doubted:
		m.note("source %s still lacks %s: believed", r.src.name, r.e.Name)
		m.gone(r)
	case r.state == Removed:
		m.drop(r)
	}
}

// age withdraws what only a source that has been silent for long says, a tenth of it at a time, as long as another source
// stands; the last list is never emptied for want of sources.
func (m *Merge) age(s *source) {
	if m.named[s.name] != s || s.lost.IsZero() {
		return
	}
	if due := s.lost.Add(m.o.SilentSourceHold.D()); due.After(m.now) { // it was back meanwhile, and is lost again
		m.at(due, s, nil, nil)
		return
	}
	stands := slices.ContainsFunc(m.ranked, func(x *source) bool { return x != s && x.lost.IsZero() && x.up > 0 })
	left := max(1, (s.lostAt+9)/10)
	if !stands {
		left = 0
	}
	waiting := false
	for _, id := range sortedIDs(s.records) {
		r := s.records[id]
		switch {
		case r.aged || r.state == Removed:
		case r.in != nil && len(r.in.records) > 1: // others speak of it too, and are heard alone from now on
			m.dirty[r] = true
		case left > 0:
			left--
			r.aged = true
			m.dirty[r] = true
			m.note("source %s has been silent for %v: %s, which only it lists, is withdrawn", s.name, m.now.Sub(s.lost).Round(time.Second), id)
		default:
			waiting = true
		}
	}
	if waiting || !stands {
		m.at(m.now.Add(max(m.o.SilentSourceHold.D()/10, time.Second)), s, nil, nil)
	}
}

func sortedIDs(records map[string]*record) []string {
	ids := make([]string, 0, len(records))
	for id := range records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Merge) nodeDue(n *node) {
	switch {
	case m.nodes[n.name] != n:
	case !n.hold.IsZero() && n.hold.After(m.now):
		m.at(n.hold, nil, nil, n)
	case n.isHeld:
		for r := range n.records {
			m.dirty[r] = true
		}
	case !n.told && m.now.Sub(n.ended) >= m.o.FlapWindow.D():
		delete(m.nodes, n.name)
	case !n.told:
		m.at(n.ended.Add(m.o.FlapWindow.D()), nil, nil, n)
	}
}
