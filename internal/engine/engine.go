// Package engine holds the requests in hand, free of any transport. A front hands it a Call and a Carrier that can
// carry out one attempt; the engine drives package balancer and gives exactly one final answer.
//
// The Balancer stands under one mutex and is run by whoever brings an event: the goroutine that calls Do decides,
// and carries out its attempts itself, one after another, without a hop to another goroutine. Only what must run
// beside them, a second copy or an attempt while the caller is busy, gets a goroutine. docs/design/engine.md weighs
// this against a goroutine that owns the Balancer.
//
// Two orders hold. News of the list is handled before any decision that begins after Update was called: it may
// forbid what a request would be sent to. And an attempt's outcome is told to the module before its caller goes on.
package engine

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
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

// Transport carries out attempts of one call. Carry sends the request to the upstream once, waits for the end, and
// returns soon after ctx has ended (context.Cause tells a time-out from a cancellation). It may be called
// several times at once, and may still run when Do has returned: a copy that lost is on its way out.
type Transport interface {
	RoundTrip(ctx context.Context, a Attempt) AttemptResult
}

// AnswerKind tells final answers apart.
type AnswerKind int

// The final answers.
const (
	Served       AnswerKind = iota
	Rejected                // not done, trying again is harmless
	Failed                  // no promise: it may have run
	Duplicate               // another call of this ID is in hand; nothing was done for this one
	ClientGone              // the caller left, by its context
	EngineClosed            // the engine is closed; nothing was done
)

// Answer is the final answer to a call.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // of Refused: advice when to come back; 0: none
	Value      any           // of Served: the winning attempt's
	Attempts   int           // attempts that the module decided on so far

	stream *attempt
	f      *flight
	e      *Engine
}

// EndStream reports how a streamed answer ended (Reply.Streaming). Only the first call counts; for other answers it does
// nothing.
func (a Answer) EndStream(r balancer.Result) {
	if a.stream != nil {
		a.e.endStream(a.f, a.stream, r)
	}
}

// Options are an engine's parameters.
type Options struct {
	Settings        balancer.Settings
	Seed            uint64
	Clock           clock.Clock
	CachedEndpoints []balancer.Endpoint // the list as last held; may be stale
	Subscribe       func()              // the module asks for the list; must not block or call the engine; nil: nobody is asked
	WaitForUpdates  func()              // waits for news that is under way; asked where an attempt was not sent. nil: there is no such thing
	Log             *slog.Logger        // nil: lines are dropped. Written to without the engine's lock
	// CancelWithCaller ends a call's attempts when its caller's context ends. Without it they run on to their time-out,
	// so that what they tell of their upstreams is heard, and Do returns with them.
	CancelWithCaller bool
}

// Engine is safe for concurrent use. What it holds is bounded by the calls in Do and their attempts.
type Engine struct {
	clock     clock.Clock
	subscribe func()
	settle    func()
	log       *slog.Logger
	inline    bool // the caller's goroutine carries out attempts
	cancelAll bool

	mu      sync.Mutex
	b       *balancer.Balancer
	flights map[string]*flight
	acts    []balancer.Action
	lines   []balancer.Action // for log, once the lock is free
	timer   *time.Timer
	closed  bool
	running sync.WaitGroup // attempts on goroutines of their own

	newsMu  sync.Mutex
	news    []balancer.EndpointUpdate // told and not yet handled, oldest first
	waiting atomic.Bool               // there is news
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

// New starts an engine, or says which settings cannot be used. Close ends it.
func New(o Options) (*Engine, error) {
	b, err := balancer.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{clock: o.Clock, subscribe: o.Subscribe, settle: o.WaitForUpdates, log: o.Log, inline: o.Settings.CancellationAllowed,
		cancelAll: o.CancelWithCaller, b: b, flights: map[string]*flight{}}
	e.timer = time.AfterFunc(time.Hour, e.tick)
	e.timer.Stop()
	e.lock()
	e.handle(balancer.EndpointUpdate{Kind: balancer.CachedUpdate, Endpoints: o.CachedEndpoints})
	e.unlock()
	return e, nil
}

// Clock is the clock that Call.Deadline refers to.
func (e *Engine) Clock() clock.Clock { return e.clock }

// Update brings news of the list. When it returns no later decision goes against it.
func (e *Engine) Update(m balancer.EndpointUpdate) {
	e.newsMu.Lock()
	e.news = append(e.news, m) // at most one for each caller of Update: it waits below
	e.waiting.Store(true)
	e.newsMu.Unlock()
	e.lock()
	e.unlock()
}

// ReportProbe tells the module what an upstream said of its load, or that it said nothing.
func (e *Engine) ReportProbe(r balancer.ProbeResult) {
	e.lock()
	defer e.unlock()
	if !e.closed {
		e.handle(r)
	}
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

// UploadDone says that the last byte of a streamed call has been written by this attempt: what is left until expires is its time.
func (e *Engine) UploadDone(at Attempt, expires time.Duration) {
	e.lock()
	defer e.unlock()
	f := e.flights[at.ID]
	if f == nil || f.done || at.Number >= len(f.attempts) || f.attempts[at.Number].ended {
		return
	}
	a := f.attempts[at.Number]
	f.call.Deadline, a.sent = expires, e.clock.Now()
	a.timer.Reset(expires - a.sent)
	e.handle(balancer.UploadDone{ID: at.ID, Attempt: at.Number, Deadline: expires})
}

// Abort fails every call in hand: the process is about to be killed.
func (e *Engine) Abort() {
	e.lock()
	defer e.unlock()
	for _, f := range e.flights {
		if !f.done {
			e.finish(f, Answer{Kind: Failed})
			e.handle(balancer.ClientDisconnected{ID: f.call.ID})
		}
		for _, a := range f.attempts {
			a.cancel(context.Canceled)
		}
		e.forget(f)
	}
}

// Close fails what is in hand, waits for the attempts, and stops the timers.
func (e *Engine) Close() {
	e.Abort()
	e.lock()
	e.closed = true
	e.timer.Stop()
	e.unlock()
	e.running.Wait()
}

// InFlight is how many calls the engine knows, those included that only wait for the end of an attempt.
func (e *Engine) InFlight() int {
	e.lock()
	defer e.unlock()
	return len(e.flights)
}

// View is what the module makes of the upstreams now.
func (e *Engine) View() []balancer.UpstreamView {
	e.lock()
	defer e.unlock()
	return e.b.View(e.clock.Now())
}

// Snapshot is what the module has learnt, and Recall has it take over what a predecessor had, before the first call.
func (e *Engine) Snapshot() *balancer.Snapshot {
	e.lock()
	defer e.unlock()
	return e.b.Snapshot(e.clock.Now())
}

// Restore is Know's counterpart.
func (e *Engine) Restore(k *balancer.Snapshot) {
	e.lock()
	defer e.unlock()
	e.b.Restore(e.clock.Now(), k)
}

// lock takes the Balancer, and first handles what is new of the list.
func (e *Engine) lock() {
	e.mu.Lock()
	if !e.waiting.Load() {
		return
	}
	e.newsMu.Lock()
	news := e.news
	e.news = nil
	e.waiting.Store(false)
	e.newsMu.Unlock()
	if e.closed {
		return
	}
	for _, m := range news {
		e.handle(m)
	}
}

// unlock gives the Balancer free, then writes what it had to say: a slow log holds nobody up but the caller.
func (e *Engine) unlock() {
	lines := e.lines
	e.lines = nil
	e.mu.Unlock()
	if e.log != nil {
		for _, line := range lines {
			if line.Upstream == "" {
				e.log.Info(line.Text)
			} else {
				e.log.Info(line.Text, "upstream", line.Upstream)
			}
		}
	}
}

func (e *Engine) tick() {
	e.lock()
	defer e.unlock()
	if !e.closed {
		e.handle(balancer.TimerFired{})
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

// handle runs one decision. A panic in it ends the process: with the module's state unknown a request might be
// answered twice or run twice, and a server that recovers would leave the lock taken for ever.
func (e *Engine) handle(ev balancer.Event) {
	defer func() {
		if p := recover(); p != nil {
			go panic(fmt.Sprintf("balancer: %v", p))
			select {}
		}
	}()
	acts := e.b.Handle(e.clock.Now(), ev, e.acts[:0])
	e.acts = nil // what is done below may bring further decisions
	for i := range acts {
		e.act(&acts[i])
	}
	clear(acts)
	e.acts = acts[:0]
}

func (e *Engine) act(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		e.start(a)
	case balancer.Cancel:
		if f := e.flights[a.ID]; f != nil && a.Attempt < len(f.attempts) {
			f.attempts[a.Attempt].cancel(context.Canceled)
		}
	case balancer.Reject:
		e.finish(e.flights[a.ID], Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		e.finish(e.flights[a.ID], Answer{Kind: Failed})
	case balancer.SetTimer:
		e.timer.Reset(a.FireAt - e.clock.Now())
	case balancer.Subscribe:
		if e.subscribe != nil {
			e.subscribe()
		}
	case balancer.Log:
		e.lines = append(e.lines, *a)
	}
}

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

func (e *Engine) endStream(f *flight, a *attempt, r balancer.Result) {
	e.lock()
	defer e.unlock()
	e.ended(f, a, AttemptResult{Result: r})
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
