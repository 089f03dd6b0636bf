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

// NamedSource is a Source of a Merged, by the name that the log calls it.
type NamedSource struct {
	Name    string
	Source  Source
	Initial *endpoints.List // what it is known to list to begin with; nil: nothing
	Primary bool            // it is first in rank, and its silence and its signs of life are the module's to know, as with a list alone
}

// MergedSource is a Source that follows several, and tells what membership makes of them. Sources come and go while it runs.
type MergedSource struct {
	log   *slog.Logger
	merge *membership.Merge
	now   func() time.Time

	mu      sync.Mutex // of the merge, and of what is told: one input after another
	sink    Sink       // nil: Run has not begun
	pending *endpoints.List
	running map[string]*followed
	timer   *time.Timer
	version int64
	ctx     context.Context
	over    bool
	done    sync.WaitGroup
}

type followed struct {
	NamedSource
	stop context.CancelFunc
	over chan struct{}
}

var _ Source = (*MergedSource)(nil)

// NewMergedSource returns one that follows sources, the first of them first in rank.
func NewMergedSource(o membership.Options, log *slog.Logger, sources ...NamedSource) (*MergedSource, error) {
	m := &MergedSource{log: cmp.Or(log, slog.New(slog.DiscardHandler)), merge: membership.New(o), now: time.Now, running: map[string]*followed{}}
	m.timer = time.AfterFunc(time.Hour, m.tick)
	m.timer.Stop()
	for _, s := range sources {
		if err := m.Add(s); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Load is the merged list of what is known to begin with; it is not told again.
func (m *MergedSource) Load() *endpoints.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = nil
	version := m.version
	return &endpoints.List{Index: &version, Snapshot: true, Endpoints: m.merge.List()}
}

// Add follows one source more.
func (m *MergedSource) Add(s NamedSource) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.merge.AddSource(s.Name, s.Primary); err != nil {
		return err
	}
	f := &followed{NamedSource: s}
	m.running[s.Name] = f
	if s.Initial != nil {
		m.tell(m.merge.Update(m.now(), s.Name, s.Initial))
	}
	if m.ctx != nil {
		m.start(f)
	}
	return nil
}

// halt ends the following of a source; nil: there is none of that name.
func (m *MergedSource) halt(name string) *followed {
	m.mu.Lock()
	f := m.running[name]
	m.mu.Unlock()
	if f != nil && f.stop != nil {
		f.stop()
		<-f.over
	}
	return f
}

// Remove ends a source; what only it listed is gone when Remove returns. Add, Remove and Replace come one after another.
func (m *MergedSource) Remove(name string) {
	if m.halt(name) == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, name)
	m.tell(m.merge.RemoveSource(m.now(), name))
}

// Replace follows another source in place of the one of that name: what that one said stands until the new one has told.
func (m *MergedSource) Replace(name string, source Source) {
	f := m.halt(name)
	if f == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := &followed{NamedSource: f.NamedSource}
	next.Source = source
	m.running[name] = next
	if m.ctx != nil {
		m.start(next)
	}
}

// Source is the one of that name; nil: there is none.
func (m *MergedSource) Source(name string) Source {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.running[name]; f != nil {
		return f.Source
	}
	return nil
}

// Update takes a list for a source that has no life of its own, such as entries of a file.
func (m *MergedSource) Update(name string, l *endpoints.List) { (&input{m, name, false}).Update(l) }

// Configure changes the windows of the merge.
func (m *MergedSource) Configure(o membership.Options) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge.Configure(o)
}

// Refresh is Source's: those that lead are asked.
func (m *MergedSource) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.running {
		if f.Primary && f.Source != nil {
			f.Source.Refresh()
		}
	}
}

// Attach has sink told of what Update brings already before Run, which is to be given the same.
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

// Run is Source's.
func (m *MergedSource) Run(ctx context.Context, sink Sink) {
	m.mu.Lock()
	m.ctx = ctx
	m.attach(sink)
	for _, f := range m.running {
		m.start(f)
	}
	m.arm()
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	m.over = true
	m.timer.Stop()
	m.mu.Unlock()
	m.done.Wait()
}

// start follows a source beside the others.
func (m *MergedSource) start(f *followed) {
	if f.Source == nil || m.over {
		return
	}
	ctx, stop := context.WithCancel(m.ctx)
	f.stop, f.over = stop, make(chan struct{})
	m.done.Go(func() {
		defer close(f.over)
		f.Source.Run(ctx, &input{m, f.Name, f.Primary})
	})
}

// tell passes on what an input led to.
func (m *MergedSource) tell(o membership.Output) {
	for _, note := range o.Notes {
		m.log.Warn("membership: " + note)
	}
	for i, c := range o.Changes {
		if i == maxTold {
			m.log.Info("membership: more changes", "upstreams", len(o.Changes)-maxTold)
			break
		}
		if c.Status != endpoints.StatusReady {
			m.log.Info("membership", "upstream", c.Name, "status", c.Status, "reason", c.Reason)
		}
	}
	if len(o.Changes) > 0 {
		m.version++
		version := m.version
		l := &endpoints.List{Index: &version, Endpoints: make([]endpoints.Endpoint, len(o.Changes))}
		for i, c := range o.Changes {
			l.Endpoints[i] = c.Endpoint
		}
		if m.sink != nil {
			m.sink.Update(l)
		} else {
			m.pending = &endpoints.List{Index: &version, Snapshot: true, Endpoints: m.merge.List()}
		}
	}
	m.arm()
}

// maxTold bounds the lines of one input.
const maxTold = 16

func (m *MergedSource) arm() {
	if m.over || m.ctx == nil {
		return
	}
	if next := m.merge.Next(); !next.IsZero() {
		m.timer.Reset(max(0, next.Sub(m.now())))
	}
}

func (m *MergedSource) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.over {
		m.tell(m.merge.Tick(m.now()))
	}
}

// input is the Sink of one source.
type input struct {
	m     *MergedSource
	name  string
	leads bool
}

func (i *input) Update(l *endpoints.List) {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	if i.m.over {
		return
	}
	i.m.tell(i.m.merge.Update(i.m.now(), i.name, l))
	if i.leads && i.m.sink != nil {
		i.m.sink.Current() // also where it changed nothing
	}
}

func (i *input) Current() {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	i.m.tell(i.m.merge.Current(i.m.now(), i.name))
	if i.leads && i.m.sink != nil {
		i.m.sink.Current()
	}
}

func (i *input) Lost(err error, again bool) {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	i.m.tell(i.m.merge.Lost(i.m.now(), i.name))
	if i.leads && i.m.sink != nil {
		i.m.sink.Lost(err, again)
	}
}
