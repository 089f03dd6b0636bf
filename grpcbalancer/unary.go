package grpcbalancer

import (
	"context"

	"google.golang.org/grpc"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
)

// unary is the interceptor of unary calls.
func (p *Plugin) unary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
	invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	key := p.repeatKey(ctx, method)
	ctx, c := p.newCall(ctx, method)
	u := &unaryCall{call: c, req: req, reply: reply, like: typeOf(reply), cc: cc, invoker: invoker}
	u.plain, u.writing = split(opts)
	if key != "" {
		return u.once(ctx, key)
	}
	a := c.do(ctx, u)
	if a.Kind != engine.Served {
		err := c.fail(ctx, a)
		(&outputs{}).handOver(u.writing, err)
		return err
	}
	won, ok := a.Value.(*unaryResult)
	if !ok {
		return errInternal
	}
	if won.reply != reply && won.err == nil {
		copyInto(reply, won.reply)
	}
	won.handOver(u.writing, won.err)
	return won.err
}

// unaryCall carries out the attempts of a unary call.
type unaryCall struct {
	*call
	req, reply     any
	like           messageType
	cc             *grpc.ClientConn
	invoker        grpc.UnaryInvoker
	plain, writing []grpc.CallOption
}

// unaryResult is an answer: a message, or a status that is the application's.
type unaryResult struct {
	outputs
	reply any
	err   error
}

func (u *unaryCall) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	rec := u.begin(ctx, a)
	if rec == nil {
		return engine.AttemptResult{Result: balancer.NotSent}
	}
	// What the caller's goroutine carries out may write to the caller's message: the call does not end before.
	r := &unaryResult{reply: u.reply}
	if !a.OnCallerGoroutine {
		r.reply = u.like.fresh()
	}
	r.err = u.invoker(rec, u.method, u.req, r.reply, u.cc, r.own(u.plain, u.writing)...)
	result := u.ended(rec, r.err)
	if result != balancer.OK {
		return engine.AttemptResult{Result: result}
	}
	return engine.AttemptResult{Result: result, Value: r}
}
