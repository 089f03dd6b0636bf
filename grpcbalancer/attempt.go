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
	place    endpoints.Instance
	by       time.Time               // its pick is to come before; zero: at any time
	caller   context.Context         // and before this ends
	cancel   context.CancelCauseFunc // ends the RPC

	mu       sync.Mutex
	evidence evidence
	denied   bool        // no pick is to succeed any more
	picked   bool        // a connection was handed out, and grpc-go has not said that it could not be used
	patience *time.Timer // for a connection to come up; runs from the first pick that found none
}

type attemptKey struct{}

// Value finds the record itself, beside what stands in its context.
func (a *attempt) Value(key any) any {
	if key == (attemptKey{}) {
		return a
	}
	return a.Context.Value(key)
}

func attemptOf(ctx context.Context) *attempt {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	return a
}

// Why a pick gives an RPC no connection. A status error makes grpc-go end it there and then.
var (
	errNotDecided  = status.Error(codes.FailedPrecondition, "orchidgrpc: the call did not come through the plug-in's interceptor")
	errUnprocessed = status.Error(codes.Unavailable, "orchidgrpc: the upstream did not process the stream")
	errDrained     = status.Error(codes.Unavailable, "orchidgrpc: the upstream is no longer in the list")
	errNoConnect   = status.Error(codes.Unavailable, "orchidgrpc: no connection to the upstream")
)

// pick is asked before each stream that grpc-go opens for the attempt. Once the request's head was handed to a
// connection, another pick is grpc-go's transparent retry: it proves that the first stream was not processed, and
// would be a send that the module never heard of. So it is denied, and the module decides.
func (a *attempt) pick() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.evidence.headers:
		a.evidence.unprocessed = true
		return errUnprocessed
	case a.denied:
		return errNoConnect
	case !a.plugin.directory.Ready(a.upstream, a.place), // drained or gone since the decision
		!a.by.IsZero() && !time.Now().Before(a.by), // or a repeat that came too late
		a.caller.Err() != nil:                      // or nobody waits for the answer
		a.denied, a.evidence.drained = true, true
		return errDrained
	}
	return nil
}

// found says that a pick hands out a connection; false: it may not any more.
func (a *attempt) found() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.denied {
		return false
	}
	a.picked = true
	a.plugin.warming.use(a.upstream)
	if a.patience != nil {
		a.patience.Stop()
		a.patience = nil
	}
	return true
}

// fail says that there will be no connection.
func (a *attempt) fail() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.evidence.headers {
		a.denied, a.evidence.noConnection = true, true
	}
	return errNoConnect
}

// wait is called by a pick that found no connection yet, and bounds that.
func (a *attempt) wait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.patience == nil && !a.denied {
		a.patience = time.AfterFunc(a.plugin.connectTimeout, func() {
			a.mu.Lock()
			late := !a.picked && !a.denied
			if late {
				a.denied, a.evidence.noConnection = true, true
			}
			a.mu.Unlock()
			if late {
				a.cancel(errNoConnect)
			}
		})
	}
}

// end takes the evidence once the RPC has ended.
func (a *attempt) end(err error) evidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.patience != nil {
		a.patience.Stop()
	}
	a.denied = true
	e := a.evidence
	e.code, e.cause = status.Code(err), context.Cause(a.Context)
	if e.cause == errNoConnect {
		e.cause = nil
	}
	return e
}

// done hears from grpc-go that a stream of the attempt has ended, before the call returns and before another pick. A
// stream that was made has an id of its connection: its head was handed over.
func (a *attempt) done(info balancer.DoneInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evidence.headers = a.evidence.headers || info.BytesSent
	a.picked = a.evidence.headers
	a.evidence.notProcessed = first(info.Trailer, notProcessedKey) == "1"
}
