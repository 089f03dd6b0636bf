// Package grpcbalancer balances the calls of a google.golang.org/grpc client inside the calling process, with the same
// decision module as the orchiddrift daemon (package balancer): peak-EWMA latency x (pending+1), the lower of two
// random choices, and the same rules on what may be sent again, where to, and what is turned away.
//
//	p, err := grpcbalancer.New(options)
//	conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(creds))...)
//
// One Plugin serves a process and a service, and any number of ClientConns. The module decides every send: an
// interceptor brings the call to it, a resolver feeds the sub-connections from its list, and a picker sends each attempt
// to the upstream that it decided on. grpc-go's own retries are off, its transparent retry is denied and decided by the
// module instead. Methods go by classes; see Options.Methods.
//
// A refusal reaches the caller as UNAVAILABLE with RetryInfo: trying again is harmless. A failure that may have run never
// has that code; MayHaveRun tells. docs/operate/grpc.md has the whole of it.
package grpcbalancer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
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
	"google.golang.org/protobuf/reflect/protoregistry"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/upstream/prewarm"
)

// Options are a Plugin's parameters. One of Discovery, Endpoints and a File with registries is needed.
type Options struct {
	Service   string            // names the service in targets and as the calls' authority; absent: "service"
	Settings  balancer.Settings // as the daemon's; LoadOptions reads both from one form of file
	Seed      uint64            // of all random numbers; new with each start
	Discovery string            // address of the platform's discovery; absent: the list is Endpoints
	Endpoints []Endpoint        // the list as last known
	Version   int64             // of that list at Discovery

	// Methods maps "/package.Service/Method" and "/package.Service/*" to classes of Settings. A method that is not
	// mapped goes by its proto's idempotency_level: NO_SIDE_EFFECTS the first safe class, IDEMPOTENT the first keyed
	// one. All others are unsafe: never sent again unless it is proved that they did not run.
	Methods map[string]string
	// Answers are the status codes that are the application's answer and no failure of the node; absent: those that
	// speak of the request (INVALID_ARGUMENT, NOT_FOUND, ...; not UNAVAILABLE, INTERNAL, UNKNOWN and the like).
	Answers []codes.Code
	Files   *protoregistry.Files // where idempotency levels are looked up; absent: protoregistry.GlobalFiles
	Log     func(string)         // a line for the operators; absent: dropped
	// File names an operator's file, as the daemon's. Of this service the registries ([[eureka]]) in it list upstreams beside
	// Discovery or Endpoints, or alone, merged as its [membership] says; the door ([[door]]) has calls wait in an order that is
	// fair between those on whose behalf they are made, by the metadata; [service.subset] has the process know a part of many
	// upstreams as its own; [service.warm] has connections open before calls need them, once a ClientConn has been used;
	// a keyed unary call that comes again with its caller's idempotency-key gets the first one's end ([[repeats]]).
	File string
	// TLS encrypts connections; absent: credentials are the caller's to add. With it, DialOptions bring them.
	TLS *TLS
}

// Endpoint is an upstream.
type Endpoint struct {
	Name    string // the same in every process
	Address string // IP address and port
	Zone    string
	Type    string // the kind of machine
	Group   int
	Since   time.Time // when it last started; zero: long ago
	// Identity is the name that its certificate has to bear, a DNS name or a URI; absent: TLS.Name.
	Identity string
}

// The metadata keys that travel with each attempt. What the caller sets is kept.
const (
	RequestIDKey          = "x-request-id"    // of the call, the same for all its attempts; made here where the caller sets none
	IdempotencyKey        = "idempotency-key" // of a keyed call; made here where the caller sets none
	TenantKey             = "x-tenant-id"     // read here
	CostKey               = "x-cost"          // read here: expected work in microseconds
	defaultService        = "service"
	notProcessedKey       = "x-not-processed" // in trailers: "1" says that the request never ran
	maxCostHint           = time.Hour
	defaultConnectTimeout = time.Second
	reconnectBaseDelay    = 100 * time.Millisecond
	reconnectMaxDelay     = 2 * time.Second
	reconnectMultiplier   = 1.6
	maxSubConns           = 4096 // connections of one ClientConn, of which [service.warm] counts its part
)

// Plugin is safe for concurrent use.
type Plugin struct {
	service          string
	engine           *engine.Engine
	registry         *endpoints.Registry
	registrySink     *discovery.RegistrySink
	mergedSource     *discovery.MergedSource // nil: there is one list
	subsetSink       *discovery.SubsetSink   // before the feed; nil: every upstream is its own
	sink             endpoints.Sink          // where lists go
	callCount        atomic.Int64            // calls so far
	methods          *methods
	applicationCodes map[codes.Code]bool
	connectTimeout   time.Duration
	tick             time.Duration
	credentials      *transportCredentials  // nil: connections are not encrypted by the plug-in
	admission        *controller.Controller // nil: there is none
	executor         *executor.Executor     // nil: repeats of keyed calls are not looked for
	prewarming       *prewarming            // nil: connections are made as calls need them
	stop             context.CancelFunc
	background       sync.WaitGroup

	rngMu sync.Mutex
	rng   *rand.Rand

	listFromCaller bool       // the list is given with SetEndpoints
	setEndpointsMu sync.Mutex // one list after another, from SetEndpoints
	resolverMu     sync.Mutex // and to the resolvers
	mu             sync.Mutex
	balancers      map[*subConnBalancer]bool
	resolvers      map[*listResolver]bool
}

// New starts a Plugin. Close ends it, after its ClientConns.
func New(o Options) (*Plugin, error) {
	set := o.Settings
	methods, err := newMethods(&set, o.Methods, o.Files)
	if err != nil {
		return nil, fmt.Errorf("orchidgrpc: %w", err)
	}
	file, err := readPluginFile(o)
	if err != nil {
		return nil, fmt.Errorf("orchidgrpc: %w", err)
	}
	if o.Discovery == "" && len(o.Endpoints) == 0 && len(file.Registries) == 0 {
		return nil, errors.New("orchidgrpc: none of Discovery, Endpoints and a File with registries is given")
	}
	if o.Discovery != "" {
		if err := endpoints.CheckAddress(o.Discovery); err != nil {
			return nil, fmt.Errorf("orchidgrpc: Discovery: %w", err)
		}
	}
	known, err := endpointList(o.Endpoints, o.Version)
	if err != nil {
		return nil, fmt.Errorf("orchidgrpc: Endpoints: %w", err)
	}
	p := &Plugin{service: cmp.Or(o.Service, defaultService), listFromCaller: o.Discovery == "", methods: methods, applicationCodes: map[codes.Code]bool{},
		connectTimeout: cmp.Or(set.ConnectTimeout, defaultConnectTimeout), tick: cmp.Or(set.Tick, time.Millisecond),
		rng: rand.New(rand.NewPCG(o.Seed, 0x6f72636869646772)), balancers: map[*subConnBalancer]bool{},
		resolvers: map[*listResolver]bool{}}
	answers := o.Answers
	if answers == nil {
		answers = defaultApplicationCodes
	}
	for _, code := range answers {
		p.applicationCodes[code] = true
	}
	clk := clock.New()
	p.registry = endpoints.New(clk, p.removeSubConns)
	p.registrySink = discovery.NewRegistrySink(p.registry, p.applyUpdate)
	log := logging.NewFunc(o.Log)
	if o.TLS != nil {
		if p.credentials, err = newTransportCredentials(*o.TLS, log); err != nil {
			return nil, fmt.Errorf("orchidgrpc: %w", err)
		}
	}
	if file.Admission != nil {
		if p.admission, err = newAdmission(o, *file.Admission, clk, log); err != nil {
			return nil, fmt.Errorf("orchidgrpc: %w", err)
		}
	}
	if file.Idempotency != nil {
		if p.executor, err = executor.Open(context.Background(), *file.Idempotency, p.service, &set, executor.StartTimeout, executor.Options{Clock: clk, Log: log, OwnGoroutine: true}); err != nil {
			return nil, fmt.Errorf("orchidgrpc: repeats: %w", err)
		}
	}
	if file.Prewarm.Enabled {
		p.prewarming = &prewarming{used: map[string]bool{}, prewarmer: prewarm.New(file.Prewarm, maxSubConns,
			rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String("warm"))))}
	}
	source, known, err := p.openSource(o, file, known, staleness.Options{Pushed: !set.MustSubscribe, FleetSize: set.FleetSize}, log)
	if err != nil {
		return nil, fmt.Errorf("orchidgrpc: %w", err)
	}
	p.sink = p.registrySink
	if file.Subset.Enabled {
		p.subsetSink = discovery.NewSubsetSink(subset.New(file.Subset, fmt.Sprintf("%016x", o.Seed), set.Zone, math.MaxInt32), p.registrySink, p.callCount.Load)
		p.sink = p.subsetSink
		if known != nil {
			known = p.subsetSink.Load(known)
		}
	}
	var members balancer.EndpointUpdate
	if known != nil {
		members = p.registrySink.Apply(known)
	}
	subscribe := func() {}
	if source != nil {
		subscribe = source.Refresh
	}
	p.engine, err = engine.New(engine.Options{Settings: set, Seed: o.Seed, Clock: clk, CachedEndpoints: members.Endpoints,
		Subscribe: subscribe, WaitForUpdates: p.registrySink.WaitForUpdates, Log: log, CancelWithCaller: true})
	if err != nil {
		return nil, fmt.Errorf("orchidgrpc: Settings: %w", err)
	}
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
		p.background.Go(func() { p.runPrewarming(ctx, clk) })
	}
	return p, nil
}

// openSource makes the source of the list, and the list to begin with; nil: the list is SetEndpoints' alone.
func (p *Plugin) openSource(o Options, file config.PluginFile, known *endpoints.List, follow staleness.Options, log *slog.Logger) (endpoints.Source,
	*endpoints.List, error) {
	var own endpoints.Source
	if o.Discovery != "" {
		own = discovery.New(discovery.Options{Address: o.Discovery, Index: o.Version, ConnectTimeout: p.connectTimeout,
			Staleness: follow, Seed: o.Seed, Log: log})
	}
	if len(file.Registries) == 0 {
		return own, known, nil
	}
	sources := []discovery.NamedSource{{Name: primarySourceName, Source: own, Initial: known, Primary: true}}
	for _, r := range file.Registries {
		one, err := eureka.New(r, p.connectTimeout, o.Seed^xxhash.Sum64String(r.Name), log)
		if err != nil {
			return nil, nil, err
		}
		sources = append(sources, discovery.NamedSource{Name: r.Name, Source: one})
	}
	var err error
	if p.mergedSource, err = discovery.NewMergedSource(file.Membership, log, sources...); err != nil {
		return nil, nil, err
	}
	return p.mergedSource, p.mergedSource.Load(), nil
}

// primarySourceName is what Discovery's or SetEndpoints' list is called beside registries.
const primarySourceName = "list"

// readPluginFile reads what the operator's file has for the plug-in; nothing, where none is named.
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

// Target is what to give to grpc.NewClient, with DialOptions.
func (p *Plugin) Target() string { return Scheme + ":///" + p.service }

// DialOptions make a ClientConn leave its decisions to the plug-in. Credentials and the like are the caller's to add;
// further interceptors that stand before these options see calls, those after them see attempts.
func (p *Plugin) DialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithResolvers(resolverBuilder{p}),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + policyName + `":{}}]}`),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: p.connectTimeout, Backoff: backoff.Config{
			BaseDelay: reconnectBaseDelay, Multiplier: reconnectMultiplier, Jitter: 0.2, MaxDelay: reconnectMaxDelay}}),
	}
	if p.credentials != nil {
		options = append(options, grpc.WithTransportCredentials(p.credentials))
	}
	return options
}

// SetEndpoints replaces the list, where it comes from elsewhere than Discovery. When it returns, nothing new is sent to an
// upstream that is not in it. A list that can't be used changes nothing.
func (p *Plugin) SetEndpoints(list []Endpoint) error {
	if !p.listFromCaller {
		return errors.New("orchidgrpc: the list is Discovery's")
	}
	p.setEndpointsMu.Lock()
	defer p.setEndpointsMu.Unlock()
	l, err := endpointList(list, 0)
	if err != nil {
		return fmt.Errorf("orchidgrpc: %w", err)
	}
	if p.mergedSource != nil {
		p.mergedSource.Update(primarySourceName, l)
		return nil
	}
	p.sink.Update(l)
	return nil
}

// Close fails what is in hand and ends the plug-in. Close its ClientConns first.
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

// InHand is how many calls and streams the plug-in has in hand.
func (p *Plugin) InHand() int { return p.engine.InFlight() }

// Upstreams is what the module makes of the upstreams now, for those who look on.
func (p *Plugin) Upstreams() []balancer.UpstreamView { return p.engine.View() }

func endpointList(list []Endpoint, version int64) (*endpoints.List, error) {
	l := &endpoints.List{Index: &version, Snapshot: true}
	names := map[string]bool{}
	for _, e := range list {
		if e.Name == "" || names[e.Name] {
			return nil, fmt.Errorf("name %q is empty or repeated", e.Name)
		}
		names[e.Name] = true
		if err := endpoints.CheckAddress(e.Address); err != nil {
			return nil, fmt.Errorf("%s: %w", e.Name, err)
		}
		since := 0.0
		if !e.Since.IsZero() {
			since = float64(e.Since.UnixMilli())
		}
		l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, MachineType: e.Type,
			Cell: e.Group, Status: endpoints.StatusReady, StartedMs: since, TLSIdentity: e.Identity})
	}
	return l, nil
}

// applyUpdate brings news of the list, which the directory has already.
func (p *Plugin) applyUpdate(m balancer.EndpointUpdate) {
	p.engine.Update(m)
	if len(m.Endpoints) == 0 && m.Kind != balancer.FullUpdate {
		return
	}
	p.mu.Lock()
	resolvers := make([]*listResolver, 0, len(p.resolvers))
	for r := range p.resolvers {
		resolvers = append(resolvers, r)
	}
	p.mu.Unlock()
	for _, r := range resolvers {
		r.updateState()
	}
}

// removeSubConns shuts the sub-connections to an upstream at once, without the way through the resolvers.
func (p *Plugin) removeSubConns(name string) {
	place, ready := p.registry.Instance(name)
	for _, q := range p.currentBalancers() {
		q.removeSubConn(name, place, ready)
	}
}

// currentBalancers lists the policies that there are now.
func (p *Plugin) currentBalancers() []*subConnBalancer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.balancers))
}

func (p *Plugin) addBalancer(q *subConnBalancer)    { p.locked(func() { p.balancers[q] = true }) }
func (p *Plugin) removeBalancer(q *subConnBalancer) { p.locked(func() { delete(p.balancers, q) }) }

func (p *Plugin) addResolver(r *listResolver)    { p.locked(func() { p.resolvers[r] = true }) }
func (p *Plugin) removeResolver(r *listResolver) { p.locked(func() { delete(p.resolvers, r) }) }

func (p *Plugin) locked(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
}

const hexDigits = "0123456789abcdef"

// newID is 64 random bits for each of words, as hexadecimal digits.
func (p *Plugin) newID(words int) string {
	id := make([]byte, 0, 32)
	p.rngMu.Lock()
	defer p.rngMu.Unlock()
	for range words {
		for bits, n := p.rng.Uint64(), 0; n < 16; bits, n = bits>>4, n+1 {
			id = append(id, hexDigits[bits&15])
		}
	}
	return string(slices.Clip(id))
}
