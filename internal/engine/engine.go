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

// Engine is safe for concurrent use. What it holds is bounded by the calls in Do and their attempts.
type Engine struct {
	clock              clock.Clock
	subscribe          func()
	waitForUpdates     func()
	log                *slog.Logger
	callerRunsAttempts bool // the caller's goroutine carries out attempts
	cancelWithCaller   bool

	mu                sync.Mutex
	balancer          *balancer.Balancer
	calls             map[string]*callState
	actionBuffer      []balancer.Action
	logActions        []balancer.Action // for log, once the lock is free
	timer             *time.Timer
	closed            bool
	attemptGoroutines sync.WaitGroup // attempts on goroutines of their own

	updatesMu      sync.Mutex
	updates        []balancer.EndpointUpdate // told and not yet handled, oldest first
	updatesPending atomic.Bool               // there is news
}

// New starts an engine, or says which settings cannot be used. Close ends it.
func New(options Options) (*Engine, error) {
	policy, err := balancer.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{clock: options.Clock, subscribe: options.Subscribe, waitForUpdates: options.WaitForUpdates, log: options.Log, callerRunsAttempts: options.Settings.CancellationAllowed,
		cancelWithCaller: options.CancelWithCaller, balancer: policy, calls: map[string]*callState{}}
	e.timer = time.AfterFunc(time.Hour, e.timerFired)
	e.timer.Stop()
	e.lock()
	e.handle(balancer.EndpointUpdate{Kind: balancer.CachedUpdate, Endpoints: options.CachedEndpoints})
	e.unlock()
	return e, nil
}

// Clock is the clock that Call.Deadline refers to.
func (e *Engine) Clock() clock.Clock { return e.clock }

// Update brings news of the list. When it returns no later decision goes against it.
func (e *Engine) Update(update balancer.EndpointUpdate) {
	e.updatesMu.Lock()
	e.updates = append(e.updates, update) // at most one for each caller of Update: it waits below
	e.updatesPending.Store(true)
	e.updatesMu.Unlock()
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

// UploadDone says that the last byte of a streamed call has been written by this attempt: what is left until expires is its time.
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

// Abort fails every call in hand: the process is about to be killed.
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

// Close fails what is in hand, waits for the attempts, and stops the timers.
func (e *Engine) Close() {
	e.Abort()
	e.lock()
	e.closed = true
	e.timer.Stop()
	e.unlock()
	e.attemptGoroutines.Wait()
}

// InFlight is how many calls the engine knows, those included that only wait for the end of an attempt.
func (e *Engine) InFlight() int {
	e.lock()
	defer e.unlock()
	return len(e.calls)
}

// View is what the module makes of the upstreams now.
func (e *Engine) View() []balancer.UpstreamView {
	e.lock()
	defer e.unlock()
	return e.balancer.View(e.clock.Now())
}

// Snapshot is what the module has learnt, and Recall has it take over what a predecessor had, before the first call.
func (e *Engine) Snapshot() *balancer.Snapshot {
	e.lock()
	defer e.unlock()
	return e.balancer.Snapshot(e.clock.Now())
}

// Restore is Know's counterpart.
func (e *Engine) Restore(snapshot *balancer.Snapshot) {
	e.lock()
	defer e.unlock()
	e.balancer.Restore(e.clock.Now(), snapshot)
}

// lock takes the Balancer, and first handles what is new of the list.
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

// unlock gives the Balancer free, then writes what it had to say: a slow log holds nobody up but the caller.
func (e *Engine) unlock() {
	lines := e.logActions
	e.logActions = nil
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

func (e *Engine) timerFired() {
	e.lock()
	defer e.unlock()
	if !e.closed {
		e.handle(balancer.TimerFired{})
	}
}

// handle runs one decision. A panic in it ends the process: with the module's state unknown a request might be
// answered twice or run twice, and a server that recovers would leave the lock taken for ever.
func (e *Engine) handle(event balancer.Event) {
	defer func() {
		if p := recover(); p != nil {
			go panic(fmt.Sprintf("balancer: %v", p))
			select {}
		}
	}()
	actions := e.balancer.Handle(e.clock.Now(), event, e.actionBuffer[:0])
	e.actionBuffer = nil // what is done below may bring further decisions
	for i := range actions {
		e.execute(&actions[i])
	}
	clear(actions)
	e.actionBuffer = actions[:0]
}

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
