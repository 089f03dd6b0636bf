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

// balancedClient sends requests through a load balancing strategy. The method do returns inTime for every request that was served,
// even if it was served late.
type balancedClient interface {
	do(ctx context.Context, r request) result
	view() []balancer.UpstreamView // returns nil if the strategy has no estimates
	close() error
}

// daemonClient runs the sidecar daemon in this process, and sends requests to the daemon's listener.
type daemonClient struct {
	address string
	client  *http.Client
	engine  *engine.Engine
	stop    context.CancelFunc
	ended   chan error
}

func newDaemonClient(f *fleet, seed uint64) (*daemonClient, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	configuration := &config.Config{Name: "demo", Listen: listener.Addr().String(), Discovery: f.discovery.Address(), Seed: seed,
		CachedEndpoints: f.discovery.List(), Limits: config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: settings.Settings{Settings: balancerSettings(), ConnIdleTimeout: 15 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemonClient{address: listener.Addr().String(), stop: cancel, ended: make(chan error, 1), client: newHTTPClient()}
	log.SetOutput(io.Discard) // log lines would disturb the table
	started := make(chan struct{})
	go func() {
		d.ended <- daemon.Serve(ctx, configuration, listener, "", nil, func(e *engine.Engine) {
			d.engine = e
			close(started)
		})
	}()
	select {
	case <-started:
		return d, nil
	case err := <-d.ended:
		cancel()
		return nil, err
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
}

func (d *daemonClient) do(ctx context.Context, r request) result {
	status, err := sendHTTP(ctx, d.client, d.address, r)
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

func (d *daemonClient) view() []balancer.UpstreamView { return d.engine.View() }

func (d *daemonClient) close() error {
	d.client.CloseIdleConnections()
	d.stop()
	return <-d.ended
}

// sendHTTP sends a request and returns the status code. If the node marked the request as not processed, it returns
// http.StatusTooManyRequests.
func sendHTTP(ctx context.Context, client *http.Client, address string, r request) (int, error) {
	method := http.MethodPost
	if r.class.idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+r.class.name+"/"+r.id, http.NoBody)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-ID", r.id)
	req.Header.Set("X-Cost", strconv.FormatInt(r.serviceTime.Microseconds(), 10))
	if r.class.idempotency == balancer.IdempotentWithKey {
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

// grpcClient sends calls over a ClientConn with the gRPC balancer.
type grpcClient struct {
	plugin *grpcbalancer.Plugin
	conn   *grpc.ClientConn
}

const methodPrefix = "/booking.Seats/"

func newGRPCClient(f *fleet, seed uint64) (*grpcClient, error) {
	list := f.discovery.List()
	o := grpcbalancer.Options{Settings: balancerSettings(), Seed: seed, Discovery: f.discovery.Address(), Version: *list.Index,
		Methods: map[string]string{}}
	for _, class := range classes {
		o.Methods[methodPrefix+class.name] = class.name
	}
	for _, endpoint := range list.Endpoints {
		o.Endpoints = append(o.Endpoints, grpcbalancer.Endpoint{Name: endpoint.Name, Address: endpoint.Address, Zone: endpoint.Zone, Type: endpoint.MachineType})
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
	return &grpcClient{p, conn}, nil
}

func (g *grpcClient) do(ctx context.Context, r request) result {
	err := sendGRPC(ctx, g.conn, r)
	switch {
	case err == nil:
		return inTime
	case !grpcbalancer.MayHaveRun(err):
		return refused
	}
	return failed
}

func (g *grpcClient) view() []balancer.UpstreamView { return g.plugin.Upstreams() }

func (g *grpcClient) close() error {
	err := g.conn.Close()
	g.plugin.Close()
	return err
}

func sendGRPC(ctx context.Context, conn *grpc.ClientConn, r request) error {
	ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.RequestIDKey, r.id, grpcbalancer.CostKey,
		strconv.FormatInt(r.serviceTime.Microseconds(), 10))
	if r.class.idempotency == balancer.IdempotentWithKey {
		ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.IdempotencyKey, r.key)
	}
	return conn.Invoke(ctx, methodPrefix+r.class.name, wrapperspb.String(r.id), &wrapperspb.StringValue{})
}

// randomChoice chooses ready nodes at random, as a client without a balancer does. It notices changes of the endpoint list at once.
type randomChoice struct {
	fleet *fleet
	mu    sync.Mutex
	rng   *rand.Rand
}

func (c *randomChoice) pick() (name, address string) {
	addresses := c.fleet.readyNodes()
	names := make([]string, 0, len(addresses))
	for name := range addresses {
		names = append(names, name)
	}
	if len(names) == 0 {
		return "", ""
	}
	slices.Sort(names)
	c.mu.Lock()
	name = names[c.rng.IntN(len(names))]
	c.mu.Unlock()
	return name, addresses[name]
}

// randomHTTP sends HTTP requests to randomly chosen nodes. It makes one attempt for each request.
type randomHTTP struct {
	randomChoice
	client *http.Client
}

func newRandomHTTP(f *fleet, seed uint64) *randomHTTP {
	return &randomHTTP{randomChoice{fleet: f, rng: rand.New(rand.NewPCG(seed, 3))}, newHTTPClient()}
}

func (h *randomHTTP) do(ctx context.Context, r request) result {
	_, address := h.pick()
	status, err := sendHTTP(ctx, h.client, address, r)
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

// randomGRPC sends gRPC calls to randomly chosen nodes. It makes one attempt for each request, and has a ClientConn for each node.
type randomGRPC struct {
	randomChoice
	connMu sync.Mutex
	conns  map[string]*grpc.ClientConn
}

func newRandomGRPC(f *fleet, seed uint64) *randomGRPC {
	return &randomGRPC{randomChoice: randomChoice{fleet: f, rng: rand.New(rand.NewPCG(seed, 3))}, conns: map[string]*grpc.ClientConn{}}
}

func (g *randomGRPC) do(ctx context.Context, r request) result {
	name, address := g.pick()
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
		strconv.FormatInt(r.serviceTime.Microseconds(), 10))
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
