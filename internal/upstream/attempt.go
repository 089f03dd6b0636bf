package upstream

import (
	"context"
	"errors"
	"time"

	"orchiddrift/balancer"
)

// AttemptOptions bound one attempt.
type AttemptOptions struct {
	// Deadline is passed to the upstream as the time that is left. If it is zero, no deadline is passed.
	Deadline time.Time
	// SendBy is the time by which the last byte must be written; an attempt that cannot meet it is not sent. If it is zero, there is no
	// limit.
	SendBy time.Time
	// Caller ends once nobody waits for the response; an attempt that has not begun by then is not sent. If it is nil, the caller never
	// leaves.
	Caller context.Context
	// Cancel cancels an attempt that has begun if its caller is gone and another request waits for a connection. If it is nil, the attempt
	// runs on.
	Cancel context.CancelCauseFunc

	ended bool // the attempt has ended; guarded by Pool.mu
}

// callerGone reports whether nobody waits for the response any more.
func (o *AttemptOptions) callerGone() bool { return o.Caller != nil && o.Caller.Err() != nil }

// pastSendBy reports whether the last byte can no longer be written in time.
func (o *AttemptOptions) pastSendBy() bool { return !o.SendBy.IsZero() && !time.Now().Before(o.SendBy) }

// Attempt sends a request to an upstream once and blocks until the attempt has ended; ending ctx cancels the attempt. deadline is
// passed to the upstream, unless it is zero.
func (p *Pool) Attempt(ctx context.Context, name string, r *Request, deadline time.Time) Response {
	return p.AttemptWithOptions(ctx, name, r, AttemptOptions{Deadline: deadline})
}

// AttemptWithOptions does the same as Attempt, within the bounds that options set.
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
			continue // the upstream closed an idle connection as the request was written, which is not a failure of the upstream
		}
		return response
	}
}

// connectionFailure returns the result of an attempt that got no connection, and so sent nothing.
func connectionFailure(ctx context.Context, options *AttemptOptions, err error) balancer.Result {
	switch {
	case options.callerGone():
		return balancer.NotSent
	case errors.Is(err, errSaturated): // a lack of local resources is not a failure of the upstream
		return balancer.NotSent
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return balancer.Cancelled
	}
	return balancer.ConnectFailed
}
