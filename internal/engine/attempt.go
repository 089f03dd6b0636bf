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
	// returned: a hedged request that lost is being cancelled.
	RoundTrip(ctx context.Context, a Attempt) AttemptResult
}

// Attempt is one send that the balancer has decided on.
type Attempt struct {
	ID       string // the call's
	Number   int    // from 0, in the order of the decisions
	Upstream string
	Zone     string // the upstream's
	Cell     int    // the upstream's

	Deadline time.Time // when the attempt's context ends
	// SendBy is when the last byte must have been written. An attempt that cannot meet it ends as balancer.NotSent: its
	// deduplication scope may have forgotten the earlier attempts by then. Zero: at any time.
	SendBy time.Time

	OnCallerGoroutine bool // carried out by the goroutine in Do, which does not return before the attempt has ended
	Cancel            context.CancelCauseFunc
	Caller            context.Context // ends when nobody waits for the answer: an attempt not begun by then ends as balancer.NotSent
}

// AttemptResult is how an attempt ended. Value is the protocol adapter's own, and belongs to the caller of Do if this
// attempt is the answer.
type AttemptResult struct {
	Result balancer.Result
	Value  any

	// Streaming says that an answer has begun and continues; Result does not count yet. The attempt's context then loses
	// its timeout, and whoever gets the Answer must call Answer.EndStream.
	Streaming    bool
	PassThrough  bool // with Streaming: the upstream has finished its work, and only bytes are still forwarded
	BodyConsumed bool // of a streamed call: its body can't be read again
}

// attempt is one send and the context under which it is carried out. It is a context itself, which saves an allocation
// for each call. Context, info and cancel do not change once it has started; the other fields are guarded by Engine.mu.
type attempt struct {
	context.Context // ends with cancel
	info            Attempt
	cancel          context.CancelCauseFunc
	timer           *time.Timer   // ends the context with context.DeadlineExceeded
	startedAt       time.Duration // when it was decided on; for a streamed body, when the upload was done
	streamStartedAt time.Duration // when its streamed answer began; 0: it has not
	ended           bool          // its outcome has been reported
}

// Deadline implements context.Context. The engine enforces it with attempt.timer rather than with a context of its own,
// so that a streamed answer can outlast it.
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

// startAttempt starts an attempt: on the goroutine in Do if that is free, otherwise on one of its own. The lock is held.
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

// newAttempt adds an attempt to a call and starts its timer. The lock is held.
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

// runAttempt carries out an attempt, without the lock. A panic of the Transport is logged and counts as Reset, since the
// attempt may have run.
func (e *Engine) runAttempt(call *callState, a *attempt) (result AttemptResult) {
	defer func() {
		if p := recover(); p != nil {
			result = AttemptResult{Result: balancer.Reset}
			if e.log != nil {
				e.log.Error("attempt panicked", "class", call.request.Class, "upstream", a.info.Upstream, "attempt", a.info.Number,
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

// endAttempt reports an attempt's one outcome to the balancer; further results of it are ignored. The first success is
// the call's final answer, even if its caller was thought to have left. The lock is held.
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
	endedAt := e.clock.Now()
	if a.streamStartedAt > 0 { // the length of a stream says nothing of its upstream's latency
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

// beginStream makes an attempt whose streamed answer has begun the answer of its call, and reports whether it did.
// Otherwise the attempt ends with the result that is returned: the call is closed, or the attempt's context ended just
// as the answer began, so that its connection is being closed and the answer would be cut short. The lock is held.
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
