// Package conformance compares the two protocol adapters: the balancer behind the daemon's HTTP, and the balancer inside a gRPC client.
// With the same seed, endpoint list and script of faults, both have to give the same answers and put the same load on each node.
package conformance

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/balancer"
	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/settings"
	"orchiddrift/internal/testing/testutil"
)

func TestMain(m *testing.M) {
	if runAsChild() {
		return
	}
	log.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

// outcome is the result of a call as its caller sees it.
type outcome string

const (
	served   outcome = "served"
	rejected outcome = "rejected" // the call was not executed, so a retry is safe
	failed   outcome = "failed"   // the call may have been executed
)

// callSpec describes a call independently of the protocol. All attempts of an operation have the same op, and each attempt has its own
// id.
type callSpec struct {
	class, id, op, key string
	cost               time.Duration
}

// adapter makes calls through the daemon or through the gRPC plug-in.
type adapter interface {
	do(ctx context.Context, c callSpec) (outcome, string) // returns the outcome, and the name of the node that served the call or the error of a failed call
	close()
}

// suiteSettings returns settings with one class for each kind of idempotency.
func suiteSettings(deadline time.Duration) balancer.Settings {
	class := func(name string, e balancer.Idempotency) balancer.Class {
		return balancer.Class{Name: name, LatencyObjective: deadline / 2, Deadline: deadline, LateValueFraction: 0.5, Idempotency: e,
			DedupScope: balancer.ScopeZone, DedupWindow: 6 * time.Second}
	}
	return balancer.Settings{Zone: "a", FleetSize: 1, Classes: []balancer.Class{class("search", balancer.Idempotent),
		class("record", balancer.IdempotentWithKey), class("confirm", balancer.NonIdempotent)}, Tick: 5 * time.Millisecond, MaxAttempts: 5,
		HedgingAllowed: true, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 200 * time.Millisecond,
		ConnectTimeout: 500 * time.Millisecond, SlowStartMinCapacity: 0.3, SlowStartWindow: 8800 * time.Millisecond, OverloadMultiple: 3,
		OverloadWindow: 2 * time.Second, WeightPerWork: true}
}

// protocol names the adapter under test. The adapter determines the protocol between itself and the nodes.
type protocol string

const (
	overHTTP protocol = "daemon"
	overGRPC protocol = "plug-in"
)

var protocols = []protocol{overHTTP, overGRPC}

// testEnvironment holds fake nodes, the ledger of their executions, and a fake discovery service for each protocol.
type testEnvironment struct {
	ledger    *fakes.Ledger
	nodes     []*fakes.Node
	keys      [2]*fakes.IdempotencyKeys     // one store for each of the two zones
	discovery map[protocol]*fakes.Discovery // one service for each protocol, with the addresses that the nodes have for it
}

func newTestEnvironment(t testing.TB, options ...fakes.NodeOptions) *testEnvironment {
	t.Helper()
	env := &testEnvironment{ledger: fakes.NewLedger(), keys: [2]*fakes.IdempotencyKeys{fakes.NewIdempotencyKeys(time.Minute),
		fakes.NewIdempotencyKeys(time.Minute)}, discovery: map[protocol]*fakes.Discovery{}}
	for _, p := range protocols {
		d := fakes.NewDiscovery()
		d.Heartbeat = 500 * time.Millisecond
		if _, err := d.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		env.discovery[p] = d
	}
	for i, o := range options {
		if o.Name == "" {
			o.Name = fmt.Sprint("n", i)
		}
		env.add(t, o)
	}
	return env
}

// add starts a node and adds it to the endpoint lists.
func (env *testEnvironment) add(t testing.TB, o fakes.NodeOptions) *fakes.Node {
	t.Helper()
	zone := len(env.nodes) % len(env.keys)
	o.Ledger, o.Zone, o.Seed, o.Keys = env.ledger, string(rune('a'+zone)), uint64(len(env.nodes)+1), env.keys[zone]
	name := []byte(o.Name)
	body, err := proto.Marshal(wrapperspb.String(o.Name))
	if err != nil {
		t.Fatal(err)
	}
	o.Answer = func(j fakes.Job) []byte {
		if len(j.Class) > 0 && j.Class[0] == 'b' { // the class is a gRPC method, booking.Seats/...
			return body
		}
		return name
	}
	n := fakes.NewNode(o)
	t.Cleanup(n.Close)
	env.nodes = append(env.nodes, n)
	since := 0.0
	if !o.Started.IsZero() {
		since = float64(o.Started.UnixMilli())
	}
	for p, listen := range map[protocol]func(string) (string, error){overHTTP: n.ListenHTTP, overGRPC: n.ListenGRPC} {
		address, err := listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		env.discovery[p].Set(endpoints.Endpoint{Name: o.Name, Address: address, Zone: o.Zone, MachineType: o.Type,
			Status: endpoints.StatusReady, StartedMs: since})
	}
	return n
}

// drain marks a node as draining in both discovery services and on the node itself.
func (env *testEnvironment) drain(n *fakes.Node) {
	for _, d := range env.discovery {
		d.Drain(n.Options().Name)
	}
	n.Drain()
}

func (env *testEnvironment) start(t testing.TB, p protocol, set balancer.Settings) adapter {
	t.Helper()
	if p == overHTTP {
		return startDaemon(t, env.discovery[p], set)
	}
	return startPlugin(t, env.discovery[p], set)
}

type daemonAdapter struct {
	address string
	client  *http.Client
	stop    context.CancelFunc
	ended   chan error
}

func startDaemon(t testing.TB, d *fakes.Discovery, set balancer.Settings) *daemonAdapter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &config.Config{Name: "suite", Listen: l.Addr().String(), Discovery: d.Address(), Seed: 7, CachedEndpoints: d.List(),
		Limits:   config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: settings.Settings{Settings: set, ConnIdleTimeout: 15 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	f := &daemonAdapter{address: l.Addr().String(), stop: cancel, ended: make(chan error, 1),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	go func() { f.ended <- daemon.Serve(ctx, c, l, "", nil, nil) }()
	t.Cleanup(f.close)
	testutil.Eventually(t, "the daemon is ready", func() bool {
		resp, err := f.client.Get("http://" + f.address + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return f
}

func (f *daemonAdapter) close() {
	f.client.CloseIdleConnections()
	f.stop()
	if err, ok := <-f.ended; ok {
		close(f.ended)
		if err != nil {
			panic(err)
		}
	}
	f.client.CloseIdleConnections()
}

func (f *daemonAdapter) do(ctx context.Context, c callSpec) (outcome, string) {
	return callHTTP(ctx, f.client, f.address, c)
}

func callHTTP(ctx context.Context, client *http.Client, address string, c callSpec) (outcome, string) {
	method := http.MethodPost
	if c.class == "search" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+c.class+"/1", http.NoBody)
	if err != nil {
		return failed, err.Error()
	}
	req.Header.Set("X-Request-ID", c.id)
	req.Header.Set(fakes.OperationHeader, c.op)
	if c.class == "record" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	if c.cost > 0 {
		req.Header.Set("X-Cost", strconv.FormatInt(c.cost.Microseconds(), 10))
	}
	resp, err := client.Do(req)
	if err != nil {
		return failed, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return failed, err.Error()
	case resp.StatusCode == http.StatusOK:
		return served, string(body)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return rejected, ""
	}
	return failed, resp.Status
}

type pluginAdapter struct {
	plugin *grpcbalancer.Plugin
	conn   *grpc.ClientConn
	once   sync.Once
}

// pluginMethods maps the gRPC methods of the suite to classes, as a configuration file does.
var pluginMethods = map[string]string{"/booking.Seats/search": "search", "/booking.Seats/record": "record",
	"/booking.Seats/confirm": "confirm"}

func startPlugin(t testing.TB, d *fakes.Discovery, set balancer.Settings) *pluginAdapter {
	t.Helper()
	l := d.List()
	o := grpcbalancer.Options{Settings: set, Seed: 7, Discovery: d.Address(), Version: *l.Index, Methods: pluginMethods}
	for _, e := range l.Endpoints {
		since := time.Time{}
		if e.StartedMs > 0 {
			since = time.UnixMilli(int64(e.StartedMs))
		}
		o.Endpoints = append(o.Endpoints, grpcbalancer.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.MachineType, Since: since})
	}
	p, err := grpcbalancer.New(o)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		t.Fatal(err)
	}
	f := &pluginAdapter{plugin: p, conn: conn}
	t.Cleanup(f.close)
	return f
}

func (f *pluginAdapter) close() {
	f.once.Do(func() {
		f.conn.Close()
		f.plugin.Close()
	})
}

func (f *pluginAdapter) do(ctx context.Context, c callSpec) (outcome, string) {
	return callGRPC(ctx, f.conn, c)
}

func callGRPC(ctx context.Context, conn *grpc.ClientConn, c callSpec) (outcome, string) {
	ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.RequestIDKey, c.id, "x-operation", c.op)
	if c.class == "record" {
		ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.IdempotencyKey, c.key)
	}
	if c.cost > 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.CostKey, strconv.FormatInt(c.cost.Microseconds(), 10))
	}
	reply := &wrapperspb.StringValue{}
	err := conn.Invoke(ctx, "/booking.Seats/"+c.class, wrapperspb.String("seat 4"), reply)
	switch {
	case err == nil:
		return served, reply.GetValue()
	case !grpcbalancer.MayHaveRun(err):
		return rejected, ""
	case status.Code(err) == codes.Unavailable:
		return failed, "UNAVAILABLE for a call that may have been executed: " + err.Error()
	}
	return failed, err.Error()
}
