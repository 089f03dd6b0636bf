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

// Engine drives a balancer for calls. It is safe for concurrent use. What it holds is bounded by the calls in Do, and by
// their attempts that have not ended.
type Engine struct {
	clock              clock.Clock
	subscribe          func()
	waitForUpdates     func()
	log                *slog.Logger
	callerRunsAttempts bool // the goroutine in Do carries out attempts: they can be cancelled for another one's answer
	cancelWithCaller   bool

	mu           sync.Mutex // see the package comment for the lock order
	balancer     *balancer.Balancer
	calls        map[string]*callState // by ID
	actionBuffer []balancer.Action     // reused by handle; nil while it is in use
	logActions   []balancer.Action     // written by unlock
	timer        *time.Timer           // the balancer's
	closed       bool

	attemptGoroutines sync.WaitGroup

	updatesMu      sync.Mutex
	updates        []balancer.EndpointUpdate // queued by Update, oldest first: at most one for each of its callers
	updatesPending atomic.Bool               // updates is not empty; read without updatesMu
}

// unsetTimer is the duration of a timer that is stopped before it can fire.
const unsetTimer = time.Hour

// New starts an engine. The error names a setting that cannot be used. Close ends the engine.
func New(options Options) (*Engine, error) {
	policy, err := balancer.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		clock:              options.Clock,
		subscribe:          options.Subscribe,
		waitForUpdates:     options.WaitForUpdates,
		log:                options.Log,
		callerRunsAttempts: options.Settings.CancellationAllowed,
		cancelWithCaller:   options.CancelWithCaller,
		balancer:           policy,
		calls:              map[string]*callState{},
	}
	e.timer = time.AfterFunc(unsetTimer, e.timerFired)
	e.timer.Stop()
	e.lock()
	e.handle(balancer.EndpointUpdate{Kind: balancer.CachedUpdate, Endpoints: options.CachedEndpoints})
	e.unlock()
	return e, nil
}

// Clock returns the clock that Call.Deadline refers to.
func (e *Engine) Clock() clock.Clock { return e.clock }

// Update brings an endpoint update. No decision that begins after the call of Update goes against it, and it has been
// handled when Update returns.
func (e *Engine) Update(update balancer.EndpointUpdate) {
	e.updatesMu.Lock()
	e.updates = append(e.updates, update)
	e.updatesPending.Store(true)
	e.updatesMu.Unlock()
	e.lock() // handles it, unless another goroutine has
	e.unlock()
}

// ReportProbe notifies the balancer of a load probe's result.
func (e *Engine) ReportProbe(result balancer.ProbeResult) {
	e.lock()
	defer e.unlock()
	if !e.closed {
		e.handle(result)
	}
}

// UploadDone reports that an attempt has written the last byte of a streamed call: from now on the call and the attempt
// have until deadline, on the engine's clock. The Transport calls it during RoundTrip.
func (e *Engine) UploadDone(info Attempt, deadline time.Duration) {
	e.lock()
	defer e.unlock()
	call := e.calls[info.ID]
	if call == nil || call.closed || info.Number >= len(call.attempts) || call.attempts[info.Number].ended {
		return
	}
	a := call.attempts[info.Number]
	call.request.Deadline, a.startedAt = deadline, e.clock.Now()
	a.timer.Reset(deadline - a.startedAt)
	e.handle(balancer.UploadDone{ID: info.ID, Attempt: info.Number, Deadline: deadline})
}

// Abort fails every call in flight and cancels all attempts. It is for a process that is about to be killed.
func (e *Engine) Abort() {
	e.lock()
	defer e.unlock()
	for _, call := range e.calls {
		if !call.closed {
			e.answerCall(call, Answer{Kind: Failed})
			e.handle(balancer.ClientDisconnected{ID: call.request.ID})
		}
		for _, a := range call.attempts {
			a.cancel(context.Canceled)
		}
		e.removeIfComplete(call)
	}
}

// Close aborts the calls in flight, stops the timer, and waits for the attempts on goroutines of their own. Calls of Do
// that follow are answered EngineClosed.
func (e *Engine) Close() {
	e.Abort()
	e.lock()
	e.closed = true
	e.timer.Stop()
	e.unlock()
	e.attemptGoroutines.Wait()
}

// InFlight returns the number of calls in flight, including those that are answered and have a running attempt.
func (e *Engine) InFlight() int {
	e.lock()
	defer e.unlock()
	return len(e.calls)
}

// View returns the balancer's current view of the upstreams.
func (e *Engine) View() []balancer.UpstreamView {
	e.lock()
	defer e.unlock()
	return e.balancer.View(e.clock.Now())
}

// Snapshot returns what the balancer has learned, for the process that replaces this one.
func (e *Engine) Snapshot() *balancer.Snapshot {
	e.lock()
	defer e.unlock()
	return e.balancer.Snapshot(e.clock.Now())
}

// Restore gives the balancer what the replaced process had learned. It is called before the first Do.
func (e *Engine) Restore(snapshot *balancer.Snapshot) {
	e.lock()
	defer e.unlock()
	e.balancer.Restore(e.clock.Now(), snapshot)
}

// lock takes mu, and handles the endpoint updates that have been queued before anything else.
func (e *Engine) lock() {
	e.mu.Lock()
	if !e.updatesPending.Load() {
		return
	}
	e.updatesMu.Lock()
	updates := e.updates
	e.updates = nil
	e.updatesPending.Store(false)
	e.updatesMu.Unlock()
	if e.closed {
		return
	}
	for _, update := range updates {
		e.handle(update)
	}
}

// unlock releases mu, then writes the balancer's log lines.
func (e *Engine) unlock() {
	lines := e.logActions
	e.logActions = nil
	e.mu.Unlock()
	if e.log == nil {
		return
	}
	for _, line := range lines {
		if line.Upstream == "" {
			e.log.Info(line.Text)
		} else {
			e.log.Info(line.Text, "upstream", line.Upstream)
		}
	}
}

func (e *Engine) timerFired() {
	e.lock()
	defer e.unlock()
	if !e.closed {
		e.handle(balancer.TimerFired{})
	}
}

// handle has the balancer decide on an event, and executes its actions. The lock is held.
//
// A panic ends the process, on another goroutine: a server that recovers panics (net/http does) would keep running with
// the lock held and the balancer's state unknown.
func (e *Engine) handle(event balancer.Event) {
	defer func() {
		if p := recover(); p != nil {
			go panic(fmt.Sprintf("balancer: %v", p))
			select {}
		}
	}()
	actions := e.balancer.Handle(e.clock.Now(), event, e.actionBuffer[:0])
	e.actionBuffer = nil // executing an action may bring another event
	for i := range actions {
		e.execute(&actions[i])
	}
	clear(actions)
	e.actionBuffer = actions[:0]
}

// execute does what the balancer decided. The lock is held.
func (e *Engine) execute(action *balancer.Action) {
	switch action.Kind {
	case balancer.Send:
		e.startAttempt(action)
	case balancer.Cancel:
		if call := e.calls[action.ID]; call != nil && action.Attempt < len(call.attempts) {
			call.attempts[action.Attempt].cancel(context.Canceled)
		}
	case balancer.Reject:
		e.answerCall(e.calls[action.ID], Answer{Kind: Rejected, RetryAfter: action.RetryAfter})
	case balancer.Fail:
		e.answerCall(e.calls[action.ID], Answer{Kind: Failed})
	case balancer.SetTimer:
		e.timer.Reset(action.FireAt - e.clock.Now())
	case balancer.Subscribe:
		if e.subscribe != nil {
			e.subscribe()
		}
	case balancer.Log:
		e.logActions = append(e.logActions, *action)
	}
}
