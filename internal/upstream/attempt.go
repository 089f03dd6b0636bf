package upstream

import (
	"context"
	"errors"
	"time"

	"orchiddrift/balancer"
)

// AttemptOptions bound one attempt.
type AttemptOptions struct {
	// Deadline is passed to the upstream as the time that is left; zero: no deadline is passed.
	Deadline time.Time
	// SendBy is the time before which the last byte has to be written; a later attempt is not sent. Zero: there is no limit.
	SendBy time.Time
	// Caller ends once nobody waits for the response: an attempt that has not begun by then is not sent. nil: the caller never leaves.
	Caller context.Context
	// Cancel ends an attempt that has begun and whose caller is gone, if another request waits for a connection; nil: the attempt runs on.
	Cancel context.CancelCauseFunc

	ended bool // the attempt has ended; guarded by Pool.mu
}

// callerGone reports whether nobody waits for the response any more.
func (o *AttemptOptions) callerGone() bool { return o.Caller != nil && o.Caller.Err() != nil }

// pastSendBy reports whether the last byte can no longer be written in time.
func (o *AttemptOptions) pastSendBy() bool { return !o.SendBy.IsZero() && !time.Now().Before(o.SendBy) }

// Attempt sends a request to an upstream once and blocks until the attempt has ended; the end of ctx ends it. deadline is passed to the
// upstream; zero: no deadline is passed.
func (p *Pool) Attempt(ctx context.Context, name string, r *Request, deadline time.Time) Response {
	return p.AttemptWithOptions(ctx, name, r, AttemptOptions{Deadline: deadline})
}

// AttemptWithOptions is Attempt with the bounds that options set. It blocks until the attempt has ended.
func (p *Pool) AttemptWithOptions(ctx context.Context, name string, r *Request, options AttemptOptions) Response {
	instance, ok := p.registry.Instance(name)
	if !ok {
		return Response{Result: balancer.NotSent}
	}
	if options.Caller != nil && options.Caller.Done() != nil && options.Cancel != nil {
		defer p.watchCaller(&options)()
	}
	for {
		conn, reused, err := p.connection(ctx, options.Caller, name, instance)
		if err != nil {
			return Response{Result: connectionFailure(ctx, &options, err)}
		}
		response, after := p.exchange(ctx, conn, r, options)
		switch after {
		case reuseConnection:
			p.putIdle(conn)
		case closeConnection:
			p.discard(conn)
		case connectionOwned:
		}
		if reused && response.Result == balancer.ConnectFailed && !response.BodyConsumed {
			continue // the upstream closed an idle connection as the request was written, which says nothing about the upstream
		}
		return response
	}
}

// connectionFailure is the result of an attempt that got no connection: nothing was sent.
func connectionFailure(ctx context.Context, options *AttemptOptions, err error) balancer.Result {
	switch {
	case options.callerGone():
		return balancer.NotSent
	case errors.Is(err, errSaturated): // says nothing about the upstream
		return balancer.NotSent
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return balancer.Cancelled
	}
	return balancer.ConnectFailed
}
