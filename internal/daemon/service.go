package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/upstream"
	"orchiddrift/internal/upstream/prewarm"
)

// service is one service's engine, endpoint list and connections. Requests use it between acquire and release; retire closes it once no
// request uses it.
type service struct {
	plan         config.ServicePlan
	shared       *sharedResources
	name         string // name of its shares of the limits; a service that replaces another service has the same name
	engine       *engine.Engine
	pool         *upstream.Pool
	registry     *endpoints.Registry
	registrySink *discovery.RegistrySink
	subsetSink   *discovery.SubsetSink // passes a subset of the list on to registrySink; nil if all upstreams are used
	requestCount atomic.Int64          // number of requests so far
	loadProbing  *loadProbing          // nil if no upstream is probed
	credentials  *tlscredentials.Store // nil if connections are not encrypted
	executor     atomic.Pointer[executor.Executor]
	admission    atomic.Pointer[controller.Controller] // nil if requests are not queued

	stop    context.CancelFunc // ends the goroutines that startBackground starts
	running sync.WaitGroup

	mu            sync.Mutex // guards source, refreshWanted, stopSource and sourceDone
	source        discovery.Source
	refreshWanted bool // the engine has requested the list before the service had a source
	stopSource    context.CancelFunc
	sourceDone    chan struct{}

	inFlight atomic.Int64
	retired  atomic.Bool
	released chan struct{} // receives a value when the last request in flight of a retired service may have ended
}

// Names of the streams of random numbers that are derived from the process's seed. Each is followed by the service's name.
const (
	prewarmStream   = "warm/"
	probeStream     = "probe/"
	admissionStream = "door/"
	listStream      = "list/"
)

// startService starts a service whose shares of the limits have been set. The parameter last is the last list of an earlier service, or
// nil if there is no such list.
func startService(plan config.ServicePlan, sh *sharedResources, last *endpoints.List) (*service, error) {
	s := &service{plan: plan, shared: sh, name: plan.Name, released: make(chan struct{}, 1)}
	log := sh.log
	if plan.Name != config.Platform {
		log = log.With("service", plan.Name)
	}
	options, err := s.poolOptions(log)
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	list, source, err := s.openSource(plan, last, log)
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	s.pool = upstream.New(options)
	s.registry = endpoints.New(sh.clock, s.pool.CloseUpstream)
	s.pool.SetRegistry(s.registry)
	if err := s.startEngine(list, log); err != nil {
		s.pool.Close()
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	if plan.LoadProbe.Enabled {
		s.loadProbing = newLoadProbing(s, plan.LoadProbe, s.random(probeStream))
	}
	if err := errors.Join(s.setAdmission(plan), s.setExecutor(plan)); err != nil {
		s.engine.Close()
		s.pool.Close()
		return nil, fmt.Errorf("service %s: %w", plan.Name, err)
	}
	s.startBackground()
	s.follow(source)
	return s, nil
}

// random returns the generator of one of the service's streams of random numbers.
func (s *service) random(stream string) *rand.Rand {
	return rand.New(rand.NewPCG(s.shared.seed, xxhash.Sum64String(stream+s.plan.Name)))
}

// poolOptions returns the options of the pool of connections. If connections are encrypted, it opens the credentials.
func (s *service) poolOptions(log *slog.Logger) (upstream.Options, error) {
	plan, sh := &s.plan, s.shared
	o := upstream.Options{
		ConnectTimeout:  plan.Settings.ConnectTimeout,
		IdleTimeout:     plan.Settings.ConnIdleTimeout,
		ConnectionSlots: sh.connectionSlots,
		Service:         plan.Name,
		AnswerBytes:     sh.bodyBytes,
		MaxAnswerBytes:  sh.maxAnswerBytes,
		SuccessStatuses: plan.SuccessStatuses,
	}
	if plan.TLS.Enabled() {
		var err error
		files := tlscredentials.Files{Certificate: plan.TLS.Certificate, Key: plan.TLS.Key, CA: plan.TLS.CA}
		if s.credentials, err = tlscredentials.Open(files, plan.TLS.WarnBefore.D(), log); err != nil {
			return o, err
		}
		o.TLS = tlscredentials.NewClient(s.credentials, plan.TLS)
	}
	if plan.Prewarm.Enabled {
		o.Prewarmer = prewarm.New(plan.Prewarm, sh.connections, s.random(prewarmStream))
	}
	return o, nil
}

// startEngine creates the engine with its first list, and the sinks through which it gets later lists.
func (s *service) startEngine(list *endpoints.List, log *slog.Logger) (err error) {
	plan, sh := &s.plan, s.shared
	s.registrySink = discovery.NewRegistrySink(s.registry, func(update balancer.EndpointUpdate) { s.engine.Update(update) })
	if plan.Subset.Enabled {
		self := fmt.Sprintf("%s/%016x", sh.name, sh.seed)
		s.subsetSink = discovery.NewSubsetSink(subset.New(plan.Subset, self, plan.Settings.Zone, sh.connections), s.registrySink,
			s.requestCount.Load)
		if list != nil {
			list = s.subsetSink.Load(list)
		}
	}
	var first balancer.EndpointUpdate
	if list != nil {
		first = s.registrySink.Apply(list)
	}
	seed := sh.seed
	if plan.Name != config.Platform { // services draw different numbers
		seed ^= xxhash.Sum64String(plan.Name)
	}
	s.engine, err = engine.New(engine.Options{Settings: plan.Settings.Settings, Seed: seed, Clock: sh.clock, Log: log,
		History: sh.idHistories.of(plan.Name, sh.clock.Now()), CachedEndpoints: first.Endpoints, Subscribe: s.requestRefresh, WaitForUpdates: s.registrySink.WaitForUpdates})
	return err
}

// startBackground starts the goroutines that run until close.
func (s *service) startBackground() {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.running.Go(func() { s.pool.Sweep(ctx) })
	s.running.Go(func() { s.pool.Prewarm(ctx, s.shared.clock) })
	if s.credentials != nil {
		s.running.Go(func() { s.credentials.Run(ctx) })
	}
	if s.subsetSink != nil {
		s.running.Go(func() { s.subsetSink.Run(ctx) })
	}
}

// setAdmission applies a plan's options for admission. If options change, the queue stays; if the plan has none, all queued requests are
// admitted.
func (s *service) setAdmission(plan config.ServicePlan) error {
	current := s.admission.Load()
	if plan.Admission == nil {
		if current != nil {
			s.admission.Store(nil)
			current.AdmitAll()
		}
		return nil
	}
	options := *plan.Admission
	// The queue has to reach its limit before the bulkhead reaches its own, since the bulkhead does not distinguish tenants.
	requests := max(1, (s.shared.connections-s.shared.connections/idleConnectionFraction)/2)
	options.MaxQueued, options.MaxLimit = min(options.MaxQueued, requests), min(options.MaxLimit, requests)
	options.MinLimit = min(options.MinLimit, options.MaxLimit)
	if current != nil {
		return current.Configure(options)
	}
	queue, err := controller.New(controller.Options{Queue: options, Classes: plan.Settings.Classes, Clock: s.shared.clock,
		Seed: s.shared.seed ^ xxhash.Sum64String(admissionStream+plan.Name), Log: s.shared.log.With("service", plan.Name),
		SendRetryAfter: plan.Settings.RetryAfterAllowed})
	if err != nil {
		return fmt.Errorf("door: %w", err)
	}
	s.admission.Store(queue)
	return nil
}

// acquire begins a request's use of the service. It returns false if the service has been retired.
func (s *service) acquire() bool {
	s.inFlight.Add(1)
	s.requestCount.Add(1)
	if s.retired.Load() {
		s.release()
		return false
	}
	return true
}

// release ends a request's use of the service.
func (s *service) release() {
	if s.inFlight.Add(-1) == 0 && s.retired.Load() {
		select {
		case s.released <- struct{}{}:
		default:
		}
	}
}

// retire closes the service once no request uses it. Each request ends by itself: with its deadline, or, while a long body or answer moves,
// when that stops.
func (s *service) retire() {
	s.retired.Store(true)
	for s.inFlight.Load() > 0 {
		<-s.released
	}
	s.close()
}

// abort rejects the requests in the admission queue, and fails those in flight.
func (s *service) abort() {
	if queue := s.admission.Load(); queue != nil {
		queue.Close()
	}
	s.engine.Abort()
}

// close fails the requests in flight and waits for all goroutines of the service.
func (s *service) close() {
	s.retired.Store(true)
	s.follow(nil)
	s.stop()
	if queue := s.admission.Load(); queue != nil {
		queue.Close()
	}
	s.loadProbing.close()
	s.engine.Close()
	s.pool.Close()
	s.running.Wait()
}

// do has the engine carry out a call, unless it may have run at the other process of a replacement.
func (s *service) do(ctx context.Context, class *balancer.Class, call engine.Call, attempts engine.Transport) engine.Answer {
	if answer := s.ranAtPeer(ctx, class, call); answer != nil {
		return *answer
	}
	s.loadProbing.beforeRequest(ctx)
	return s.engine.Do(ctx, call, attempts)
}
