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
	plugin *Plugin
	method string
	engine.Call
	fingerprint uint64 // tells calls apart at the door: a repeat's is the same

	*lastStatus
}

// lastStatus is of the attempt that ended last without an answer.
type lastStatus struct {
	mu   sync.Mutex
	last *status.Status
}

// newCall reads what the module is to know from the context, and puts the id and the key into it.
func (p *Plugin) newCall(ctx context.Context, method string) (context.Context, *call) {
	p.callCount.Add(1)
	class := p.methods.class(method)
	md, _ := metadata.FromOutgoingContext(ctx)
	c := &call{plugin: p, method: method, lastStatus: &lastStatus{}, Call: engine.Call{Class: class.Name, ID: firstValue(md, RequestIDKey),
		Tenant: firstValue(md, TenantKey), Deadline: p.engine.Clock().Now() + class.Deadline}}
	if p.admission != nil { // before a key is made: another would be with the repeat
		c.fingerprint = xxhash.Sum64String(method + "\x00" + firstValue(md, IdempotencyKey))
	}
	if c.ID == "" {
		c.ID = p.newID(1)
		ctx = metadata.AppendToOutgoingContext(ctx, RequestIDKey, c.ID)
	}
	if class.Idempotency == balancer.IdempotentWithKey && firstValue(md, IdempotencyKey) == "" {
		ctx = metadata.AppendToOutgoingContext(ctx, IdempotencyKey, p.newID(2))
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.Deadline = min(c.Deadline, p.engine.Clock().At(deadline))
	}
	if us, err := strconv.ParseFloat(firstValue(md, CostKey), 64); err == nil && us > 0 && us < maxCostHint.Seconds()*1e6 {
		c.CostHint = time.Duration(us * float64(time.Microsecond))
	}
	return ctx, c
}

func firstValue(md metadata.MD, key string) string {
	if v := md[key]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// newAttempt makes an attempt's record; nil where it is not to be sent.
func (c *call) newAttempt(ctx context.Context, a engine.Attempt) *attempt {
	place, ok := c.plugin.registry.Instance(a.Upstream)
	if !ok {
		return nil
	}
	return &attempt{Context: ctx, plugin: c.plugin, upstream: a.Upstream, instance: place, sendBy: a.SendBy, caller: a.Caller, cancel: a.Cancel}
}

// finishAttempt says what an RPC's end was for the module. An error that is the application's own answer counts as served.
func (c *call) finishAttempt(rec *attempt, err error) balancer.Result {
	if err == io.EOF {
		err = nil
	}
	result := rec.finish(err).result(c.plugin.applicationCodes)
	if result != balancer.OK {
		c.mu.Lock()
		c.last = status.Convert(err)
		c.mu.Unlock()
	}
	return result
}

// finalError is the caller's error for an answer that is not served.
func (c *call) finalError(ctx context.Context, a engine.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, bounded := ctx.Deadline()
	late := bounded && c.plugin.engine.Clock().Now() >= c.Deadline-4*c.plugin.tick
	return answerError(ctx, a, c.last, late)
}

// callOutputs are what call options write to once an RPC has ended. Copies of a call would write to them at the same time,
// so each attempt gets its own, and those of the one that counts are handed over.
type callOutputs struct {
	header, trailer metadata.MD
	peer            peer.Peer
}

// splitOptions takes the options that write off opts.
func splitOptions(opts []grpc.CallOption) (plain, outputOptions []grpc.CallOption) {
	for i, o := range opts {
		switch o.(type) {
		case grpc.HeaderCallOption, grpc.TrailerCallOption, grpc.PeerCallOption, grpc.OnFinishCallOption:
			if outputOptions == nil {
				plain = append(make([]grpc.CallOption, 0, len(opts)), opts[:i]...)
			}
			outputOptions = append(outputOptions, o)
		default:
			if outputOptions != nil {
				plain = append(plain, o)
			}
		}
	}
	if outputOptions == nil {
		return opts, nil
	}
	return plain, outputOptions
}

// options are the options that make an RPC write to out.
func (out *callOutputs) options(plain, outputOptions []grpc.CallOption) []grpc.CallOption {
	if len(outputOptions) == 0 {
		return plain
	}
	opts := append(make([]grpc.CallOption, 0, len(plain)+len(outputOptions)), plain...)
	for _, o := range outputOptions {
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

// writeTo writes to the caller's options.
func (out *callOutputs) writeTo(outputOptions []grpc.CallOption, err error) {
	for _, o := range outputOptions {
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

func messageTypeOf(m any) messageType {
	if p, ok := m.(proto.Message); ok {
		return messageType{proto: p.ProtoReflect().Type()}
	}
	return messageType{plain: reflect.TypeOf(m).Elem()}
}

// newMessage is a new, empty message.
func (t messageType) newMessage() any {
	if t.proto != nil {
		return t.proto.New().Interface()
	}
	return reflect.New(t.plain).Interface()
}

// copyMessage makes to, a pointer, what from is.
func copyMessage(to, from any) {
	if t, ok := to.(proto.Message); ok {
		proto.Reset(t)
		proto.Merge(t, from.(proto.Message))
		return
	}
	reflect.ValueOf(to).Elem().Set(reflect.ValueOf(from).Elem())
}

// errUnknownAnswer is for what can't happen.
var errUnknownAnswer = status.Error(codes.Internal, "orchidgrpc: an answer of no known form")
