package grpcbalancer_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/balancer"
	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Methods of the test service, with the idempotency level in its descriptor.
const (
	search  = "/booking.Seats/Search"  // NO_SIDE_EFFECTS
	record  = "/booking.Seats/Record"  // IDEMPOTENT
	confirm = "/booking.Seats/Confirm" // IDEMPOTENCY_UNKNOWN
)

// files returns the descriptors of the test service.
func files(t testing.TB) *protoregistry.Files {
	t.Helper()
	method := func(name string, level descriptorpb.MethodOptions_IdempotencyLevel) *descriptorpb.MethodDescriptorProto {
		return &descriptorpb.MethodDescriptorProto{Name: proto.String(name), InputType: proto.String(".google.protobuf.StringValue"),
			OutputType: proto.String(".google.protobuf.StringValue"), Options: &descriptorpb.MethodOptions{IdempotencyLevel: level.Enum()}}
	}
	d, err := protodesc.NewFile(&descriptorpb.FileDescriptorProto{Name: proto.String("booking.proto"),
		Package: proto.String("booking"), Dependency: []string{"google/protobuf/wrappers.proto"},
		Service: []*descriptorpb.ServiceDescriptorProto{{Name: proto.String("Seats"), Method: []*descriptorpb.MethodDescriptorProto{
			method("Search", descriptorpb.MethodOptions_NO_SIDE_EFFECTS), method("Record", descriptorpb.MethodOptions_IDEMPOTENT),
			method("Confirm", descriptorpb.MethodOptions_IDEMPOTENCY_UNKNOWN)}}}}, protoregistry.GlobalFiles)
	if err != nil {
		t.Fatal(err)
	}
	f := &protoregistry.Files{}
	if err := f.RegisterFile(d); err != nil {
		t.Fatal(err)
	}
	return f
}

// settings returns settings with one class of each idempotency.
func settings() balancer.Settings {
	class := func(name string, idempotency balancer.Idempotency) balancer.Class {
		return balancer.Class{Name: name, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, LateValueFraction: 0.5,
			Idempotency: idempotency, DedupScope: balancer.ScopeAll, DedupWindow: 6 * time.Second}
	}
	return balancer.Settings{Zone: "a", Classes: []balancer.Class{class("search", balancer.Idempotent),
		class("record", balancer.IdempotentWithKey), class("confirm", balancer.NonIdempotent)}, Tick: 5 * time.Millisecond, MaxAttempts: 5,
		HedgingAllowed: true, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 1500 * time.Millisecond,
		ConnectTimeout: time.Second}
}

// fleet is a set of nodes that speak gRPC and share a ledger.
type fleet struct {
	ledger    *fakes.Ledger
	nodes     []*fakes.Node
	endpoints []grpcbalancer.Endpoint
}

// newFleet starts a node for each of options, and sets the options that the nodes have in common. Each node answers with its name.
func newFleet(t testing.TB, options ...fakes.NodeOptions) *fleet {
	t.Helper()
	f := &fleet{ledger: fakes.NewLedger()}
	for i, o := range options {
		if o.Name == "" {
			o.Name = fmt.Sprint("n", i)
		}
		o.Ledger, o.Zone, o.Cores, o.Seed = f.ledger, "a", max(o.Cores, 64), uint64(i)
		onRequest := o.Answer
		o.Answer = func(j fakes.Job) []byte {
			if onRequest != nil {
				onRequest(j)
			}
			body, err := proto.Marshal(wrapperspb.String(o.Name))
			if err != nil {
				panic(err)
			}
			return body
		}
		n := fakes.NewNode(o)
		address, err := n.ListenGRPC("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		f.nodes = append(f.nodes, n)
		f.endpoints = append(f.endpoints, grpcbalancer.Endpoint{Name: o.Name, Address: address, Zone: "a"})
	}
	return f
}

// dial starts a Plugin for the fleet and a ClientConn on it. change, which may be nil, edits the options.
func (f *fleet) dial(t testing.TB, change func(*grpcbalancer.Options)) (*grpc.ClientConn, *grpcbalancer.Plugin) {
	t.Helper()
	o := grpcbalancer.Options{Settings: settings(), Seed: 7, Endpoints: f.endpoints, Files: files(t)}
	if change != nil {
		change(&o)
	}
	p, err := grpcbalancer.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return connect(t, p), p
}

// connect opens a ClientConn on a Plugin.
func connect(t testing.TB, p *grpcbalancer.Plugin) *grpc.ClientConn {
	t.Helper()
	conn, err := grpc.NewClient(p.Target(), append(p.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// invoke makes a unary call and returns the name of the node that answered.
func invoke(ctx context.Context, conn *grpc.ClientConn, method string, opts ...grpc.CallOption) (string, error) {
	reply := &wrapperspb.StringValue{}
	err := conn.Invoke(ctx, method, wrapperspb.String("seat 4"), reply, opts...)
	return reply.GetValue(), err
}

func contains(s, part string) bool { return strings.Contains(s, part) }
