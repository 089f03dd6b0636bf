package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/internal/lease"
)

// serviceName is the service that members serve, and version what they speak: another one is turned away.
const (
	serviceName     = "orchiddrift.fleet.Group"
	protocolVersion = 1
)

// callHeader stands at the beginning of all that is said.
type callHeader struct {
	Version int    `json:"version"`
	Fleet   string `json:"fleet"`
	From    uint64 `json:"from,omitempty"` // a member's id
	Name    string `json:"name,omitempty"` // and its name
}

// messageCall carries a raft message.
type messageCall struct {
	callHeader
	Message []byte `json:"message"`
}

type requestCall struct {
	callHeader
	Request lease.Request `json:"ask"`
	// Hold is how long the answer may be held back where it would be lease.Waiting.
	Hold time.Duration `json:"hold,omitempty"`
}

type requestAnswer struct {
	Reply  lease.Reply `json:"reply"`
	Leader string      `json:"leader,omitempty"` // the member to ask, where Reply has no verdict
}

// Info is what a member says of itself.
type Info struct {
	ID           uint64            `json:"id"`
	Name         string            `json:"name"`
	Bootstrapped bool              `json:"formed"` // it is a member of a group, or has been
	IsLeader     bool              `json:"leads"`
	Leader       string            `json:"leader"` // "": none that it knows of
	Members      map[uint64]string `json:"peers"`  // the group, as it knows it
	LastToken    lease.Token       `json:"last"`
	Leases       []lease.Entry     `json:"leases"`          // as it has applied them; sure at the leader alone
	RemainingMs  []int64           `json:"left"`            // of each term, in milliseconds; the leader knows
	Notes        map[string]string `json:"notes,omitempty"` // what is kept with names, by name
}

type joinCall struct {
	callHeader
}

type empty struct{}

// fromOther is how a call is turned away that is of another fleet or version.
func (m *Member) fromOther(h callHeader) error {
	switch {
	case h.Version != protocolVersion:
		return status.Errorf(codes.FailedPrecondition, "version %d is spoken here, and not %d", protocolVersion, h.Version)
	case h.Fleet != m.o.Fleet:
		return status.Errorf(codes.FailedPrecondition, "this is not fleet %q", h.Fleet)
	}
	return nil
}

// method makes a unary method out of a function on JSON in a protobuf's bytes.
func method[C, A any](name string, do func(m *Member, ctx context.Context, c *C) (A, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := &wrapperspb.BytesValue{}
		if err := dec(in); err != nil {
			return nil, err
		}
		var c C
		if err := json.Unmarshal(in.Value, &c); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		a, err := do(srv.(*Member), ctx, &c)
		if err != nil {
			return nil, err
		}
		out, err := json.Marshal(a)
		return &wrapperspb.BytesValue{Value: out}, err
	}}
}

var serviceDesc = grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
	method("Step", func(m *Member, ctx context.Context, c *messageCall) (empty, error) {
		if err := m.turnAway(c.callHeader); err != nil {
			return empty{}, err
		}
		return empty{}, m.step(ctx, c.Message)
	}),
	method("Ask", func(m *Member, ctx context.Context, c *requestCall) (requestAnswer, error) {
		if err := m.turnAway(c.callHeader); err != nil {
			return requestAnswer{}, err
		}
		return m.ask(ctx, c.Request, c.Hold)
	}),
	method("Info", func(m *Member, ctx context.Context, c *callHeader) (Info, error) {
		if err := m.turnAway(*c); err != nil {
			return Info{}, err
		}
		return m.Info(ctx)
	}),
	method("Join", func(m *Member, ctx context.Context, c *joinCall) (empty, error) {
		if err := m.turnAway(c.callHeader); err != nil {
			return empty{}, err
		}
		return empty{}, m.join(ctx, c.From, c.Name)
	}),
}}

// call makes one call.
func call[A any](ctx context.Context, conn *grpc.ClientConn, name string, c any) (a A, err error) {
	in, err := json.Marshal(c)
	if err != nil {
		return a, err
	}
	out := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+name, &wrapperspb.BytesValue{Value: in}, out); err != nil {
		return a, err
	}
	if err := json.Unmarshal(out.Value, &a); err != nil {
		return a, fmt.Errorf("%s: %w", name, err)
	}
	return a, nil
}

var ErrNoLeader = errors.New("the group has no leader that could answer")
