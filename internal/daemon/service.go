package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/bulkhead"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/filewatch"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/server/yielding"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/upstream"
	"orchiddrift/internal/upstream/prewarm"
)

// sharedResources is what the services of a daemon have in common.
type sharedResources struct {
	clock           clock.Clock
	log             *slog.Logger
	connectionSlots *bulkhead.Semaphore // connections to upstreams
	inFlight        *bulkhead.Semaphore // requests; nil: only the connections bound them
	bodyBytes       *bulkhead.Semaphore // of bodies, both ways; nil: not counted
	bodySpool       *semaphore.Weighted // bytes of bodies beyond alwaysBufferedBytes
	spoolSize       int64
	maxAnswerBytes  int
	seed            uint64
	name            string // the process's
	connections     int    // to upstreams, at most

	yielder yielding.Yielder // of long bodies and answers

	executorsMu sync.Mutex
	executors   map[string]*executor.Executor // by service

	// For how long files that another process holds are waited for. They change before the first reload, and not after.
	filesCtx        context.Context
	fileLockTimeout time.Duration
}

// yieldAfter notes what of a long body or answer has been passed on, and has its transfer rest where that is due.
func (sh *sharedResources) yieldAfter(n int) {
	if d := sh.yielder.Transferred(sh.clock.Now(), n); d > 0 {
		time.Sleep(d)
	}
}

// service is one service's module, list and connections. It is used by requests that hold it (enter) and ended by
// retire, once none does.
type service struct {
	plan         config.ServicePlan
	shared       *sharedResources
	name         string // of it in the semaphores, and of the one that it replaced
	engine       *engine.Engine
	pool         *upstream.Pool
	registry     *endpoints.Registry
	registrySink *discovery.RegistrySink
	subsetSink   *discovery.SubsetSink                 // before the feed; nil: every upstream is its own
	requests     atomic.Int64                          // requests so far
	executor     atomic.Pointer[executor.Executor]     // nil: repeats are not looked for
	loadProbing  *loadProbing                          // nil: nobody is probed
	credentials  *tlscredentials.Store                 // nil: connections are not encrypted
	admission    atomic.Pointer[controller.Controller] // nil: there is none

	stop    context.CancelFunc // of what runs beside requests
	running sync.WaitGroup

	mu            sync.Mutex // of the source
	source        discovery.Source
	refreshWanted bool // the module has asked for the list, and nobody has been told
	stopSource    context.CancelFunc
	sourceDone    chan struct{}

	inFlight atomic.Int64
	retired  atomic.Bool
	released chan struct{} // gets something when held may have fallen to 0 after retired
}

// startService starts one whose shares have been set. known is a list held by an earlier one.
func startService(plan config.ServicePlan, sh *sharedResources, known *endpoints.List) (*service, error) {
	s := &service{plan: plan, shared: sh, name: plan.Name, released: make(chan struct{}, 1)}
	log := sh.log
	if plan.Name != config.Platform {
		log = log.With("service", plan.Name)
	}
	o := upstream.Options{ConnectTimeout: plan.Settings.ConnectTimeout, IdleTimeout: plan.Settings.ConnIdleTimeout, ConnectionSlots: sh.connectionSlots,
		Service: plan.Name, AnswerBytes: sh.bodyBytes, MaxAnswerBytes: sh.maxAnswerBytes, SuccessStatuses: plan.SuccessStatuses}
	if plan.TLS.Enabled() {
		var err error
		s.credentials, err = tlscredentials.Open(tlscredentials.Files{Certificate: plan.TLS.Certificate, Key: plan.TLS.Key, CA: plan.TLS.CA},
			plan.TLS.WarnBefore.D(), log)
		if err != nil {
			return nil, fmt.Errorf("service %s: %w", plan.Name, err)
		}
		o.TLS = tlscredentials.NewClient(s.credentials, plan.TLS)
	}
	if plan.Prewarm.Enabled {
		o.Prewarmer = prewarm.New(plan.Prewarm, sh.connections, rand.New(rand.NewPCG(sh.seed, xxhash.Sum64String("warm/"+plan.Name))))
	}
	list, source, err := s.openSource(plan, known, log)
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	s.pool = upstream.New(o)
	s.registry = endpoints.New(sh.clock, s.pool.CloseUpstream)
	s.pool.SetRegistry(s.registry)
	s.registrySink = discovery.NewRegistrySink(s.registry, func(m balancer.EndpointUpdate) { s.engine.Update(m) })
	if plan.Subset.Enabled {
		self := fmt.Sprintf("%s/%016x", sh.name, sh.seed)
		s.subsetSink = discovery.NewSubsetSink(subset.New(plan.Subset, self, plan.Settings.Zone, sh.connections), s.registrySink, s.requests.Load)
		if list != nil {
			list = s.subsetSink.Load(list)
		}
	}
	var first balancer.EndpointUpdate
	if list != nil {
		first = s.registrySink.Apply(list)
	}
	seed := sh.seed
	if plan.Name != config.Platform { // services draw apart
		seed ^= xxhash.Sum64String(plan.Name)
	}
	s.engine, err = engine.New(engine.Options{Settings: plan.Settings.Settings, Seed: seed, Clock: sh.clock,
		CachedEndpoints: first.Endpoints, Subscribe: s.requestRefresh, WaitForUpdates: s.registrySink.WaitForUpdates, Log: log})
	if err != nil {
		s.pool.Close()
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	if plan.LoadProbe.Enabled {
		s.loadProbing = newLoadProbing(s, plan.LoadProbe, rand.New(rand.NewPCG(sh.seed, xxhash.Sum64String("probe/"+plan.Name))))
	}
	if err := errors.Join(s.setAdmission(plan), s.setExecutor(plan)); err != nil {
		s.engine.Close()
		s.pool.Close()
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.running.Go(func() { s.pool.Sweep(ctx) })
	s.running.Go(func() { s.pool.Prewarm(ctx, sh.clock) })
	if s.credentials != nil {
		s.running.Go(func() { s.credentials.Run(ctx) })
	}
	if s.subsetSink != nil {
		s.running.Go(func() { s.subsetSink.Run(ctx) })
	}
	s.follow(source)
	return s, nil
}

// setAdmission takes over what a plan says of the door: another one keeps who waits, none lets them on.
func (s *service) setAdmission(plan config.ServicePlan) error {
	now := s.admission.Load()
	if plan.Admission != nil { // before the bulkhead, which knows no principals, has to turn anybody away
		o, part := *plan.Admission, max(1, (s.shared.connections-s.shared.connections/idleConnectionFraction)/2)
		o.MaxQueued, o.MaxLimit = min(o.MaxQueued, part), min(o.MaxLimit, part)
		o.MinLimit = min(o.MinLimit, o.MaxLimit)
		plan.Admission = &o
	}
	switch {
	case plan.Admission == nil && now != nil:
		s.admission.Store(nil)
		now.AdmitAll()
	case plan.Admission != nil && now != nil:
		return now.Configure(*plan.Admission)
	case plan.Admission != nil:
		k, err := controller.New(controller.Options{Queue: *plan.Admission, Classes: plan.Settings.Classes, Clock: s.shared.clock,
			Seed: s.shared.seed ^ xxhash.Sum64String("door/"+plan.Name), Log: s.shared.log.With("service", plan.Name),
			SendRetryAfter: plan.Settings.RetryAfterAllowed})
		if err != nil {
			return fmt.Errorf("door: %w", err)
		}
		s.admission.Store(k)
	}
	return nil
}

// abort gives everything in hand its answer: the process is about to be killed.
func (s *service) abort() {
	if k := s.admission.Load(); k != nil {
		k.Close()
	}
	s.engine.Abort()
}

// openSource makes the source of a plan's list, and the list to begin with; nil, nil: the plan has all of it. Where
// registries list upstreams too, it is the source of the merged list.
func (s *service) openSource(plan config.ServicePlan, known *endpoints.List, log *slog.Logger) (*endpoints.List,
	discovery.Source, error) {
	list, own, err := openOwnSource(plan, known, s.shared.seed^xxhash.Sum64String("list/"+plan.Name), log)
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

// ownList is what a service's own list is called beside registries.
const ownList = "list"

func (s *service) openRegistry(plan config.ServicePlan, r eureka.Declaration, log *slog.Logger) (*eureka.Source, error) {
	return eureka.New(r, plan.Settings.ConnectTimeout, s.shared.seed^xxhash.Sum64String(r.Name), log)
}

// openOwnSource is openSource for the list that is no registry's.
func openOwnSource(plan config.ServicePlan, known *endpoints.List, seed uint64, log *slog.Logger) (*endpoints.List, discovery.Source, error) {
	switch {
	case plan.Discovery != "":
		list := plan.InitialEndpoints
		if known != nil {
			list = known
		}
		var index int64
		if list != nil {
			index = *list.Index
		}
		return list, discovery.New(discovery.Options{Address: plan.Discovery, Index: index,
			ConnectTimeout: plan.Settings.ConnectTimeout, Staleness: plan.Staleness(), Seed: seed, Log: log}), nil
	case plan.ListFile != "":
		source := discovery.NewFileSource(plan.ListFile, filewatch.DefaultInterval, log)
		list, err := source.Load()
		return list, source, err
	}
	return plan.InitialEndpoints, nil, nil
}

// follow has a source followed in place of the one before; nil: none.
func (s *service) follow(source discovery.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopSource != nil {
		s.stopSource()
		<-s.sourceDone
		s.stopSource = nil
	}
	if s.source = source; source == nil {
		return
	}
	if s.refreshWanted { // the module asks as it is made, before there is a source
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

// sink is where lists go.
func (s *service) sink() endpoints.Sink {
	if s.subsetSink != nil {
		return s.subsetSink
	}
	return s.registrySink
}

// watcher is what follows the service's list at a discovery; nil: there is none.
func (s *service) watcher() *discovery.Watcher {
	s.mu.Lock()
	source := s.source
	s.mu.Unlock()
	if merged, is := source.(*discovery.MergedSource); is {
		source = merged.Source(ownList)
	}
	w, _ := source.(*discovery.Watcher)
	return w
}

// requestRefresh is the module's wish for the list.
func (s *service) requestRefresh() {
	go func() { // it must not block, and follow may hold the lock for a moment
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.refreshWanted = s.source == nil; !s.refreshWanted {
			s.source.Refresh()
		}
	}()
}

// prepareMove makes ready to follow another list in place of the one now, in the same service; the returned function does so.
// It returns nil where the lists are the same.
func (s *service) prepareMove(plan config.ServicePlan) (func(), error) {
	was := s.plan
	sameOwn := was.Discovery == plan.Discovery && was.ListFile == plan.ListFile &&
		(plan.Discovery != "" || plan.ListFile != "" || reflect.DeepEqual(was.InitialEndpoints, plan.InitialEndpoints))
	sameRest := reflect.DeepEqual(was.Registries, plan.Registries) && was.Membership == plan.Membership
	if sameOwn && sameRest {
		return nil, nil
	}
	if merged, is := s.source.(*discovery.MergedSource); is && (len(plan.Registries) > 0 || plan.Discovery != "") {
		return s.prepareMergedMove(merged, plan, sameOwn)
	}
	if len(was.Registries)+len(plan.Registries) == 0 && was.Discovery != "" && plan.Discovery != "" {
		return func() {
			s.plan = plan
			s.mu.Lock()
			defer s.mu.Unlock()
			s.source.(*discovery.Watcher).Redirect(plan.Discovery)
		}, nil
	}
	if plan.Discovery != "" && was.Discovery != plan.Discovery {
		return nil, errors.New("a change between kinds of lists needs a new service")
	}
	var known *endpoints.List
	if plan.Discovery != "" { // registries come beside it
		known = s.registrySink.Last()
		if s.subsetSink != nil {
			known = s.subsetSink.Last()
		}
	}
	list, source, err := s.openSource(plan, known, s.shared.log)
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

// prepareMergedMove is move where registries stay or come and go beside the service's own list.
func (s *service) prepareMergedMove(merged *discovery.MergedSource, plan config.ServicePlan, sameOwn bool) (func(), error) {
	was := s.plan
	steps := []func(){func() { merged.Configure(plan.Membership) }}
	var ends []func() // they come after the steps, so that nothing is missed between
	add := func(n discovery.NamedSource) {
		steps = append(steps, func() {
			if err := merged.Add(n); err != nil { // the file's check bounds them
				s.shared.log.Error("membership", "reason", err)
			}
		})
	}
	if !sameOwn {
		if was.Discovery != "" && plan.Discovery != "" {
			steps = append(steps, func() { merged.Source(ownList).(*discovery.Watcher).Redirect(plan.Discovery) })
		} else {
			list, own, err := openOwnSource(plan, nil, s.shared.seed^xxhash.Sum64String("list/"+plan.Name), s.shared.log)
			if err != nil {
				return nil, fmt.Errorf("service %s: %w", plan.Name, err)
			}
			had, has := was.Discovery != "" || was.ListFile != "" || was.InitialEndpoints != nil, own != nil || list != nil
			switch {
			case had && has:
				steps = append(steps, func() {
					merged.Replace(ownList, own)
					if list != nil {
						merged.Update(ownList, list)
					}
				})
			case has:
				add(discovery.NamedSource{Name: ownList, Source: own, Initial: list, Primary: true})
			default:
				ends = append(ends, func() { merged.Remove(ownList) })
			}
		}
	}
	for _, r := range was.Registries {
		if !slices.ContainsFunc(plan.Registries, func(o eureka.Declaration) bool { return o.Name == r.Name }) {
			ends = append(ends, func() { merged.Remove(r.Name) })
		}
	}
	for _, r := range plan.Registries {
		if slices.ContainsFunc(was.Registries, func(o eureka.Declaration) bool { return sameRegistry(r, o) }) {
			continue
		}
		source, err := s.openRegistry(plan, r, s.shared.log)
		if err != nil {
			return nil, fmt.Errorf("service %s: %w", plan.Name, err)
		}
		if slices.ContainsFunc(was.Registries, func(o eureka.Declaration) bool { return o.Name == r.Name }) {
			steps = append(steps, func() { merged.Replace(r.Name, source) })
			continue
		}
		add(discovery.NamedSource{Name: r.Name, Source: source})
	}
	return func() {
		s.plan = plan
		for _, step := range append(steps, ends...) {
			step()
		}
	}, nil
}

// sameRegistry tells whether a registry is followed as before; how the process registers is no matter of it.
func sameRegistry(a, b eureka.Declaration) bool {
	a.Register, b.Register = eureka.Register{}, eureka.Register{}
	return reflect.DeepEqual(a, b)
}

// acquire takes the service for a request; false: it has been retired.
func (s *service) acquire() bool {
	s.inFlight.Add(1)
	s.requests.Add(1)
	if s.retired.Load() {
		s.release()
		return false
	}
	return true
}

func (s *service) release() {
	if s.inFlight.Add(-1) == 0 && s.retired.Load() {
		select {
		case s.released <- struct{}{}:
		default:
		}
	}
}

// retire ends the service once no request holds it, or after patience at the latest.
func (s *service) retire(patience time.Duration) {
	s.retired.Store(true)
	last := time.NewTimer(patience)
	defer last.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-s.released:
		case <-last.C:
			s.close()
			return
		}
	}
	s.close()
}

// close fails what is in hand and waits for all that runs.
func (s *service) close() {
	s.retired.Store(true)
	s.follow(nil)
	s.stop()
	if k := s.admission.Load(); k != nil {
		k.Close()
	}
	s.loadProbing.close()
	s.engine.Close()
	s.pool.Close()
	s.running.Wait()
}
