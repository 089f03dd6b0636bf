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

// flight is a call that the module knows. It stays until it is done and has all its outcomes.
type flight struct {
	call     Call
	carrier  Transport
	ctx      context.Context
	attempts []*attempt
	first    attempt // most calls need no other
	list     [2]*attempt
	out      int
	done     bool // the module owes nothing for it any more
	answered bool // and answer holds
	answer   Answer
	busy     bool          // the caller carries out an attempt
	next     *attempt      // the caller is to carry out this one
	wake     chan struct{} // the caller waits; made when it first does
}

// Do gives a call its final answer, before Call.Deadline. When ctx ends the caller has left: the module hears of it,
// and no further attempt is made.
func (e *Engine) Do(ctx context.Context, c Call, carrier Transport) Answer {
	if ctx.Err() != nil {
		return Answer{Kind: ClientGone}
	}
	f := &flight{call: c, carrier: carrier, ctx: ctx}
	f.attempts = f.list[:0]
	e.lock()
	switch {
	case e.closed:
		e.unlock()
		return Answer{Kind: EngineClosed}
	case e.flights[c.ID] != nil:
		e.unlock()
		return Answer{Kind: Duplicate}
	}
	e.flights[c.ID] = f
	e.handle(balancer.Request{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Deadline: c.Deadline, CostHint: c.CostHint,
		EarlierAttempts: c.EarlierAttempts, StreamedBody: c.StreamedBody})
	// Attempts that end with their caller bring the news themselves.
	if !f.done && !e.cancelAll && ctx.Done() != nil {
		defer context.AfterFunc(ctx, func() { e.leave(f) })()
	}
	if !f.done && c.Interest != nil {
		defer context.AfterFunc(c.Interest, func() { e.leave(f) })()
	}
	for {
		switch {
		case f.done: // first: what was decided before the end is not carried out after it
			if f.next != nil {
				e.ended(f, f.next, AttemptResult{Result: balancer.NotSent})
			}
			e.forget(f)
			e.unlock()
			if !f.answered {
				return Answer{Kind: ClientGone, Attempts: len(f.attempts)}
			}
			return f.answer
		case f.next != nil:
			a := f.next
			f.next, f.busy = nil, true
			e.unlock()
			r := e.carry(f, a)
			e.lock()
			f.busy = false
			if e.cancelAll && ctx.Err() != nil {
				e.leaveLocked(f)
			}
			e.ended(f, a, r)
		default:
			if f.wake == nil {
				f.wake = make(chan struct{}, 1)
			}
			e.unlock()
			if e.cancelAll {
				select {
				case <-f.wake:
					e.lock()
				case <-ctx.Done():
					e.lock()
					e.leaveLocked(f)
				}
			} else {
				<-f.wake // leave signals too
				e.lock()
			}
		}
	}
}

// leave tells the module that a caller has left.
func (e *Engine) leave(f *flight) {
	e.lock()
	defer e.unlock()
	e.leaveLocked(f)
}

func (e *Engine) leaveLocked(f *flight) {
	if f.done {
		return
	}
	f.done = true
	e.handle(balancer.ClientDisconnected{ID: f.call.ID})
	e.forget(f)
	f.signal()
}

// finish gives a call its final answer, unless it has one.
func (e *Engine) finish(f *flight, a Answer) {
	if f == nil || f.answered {
		return
	}
	a.Attempts = len(f.attempts)
	f.answer, f.answered, f.done = a, true, true
	f.signal()
}

func (e *Engine) forget(f *flight) {
	if f.done && f.out == 0 && e.flights[f.call.ID] == f {
		delete(e.flights, f.call.ID)
	}
}

// signal wakes the caller, if it waits.
func (f *flight) signal() {
	if f.wake == nil {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
