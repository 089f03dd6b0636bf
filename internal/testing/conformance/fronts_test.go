// Package conformance holds the fronts to one another: the same module behind the daemon's HTTP and inside a gRPC client, with the
// same seed, list and script of faults, has to give the same answers and the same load on each node.
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
	if child() {
		return
	}
	log.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

// kind is a call's final answer, as its caller can tell it.
type kind string

const (
	served  kind = "served"
	refused kind = "refused" // trying again is harmless
	failed  kind = "failed"  // it may have run
)

// spec is a call, in whatever front's form.
type spec struct {
	class, id, op, key string
	cost               time.Duration
}

// front is a way to make calls.
type front interface {
	do(ctx context.Context, c spec) (kind, string) // and the node that answered
	close()
}

// classes of the suite: one of each effect.
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

// protocol is what the nodes speak.
type protocol string

const (
	overHTTP protocol = "daemon"
	overGRPC protocol = "plug-in"
)

var protocols = []protocol{overHTTP, overGRPC}

// world is nodes, their ledger and a discovery that lists them.
type world struct {
	ledger    *fakes.Ledger
	nodes     []*fakes.Node
	keys      [2]*fakes.IdempotencyKeys     // of the two zones
	discovery map[protocol]*fakes.Discovery // the same list, with addresses of that protocol
}

func newWorld(t testing.TB, options ...fakes.NodeOptions) *world {
	t.Helper()
	w := &world{ledger: fakes.NewLedger(), keys: [2]*fakes.IdempotencyKeys{fakes.NewIdempotencyKeys(time.Minute),
		fakes.NewIdempotencyKeys(time.Minute)}, discovery: map[protocol]*fakes.Discovery{}}
	for _, p := range protocols {
		d := fakes.NewDiscovery()
		d.Heartbeat = 500 * time.Millisecond
		if _, err := d.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		w.discovery[p] = d
	}
	for i, o := range options {
		if o.Name == "" {
			o.Name = fmt.Sprint("n", i)
		}
		w.add(t, o)
	}
	return w
}

// add starts a node and lists it.
func (w *world) add(t testing.TB, o fakes.NodeOptions) *fakes.Node {
	t.Helper()
	zone := len(w.nodes) % len(w.keys)
	o.Ledger, o.Zone, o.Seed, o.Keys = w.ledger, string(rune('a'+zone)), uint64(len(w.nodes)+1), w.keys[zone]
	name := []byte(o.Name)
	body, err := proto.Marshal(wrapperspb.String(o.Name))
	if err != nil {
		t.Fatal(err)
	}
	o.Answer = func(j fakes.Job) []byte {
		if len(j.Class) > 0 && j.Class[0] == 'b' { // booking.Seats/...: gRPC's
			return body
		}
		return name
	}
	n := fakes.NewNode(o)
	t.Cleanup(n.Close)
	w.nodes = append(w.nodes, n)
	since := 0.0
	if !o.Started.IsZero() {
		since = float64(o.Started.UnixMilli())
	}
	for p, listen := range map[protocol]func(string) (string, error){overHTTP: n.ListenHTTP, overGRPC: n.ListenGRPC} {
		address, err := listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w.discovery[p].Set(endpoints.Endpoint{Name: o.Name, Address: address, Zone: o.Zone, MachineType: o.Type,
			Status: endpoints.StatusReady, StartedMs: since})
	}
	return n
}

// drain tells both discoveries, and the node.
func (w *world) drain(n *fakes.Node) {
	for _, d := range w.discovery {
		d.Drain(n.Options().Name)
	}
	n.Drain()
}

func (w *world) start(t testing.TB, p protocol, set balancer.Settings) front {
	t.Helper()
	if p == overHTTP {
		return startDaemon(t, w.discovery[p], set)
	}
	return startPlugin(t, w.discovery[p], set)
}

type daemonFront struct {
	address string
	client  *http.Client
	stop    context.CancelFunc
	ended   chan error
}

func startDaemon(t testing.TB, d *fakes.Discovery, set balancer.Settings) *daemonFront {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &config.Config{Name: "suite", Listen: l.Addr().String(), Discovery: d.Address(), Seed: 7, CachedEndpoints: d.List(),
		Limits:   config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: settings.Settings{Settings: set, ConnIdleTimeout: 15 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	f := &daemonFront{address: l.Addr().String(), stop: cancel, ended: make(chan error, 1),
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

func (f *daemonFront) close() {
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

func (f *daemonFront) do(ctx context.Context, c spec) (kind, string) {
	return askHTTP(ctx, f.client, f.address, c)
}

func askHTTP(ctx context.Context, client *http.Client, address string, c spec) (kind, string) {
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
		return refused, ""
	}
	return failed, resp.Status
}

type pluginFront struct {
	plugin *grpcbalancer.Plugin
	conn   *grpc.ClientConn
	once   sync.Once
}

// pluginMethods maps the suite's methods as a file would.
var pluginMethods = map[string]string{"/booking.Seats/search": "search", "/booking.Seats/record": "record",
	"/booking.Seats/confirm": "confirm"}

func startPlugin(t testing.TB, d *fakes.Discovery, set balancer.Settings) *pluginFront {
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
	f := &pluginFront{plugin: p, conn: conn}
	t.Cleanup(f.close)
	return f
}

func (f *pluginFront) close() {
	f.once.Do(func() {
		f.conn.Close()
		f.plugin.Close()
	})
}

func (f *pluginFront) do(ctx context.Context, c spec) (kind, string) { return askGRPC(ctx, f.conn, c) }

func askGRPC(ctx context.Context, conn *grpc.ClientConn, c spec) (kind, string) {
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
		return refused, ""
	case status.Code(err) == codes.Unavailable:
		return failed, "UNAVAILABLE for what may have run: " + err.Error()
	}
	return failed, err.Error()
}
