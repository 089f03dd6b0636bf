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
	at              Attempt
	sent            time.Duration
	begun           time.Duration // when its stream began; 0: it has not
	cancel          context.CancelCauseFunc
	timer           *time.Timer
	ended           bool
}

// Deadline is the attempt's, which the engine keeps by a timer of its own: a stream loses it.
func (a *attempt) Deadline() (time.Time, bool) { return a.at.Deadline, true }

func (a *attempt) Err() error {
	err := a.Context.Err()
	if err != nil && context.Cause(a.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}

func (a *attempt) expire() { a.cancel(context.DeadlineExceeded) }

// start begins an attempt: by the caller where that is free, else beside it.
func (e *Engine) start(s *balancer.Action) {
	f := e.flights[s.ID]
	if f == nil {
		return
	}
	now := e.clock.Now()
	limit := f.call.Deadline - now
	if s.Timeout > 0 {
		limit = min(limit, s.Timeout)
	}
	a := &f.first
	if len(f.attempts) > 0 {
		a = &attempt{}
	}
	parent := context.Background()
	if e.cancelAll {
		parent = f.ctx
	}
	a.Context, a.cancel = context.WithCancelCause(parent)
	a.at = Attempt{ID: f.call.ID, Number: len(f.attempts), Upstream: s.Upstream, Zone: s.Zone, Cell: s.Cell, Deadline: time.Now().Add(limit),
		Cancel: a.cancel, Caller: f.ctx}
	if f.call.Interest != nil {
		a.at.Caller = f.call.Interest
	}
	if s.SendBy > 0 {
		a.at.SendBy = time.Now().Add(s.SendBy - now)
	}
	a.sent = now
	a.timer = time.AfterFunc(limit, a.expire)
	f.attempts = append(f.attempts, a)
	f.out++
	if e.inline && !f.busy && f.next == nil {
		a.at.OnCallerGoroutine = true
		f.next = a
		f.signal()
		return
	}
	e.running.Go(func() {
		r := e.carry(f, a)
		e.lock()
		defer e.unlock()
		e.ended(f, a, r)
		f.signal()
	})
}

// carry carries out an attempt. A front's panic is its own: the attempt may have run.
func (e *Engine) carry(f *flight, a *attempt) (r AttemptResult) {
	defer func() {
		if p := recover(); p != nil {
			r = AttemptResult{Result: balancer.Reset}
			if e.log != nil {
				e.log.Error("an attempt's panic", "class", f.call.Class, "upstream", a.at.Upstream, "attempt", a.at.Number,
					"reason", fmt.Sprint(p))
			}
		}
	}()
	if r = f.carrier.RoundTrip(a, a.at); r.Result == balancer.NotSent && e.settle != nil {
		e.settle()
	}
	return r
}

// ended reports an attempt's one outcome; the first that was served is the final answer, also to a caller that was
// thought to have left.
func (e *Engine) ended(f *flight, a *attempt, r AttemptResult) {
	if a.ended {
		return
	}
	running := a.timer.Stop()
	if r.Streaming {
		switch expired := !running || context.Cause(a.Context) == context.DeadlineExceeded; {
		case f.done: // too late, or another stream has won
			r = AttemptResult{Result: balancer.Cancelled}
		case expired: // as its answer began: its connection is being closed, and what has come of the answer would be cut
			r = AttemptResult{Result: balancer.Timeout, BodyConsumed: r.BodyConsumed}
		case a.Context.Err() != nil: // the same, by whoever called it off
			r = AttemptResult{Result: balancer.Cancelled, BodyConsumed: r.BodyConsumed}
		default:
			a.begun = e.clock.Now()
			e.handle(balancer.FirstByte{ID: f.call.ID, Attempt: a.at.Number, PassThrough: r.PassThrough})
			e.finish(f, Answer{Kind: Served, Value: r.Value, stream: a, f: f, e: e})
			return
		}
	}
	a.ended = true
	f.out--
	at := e.clock.Now()
	if a.begun > 0 { // how long a stream goes on tells nothing of its upstream's speed
		at = a.begun
	}
	a.cancel(context.Canceled)
	if r.Result == balancer.OK {
		e.finish(f, Answer{Kind: Served, Value: r.Value})
	}
	e.handle(balancer.Outcome{ID: f.call.ID, Attempt: a.at.Number, Result: r.Result,
		Elapsed: at - a.sent, Final: f.done, BodyConsumed: r.BodyConsumed})
	e.forget(f)
}
