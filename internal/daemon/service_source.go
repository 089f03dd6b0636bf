package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/filewatch"
)

// ownList is the name of a service's own list, as opposed to those of its registries, in a merged source.
const ownList = "list"

// errNewServiceNeeded says that a running service cannot change to another kind of list.
var errNewServiceNeeded = errors.New("a running service cannot change to another kind of endpoint list")

// openSource opens the source of a plan's endpoint list, and returns the first list. It returns a nil source if the plan itself contains
// the complete list. If the plan has registries, the source merges their lists with the service's own list.
func (s *service) openSource(plan config.ServicePlan, last *endpoints.List, log *slog.Logger) (*endpoints.List, discovery.Source, error) {
	list, own, err := s.openOwnSource(plan, last, log)
	if err != nil || len(plan.Registries) == 0 {
		return list, own, err
	}
	var sources []discovery.NamedSource
	if own != nil || list != nil {
		sources = append(sources, discovery.NamedSource{Name: ownList, Source: own, Initial: list, Primary: true})
	}
	for _, r := range plan.Registries {
		source, err := s.openRegistry(plan, r, log)
		if err != nil {
			return nil, nil, err
		}
		sources = append(sources, discovery.NamedSource{Name: r.Name, Source: source})
	}
	merged, err := discovery.NewMergedSource(plan.Membership, log, sources...)
	if err != nil {
		return nil, nil, err
	}
	return merged.Load(), merged, nil
}

func (s *service) openRegistry(plan config.ServicePlan, r eureka.Declaration, log *slog.Logger) (*eureka.Source, error) {
	return eureka.New(r, plan.Settings.ConnectTimeout, s.shared.seed^xxhash.Sum64String(r.Name), log)
}

// openOwnSource is openSource for the service's own list, without the lists of registries.
func (s *service) openOwnSource(plan config.ServicePlan, last *endpoints.List, log *slog.Logger) (*endpoints.List, discovery.Source, error) {
	switch {
	case plan.Discovery != "":
		list := plan.InitialEndpoints
		if last != nil {
			list = last
		}
		var index int64
		if list != nil {
			index = *list.Index
		}
		return list, discovery.NewWatcher(discovery.WatcherOptions{Address: plan.Discovery, Index: index, ConnectTimeout: plan.Settings.ConnectTimeout,
			Staleness: plan.Staleness(), Seed: s.shared.seed ^ xxhash.Sum64String(listStream+plan.Name), Log: log}), nil
	case plan.ListFile != "":
		source := discovery.NewFileSource(plan.ListFile, filewatch.DefaultInterval, log)
		list, err := source.Load()
		return list, source, err
	}
	return plan.InitialEndpoints, nil, nil
}

// follow replaces the source that the service follows. If source is nil, the service follows no source.
func (s *service) follow(source discovery.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopSource != nil {
		s.stopSource()
		<-s.sourceDone
		s.stopSource = nil
	}
	s.source = source
	if source == nil {
		return
	}
	if s.refreshWanted { // a new engine requests the list before its service has a source
		s.refreshWanted = false
		source.Refresh()
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.stopSource, s.sourceDone = stop, done
	go func() {
		defer close(done)
		source.Run(ctx, s.sink())
	}()
}

// sink returns the sink of the lists that the source delivers.
func (s *service) sink() endpoints.Sink {
	if s.subsetSink != nil {
		return s.subsetSink
	}
	return s.registrySink
}

// watcher returns the watcher of the service's list at discovery. It returns nil if the list does not come from discovery.
func (s *service) watcher() *discovery.Watcher {
	s.mu.Lock()
	source := s.source
	s.mu.Unlock()
	if merged, ok := source.(*discovery.MergedSource); ok {
		source = merged.Source(ownList)
	}
	watcher, _ := source.(*discovery.Watcher)
	return watcher
}

// requestRefresh requests the list from the source. It must not block, since the engine calls it, and follow may hold s.mu for a moment.
func (s *service) requestRefresh() {
	go func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refreshWanted = s.source == nil
		if !s.refreshWanted {
			s.source.Refresh()
		}
	}()
}

// lastList returns the complete list that was received last.
func (s *service) lastList() *endpoints.List {
	if s.subsetSink != nil {
		return s.subsetSink.Last()
	}
	return s.registrySink.Last()
}

// prepareSourceChange prepares the service to follow the list of another plan. The returned function makes the change and cannot fail; it
// is nil if the list stays the same. The error is errNewServiceNeeded if the new list is of another kind.
func (s *service) prepareSourceChange(plan config.ServicePlan) (change func(), err error) {
	before := &s.plan
	sameOwn := sameOwnList(before, &plan)
	sameRegistries := reflect.DeepEqual(before.Registries, plan.Registries) && before.Membership == plan.Membership
	if sameOwn && sameRegistries {
		return nil, nil
	}
	if merged, ok := s.source.(*discovery.MergedSource); ok && (len(plan.Registries) > 0 || plan.Discovery != "") {
		return s.prepareMergedSourceChange(merged, plan, sameOwn)
	}
	if len(before.Registries)+len(plan.Registries) == 0 && before.Discovery != "" && plan.Discovery != "" {
		return func() {
			s.plan = plan
			s.mu.Lock()
			defer s.mu.Unlock()
			s.source.(*discovery.Watcher).Redirect(plan.Discovery)
		}, nil
	}
	if plan.Discovery != "" && before.Discovery != plan.Discovery {
		return nil, errNewServiceNeeded
	}
	var last *endpoints.List
	if plan.Discovery != "" { // the plan adds registries to the list of discovery
		last = s.lastList()
	}
	list, source, err := s.openSource(plan, last, s.shared.log)
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	return func() {
		s.plan = plan
		s.follow(nil)
		if list != nil {
			s.sink().Update(list)
		}
		s.follow(source)
	}, nil
}

// sameOwnList reports whether two plans have the same list, apart from their registries.
func sameOwnList(a, b *config.ServicePlan) bool {
	if a.Discovery != b.Discovery || a.ListFile != b.ListFile {
		return false
	}
	return b.Discovery != "" || b.ListFile != "" || reflect.DeepEqual(a.InitialEndpoints, b.InitialEndpoints)
}

// hasOwnList reports whether a plan has a list, apart from its registries.
func hasOwnList(plan *config.ServicePlan) bool {
	return plan.Discovery != "" || plan.ListFile != "" || plan.InitialEndpoints != nil
}

// mergedSourceChange collects the steps that change a merged source. Removals come last, so that no upstream that stays listed is missing
// in between.
type mergedSourceChange struct {
	service  *service
	merged   *discovery.MergedSource
	plan     config.ServicePlan
	steps    []func()
	removals []func()
}

// prepareMergedSourceChange is prepareSourceChange for a merged source. The source stays in use even if only the list of discovery remains
// in it.
func (s *service) prepareMergedSourceChange(merged *discovery.MergedSource, plan config.ServicePlan, sameOwn bool) (func(), error) {
	m := &mergedSourceChange{service: s, merged: merged, plan: plan}
	m.steps = append(m.steps, func() { merged.Configure(plan.Membership) })
	if !sameOwn {
		if err := m.changeOwnList(); err != nil {
			return nil, fmt.Errorf("service %s: %w", plan.Name, err)
		}
	}
	if err := m.changeRegistries(); err != nil {
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	return func() {
		s.plan = plan
		for _, step := range append(m.steps, m.removals...) {
			step()
		}
	}, nil
}

func (m *mergedSourceChange) add(source discovery.NamedSource) {
	m.steps = append(m.steps, func() {
		if err := m.merged.Add(source); err != nil { // cannot happen: the check of the file limits the number of sources
			m.service.shared.log.Error("membership", "reason", err)
		}
	})
}

// changeOwnList replaces, adds or removes the service's own list.
func (m *mergedSourceChange) changeOwnList() error {
	s, before := m.service, &m.service.plan
	if before.Discovery != "" && m.plan.Discovery != "" {
		m.steps = append(m.steps, func() { m.merged.Source(ownList).(*discovery.Watcher).Redirect(m.plan.Discovery) })
		return nil
	}
	list, own, err := s.openOwnSource(m.plan, nil, s.shared.log)
	if err != nil {
		return err
	}
	has := own != nil || list != nil
	switch {
	case hasOwnList(before) && has:
		m.steps = append(m.steps, func() {
			m.merged.Replace(ownList, own)
			if list != nil {
				m.merged.Update(ownList, list)
			}
		})
	case has:
		m.add(discovery.NamedSource{Name: ownList, Source: own, Initial: list, Primary: true})
	default:
		m.removals = append(m.removals, func() { m.merged.Remove(ownList) })
	}
	return nil
}

// changeRegistries replaces, adds and removes registries. It leaves registries alone that do not change.
func (m *mergedSourceChange) changeRegistries() error {
	before := m.service.plan.Registries
	for _, r := range before {
		if !hasRegistry(m.plan.Registries, r.Name) {
			m.removals = append(m.removals, func() { m.merged.Remove(r.Name) })
		}
	}
	for _, r := range m.plan.Registries {
		if slices.ContainsFunc(before, func(other eureka.Declaration) bool { return sameRegistry(r, other) }) {
			continue
		}
		source, err := m.service.openRegistry(m.plan, r, m.service.shared.log)
		if err != nil {
			return err
		}
		if hasRegistry(before, r.Name) {
			m.steps = append(m.steps, func() { m.merged.Replace(r.Name, source) })
			continue
		}
		m.add(discovery.NamedSource{Name: r.Name, Source: source})
	}
	return nil
}

func hasRegistry(registries []eureka.Declaration, name string) bool {
	return slices.ContainsFunc(registries, func(r eureka.Declaration) bool { return r.Name == name })
}

// sameRegistry reports whether two declarations follow a registry in the same way. They may differ in how the process registers itself.
func sameRegistry(a, b eureka.Declaration) bool {
	a.Register, b.Register = eureka.Register{}, eureka.Register{}
	return reflect.DeepEqual(a, b)
}
