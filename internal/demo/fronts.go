package demo

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/balancer"
	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/settings"
)

// front is a way to get a request answered: inTime stands for served, in whatever time.
type front interface {
	ask(ctx context.Context, r request) result
	view() []balancer.UpstreamView // nil where nothing is estimated
	close() error
}

// daemonFront is the sidecar daemon in this process, asked over its listener.
type daemonFront struct {
	address string
	client  *http.Client
	engine  *engine.Engine
	stop    context.CancelFunc
	ended   chan error
}

func newDaemon(f *fleet, seed uint64) (*daemonFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &config.Config{Name: "demo", Listen: l.Addr().String(), Discovery: f.discovery.Address(), Seed: seed,
		CachedEndpoints: f.discovery.List(), Limits: config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: settings.Settings{Settings: moduleSettings(), ConnIdleTimeout: 15 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemonFront{address: l.Addr().String(), stop: cancel, ended: make(chan error, 1), client: newClient()}
	log.SetOutput(io.Discard) // the table tells
	looked := make(chan struct{})
	go func() {
		d.ended <- daemon.Serve(ctx, c, l, "", nil, func(e *engine.Engine) {
			d.engine = e
			close(looked)
		})
	}()
	select {
	case <-looked:
		return d, nil
	case err := <-d.ended:
		cancel()
		return nil, err
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
}

func (d *daemonFront) ask(ctx context.Context, r request) result {
	status, err := askHTTP(ctx, d.client, d.address, r)
	switch {
	case err != nil:
		return failed
	case status == http.StatusOK:
		return inTime
	case status == http.StatusServiceUnavailable:
		return refused
	}
	return failed
}

func (d *daemonFront) view() []balancer.UpstreamView { return d.engine.View() }

func (d *daemonFront) close() error {
	d.client.CloseIdleConnections()
	d.stop()
	return <-d.ended
}

// askHTTP makes one request, and gives the status; with the platform's mark on it, http.StatusTooManyRequests.
func askHTTP(ctx context.Context, client *http.Client, address string, r request) (int, error) {
	method := http.MethodPost
	if r.class.effect == balancer.Idempotent {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+r.class.name+"/"+r.id, http.NoBody)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-ID", r.id)
	req.Header.Set("X-Cost", strconv.FormatInt(r.work.Microseconds(), 10))
	if r.class.effect == balancer.IdempotentWithKey {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Header.Get("X-Not-Processed") == "1" {
		return http.StatusTooManyRequests, nil
	}
	return resp.StatusCode, nil
}

// pluginFront is the plug-in in this process.
type pluginFront struct {
	plugin *grpcbalancer.Plugin
	conn   *grpc.ClientConn
}

const methodPrefix = "/booking.Seats/"

func newPlugin(f *fleet, seed uint64) (*pluginFront, error) {
	l := f.discovery.List()
	o := grpcbalancer.Options{Settings: moduleSettings(), Seed: seed, Discovery: f.discovery.Address(), Version: *l.Index,
		Methods: map[string]string{}}
	for _, c := range classes {
		o.Methods[methodPrefix+c.name] = c.name
	}
	for _, e := range l.Endpoints {
		o.Endpoints = append(o.Endpoints, grpcbalancer.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.MachineType})
	}
	p, err := grpcbalancer.New(o)
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		p.Close()
		return nil, err
	}
	return &pluginFront{p, conn}, nil
}

func (p *pluginFront) ask(ctx context.Context, r request) result {
	err := askGRPC(ctx, p.conn, r)
	switch {
	case err == nil:
		return inTime
	case !grpcbalancer.MayHaveRun(err):
		return refused
	}
	return failed
}

func (p *pluginFront) view() []balancer.UpstreamView { return p.plugin.Upstreams() }

func (p *pluginFront) close() error {
	err := p.conn.Close()
	p.plugin.Close()
	return err
}

func askGRPC(ctx context.Context, conn *grpc.ClientConn, r request) error {
	ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.RequestIDKey, r.id, grpcbalancer.CostKey,
		strconv.FormatInt(r.work.Microseconds(), 10))
	if r.class.effect == balancer.IdempotentWithKey {
		ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.IdempotencyKey, r.key)
	}
	return conn.Invoke(ctx, methodPrefix+r.class.name, wrapperspb.String(r.id), &wrapperspb.StringValue{})
}

// picks draws listed nodes by chance, as a client without a balancer would. It hears of the list at once.
type picks struct {
	f   *fleet
	mu  sync.Mutex
	rng *rand.Rand
}

func (p *picks) draw() (name, address string) {
	listed := p.f.listed()
	names := make([]string, 0, len(listed))
	for name := range listed {
		names = append(names, name)
	}
	if len(names) == 0 {
		return "", ""
	}
	slices.Sort(names)
	p.mu.Lock()
	name = names[p.rng.IntN(len(names))]
	p.mu.Unlock()
	return name, listed[name]
}

// randomHTTP is plain random choice over HTTP: one attempt, and what was turned away is refused.
type randomHTTP struct {
	picks
	client *http.Client
}

func newRandomHTTP(f *fleet, seed uint64) *randomHTTP {
	return &randomHTTP{picks{f: f, rng: rand.New(rand.NewPCG(seed, 3))}, newClient()}
}

func (h *randomHTTP) ask(ctx context.Context, r request) result {
	_, address := h.draw()
	status, err := askHTTP(ctx, h.client, address, r)
	switch {
	case err != nil:
		return failed
	case status == http.StatusOK:
		return inTime
	case status == http.StatusTooManyRequests:
		return refused
	}
	return failed
}

func (h *randomHTTP) view() []balancer.UpstreamView { return nil }

func (h *randomHTTP) close() error {
	h.client.CloseIdleConnections()
	return nil
}

// randomGRPC is the same over gRPC, with a ClientConn for each node.
type randomGRPC struct {
	picks
	connMu sync.Mutex
	conns  map[string]*grpc.ClientConn
}

func newRandomGRPC(f *fleet, seed uint64) *randomGRPC {
	return &randomGRPC{picks: picks{f: f, rng: rand.New(rand.NewPCG(seed, 3))}, conns: map[string]*grpc.ClientConn{}}
}

func (g *randomGRPC) ask(ctx context.Context, r request) result {
	name, address := g.draw()
	g.connMu.Lock()
	conn := g.conns[name]
	if conn == nil {
		var err error
		if conn, err = grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry()); err != nil {
			g.connMu.Unlock()
			return failed
		}
		g.conns[name] = conn
	}
	g.connMu.Unlock()
	var trailer metadata.MD
	ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.RequestIDKey, r.id, grpcbalancer.CostKey,
		strconv.FormatInt(r.work.Microseconds(), 10))
	err := conn.Invoke(ctx, methodPrefix+r.class.name, wrapperspb.String(r.id), &wrapperspb.StringValue{}, grpc.Trailer(&trailer))
	switch {
	case err == nil:
		return inTime
	case len(trailer["x-not-processed"]) > 0:
		return refused
	}
	return failed
}

func (g *randomGRPC) view() []balancer.UpstreamView { return nil }

func (g *randomGRPC) close() error {
	g.connMu.Lock()
	defer g.connMu.Unlock()
	for _, conn := range g.conns {
		conn.Close()
	}
	return nil
}
