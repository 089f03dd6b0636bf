package grpcbalancer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/upstream/prewarm"
)

// Plugin balances the calls of its ClientConns over the upstreams of one service. New starts it, and Close stops it. It is safe for
// concurrent use.
type Plugin struct {
	service          string
	clock            clock.Clock
	engine           *engine.Engine
	methods          *methods
	applicationCodes map[codes.Code]bool // status codes that count as answered
	connectTimeout   time.Duration
	tick             time.Duration // tick interval of the engine
	callCount        atomic.Int64  // number of calls so far

	registry       *endpoints.Registry
	registrySink   *discovery.RegistrySink
	subsetSink     *discovery.SubsetSink   // passes a subset of each list to registrySink; nil if all upstreams are used
	sink           endpoints.Sink          // receives the lists of the sources: subsetSink, or registrySink if that is nil
	mergedSource   *discovery.MergedSource // merges several sources; nil if there is at most one
	listFromCaller bool                    // the list is given with SetEndpoints, not by Discovery

	credentials *transportCredentials  // nil if the caller adds credentials
	admission   *controller.Controller // nil if calls do not queue
	executor    *executor.Executor     // nil if repeated idempotency keys are not recognised
	prewarming  *prewarming            // nil if connections are made only when calls need them

	stop       context.CancelFunc // ends the background goroutines
	background sync.WaitGroup

	rngMu sync.Mutex
	rng   *rand.Rand // generates request ids and idempotency keys

	setEndpointsMu sync.Mutex // held while SetEndpoints delivers a list
	resolverMu     sync.Mutex // held while a resolver passes a list on

	mu        sync.Mutex // guards balancers and resolvers
	balancers map[*subConnBalancer]bool
	resolvers map[*listResolver]bool
}

// idStream is the PCG stream of the random numbers that request ids and idempotency keys are generated from.
const idStream = 0x6f72636869646772

// checkedOptions are Options that have passed checkOptions, with the values that it has read and derived from them.
type checkedOptions struct {
	Options
	settings    balancer.Settings // Options.Settings, with UnsafeClass added if no class is non-idempotent
	methods     *methods
	file        config.PluginFile
	initialList *endpoints.List
}

// New starts a Plugin. Call Close to stop it, after closing its ClientConns. New reads the files that the options name, and waits up to
// executor.StartLockTimeout for an idempotency file that another process has locked. It does not wait for upstreams or for Discovery.
func New(o Options) (*Plugin, error) {
	checked, err := checkOptions(o)
	if err != nil {
		return nil, err
	}
	p := newPlugin(checked)
	log := logging.NewFunc(o.Log)
	if err := p.openFeatures(&checked, log); err != nil {
		return nil, fmt.Errorf("orchidgrpc: %w", err)
	}
	source, initialList, err := p.openSource(checked, log)
	if err != nil {
		return nil, fmt.Errorf("orchidgrpc: %w", err)
	}
	if err := p.startEngine(checked, source, initialList, log); err != nil {
		return nil, fmt.Errorf("orchidgrpc: Settings: %w", err)
	}
	p.startBackground(source)
	return p, nil
}

// checkOptions makes the checks that need no started Plugin, and reads the operator's file.
func checkOptions(o Options) (checkedOptions, error) {
	checked := checkedOptions{Options: o, settings: o.Settings}
	var err error
	if checked.methods, err = newMethods(&checked.settings, o.Methods, o.Files); err != nil {
		return checked, fmt.Errorf("orchidgrpc: %w", err)
	}
	if checked.file, err = readPluginFile(o); err != nil {
		return checked, fmt.Errorf("orchidgrpc: %w", err)
	}
	if o.Discovery == "" && len(o.Endpoints) == 0 && len(checked.file.Registries) == 0 {
		return checked, errors.New("orchidgrpc: none of Discovery, Endpoints and a File with registries is given")
	}
	if o.Discovery != "" {
		if err := endpoints.CheckAddress(o.Discovery); err != nil {
			return checked, fmt.Errorf("orchidgrpc: Discovery: %w", err)
		}
	}
	if checked.initialList, err = endpointList(o.Endpoints, o.Version); err != nil {
		return checked, fmt.Errorf("orchidgrpc: Endpoints: %w", err)
	}
	return checked, nil
}

// readPluginFile reads the sections of the operator's file that concern the Plugin. It returns an empty PluginFile if Options.File is not
// set.
func readPluginFile(o Options) (config.PluginFile, error) {
	if o.File == "" {
		return config.PluginFile{}, nil
	}
	text, err := os.ReadFile(o.File)
	if err != nil {
		return config.PluginFile{}, fmt.Errorf("option File: %w", err)
	}
	file, err := config.ParsePluginFile(text, cmp.Or(o.Service, defaultService))
	if err != nil {
		return config.PluginFile{}, fmt.Errorf("option File: %s: %w", o.File, err)
	}
	return file, nil
}

// newPlugin returns a Plugin without its engine, its sources and the optional features.
func newPlugin(o checkedOptions) *Plugin {
	p := &Plugin{
		service:          cmp.Or(o.Service, defaultService),
		clock:            clock.New(),
		methods:          o.methods,
		applicationCodes: map[codes.Code]bool{},
		connectTimeout:   cmp.Or(o.settings.ConnectTimeout, defaultConnectTimeout),
		tick:             cmp.Or(o.settings.Tick, defaultTick),
		listFromCaller:   o.Discovery == "",
		rng:              rand.New(rand.NewPCG(o.Seed, idStream)),
		balancers:        map[*subConnBalancer]bool{},
		resolvers:        map[*listResolver]bool{},
	}
	applicationCodes := o.Answers
	if applicationCodes == nil {
		applicationCodes = defaultApplicationCodes
	}
	for _, code := range applicationCodes {
		p.applicationCodes[code] = true
	}
	p.registry = endpoints.New(p.clock, p.removeSubConns)
	p.registrySink = discovery.NewRegistrySink(p.registry, p.applyUpdate)
	return p
}

// openFeatures opens the optional features that the options and the operator's file configure.
func (p *Plugin) openFeatures(o *checkedOptions, log *slog.Logger) (err error) {
	if o.TLS != nil {
		if p.credentials, err = newTransportCredentials(*o.TLS, log); err != nil {
			return err
		}
	}
	if o.file.Admission != nil {
		if p.admission, err = newAdmission(o.Options, *o.file.Admission, p.clock, log); err != nil {
			return err
		}
	}
	if o.file.Idempotency != nil {
		options := executor.Options{Clock: p.clock, Log: log, OwnGoroutine: true}
		p.executor, err = executor.Open(context.Background(), *o.file.Idempotency, p.service, &o.settings, executor.StartLockTimeout, options)
		if err != nil {
			return fmt.Errorf("repeats: %w", err)
		}
	}
	if o.file.Prewarm.Enabled {
		rng := rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(prewarmSeedLabel)))
		p.prewarming = newPrewarming(prewarm.New(o.file.Prewarm, maxSubConns, rng))
	}
	return nil
}

// startEngine connects the sinks and starts the engine with the initial list, which may be nil.
func (p *Plugin) startEngine(o checkedOptions, source endpoints.Source, initialList *endpoints.List, log *slog.Logger) error {
	p.sink = p.registrySink
	if o.file.Subset.Enabled {
		members := subset.New(o.file.Subset, fmt.Sprintf("%016x", o.Seed), o.settings.Zone, math.MaxInt32)
		p.subsetSink = discovery.NewSubsetSink(members, p.registrySink, p.callCount.Load)
		p.sink = p.subsetSink
		if initialList != nil {
			initialList = p.subsetSink.Load(initialList)
		}
	}
	var initial balancer.EndpointUpdate
	if initialList != nil {
		initial = p.registrySink.Apply(initialList)
	}
	subscribe := func() {}
	if source != nil {
		subscribe = source.Refresh
	}
	var err error
	p.engine, err = engine.New(engine.Options{
		Settings:         o.settings,
		Seed:             o.Seed,
		Clock:            p.clock,
		CachedEndpoints:  initial.Endpoints,
		Subscribe:        subscribe,
		WaitForUpdates:   p.registrySink.WaitForUpdates,
		Log:              log,
		CancelWithCaller: true,
	})
	return err
}

// startBackground starts the goroutines that Close ends. source is nil if the list is given with SetEndpoints alone.
func (p *Plugin) startBackground(source endpoints.Source) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	if p.credentials != nil {
		p.background.Go(func() { p.credentials.watchFiles(ctx, p.replaceSubConns) })
	}
	if p.subsetSink != nil {
		p.background.Go(func() { p.subsetSink.Run(ctx) })
	}
	if p.mergedSource != nil {
		p.mergedSource.Attach(p.sink)
	}
	if source != nil {
		p.background.Go(func() { source.Run(ctx, p.sink) })
	}
	if p.prewarming != nil {
		p.background.Go(func() { p.runPrewarming(ctx) })
	}
}

// Close fails the calls in flight and stops the Plugin. It blocks until the Plugin's goroutines have ended. Close its ClientConns first.
func (p *Plugin) Close() {
	p.stop()
	p.background.Wait()
	if p.admission != nil {
		p.admission.Close()
	}
	p.engine.Close()
	if p.executor != nil {
		p.executor.Close()
	}
}

// Target returns the target to pass to grpc.NewClient, together with DialOptions.
func (p *Plugin) Target() string { return Scheme + ":///" + p.service }

// DialOptions returns the options with which a ClientConn uses the Plugin. The caller adds credentials, unless Options.TLS is set. An
// interceptor that is added before these options sees calls; one that is added after them sees attempts.
func (p *Plugin) DialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithResolvers(resolverBuilder{p}),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + policyName + `":{}}]}`),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: p.connectTimeout,
			Backoff: backoff.Config{
				BaseDelay:  reconnectBaseDelay,
				Multiplier: reconnectMultiplier,
				Jitter:     reconnectJitter,
				MaxDelay:   reconnectMaxDelay,
			},
		}),
	}
	if p.credentials != nil {
		options = append(options, grpc.WithTransportCredentials(p.credentials))
	}
	return options
}

// InHand returns the number of calls and streams in flight.
func (p *Plugin) InHand() int { return p.engine.InFlight() }

// Upstreams returns the engine's view of the upstreams, for metrics and diagnosis.
func (p *Plugin) Upstreams() []balancer.UpstreamView { return p.engine.View() }

const (
	hexDigits        = "0123456789abcdef"
	hexDigitsPerWord = 16 // of a 64-bit word
)

// newID returns the given number of random 64-bit words in hexadecimal digits.
func (p *Plugin) newID(words int) string {
	id := make([]byte, 0, idempotencyKeyWords*hexDigitsPerWord)
	p.rngMu.Lock()
	defer p.rngMu.Unlock()
	for range words {
		bits := p.rng.Uint64()
		for range hexDigitsPerWord {
			id = append(id, hexDigits[bits&15])
			bits >>= 4
		}
	}
	return string(slices.Clip(id))
}
