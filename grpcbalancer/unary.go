package grpcbalancer

import (
	"context"

	"google.golang.org/grpc"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
)

// interceptUnary is the interceptor of unary calls.
func (p *Plugin) interceptUnary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
	invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	key := p.callerIdempotencyKey(ctx, method)
	ctx, c := p.newCall(ctx, method)
	u := &unaryCall{call: c, req: req, reply: reply, replyType: messageTypeOf(reply), cc: cc, invoker: invoker}
	u.plainOptions, u.outputOptions = splitOptions(opts)
	if key != "" {
		return u.invokeOnce(ctx, key)
	}
	a := c.execute(ctx, u)
	if a.Kind != engine.Served {
		err := c.finalError(ctx, a)
		(&callOutputs{}).writeTo(u.outputOptions, err)
		return err
	}
	won, ok := a.Value.(*unaryResult)
	if !ok {
		return errUnknownAnswer
	}
	if won.reply != reply && won.err == nil {
		copyMessage(reply, won.reply)
	}
	won.writeTo(u.outputOptions, won.err)
	return won.err
}

// unaryCall carries out the attempts of a unary call.
type unaryCall struct {
	*call
	req, reply                  any
	replyType                   messageType
	cc                          *grpc.ClientConn
	invoker                     grpc.UnaryInvoker
	plainOptions, outputOptions []grpc.CallOption
}

// unaryResult is an answer: a message, or a status that is the application's.
type unaryResult struct {
	callOutputs
	reply any
	err   error
}

func (u *unaryCall) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	rec := u.newAttempt(ctx, a)
	if rec == nil {
		return engine.AttemptResult{Result: balancer.NotSent}
	}
	// What the caller's goroutine carries out may write to the caller's message: the call does not end before.
	r := &unaryResult{reply: u.reply}
	if !a.OnCallerGoroutine {
		r.reply = u.replyType.newMessage()
	}
	r.err = u.invoker(rec, u.method, u.req, r.reply, u.cc, r.options(u.plainOptions, u.outputOptions)...)
	result := u.finishAttempt(rec, r.err)
	if result != balancer.OK {
		return engine.AttemptResult{Result: result}
	}
	return engine.AttemptResult{Result: result, Value: r}
}
