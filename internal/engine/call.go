package engine

import (
	"context"
	"time"

	"orchiddrift/balancer"
)

// Call describes a request by the properties that the balancer's decisions depend on.
type Call struct {
	ID              string // unique among the calls in flight
	GeneratedID     bool   // the ID is not the client's
	Class           string
	Tenant          string
	Deadline        time.Duration // time on the engine's clock at which the caller stops waiting
	CostHint        time.Duration // expected work; 0 if unknown
	EarlierAttempts []balancer.EarlierAttempt

	// StreamedBody means that the body is forwarded as it arrives. Deadline then bounds the upload, and
	// Engine.UploadDone sets the deadline of the answer. Such a call is not hedged, and not retried after
	// AttemptResult.BodyConsumed.
	StreamedBody bool

	// Interest is done once no client waits for the answer. No attempt starts after that, and attempts that have
	// started continue, regardless of Options.CancelWithCaller. If it is nil, only the context passed to Do counts.
	Interest context.Context
}

// callState is a call in flight. It is guarded by Engine.mu, and stays in Engine.calls until the call is closed and its
// attempts have ended.
type callState struct {
	request   Call
	transport Transport
	ctx       context.Context // passed to Do

	attempts        []*attempt  // in the order of their numbers
	firstAttempt    attempt     // storage of attempts[0], since most calls need one attempt only
	attemptBuffer   [2]*attempt // initial storage of attempts
	runningAttempts int         // started and not yet ended
	mayHaveRun      bool        // an attempt has ended with which the request may have been executed

	closed   bool // answered, or its caller has disconnected: no further attempt starts
	answered bool
	answer   Answer // valid if answered

	callerBusy    bool          // the goroutine that called Do carries out an attempt
	callerAttempt *attempt      // the attempt that the goroutine carries out next
	wake          chan struct{} // wakes the goroutine; created when it first waits
}

// Do carries out a call and returns its final answer, before Call.Deadline. The end of ctx means that the caller has
// disconnected: the balancer is notified, and no further attempt starts. Do carries out attempts on the calling
// goroutine, and returns only after those have ended.
func (e *Engine) Do(ctx context.Context, request Call, transport Transport) Answer {
	if ctx.Err() != nil {
		return Answer{Kind: ClientGone}
	}
	call := &callState{request: request, transport: transport, ctx: ctx}
	call.attempts = call.attemptBuffer[:0]
	e.lock()
	switch {
	case e.closed:
		e.unlock()
		return Answer{Kind: EngineClosed}
	case e.calls[request.ID] != nil || !e.beginCall(&request):
		e.unlock()
		return Answer{Kind: Duplicate}
	}
	e.begin(call)
	// With cancelWithCaller the attempts end with ctx, and this goroutine detects the end of ctx itself.
	if !call.closed && !e.cancelWithCaller && ctx.Done() != nil {
		defer context.AfterFunc(ctx, func() { e.disconnect(call) })()
	}
	if !call.closed && request.Interest != nil {
		defer context.AfterFunc(request.Interest, func() { e.disconnect(call) })()
	}
	for !call.closed { // checked first: once the call is closed, a waiting attempt must not start
		if call.callerAttempt != nil {
			e.runCallerAttempt(call)
		} else {
			e.waitForWake(call)
		}
	}
	answer := e.closeCall(call)
	e.unlock()
	return answer
}

// begin registers a call and asks the balancer for its first decision. e.mu must be held.
func (e *Engine) begin(call *callState) {
	request := &call.request
	e.calls[request.ID] = call
	e.handle(balancer.Request{
		ID:              request.ID,
		Class:           request.Class,
		Tenant:          request.Tenant,
		Deadline:        request.Deadline,
		CostHint:        request.CostHint,
		EarlierAttempts: request.EarlierAttempts,
		StreamedBody:    request.StreamedBody,
	})
}

// runCallerAttempt carries out call.callerAttempt. It is called by the goroutine that called Do, with e.mu held, which
// is released during the attempt and held again on return.
func (e *Engine) runCallerAttempt(call *callState) {
	a := call.callerAttempt
	call.callerAttempt, call.callerBusy = nil, true
	e.unlock()
	result := e.runAttempt(call, a)
	e.lock()
	call.callerBusy = false
	if e.cancelWithCaller && call.ctx.Err() != nil {
		e.disconnectLocked(call)
	}
	e.endAttempt(call, a, result)
}

// waitForWake blocks the goroutine that called Do until it has an attempt to carry out or the call is closed. e.mu must
// be held; it is released during the wait and held again on return.
func (e *Engine) waitForWake(call *callState) {
	if call.wake == nil {
		call.wake = make(chan struct{}, 1)
	}
	e.unlock()
	if !e.cancelWithCaller {
		<-call.wake // disconnect signals it too
		e.lock()
		return
	}
	select {
	case <-call.wake:
		e.lock()
	case <-call.ctx.Done():
		e.lock()
		e.disconnectLocked(call)
	}
}

// closeCall returns the final answer of a closed call. An attempt that is still waiting for the goroutine that called
// Do was never passed to the Transport: it ends as balancer.NotSent. e.mu must be held.
func (e *Engine) closeCall(call *callState) Answer {
	if call.callerAttempt != nil {
		e.endAttempt(call, call.callerAttempt, AttemptResult{Result: balancer.NotSent})
	}
	e.removeIfComplete(call)
	if !call.answered {
		return Answer{Kind: ClientGone, Attempts: len(call.attempts), MayHaveRun: call.mayHaveRun || call.runningAttempts > 0}
	}
	return call.answer
}

// disconnect notifies the balancer that the caller of a call has disconnected. It runs on a goroutine of its own, which
// context.AfterFunc starts.
func (e *Engine) disconnect(call *callState) {
	e.lock()
	defer e.unlock()
	e.disconnectLocked(call)
}

// disconnectLocked is disconnect with e.mu held.
func (e *Engine) disconnectLocked(call *callState) {
	if call.closed {
		return
	}
	call.closed = true
	e.handle(balancer.ClientDisconnected{ID: call.request.ID})
	e.removeIfComplete(call)
	call.wakeCaller()
}

// answerCall sets a call's final answer, unless it has one. It ignores a nil call, which means that the balancer
// decided about a call that is no longer in flight. e.mu must be held.
func (e *Engine) answerCall(call *callState, answer Answer) {
	if call == nil || call.answered {
		return
	}
	answer.Attempts = len(call.attempts)
	call.answer, call.answered, call.closed = answer, true, true
	call.wakeCaller()
}

// removeIfComplete removes a call that is closed and has no running attempt from e.calls. e.mu must be held.
func (e *Engine) removeIfComplete(call *callState) {
	if call.closed && call.runningAttempts == 0 && e.calls[call.request.ID] == call {
		delete(e.calls, call.request.ID)
		e.endCall(call)
	}
}

// wakeCaller wakes the goroutine that called Do, if it waits. Engine.mu must be held.
func (c *callState) wakeCaller() {
	if c.wake == nil {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default: // the goroutine has been woken already
	}
}
