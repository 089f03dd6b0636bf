package engine

import (
	"context"
	"fmt"
	"time"

	"orchiddrift/balancer"
)

// Transport carries out the attempts of one call.
type Transport interface {
	// RoundTrip sends the request to the upstream once, waits for the result, and returns soon after ctx has ended;
	// context.Cause tells a timeout from a cancellation. It may be called concurrently, and may still run after Do has
	// returned, while a hedged request that lost is being cancelled.
	RoundTrip(ctx context.Context, a Attempt) AttemptResult
}

// Attempt describes one attempt that the balancer has decided on.
type Attempt struct {
	ID       string // Call.ID of the call
	Number   int    // from 0, in the order of the balancer's decisions
	Upstream string
	Zone     string // zone of the upstream
	Cell     int    // cell of the upstream

	Deadline time.Time // when the attempt's context ends
	// SendBy is the time by which the last byte of the request must have been written; zero means no limit. An attempt
	// that cannot meet it ends as balancer.NotSent, since its deduplication scope may no longer remember the earlier
	// attempts after that time.
	SendBy time.Time

	OnCallerGoroutine bool // runs on the goroutine that called Do, which does not return before the attempt has ended
	Cancel            context.CancelCauseFunc
	Caller            context.Context // done once no caller waits for the answer; an attempt not started by then ends as balancer.NotSent
}

// AttemptResult describes how an attempt ended. Value is opaque to the engine: the protocol adapter sets it, and the
// caller of Do owns it if this attempt provides the answer.
type AttemptResult struct {
	Result balancer.Result
	Value  any

	// Streaming means that the answer has begun and is still arriving; Result is ignored then. The attempt's context
	// has no timeout from then on, and the receiver of the Answer must call Answer.EndStream.
	Streaming    bool
	PassThrough  bool // if Streaming: the upstream has finished its work, and only bytes are still forwarded
	BodyConsumed bool // if Call.StreamedBody: the body can't be read again
}

// attempt is the engine's state of an attempt. It is also the context.Context under which the attempt runs, which saves
// one allocation per call. Context, info and cancel do not change once the attempt has started; the other fields are
// guarded by Engine.mu.
type attempt struct {
	context.Context // done once cancel is called
	info            Attempt
	cancel          context.CancelCauseFunc
	timer           *time.Timer   // ends the context with context.DeadlineExceeded
	startedAt       time.Duration // when the balancer decided on it; for a streamed body, when the upload was done
	streamStartedAt time.Duration // when its streamed answer began; 0 before that
	ended           bool          // its outcome has been reported
}

// Deadline implements context.Context. The engine enforces the deadline with attempt.timer rather than with
// context.WithDeadline, so that a streamed answer can outlast it.
func (a *attempt) Deadline() (time.Time, bool) { return a.info.Deadline, true }

// Err implements context.Context.
func (a *attempt) Err() error {
	err := a.Context.Err()
	if err != nil && context.Cause(a.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}

func (a *attempt) expire() { a.cancel(context.DeadlineExceeded) }

// startAttempt starts an attempt on the goroutine that called Do if that is free, and otherwise on a new one. e.mu must
// be held.
func (e *Engine) startAttempt(send *balancer.Action) {
	call := e.calls[send.ID]
	if call == nil {
		return
	}
	a := e.newAttempt(call, send)
	if e.callerRunsAttempts && !call.callerBusy && call.callerAttempt == nil {
		a.info.OnCallerGoroutine = true
		call.callerAttempt = a
		call.wakeCaller()
		return
	}
	e.attemptGoroutines.Go(func() {
		result := e.runAttempt(call, a)
		e.lock()
		defer e.unlock()
		e.endAttempt(call, a, result)
		call.wakeCaller()
	})
}

// newAttempt adds an attempt to a call and starts its timer. e.mu must be held.
func (e *Engine) newAttempt(call *callState, send *balancer.Action) *attempt {
	now := e.clock.Now()
	timeout := call.request.Deadline - now
	if send.Timeout > 0 {
		timeout = min(timeout, send.Timeout)
	}
	a := &call.firstAttempt
	if len(call.attempts) > 0 {
		a = &attempt{}
	}
	parent := context.Background()
	if e.cancelWithCaller {
		parent = call.ctx
	}
	a.Context, a.cancel = context.WithCancelCause(parent)
	a.info = Attempt{
		ID:       call.request.ID,
		Number:   len(call.attempts),
		Upstream: send.Upstream,
		Zone:     send.Zone,
		Cell:     send.Cell,
		Deadline: time.Now().Add(timeout),
		Cancel:   a.cancel,
		Caller:   call.ctx,
	}
	if call.request.Interest != nil {
		a.info.Caller = call.request.Interest
	}
	if send.SendBy > 0 {
		a.info.SendBy = time.Now().Add(send.SendBy - now)
	}
	a.startedAt = now
	a.timer = time.AfterFunc(timeout, a.expire)
	call.attempts = append(call.attempts, a)
	call.runningAttempts++
	return a
}

// runAttempt carries out an attempt. e.mu must not be held. A panic of the Transport is logged and counts as
// balancer.Reset, since the upstream may have executed the request.
func (e *Engine) runAttempt(call *callState, a *attempt) (result AttemptResult) {
	defer func() {
		if p := recover(); p != nil {
			result = AttemptResult{Result: balancer.Reset}
			if e.log != nil {
				e.log.Error("transport panicked during an attempt", "class", call.request.Class, "upstream", a.info.Upstream, "attempt", a.info.Number,
					"reason", fmt.Sprint(p))
			}
		}
	}()
	result = call.transport.RoundTrip(a, a.info)
	if result.Result == balancer.NotSent && e.waitForUpdates != nil {
		e.waitForUpdates()
	}
	return result
}

// endAttempt reports the outcome of an attempt to the balancer. It ignores the result of an attempt that has already
// ended. The first successful attempt provides the call's final answer, even after the caller's context has ended. e.mu
// must be held.
func (e *Engine) endAttempt(call *callState, a *attempt, result AttemptResult) {
	if a.ended {
		return
	}
	expired := !a.timer.Stop()
	if result.Streaming {
		var begun bool
		if result, begun = e.beginStream(call, a, result, expired); begun {
			return
		}
	}
	a.ended = true
	call.runningAttempts--
	if mayHaveRun(result.Result) {
		call.mayHaveRun = true
	}
	endedAt := e.clock.Now()
	if a.streamStartedAt > 0 { // the duration of a stream is no measure of the upstream's latency
		endedAt = a.streamStartedAt
	}
	a.cancel(context.Canceled)
	if result.Result == balancer.OK {
		e.answerCall(call, Answer{Kind: Served, Value: result.Value})
	}
	e.handle(balancer.Outcome{
		ID:           call.request.ID,
		Attempt:      a.info.Number,
		Result:       result.Result,
		Elapsed:      endedAt - a.startedAt,
		Final:        call.closed,
		BodyConsumed: result.BodyConsumed,
	})
	e.removeIfComplete(call)
}

// beginStream answers a call with the streamed answer that an attempt has begun, and reports whether the call was
// answered. The call is not answered if it is closed, or if the attempt's context ended just as the answer began: the
// connection is being closed then, and the answer would be truncated. In these cases the attempt ends with the returned
// result. e.mu must be held.
func (e *Engine) beginStream(call *callState, a *attempt, result AttemptResult, expired bool) (AttemptResult, bool) {
	switch {
	case call.closed:
		return AttemptResult{Result: balancer.Cancelled}, false
	case expired || context.Cause(a.Context) == context.DeadlineExceeded:
		return AttemptResult{Result: balancer.Timeout, BodyConsumed: result.BodyConsumed}, false
	case a.Context.Err() != nil:
		return AttemptResult{Result: balancer.Cancelled, BodyConsumed: result.BodyConsumed}, false
	}
	a.streamStartedAt = e.clock.Now()
	e.handle(balancer.FirstByte{ID: call.request.ID, Attempt: a.info.Number, PassThrough: result.PassThrough})
	e.answerCall(call, Answer{Kind: Served, Value: result.Value, engine: e, call: call, attempt: a})
	return AttemptResult{}, true
}
