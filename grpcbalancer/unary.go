package grpcbalancer

import (
	"context"

	"google.golang.org/grpc"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
)

// interceptUnary is the grpc.UnaryClientInterceptor. It runs in the caller's goroutine and blocks until the call's final answer.
func (p *Plugin) interceptUnary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
	invoker grpc.UnaryInvoker, options ...grpc.CallOption) error {
	key := p.callerIdempotencyKey(ctx, method) // before newCall, which may add a generated key
	ctx, c := p.newCall(ctx, method)
	u := &unaryCall{call: c, req: req, reply: reply, replyType: messageTypeOf(reply), cc: cc, invoker: invoker}
	u.plainOptions, u.outputOptions = splitOptions(options)
	if key != "" {
		return u.invokeOnce(ctx, key)
	}
	answer := u.execute(ctx, u)
	if answer.Kind != engine.Served {
		err := u.finalError(ctx, answer)
		(&callOutputs{}).writeTo(u.outputOptions, err)
		return err
	}
	result, ok := answer.Value.(*unaryResult)
	if !ok {
		return errUnknownAnswer
	}
	if result.reply != reply && result.err == nil {
		copyMessage(reply, result.reply)
	}
	result.writeTo(u.outputOptions, result.err)
	return result.err
}

// unaryCall is a unary call. It implements engine.Transport for its attempts, which may run at the same time.
type unaryCall struct {
	*call
	req, reply   any
	replyType    messageType
	cc           *grpc.ClientConn
	invoker      grpc.UnaryInvoker
	plainOptions []grpc.CallOption
	// outputOptions write to the caller's variables or call the caller back; see callOutputs.
	outputOptions []grpc.CallOption
}

// unaryResult is the answer of an attempt: a message, or a status that is the application's.
type unaryResult struct {
	callOutputs
	reply any
	err   error
}

// RoundTrip implements engine.Transport: it sends an attempt as a separate RPC and blocks until the RPC has ended. The engine calls it from
// the caller's goroutine or from one of its own.
func (u *unaryCall) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	attempt := u.newAttempt(ctx, a)
	if attempt == nil {
		return engine.AttemptResult{Result: balancer.NotSent}
	}
	// Only an attempt in the caller's goroutine may write to the caller's message: the call cannot return before it has ended.
	answer := &unaryResult{reply: u.reply}
	if !a.OnCallerGoroutine {
		answer.reply = u.replyType.newMessage()
	}
	answer.err = u.invoker(attempt, u.method, u.req, answer.reply, u.cc, answer.options(u.plainOptions, u.outputOptions)...)
	result := u.finishAttempt(attempt, answer.err)
	if result != balancer.OK {
		return engine.AttemptResult{Result: result}
	}
	return engine.AttemptResult{Result: result, Value: answer}
}
