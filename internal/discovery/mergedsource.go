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

// maxLoggedChanges bounds the changes that are logged for one input.
const maxLoggedChanges = 16

// NamedSource is one source of a MergedSource.
type NamedSource struct {
	Name    string          // for the log
	Source  Source          // nil: its lists come by MergedSource.Update
	Initial *endpoints.List // that it is known to have to begin with; nil: none
	Primary bool            // ranked first, and its signs of life and its loss are passed on, as with a source alone
}

// MergedSource is a Source that follows several and reports the merged list of package membership. Its methods are safe for concurrent
// use, but for Add, Remove and Replace, which come one after another.
type MergedSource struct {
	log *slog.Logger
	now func() time.Time

	mu      sync.Mutex // one input after another, through the merge and to the sink
	merge   *membership.Merge
	sink    Sink            // nil: before Attach and Run
	pending *endpoints.List // for the sink once there is one
	version int64           // of the merged list
	timer   *time.Timer     // of merge
	sources map[string]*followedSource
	ctx     context.Context // of Run; nil before
	stopped bool
	running sync.WaitGroup
}

var _ Source = (*MergedSource)(nil)

// followedSource is a source and, once it runs, the means to stop it.
type followedSource struct {
	NamedSource
	cancel context.CancelFunc
	ended  chan struct{}
}

// NewMergedSource returns a MergedSource that follows sources, ranked in this order.
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

// Load returns the merged list that is known to begin with. It is not reported again.
func (m *MergedSource) Load() *endpoints.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = nil
	return m.snapshot()
}

// snapshot returns the whole merged list; the caller holds mu.
func (m *MergedSource) snapshot() *endpoints.List {
	version := m.version
	return &endpoints.List{Index: &version, Snapshot: true, Endpoints: m.merge.List()}
}

// Add follows another source.
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

// Remove stops a source. What only it listed is removed when Remove returns.
func (m *MergedSource) Remove(name string) {
	if m.stop(name) == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sources, name)
	m.publish(m.merge.RemoveSource(m.now(), name))
}

// Replace follows another source in place of the one of that name, whose last list stands until the new one reports.
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

// Source returns the source of that name; nil: there is none.
func (m *MergedSource) Source(name string) Source {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.sources[name]; f != nil {
		return f.Source
	}
	return nil
}

// Update takes a list for a source that does not run, such as the entries of the operator's file.
func (m *MergedSource) Update(name string, l *endpoints.List) {
	(&sourceSink{merged: m, name: name}).Update(l)
}

// Configure changes the options of the merge.
func (m *MergedSource) Configure(o membership.Options) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge.Configure(o)
}

// Refresh refreshes the primary sources.
func (m *MergedSource) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.sources {
		if f.Primary && f.Source != nil {
			f.Source.Refresh()
		}
	}
}

// Attach has sink hear of lists that come before Run, which is to be called with the same sink.
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

// Run follows all sources until ctx ends.
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

// stop stops a source, waits for its end and returns it; nil: there is none of that name.
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

// report passes changes on to the sink. Before there is one, the whole list is kept for it.
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
			m.log.Info("membership: more changes", "upstreams", len(o.Changes)-maxLoggedChanges)
			break
		}
		if c.Status != endpoints.StatusReady {
			m.log.Info("membership", "upstream", c.Name, "status", c.Status, "reason", c.Reason)
		}
	}
}

// setTimer sets the timer of the merge while Run follows the sources; the caller holds mu.
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

// sourceSink is the Sink of one source.
type sourceSink struct {
	merged  *MergedSource
	name    string
	primary bool
}

// Update merges a list or a change. The primary source's list is current also where that changes nothing.
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

// Current merges that the source is current.
func (s *sourceSink) Current() {
	m := s.merged
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(m.merge.Current(m.now(), s.name))
	if s.primary && m.sink != nil {
		m.sink.Current()
	}
}

// Lost merges that the source is lost.
func (s *sourceSink) Lost(err error, retries bool) {
	m := s.merged
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(m.merge.Lost(m.now(), s.name))
	if s.primary && m.sink != nil {
		m.sink.Lost(err, retries)
	}
}
