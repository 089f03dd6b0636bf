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

// attempt is one attempt of a call, to the upstream that the engine decided on. It is also the context of the attempt's RPC, in which the
// picker finds it with attemptFromContext. The goroutine that runs the RPC creates and finishes the attempt; in between, the picker,
// streamDone and the connect timer record what happens to the RPC.
type attempt struct {
	context.Context // the engine's context of the attempt

	plugin   *Plugin
	upstream string
	instance endpoints.Instance
	sendBy   time.Time               // time from which picks fail; the zero time if there is no limit
	caller   context.Context         // context of the callers; picks fail once it has ended
	cancel   context.CancelCauseFunc // ends the RPC

	mu           sync.Mutex
	evidence     evidence
	closed       bool        // picks fail from now on
	picked       bool        // a pick returned a connection, and grpc-go has not reported it as unusable
	connectTimer *time.Timer // bounds the wait for a connection; started by the first pick that found none
}

type attemptContextKey struct{}

// Value implements context.Context. It returns the attempt itself for attemptContextKey, and the engine's context's value for other keys.
func (a *attempt) Value(key any) any {
	if key == (attemptContextKey{}) {
		return a
	}
	return a.Context.Value(key)
}

// attemptFromContext returns the attempt of an RPC's context, or nil if the RPC did not come through the Plugin's interceptors.
func attemptFromContext(ctx context.Context) *attempt {
	a, _ := ctx.Value(attemptContextKey{}).(*attempt)
	return a
}

// Errors that end an RPC. They are status errors, because grpc-go may repeat a pick that fails with another error.
var (
	errNotDecided         = status.Error(codes.FailedPrecondition, "orchidgrpc: the call did not come through the plug-in's interceptor")
	errStreamNotProcessed = status.Error(codes.Unavailable, "orchidgrpc: the upstream did not process the stream")
	errUpstreamRemoved    = status.Error(codes.Unavailable, "orchidgrpc: the upstream is no longer in the list")
	errConnectFailed      = status.Error(codes.Unavailable, "orchidgrpc: no connection to the upstream")
)

// checkPick returns an error that ends the RPC if the attempt may not be sent. Pick calls it before each stream that grpc-go opens.
//
// A pick after the request's headers were handed to a connection is a transparent retry by grpc-go. It proves that the upstream did not
// process the first stream. checkPick denies it, because the engine would not know of this attempt, and the engine decides on a retry
// instead.
func (a *attempt) checkPick() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.evidence.headersSent:
		a.evidence.streamNotProcessed = true
		return errStreamNotProcessed
	case a.closed:
		return errConnectFailed
	case !a.plugin.registry.Ready(a.upstream, a.instance), // draining or removed since the decision
		!a.sendBy.IsZero() && !time.Now().Before(a.sendBy), // a retry past its deduplication window
		a.caller.Err() != nil:                              // no caller waits for the answer
		a.closed, a.evidence.notSent = true, true
		return errUpstreamRemoved
	}
	return nil
}

// claimConnection records that a pick returns a connection. It returns false if the attempt has been closed since checkPick.
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

// connectFailed closes the attempt because its upstream cannot be reached, and returns the error that ends the RPC.
func (a *attempt) connectFailed() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.evidence.headersSent {
		a.closed, a.evidence.connectFailed = true, true
	}
	return errConnectFailed
}

// startConnectTimer bounds the wait for a connection by the Plugin's connect timeout. The timer starts at the first pick that finds no
// connection; later calls do nothing.
func (a *attempt) startConnectTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connectTimer == nil && !a.closed {
		a.connectTimer = time.AfterFunc(a.plugin.connectTimeout, a.connectTimedOut)
	}
}

// connectTimedOut ends the RPC if no pick has returned a connection. It runs in the timer's goroutine.
func (a *attempt) connectTimedOut() {
	a.mu.Lock()
	waiting := !a.picked && !a.closed
	if waiting {
		a.closed, a.evidence.connectFailed = true, true
	}
	a.mu.Unlock()
	if waiting {
		a.cancel(errConnectFailed)
	}
}

// streamDone is the PickResult.Done callback of the attempt's picks. grpc-go calls it when a stream has ended, before the RPC returns and
// before another pick. info.BytesSent is true if the stream got an id on its connection, that is, if its headers were handed over.
func (a *attempt) streamDone(info balancer.DoneInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evidence.headersSent = a.evidence.headersSent || info.BytesSent
	a.picked = a.evidence.headersSent
	a.evidence.markedNotProcessed = firstValue(info.Trailer, notProcessedKey) == "1"
}

// finish closes the attempt after its RPC has ended with err, and returns its evidence.
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
