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

// Engine drives a balancer for calls. It is safe for concurrent use. Its memory use is bounded by the number of calls
// in Do and of their attempts that have not ended.
type Engine struct {
	clock              clock.Clock
	subscribe          func()
	waitForUpdates     func()
	log                *slog.Logger
	callerRunsAttempts bool // attempts may run on the goroutine that called Do, since they can be cancelled when another one succeeds
	cancelWithCaller   bool

	mu            sync.Mutex // see the package comment for the lock order
	balancer      *balancer.Balancer
	calls         map[string]*callState // by ID
	history       *IDHistory
	nonIdempotent nonIdempotentClasses
	actionBuffer  []balancer.Action // reused by handle; nil while it is in use
	logActions    []balancer.Action // log lines that unlock writes
	timer         *time.Timer       // set by balancer.SetTimer
	closed        bool

	attemptGoroutines sync.WaitGroup

	updatesMu      sync.Mutex
	updates        []balancer.EndpointUpdate // queued by Update, oldest first; at most one per running Update
	updatesPending atomic.Bool               // whether updates is not empty; read without updatesMu
}

// unsetTimer is the initial duration of Engine.timer, which is stopped before it can fire.
const unsetTimer = time.Hour

// New starts an engine, which Close ends. The error names the setting that is invalid.
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
		history:            options.History,
		nonIdempotent:      newNonIdempotentClasses(options.Settings.Classes),
	}
	if e.history == nil {
		e.history = NewIDHistory()
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

// Update applies an endpoint update before it returns. Every decision that begins after Update was called takes the
// endpoint update into account.
func (e *Engine) Update(update balancer.EndpointUpdate) {
	e.updatesMu.Lock()
	e.updates = append(e.updates, update)
	e.updatesPending.Store(true)
	e.updatesMu.Unlock()
	e.lock() // handles the update, unless another goroutine has done so
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

// Close aborts the calls in flight, stops the timer, and waits for the attempts on goroutines of their own. Later calls
// of Do return EngineClosed.
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

// Restore gives the balancer what the replaced process had learned. It must be called before the first Do.
func (e *Engine) Restore(snapshot *balancer.Snapshot) {
	e.lock()
	defer e.unlock()
	e.balancer.Restore(e.clock.Now(), snapshot)
}

// lock acquires mu and handles the queued endpoint updates before anything else.
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

// handle passes an event to the balancer and executes the resulting actions. e.mu must be held.
//
// A panic of the balancer is raised again on another goroutine, which ends the process: a server that recovers panics,
// such as net/http, would otherwise keep running with e.mu held and the balancer in an unknown state.
func (e *Engine) handle(event balancer.Event) {
	defer func() {
		if p := recover(); p != nil {
			go panic(fmt.Sprintf("balancer: %v", p))
			select {}
		}
	}()
	actions := e.balancer.Handle(e.clock.Now(), event, e.actionBuffer[:0])
	e.actionBuffer = nil // executing an action may call handle again
	for i := range actions {
		e.execute(&actions[i])
	}
	clear(actions)
	e.actionBuffer = actions[:0]
}

// execute executes one action of the balancer. e.mu must be held.
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
