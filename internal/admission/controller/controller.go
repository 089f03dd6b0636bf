// Package controller drives a door.Door: it has requests wait, wakes them, and leaves with their clients. It is safe for
// concurrent use. Who waits costs a channel and an entry here, both within the door's bound on waiting requests.
package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/engine"
)

// Verdict is what became of a request at the door.
type Verdict int

// The verdicts.
const (
	Admitted   Verdict = iota // it goes on: Pass.Done must be called
	Rejected                  // it was not done, trying again is harmless
	ClientLeft                // its client left while it waited
)

// Controller is a door that can be waited at.
type Controller struct {
	clock          clock.Clock
	log            *slog.Logger
	sendRetryAfter bool

	mu               sync.Mutex
	queue            *admission.Queue
	principalSources admission.PrincipalSources
	retryHeader      string
	bypassed         bool // everybody goes on
	waiters          map[admission.Ticket]chan admission.Action
	actionBuffer     []admission.Action
	timer            *time.Timer
	timerAt          time.Duration // what the timer is set to; 0: nothing
	rejections       int           // since the log spoke of them
	lastRejection    time.Duration // when one was
	logLines         []logLine
}

type logLine struct {
	text  string
	attrs []any
}

// rejectionsQuietAfter is how long after the last refusal the log says that refusals have ended.
const rejectionsQuietAfter = time.Second

// Options are a Keeper's parameters.
type Options struct {
	Queue          admission.Options // checked
	Classes        []balancer.Class
	Seed           uint64
	Clock          clock.Clock
	SendRetryAfter bool         // refused clients may be told when to come back
	Log            *slog.Logger // nil: lines are dropped
}

// New returns a Keeper, or says which principals can't be told apart. Close ends it.
func New(o Options) (*Controller, error) {
	by, err := admission.ParsePrincipalSources(o.Queue.PrincipalSources)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	k := &Controller{clock: o.Clock, log: o.Log, sendRetryAfter: o.SendRetryAfter, principalSources: by, retryHeader: o.Queue.RetryHeader, queue: admission.New(o.Queue, o.Classes, o.Seed),
		waiters: map[admission.Ticket]chan admission.Action{}}
	k.timer = time.AfterFunc(time.Hour, k.wake)
	k.timer.Stop()
	return k, nil
}

// Permit is a request that went on. Its zero value is one that no door counts.
type Permit struct {
	controller *Controller
	ticket     admission.Ticket
}

// Done ends it. Only the first call counts.
func (p Permit) Done(how admission.Outcome) {
	if p.controller == nil {
		return
	}
	p.controller.mu.Lock()
	if !p.controller.bypassed {
		p.controller.execute(p.controller.queue.Done(p.controller.clock.Now(), p.ticket, how, p.controller.actionBuffer[:0]))
	}
	p.controller.unlock()
}

// OutcomeOf is what a final answer means to the door.
func OutcomeOf(a engine.Answer) admission.Outcome {
	switch a.Kind {
	case engine.Rejected:
		return admission.RejectedByBalancer
	case engine.ClientGone, engine.Duplicate, engine.EngineClosed:
		return admission.ClientGone
	}
	return admission.Completed
}

// Acquire brings a request to the door, and returns once it goes on, is refused, or ctx has ended. Group and Flow of a are
// filled in from who. RetryIn is a refused client's; 0: nothing is to be said.
func (c *Controller) Acquire(ctx context.Context, who admission.Client, a admission.Arrival) (p Permit, v Verdict, retryIn time.Duration) {
	c.mu.Lock()
	if c.bypassed {
		c.unlock()
		return Permit{}, Admitted, 0
	}
	a.Group, a.Flow = c.principalSources.Names(who)
	t, acts := c.queue.Arrive(c.clock.Now(), a, c.actionBuffer[:0])
	for _, x := range acts {
		if x.Ticket == t { // its own fate is known at once
			c.execute(acts)
			c.unlock()
			if x.Kind == admission.Admit {
				return Permit{c, t}, Admitted, 0
			}
			return Permit{}, Rejected, c.retryAfter(x)
		}
	}
	mine := make(chan admission.Action, 1)
	c.waiters[t] = mine
	c.execute(acts)
	c.unlock()
	select {
	case x := <-mine:
		return c.verdictOf(x)
	case <-ctx.Done():
	}
	c.mu.Lock()
	if _, waits := c.waiters[t]; waits {
		delete(c.waiters, t)
		c.execute(c.queue.Cancel(c.clock.Now(), t, c.actionBuffer[:0]))
		c.unlock()
		return Permit{}, ClientLeft, 0
	}
	c.unlock()
	return c.verdictOf(<-mine) // it was called in the same moment: its caller finds its client gone
}

func (c *Controller) verdictOf(x admission.Action) (Permit, Verdict, time.Duration) {
	switch {
	case x.Kind == admission.Reject:
		return Permit{}, Rejected, c.retryAfter(x)
	case x.Ticket == 0:
		return Permit{}, Admitted, 0
	}
	return Permit{c, x.Ticket}, Admitted, 0
}

func (c *Controller) retryAfter(x admission.Action) time.Duration {
	if !c.sendRetryAfter {
		return 0
	}
	return x.RetryAfter.Round(time.Millisecond)
}

// execute carries out what the door said; the lock is held.
func (c *Controller) execute(acts []admission.Action) {
	now := c.clock.Now()
	for _, x := range acts {
		if x.Kind == admission.Reject {
			c.noteRejection(now, x)
		}
		if waiter := c.waiters[x.Ticket]; waiter != nil {
			delete(c.waiters, x.Ticket)
			waiter <- x
		}
	}
	c.actionBuffer = acts[:0]
	if c.rejections > 0 && now-c.lastRejection > rejectionsQuietAfter {
		c.logLines = append(c.logLines, logLine{"the door: refusals have ended", []any{"refused", c.rejections}})
		c.rejections = 0
	}
	if at, ok := c.queue.Next(); ok && at != c.timerAt {
		c.timerAt = at
		c.timer.Reset(at - now)
	}
}

// noteRejection notes a refusal for the log: the first of a time of refusals is written, and their end with how many there were.
func (c *Controller) noteRejection(now time.Duration, x admission.Action) {
	c.rejections++
	c.lastRejection = now
	if c.rejections == 1 {
		v := c.queue.Stats()
		c.logLines = append(c.logLines, logLine{"the door: refusals begin", []any{"reason", x.Reason.String(), "waiting", v.Queued,
			"in_hand", v.InFlight, "limit", v.Limit, "principals", v.Principals}})
	}
}

// unlock gives the door free, then writes what there was to say.
func (c *Controller) unlock() {
	lines := c.logLines
	c.logLines = nil
	c.mu.Unlock()
	for _, l := range lines {
		c.log.Info(l.text, l.attrs...)
	}
}

func (c *Controller) wake() {
	c.mu.Lock()
	defer c.unlock()
	if !c.bypassed {
		c.timerAt = 0
		c.execute(c.queue.Wake(c.clock.Now(), c.actionBuffer[:0]))
	}
}

// RetryHeader is the header by which clients mark repeats.
func (c *Controller) RetryHeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryHeader
}

// Configure takes over other options, as door.Door.Configure tells.
func (c *Controller) Configure(o admission.Options) error {
	by, err := admission.ParsePrincipalSources(o.PrincipalSources)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.unlock()
	if c.bypassed {
		return nil
	}
	c.principalSources, c.retryHeader = by, o.RetryHeader
	c.queue.Configure(c.clock.Now(), o)
	c.execute(c.queue.Wake(c.clock.Now(), c.actionBuffer[:0])) // the limit may have risen
	return nil
}

// AdmitAll lets on everybody who waits and whoever comes from now on: there is no door any more.
func (c *Controller) AdmitAll() { c.bypass(admission.Action{Kind: admission.Admit}) }

// Close refuses everybody who waits, once: the process is about to be killed. Whoever comes from now on goes on, and has
// its answer there.
func (c *Controller) Close() { c.bypass(admission.Action{Kind: admission.Reject}) }

func (c *Controller) bypass(x admission.Action) {
	c.mu.Lock()
	defer c.unlock()
	c.bypassed = true
	c.timer.Stop()
	for t, waiter := range c.waiters {
		delete(c.waiters, t)
		waiter <- x
	}
}

// Stats is what the door holds now.
func (c *Controller) Stats() admission.Stats {
	c.mu.Lock()
	defer c.unlock()
	return c.queue.Stats()
}
