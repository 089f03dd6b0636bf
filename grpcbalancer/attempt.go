package grpcbalancer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"orchiddrift/internal/endpoints"
)

// attempt is the record of one send that the module decided on. It is the context of the RPC, and found by its Value: the picker
// reads where it is to go, and it and grpc-go's end of a stream write what became of it.
type attempt struct {
	context.Context // the engine's, for the attempt

	plugin   *Plugin
	upstream string
	instance endpoints.Instance
	sendBy   time.Time               // its pick is to come before; zero: at any time
	caller   context.Context         // and before this ends
	cancel   context.CancelCauseFunc // ends the RPC

	mu           sync.Mutex
	evidence     evidence
	closed       bool        // no pick is to succeed any more
	picked       bool        // a connection was handed out, and grpc-go has not said that it could not be used
	connectTimer *time.Timer // for a connection to come up; runs from the first pick that found none
}

type attemptContextKey struct{}

// Value finds the record itself, beside what stands in its context.
func (a *attempt) Value(key any) any {
	if key == (attemptContextKey{}) {
		return a
	}
	return a.Context.Value(key)
}

func attemptFromContext(ctx context.Context) *attempt {
	a, _ := ctx.Value(attemptContextKey{}).(*attempt)
	return a
}

// Why a pick gives an RPC no connection. A status error makes grpc-go end it there and then.
var (
	errNotDecided         = status.Error(codes.FailedPrecondition, "orchidgrpc: the call did not come through the plug-in's interceptor")
	errStreamNotProcessed = status.Error(codes.Unavailable, "orchidgrpc: the upstream did not process the stream")
	errUpstreamRemoved    = status.Error(codes.Unavailable, "orchidgrpc: the upstream is no longer in the list")
	errConnectFailed      = status.Error(codes.Unavailable, "orchidgrpc: no connection to the upstream")
)

// checkPick is asked before each stream that grpc-go opens for the attempt. Once the request's head was handed to a
// connection, another pick is grpc-go's transparent retry: it proves that the first stream was not processed, and
// would be a send that the module never heard of. So it is denied, and the module decides.
func (a *attempt) checkPick() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.evidence.headersSent:
		a.evidence.streamNotProcessed = true
		return errStreamNotProcessed
	case a.closed:
		return errConnectFailed
	case !a.plugin.registry.Ready(a.upstream, a.instance), // drained or gone since the decision
		!a.sendBy.IsZero() && !time.Now().Before(a.sendBy), // or a repeat that came too late
		a.caller.Err() != nil:                              // or nobody waits for the answer
		a.closed, a.evidence.upstreamRemoved = true, true
		return errUpstreamRemoved
	}
	return nil
}

// claimConnection says that a pick hands out a connection; false: it may not any more.
func (a *attempt) claimConnection() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.picked = true
	a.plugin.prewarming.recordUse(a.upstream)
	if a.connectTimer != nil {
		a.connectTimer.Stop()
		a.connectTimer = nil
	}
	return true
}

// connectFailed says that there will be no connection.
func (a *attempt) connectFailed() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.evidence.headersSent {
		a.closed, a.evidence.connectFailed = true, true
	}
	return errConnectFailed
}

// startConnectTimer is called by a pick that found no connection yet, and bounds that.
func (a *attempt) startConnectTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connectTimer == nil && !a.closed {
		a.connectTimer = time.AfterFunc(a.plugin.connectTimeout, func() {
			a.mu.Lock()
			late := !a.picked && !a.closed
			if late {
				a.closed, a.evidence.connectFailed = true, true
			}
			a.mu.Unlock()
			if late {
				a.cancel(errConnectFailed)
			}
		})
	}
}

// finish takes the evidence once the RPC has ended.
func (a *attempt) finish(err error) evidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connectTimer != nil {
		a.connectTimer.Stop()
	}
	a.closed = true
	e := a.evidence
	e.code, e.contextCause = status.Code(err), context.Cause(a.Context)
	if e.contextCause == errConnectFailed {
		e.contextCause = nil
	}
	return e
}

// streamDone hears from grpc-go that a stream of the attempt has ended, before the call returns and before another pick. A
// stream that was made has an id of its connection: its head was handed over.
func (a *attempt) streamDone(info balancer.DoneInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evidence.headersSent = a.evidence.headersSent || info.BytesSent
	a.picked = a.evidence.headersSent
	a.evidence.markedNotProcessed = firstValue(info.Trailer, notProcessedKey) == "1"
}
