package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/upstream"
)

var _ engine.Transport = (*transport)(nil)

// transport carries out the attempts of one request over HTTP/1.1.
type transport struct {
	pool    *upstream.Pool
	request *upstream.Request
	engine  *engine.Engine // set if the request has an Upload
	started atomic.Int32   // number of attempts that may have sent something, including attempts in flight

	mu        sync.Mutex
	released  bool                // the request has been answered
	responses []upstream.Response // the attempts' responses, which release frees
}

// RoundTrip implements engine.Transport.
func (t *transport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	if upload := t.request.Upload; upload != nil { // such a request has one attempt at a time
		upload.Done = func() { t.engine.UploadDone(a, t.engine.Clock().Now()+upload.Timeout-upload.BlockedTime()) }
	}
	response := t.attempt(ctx, a)
	if response.Result != balancer.OK {
		return engine.AttemptResult{Result: response.Result, BodyConsumed: response.BodyConsumed}
	}
	t.retain(response)
	return engine.AttemptResult{Result: balancer.OK, Value: &response, Streaming: response.Remainder != nil, PassThrough: true,
		BodyConsumed: response.BodyConsumed}
}

// attempt sends the request once. It increments started before it can send anything, and decrements it only if nothing was sent: if started
// were 0 while an attempt is in flight, a request that may have been sent would be taken for one of which nothing was sent.
func (t *transport) attempt(ctx context.Context, a engine.Attempt) upstream.Response {
	t.started.Add(1)
	options := upstream.AttemptOptions{Deadline: a.Deadline, SendBy: a.SendBy, Caller: a.Caller, Cancel: a.Cancel}
	response := t.pool.AttemptWithOptions(ctx, a.Upstream, t.request, options)
	if response.Result == balancer.NotSent || response.Result == balancer.ConnectFailed {
		t.started.Add(-1)
	}
	return response
}

// retain keeps what an attempt's response holds until release.
func (t *transport) retain(r upstream.Response) {
	if r.ReservedBytes == 0 && r.Remainder == nil {
		return
	}
	r.Body, r.Header = nil, nil // the answer has them, and drops the body once it is written
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.released {
		t.releaseResponse(r)
		return
	}
	t.responses = append(t.responses, r)
}

// release frees the memory and the connections that the responses hold.
func (t *transport) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.released = true
	for _, r := range t.responses {
		t.releaseResponse(r)
	}
	t.responses = nil
}

func (t *transport) releaseResponse(r upstream.Response) {
	if r.Remainder != nil {
		r.Remainder.End()
	}
	t.pool.Free(r)
}
