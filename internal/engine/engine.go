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
