package grpcbalancer

import (
	"context"
	"io"
	"reflect"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
)

// call is one call of the application's, in whatever form. Its attempts share it.
type call struct {
	p      *Plugin
	method string
	engine.Call
	print uint64 // tells calls apart at the door: a repeat's is the same

	*lastStatus
}

// lastStatus is of the attempt that ended last without an answer.
type lastStatus struct {
	mu   sync.Mutex
	last *status.Status
}

// newCall reads what the module is to know from the context, and puts the id and the key into it.
func (p *Plugin) newCall(ctx context.Context, method string) (context.Context, *call) {
	p.asked.Add(1)
	class := p.methods.class(method)
	md, _ := metadata.FromOutgoingContext(ctx)
	c := &call{p: p, method: method, lastStatus: &lastStatus{}, Call: engine.Call{Class: class.Name, ID: first(md, RequestIDKey),
		Tenant: first(md, TenantKey), Deadline: p.engine.Clock().Now() + class.Deadline}}
	if p.door != nil { // before a key is made: another would be with the repeat
		c.print = xxhash.Sum64String(method + "\x00" + first(md, IdempotencyKey))
	}
	if c.ID == "" {
		c.ID = p.newID(1)
		ctx = metadata.AppendToOutgoingContext(ctx, RequestIDKey, c.ID)
	}
	if class.Idempotency == balancer.IdempotentWithKey && first(md, IdempotencyKey) == "" {
		ctx = metadata.AppendToOutgoingContext(ctx, IdempotencyKey, p.newID(2))
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.Deadline = min(c.Deadline, p.engine.Clock().At(deadline))
	}
	if us, err := strconv.ParseFloat(first(md, CostKey), 64); err == nil && us > 0 && us < maxCost.Seconds()*1e6 {
		c.CostHint = time.Duration(us * float64(time.Microsecond))
	}
	return ctx, c
}

func first(md metadata.MD, key string) string {
	if v := md[key]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// begin makes an attempt's record; nil where it is not to be sent.
func (c *call) begin(ctx context.Context, a engine.Attempt) *attempt {
	place, ok := c.p.directory.Instance(a.Upstream)
	if !ok {
		return nil
	}
	return &attempt{Context: ctx, plugin: c.p, upstream: a.Upstream, place: place, by: a.SendBy, caller: a.Caller, cancel: a.Cancel}
}

// ended says what an RPC's end was for the module. An error that is the application's own answer counts as served.
func (c *call) ended(rec *attempt, err error) balancer.Result {
	if err == io.EOF {
		err = nil
	}
	result := rec.end(err).result(c.p.answers)
	if result != balancer.OK {
		c.mu.Lock()
		c.last = status.Convert(err)
		c.mu.Unlock()
	}
	return result
}

// fail is the caller's error for an answer that is not served.
func (c *call) fail(ctx context.Context, a engine.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, bounded := ctx.Deadline()
	late := bounded && c.p.engine.Clock().Now() >= c.Deadline-4*c.p.tick
	return answerError(ctx, a, c.last, late)
}

// outputs are what call options write to once an RPC has ended. Copies of a call would write to them at the same time,
// so each attempt gets its own, and those of the one that counts are handed over.
type outputs struct {
	header, trailer metadata.MD
	peer            peer.Peer
}

// split takes the options that write off opts.
func split(opts []grpc.CallOption) (plain, writing []grpc.CallOption) {
	for i, o := range opts {
		switch o.(type) {
		case grpc.HeaderCallOption, grpc.TrailerCallOption, grpc.PeerCallOption, grpc.OnFinishCallOption:
			if writing == nil {
				plain = append(make([]grpc.CallOption, 0, len(opts)), opts[:i]...)
			}
			writing = append(writing, o)
		default:
			if writing != nil {
				plain = append(plain, o)
			}
		}
	}
	if writing == nil {
		return opts, nil
	}
	return plain, writing
}

// own are the options that make an RPC write to out.
func (out *outputs) own(plain, writing []grpc.CallOption) []grpc.CallOption {
	if len(writing) == 0 {
		return plain
	}
	opts := append(make([]grpc.CallOption, 0, len(plain)+len(writing)), plain...)
	for _, o := range writing {
		switch o.(type) {
		case grpc.HeaderCallOption:
			opts = append(opts, grpc.Header(&out.header))
		case grpc.TrailerCallOption:
			opts = append(opts, grpc.Trailer(&out.trailer))
		case grpc.PeerCallOption:
			opts = append(opts, grpc.Peer(&out.peer))
		}
	}
	return opts
}

// handOver writes to the caller's options.
func (out *outputs) handOver(writing []grpc.CallOption, err error) {
	for _, o := range writing {
		switch o := o.(type) {
		case grpc.HeaderCallOption:
			*o.HeaderAddr = out.header
		case grpc.TrailerCallOption:
			*o.TrailerAddr = out.trailer
		case grpc.PeerCallOption:
			*o.PeerAddr = out.peer
		case grpc.OnFinishCallOption:
			o.OnFinish(err)
		}
	}
}

// messageType makes messages like a caller's. It is taken before the call begins: while one attempt writes to the
// caller's message another may want one of its own.
type messageType struct {
	proto protoreflect.MessageType
	plain reflect.Type
}

func typeOf(m any) messageType {
	if p, ok := m.(proto.Message); ok {
		return messageType{proto: p.ProtoReflect().Type()}
	}
	return messageType{plain: reflect.TypeOf(m).Elem()}
}

// fresh is a new, empty message.
func (t messageType) fresh() any {
	if t.proto != nil {
		return t.proto.New().Interface()
	}
	return reflect.New(t.plain).Interface()
}

// copyInto makes to, a pointer, what from is.
func copyInto(to, from any) {
	if t, ok := to.(proto.Message); ok {
		proto.Reset(t)
		proto.Merge(t, from.(proto.Message))
		return
	}
	reflect.ValueOf(to).Elem().Set(reflect.ValueOf(from).Elem())
}

// errInternal is for what can't happen.
var errInternal = status.Error(codes.Internal, "orchidgrpc: an answer of no known form")
