package engine

import (
	"context"
	"time"

	"orchiddrift/balancer"
)

// Call is a request as the module sees it.
type Call struct {
	ID              string // not in use by another call in hand
	Class           string
	Tenant          string
	Deadline        time.Duration // on the engine's clock: when the caller stops waiting
	CostHint        time.Duration // expected work; 0: unknown
	EarlierAttempts []balancer.EarlierAttempt
	// Streamed says that the body is passed on as it comes: Expires bounds what that may take, and Uploaded brings the time from
	// which the caller waits. Such a call is not copied, and not sent again once a Reply says Spent.
	StreamedBody bool
	// Wanted, where there is one, ends once nobody waits for the answer: no attempt begins after it, and those that have begun run
	// on, whatever CancelWithCaller says.
	Interest context.Context
}

// callState is a call that the module knows. It stays until it is done and has all its outcomes.
type callState struct {
	request         Call
	transport       Transport
	ctx             context.Context
	attempts        []*attempt
	firstAttempt    attempt // most calls need no other
	attemptBuffer   [2]*attempt
	runningAttempts int
	closed          bool // the module owes nothing for it any more
	answered        bool // and answer holds
	answer          Answer
	callerBusy      bool          // the caller carries out an attempt
	callerAttempt   *attempt      // the caller is to carry out this one
	wake            chan struct{} // the caller waits; made when it first does
}

// Do gives a call its final answer, before Call.Deadline. When ctx ends the caller has left: the module hears of it,
// and no further attempt is made.
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
	case e.calls[request.ID] != nil:
		e.unlock()
		return Answer{Kind: Duplicate}
	}
	e.calls[request.ID] = call
	e.handle(balancer.Request{ID: request.ID, Class: request.Class, Tenant: request.Tenant, Deadline: request.Deadline, CostHint: request.CostHint,
		EarlierAttempts: request.EarlierAttempts, StreamedBody: request.StreamedBody})
	// Attempts that end with their caller bring the news themselves.
	if !call.closed && !e.cancelWithCaller && ctx.Done() != nil {
		defer context.AfterFunc(ctx, func() { e.disconnect(call) })()
	}
	if !call.closed && request.Interest != nil {
		defer context.AfterFunc(request.Interest, func() { e.disconnect(call) })()
	}
	for {
		switch {
		case call.closed: // first: what was decided before the end is not carried out after it
			if call.callerAttempt != nil {
				e.endAttempt(call, call.callerAttempt, AttemptResult{Result: balancer.NotSent})
			}
			e.removeIfComplete(call)
			e.unlock()
			if !call.answered {
				return Answer{Kind: ClientGone, Attempts: len(call.attempts)}
			}
			return call.answer
		case call.callerAttempt != nil:
			a := call.callerAttempt
			call.callerAttempt, call.callerBusy = nil, true
			e.unlock()
			result := e.runAttempt(call, a)
			e.lock()
			call.callerBusy = false
			if e.cancelWithCaller && ctx.Err() != nil {
				e.disconnectLocked(call)
			}
			e.endAttempt(call, a, result)
		default:
			if call.wake == nil {
				call.wake = make(chan struct{}, 1)
			}
			e.unlock()
			if e.cancelWithCaller {
				select {
				case <-call.wake:
					e.lock()
				case <-ctx.Done():
					e.lock()
					e.disconnectLocked(call)
				}
			} else {
				<-call.wake // leave signals too
				e.lock()
			}
		}
	}
}

// disconnect tells the module that a caller has left.
func (e *Engine) disconnect(call *callState) {
	e.lock()
	defer e.unlock()
	e.disconnectLocked(call)
}

func (e *Engine) disconnectLocked(call *callState) {
	if call.closed {
		return
	}
	call.closed = true
	e.handle(balancer.ClientDisconnected{ID: call.request.ID})
	e.removeIfComplete(call)
	call.wakeCaller()
}

// answerCall gives a call its final answer, unless it has one.
func (e *Engine) answerCall(call *callState, answer Answer) {
	if call == nil || call.answered {
		return
	}
	answer.Attempts = len(call.attempts)
	call.answer, call.answered, call.closed = answer, true, true
	call.wakeCaller()
}

func (e *Engine) removeIfComplete(call *callState) {
	if call.closed && call.runningAttempts == 0 && e.calls[call.request.ID] == call {
		delete(e.calls, call.request.ID)
	}
}

// wakeCaller wakes the caller, if it waits.
func (f *callState) wakeCaller() {
	if f.wake == nil {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
