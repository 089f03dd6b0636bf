package discovery

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/endpoints"
)

// maxLoggedChanges is the maximum number of changes that are logged for one input of the merge.
const maxLoggedChanges = 16

// NamedSource is one source of a MergedSource, with its name and rank.
type NamedSource struct {
	Name    string          // for the log
	Source  Source          // if nil, the lists come from MergedSource.Update
	Initial *endpoints.List // list to start with, or nil
	Primary bool            // ranked first; only a primary source's Current and Lost reports are forwarded to the sink
}

// MergedSource is a Source that follows several sources and reports the list that package membership merges from theirs. Its methods are
// safe for concurrent use, except that calls of Add, Remove and Replace must not overlap.
type MergedSource struct {
	log *slog.Logger
	now func() time.Time

	mu      sync.Mutex // held from an input of the merge until its output was reported to the sink
	merge   *membership.Merge
	sink    Sink            // nil before Attach or Run
	pending *endpoints.List // list to report as soon as there is a sink, or nil
	version int64           // version of the merged list
	timer   *time.Timer     // calls tick when merge.Next is due
	sources map[string]*followedSource
	ctx     context.Context // context of Run; nil before Run
	stopped bool
	running sync.WaitGroup
}

var _ Source = (*MergedSource)(nil)

// followedSource is a source and, while it runs, the functions to stop it and to wait for its end.
type followedSource struct {
	NamedSource
	cancel context.CancelFunc
	ended  chan struct{}
}

// NewMergedSource returns a MergedSource that follows sources. It ranks the sources in the given order, but primary sources first.
func NewMergedSource(o membership.Options, log *slog.Logger, sources ...NamedSource) (*MergedSource, error) {
	m := &MergedSource{log: cmp.Or(log, slog.New(slog.DiscardHandler)), merge: membership.New(o), now: time.Now, sources: map[string]*followedSource{}}
	m.timer = time.AfterFunc(time.Hour, m.tick)
	m.timer.Stop()
	for _, s := range sources {
		if err := m.Add(s); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Load returns the list merged from the initial lists. Run does not report this list to the sink again.
func (m *MergedSource) Load() *endpoints.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = nil
	return m.snapshot()
}

// snapshot returns the complete merged list; the caller holds mu.
func (m *MergedSource) snapshot() *endpoints.List {
	version := m.version
	return &endpoints.List{Index: &version, Snapshot: true, Endpoints: m.merge.List()}
}

// Add adds a source and, while Run is running, follows it.
func (m *MergedSource) Add(s NamedSource) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.merge.AddSource(s.Name, s.Primary); err != nil {
		return err
	}
	f := &followedSource{NamedSource: s}
	m.sources[s.Name] = f
	if s.Initial != nil {
		m.publish(m.merge.Update(m.now(), s.Name, s.Initial))
	}
	if m.ctx != nil {
		m.start(f)
	}
	return nil
}

// Remove stops and removes a source. When Remove returns, the endpoints that only this source listed are removed from the merged list.
func (m *MergedSource) Remove(name string) {
	if m.stop(name) == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sources, name)
	m.publish(m.merge.RemoveSource(m.now(), name))
}

// Replace replaces the source of the given name. The previous source's last list stays in use until the new source reports a list.
func (m *MergedSource) Replace(name string, source Source) {
	f := m.stop(name)
	if f == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := &followedSource{NamedSource: f.NamedSource}
	next.Source = source
	m.sources[name] = next
	if m.ctx != nil {
		m.start(next)
	}
}

// Source returns the source of the given name, or nil if there is none.
func (m *MergedSource) Source(name string) Source {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.sources[name]; f != nil {
		return f.Source
	}
	return nil
}

// Update merges a list for the source of the given name. It is used if NamedSource.Source is nil, as for the entries in the operator's file.
func (m *MergedSource) Update(name string, l *endpoints.List) {
	(&sourceSink{merged: m, name: name}).Update(l)
}

// Configure changes the options of the merge.
func (m *MergedSource) Configure(o membership.Options) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge.Configure(o)
}

// Refresh calls Refresh of the primary sources.
func (m *MergedSource) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.sources {
		if f.Primary && f.Source != nil {
			f.Source.Refresh()
		}
	}
}

// Attach sets the sink for lists that arrive before Run. Run must be called with the same sink.
func (m *MergedSource) Attach(sink Sink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attach(sink)
}

func (m *MergedSource) attach(sink Sink) {
	m.sink = sink
	if l := m.pending; l != nil {
		m.pending = nil
		sink.Update(l)
	}
}

// Run follows all sources until ctx is done.
func (m *MergedSource) Run(ctx context.Context, sink Sink) {
	m.mu.Lock()
	m.ctx = ctx
	m.attach(sink)
	for _, f := range m.sources {
		m.start(f)
	}
	m.setTimer()
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	m.stopped = true
	m.timer.Stop()
	m.mu.Unlock()
	m.running.Wait()
}

// start follows a source in a goroutine; the caller holds mu.
func (m *MergedSource) start(f *followedSource) {
	if f.Source == nil || m.stopped {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	f.cancel, f.ended = cancel, make(chan struct{})
	m.running.Go(func() {
		defer close(f.ended)
		f.Source.Run(ctx, &sourceSink{merged: m, name: f.Name, primary: f.Primary})
	})
}

// stop stops a source, waits for its end and returns it. It returns nil if there is no source of the given name.
func (m *MergedSource) stop(name string) *followedSource {
	m.mu.Lock()
	f := m.sources[name]
	m.mu.Unlock()
	if f != nil && f.cancel != nil {
		f.cancel()
		<-f.ended
	}
	return f
}

// publish logs the output of the merge and reports its changes to the sink; the caller holds mu.
func (m *MergedSource) publish(o membership.Output) {
	m.logOutput(o)
	if len(o.Changes) > 0 {
		m.version++
		m.report(o.Changes)
	}
	m.setTimer()
}

// report reports changes to the sink. If there is no sink yet, report stores the complete list for it. The caller holds mu.
func (m *MergedSource) report(changes []membership.Change) {
	if m.sink == nil {
		m.pending = m.snapshot()
		return
	}
	version := m.version
	l := &endpoints.List{Index: &version, Endpoints: make([]endpoints.Endpoint, len(changes))}
	for i, c := range changes {
		l.Endpoints[i] = c.Endpoint
	}
	m.sink.Update(l)
}

func (m *MergedSource) logOutput(o membership.Output) {
	for _, note := range o.Notes {
		m.log.Warn("membership: " + note)
	}
	for i, c := range o.Changes {
		if i == maxLoggedChanges {
			m.log.Info("membership: further changes are not logged", "upstreams", len(o.Changes)-maxLoggedChanges)
			break
		}
		if c.Status != endpoints.StatusReady {
			m.log.Info("membership", "upstream", c.Name, "status", c.Status, "reason", c.Reason)
		}
	}
}

// setTimer sets the timer to the merge's next due time while Run is running. The caller holds mu.
func (m *MergedSource) setTimer() {
	if m.stopped || m.ctx == nil {
		return
	}
	if next := m.merge.Next(); !next.IsZero() {
		m.timer.Reset(max(0, next.Sub(m.now())))
	}
}

func (m *MergedSource) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.publish(m.merge.Tick(m.now()))
	}
}

// sourceSink is the Sink of one source of a MergedSource.
type sourceSink struct {
	merged  *MergedSource
	name    string
	primary bool
}

// Update merges a snapshot or an incremental change. If the source is primary, Update also reports to the sink that the list is current,
// even if the merged list does not change.
func (s *sourceSink) Update(l *endpoints.List) {
	m := s.merged
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.publish(m.merge.Update(m.now(), s.name, l))
	if s.primary && m.sink != nil {
		m.sink.Current()
	}
}

// Current notifies the merge that the source is current, and the sink as well if the source is primary.
func (s *sourceSink) Current() {
	m := s.merged
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(m.merge.Current(m.now(), s.name))
	if s.primary && m.sink != nil {
		m.sink.Current()
	}
}

// Lost notifies the merge that the source is lost, and the sink as well if the source is primary.
func (s *sourceSink) Lost(err error, retries bool) {
	m := s.merged
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(m.merge.Lost(m.now(), s.name))
	if s.primary && m.sink != nil {
		m.sink.Lost(err, retries)
	}
}
