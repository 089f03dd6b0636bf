package engine

import (
	"context"
	"fmt"
	"time"

	"orchiddrift/balancer"
)

// Transport carries out attempts of one call. Carry sends the request to the upstream once, waits for the end, and
// returns soon after ctx has ended (context.Cause tells a time-out from a cancellation). It may be called
// several times at once, and may still run when Do has returned: a copy that lost is on its way out.
type Transport interface {
	RoundTrip(ctx context.Context, a Attempt) AttemptResult
}

// Attempt is one send that the module has decided on.
type Attempt struct {
	ID                string
	Number            int // from 0, in the order of the decisions
	Upstream          string
	Zone              string // the upstream's
	Cell              int
	Deadline          time.Time // when its context ends
	SendBy            time.Time // its last byte is to be written before, or it is Moot: a repeat whose group forgets; zero: at any time
	OnCallerGoroutine bool      // the caller of Do carries it out: Do does not return before it has ended
	Cancel            context.CancelCauseFunc
	Caller            context.Context // ends when nobody waits for the answer: what has not begun by then is Moot
}

// AttemptResult is how an attempt ended. Value is the front's own, and belongs to the caller if this attempt is the answer.
type AttemptResult struct {
	Result balancer.Result
	Value  any
	// Begun says that a streamed answer has begun and goes on: Result does not count yet. The attempt's context then
	// loses its time-out, and whoever gets the Answer must call Answer.EndStream.
	Streaming    bool
	PassThrough  bool // with Begun: the answer is there, and only its bytes go on
	BodyConsumed bool // of a streamed call: its body can't be had again
}

// attempt is one send, and the context that it is carried out under.
type attempt struct {
	context.Context // ends with cancel
	info            Attempt
	startedAt       time.Duration
	streamStartedAt time.Duration // when its stream began; 0: it has not
	cancel          context.CancelCauseFunc
	timer           *time.Timer
	ended           bool
}

// Deadline is the attempt's, which the engine keeps by a timer of its own: a stream loses it.
func (a *attempt) Deadline() (time.Time, bool) { return a.info.Deadline, true }

func (a *attempt) Err() error {
	err := a.Context.Err()
	if err != nil && context.Cause(a.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}

func (a *attempt) expire() { a.cancel(context.DeadlineExceeded) }

// startAttempt begins an attempt: by the caller where that is free, else beside it.
func (e *Engine) startAttempt(send *balancer.Action) {
	call := e.calls[send.ID]
	if call == nil {
		return
	}
	now := e.clock.Now()
	limit := call.request.Deadline - now
	if send.Timeout > 0 {
		limit = min(limit, send.Timeout)
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
	a.info = Attempt{ID: call.request.ID, Number: len(call.attempts), Upstream: send.Upstream, Zone: send.Zone, Cell: send.Cell, Deadline: time.Now().Add(limit),
		Cancel: a.cancel, Caller: call.ctx}
	if call.request.Interest != nil {
		a.info.Caller = call.request.Interest
	}
	if send.SendBy > 0 {
		a.info.SendBy = time.Now().Add(send.SendBy - now)
	}
	a.startedAt = now
	a.timer = time.AfterFunc(limit, a.expire)
	call.attempts = append(call.attempts, a)
	call.runningAttempts++
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

// runAttempt carries out an attempt. A front's panic is its own: the attempt may have run.
func (e *Engine) runAttempt(call *callState, a *attempt) (result AttemptResult) {
	defer func() {
		if p := recover(); p != nil {
			result = AttemptResult{Result: balancer.Reset}
			if e.log != nil {
				e.log.Error("an attempt's panic", "class", call.request.Class, "upstream", a.info.Upstream, "attempt", a.info.Number,
					"reason", fmt.Sprint(p))
			}
		}
	}()
	if result = call.transport.RoundTrip(a, a.info); result.Result == balancer.NotSent && e.waitForUpdates != nil {
		e.waitForUpdates()
	}
	return result
}

// endAttempt reports an attempt's one outcome; the first that was served is the final answer, also to a caller that was
// thought to have left.
func (e *Engine) endAttempt(call *callState, a *attempt, result AttemptResult) {
	if a.ended {
		return
	}
	timerStopped := a.timer.Stop()
	if result.Streaming {
		switch expired := !timerStopped || context.Cause(a.Context) == context.DeadlineExceeded; {
		case call.closed: // too late, or another stream has won
			result = AttemptResult{Result: balancer.Cancelled}
		case expired: // as its answer began: its connection is being closed, and what has come of the answer would be cut
			result = AttemptResult{Result: balancer.Timeout, BodyConsumed: result.BodyConsumed}
		case a.Context.Err() != nil: // the same, by whoever called it off
			result = AttemptResult{Result: balancer.Cancelled, BodyConsumed: result.BodyConsumed}
		default:
			a.streamStartedAt = e.clock.Now()
			e.handle(balancer.FirstByte{ID: call.request.ID, Attempt: a.info.Number, PassThrough: result.PassThrough})
			e.answerCall(call, Answer{Kind: Served, Value: result.Value, attempt: a, call: call, engine: e})
			return
		}
	}
	a.ended = true
	call.runningAttempts--
	endedAt := e.clock.Now()
	if a.streamStartedAt > 0 { // how long a stream goes on tells nothing of its upstream's speed
		endedAt = a.streamStartedAt
	}
	a.cancel(context.Canceled)
	if result.Result == balancer.OK {
		e.answerCall(call, Answer{Kind: Served, Value: result.Value})
	}
	e.handle(balancer.Outcome{ID: call.request.ID, Attempt: a.info.Number, Result: result.Result,
		Elapsed: endedAt - a.startedAt, Final: call.closed, BodyConsumed: result.BodyConsumed})
	e.removeIfComplete(call)
}
