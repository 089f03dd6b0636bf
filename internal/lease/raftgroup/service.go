package raftgroup

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// serviceName is the name of a member's gRPC service.
const serviceName = "orchiddrift.fleet.Group"

// The methods of the service. Each call and its answer are JSON in a protobuf BytesValue.
const (
	methodStep = "Step" // delivers a raft message
	methodAsk  = "Ask"  // answers a client's request
	methodInfo = "Info" // returns the member's Info
	methodJoin = "Join" // adds the calling process to the group
)

// rejectionLogInterval is the shortest time between two log lines about rejected calls.
const rejectionLogInterval = time.Minute

var serviceDesc = grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
	method(methodStep, func(m *Member, ctx context.Context, c *messageCall) (empty, error) {
		if err := m.checkHeader(c.callHeader); err != nil {
			return empty{}, err
		}
		return empty{}, m.receiveMessage(ctx, c.Message)
	}),
	method(methodAsk, func(m *Member, ctx context.Context, c *requestCall) (requestAnswer, error) {
		if err := m.checkHeader(c.callHeader); err != nil {
			return requestAnswer{}, err
		}
		return m.request(ctx, c.Request, c.LongPoll)
	}),
	method(methodInfo, func(m *Member, ctx context.Context, c *callHeader) (Info, error) {
		if err := m.checkHeader(*c); err != nil {
			return Info{}, err
		}
		return m.Info(ctx)
	}),
	method(methodJoin, func(m *Member, ctx context.Context, c *joinCall) (empty, error) {
		if err := m.checkHeader(c.callHeader); err != nil {
			return empty{}, err
		}
		return empty{}, m.join(ctx, c.From, c.Name)
	}),
}}

// method returns the description of a unary gRPC method that decodes a call, runs handle and encodes its answer.
func method[C, A any](name string, handle func(m *Member, ctx context.Context, c *C) (A, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := &wrapperspb.BytesValue{}
		if err := decode(in); err != nil {
			return nil, err
		}
		var c C
		if err := json.Unmarshal(in.Value, &c); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		answer, err := handle(server.(*Member), ctx, &c)
		if err != nil {
			return nil, err
		}
		out, err := json.Marshal(answer)
		return &wrapperspb.BytesValue{Value: out}, err
	}}
}

// call calls a method of the service with c as its argument.
func call[A any](ctx context.Context, conn *grpc.ClientConn, name string, c any) (answer A, err error) {
	in, err := json.Marshal(c)
	if err != nil {
		return answer, err
	}
	out := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+name, &wrapperspb.BytesValue{Value: in}, out); err != nil {
		return answer, err
	}
	if err := json.Unmarshal(out.Value, &answer); err != nil {
		return answer, fmt.Errorf("decoding the answer to %s: %w", name, err)
	}
	return answer, nil
}

// header returns the header of this member's calls.
func (m *Member) header() callHeader {
	return callHeader{Version: protocolVersion, Fleet: m.options.Fleet, From: m.storage.id, Name: m.options.Name}
}

// checkHeader rejects a call of another protocol version or fleet. It logs at most one rejection in rejectionLogInterval.
func (m *Member) checkHeader(h callHeader) error {
	var err error
	switch {
	case h.Version != protocolVersion:
		err = status.Errorf(codes.FailedPrecondition, "version %d is spoken here, and not %d", protocolVersion, h.Version)
	case h.Fleet != m.options.Fleet:
		err = status.Errorf(codes.FailedPrecondition, "this is not fleet %q", h.Fleet)
	default:
		return nil
	}
	if m.rejections.allow(time.Now()) {
		m.options.Log.Warn("fleet: call rejected", "from", h.Name, "reason", err)
	}
	return err
}

// rejectionLog limits how often rejected calls are logged. It is safe for concurrent use.
type rejectionLog struct {
	mu   sync.Mutex
	last time.Time
}

// allow reports whether a rejection may be logged at the current time.
func (l *rejectionLog) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < rejectionLogInterval {
		return false
	}
	l.last = now
	return true
}
