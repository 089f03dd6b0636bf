package controller

import (
	"log/slog"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/clock"
)

// Controller admits requests through an admission.Queue. Make one with New.
type Controller struct {
	clock          clock.Clock
	log            *slog.Logger
	sendRetryAfter bool

	mu               sync.Mutex
	queue            *admission.Queue
	principalSources admission.PrincipalSources
	retryHeader      string
	bypassed         bool // AdmitAll or Close was called: every request is admitted, without the queue
	waiters          map[admission.Ticket]chan admission.Action
	actionBuffer     []admission.Action
	timer            *time.Timer   // wakes the queue
	timerAt          time.Duration // when it fires; 0: it is not set

	rejections    int           // since the log last reported them
	lastRejection time.Duration // when the last one was
	logLines      []logLine     // written by unlock
}

// unsetTimer is the duration of a timer that is stopped before it can fire.
const unsetTimer = time.Hour

// Options are a Controller's parameters.
type Options struct {
	Queue          admission.Options // has passed Check
	Classes        []balancer.Class
	Seed           uint64 // of the queue's random draws
	Clock          clock.Clock
	SendRetryAfter bool         // rejected clients are told when to come back
	Log            *slog.Logger // nil: lines are dropped
}

// New returns a Controller. The error names a principal source that cannot be used. Close ends the controller.
func New(o Options) (*Controller, error) {
	sources, err := admission.ParsePrincipalSources(o.Queue.PrincipalSources)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	c := &Controller{
		clock:            o.Clock,
		log:              o.Log,
		sendRetryAfter:   o.SendRetryAfter,
		queue:            admission.New(o.Queue, o.Classes, o.Seed),
		principalSources: sources,
		retryHeader:      o.Queue.RetryHeader,
		waiters:          map[admission.Ticket]chan admission.Action{},
	}
	c.timer = time.AfterFunc(unsetTimer, c.wake)
	c.timer.Stop()
	return c, nil
}

// RetryHeader returns the header by which clients mark retries.
func (c *Controller) RetryHeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryHeader
}

// Configure replaces the queue's options, see admission.Queue.Configure. The error names a principal source that cannot
// be used; then nothing changes.
func (c *Controller) Configure(o admission.Options) error {
	sources, err := admission.ParsePrincipalSources(o.PrincipalSources)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.unlock()
	if c.bypassed {
		return nil
	}
	c.principalSources, c.retryHeader = sources, o.RetryHeader
	c.queue.Configure(c.clock.Now(), o)
	c.execute(c.queue.Wake(c.clock.Now(), c.actionBuffer[:0])) // the limit may have risen
	return nil
}

// AdmitAll admits every request that waits or comes from now on: the service has no admission control any more.
func (c *Controller) AdmitAll() { c.bypass(admission.Action{Kind: admission.Admit}) }

// Close rejects every request that waits: the process is about to be killed. Requests that come later are admitted, and
// are answered by what is behind the controller.
func (c *Controller) Close() { c.bypass(admission.Action{Kind: admission.Reject}) }

// bypass ends the use of the queue, and sends all waiting requests one action.
func (c *Controller) bypass(action admission.Action) {
	c.mu.Lock()
	defer c.unlock()
	c.bypassed = true
	c.timer.Stop()
	for ticket, waiter := range c.waiters {
		delete(c.waiters, ticket)
		waiter <- action
	}
}

// Stats returns what the queue holds now.
func (c *Controller) Stats() admission.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Stats()
}

// wake is the timer's.
func (c *Controller) wake() {
	c.mu.Lock()
	defer c.unlock()
	if !c.bypassed {
		c.timerAt = 0
		c.execute(c.queue.Wake(c.clock.Now(), c.actionBuffer[:0]))
	}
}

// execute passes the queue's actions to the requests that wait, and sets the timer. The lock is held. Each waiter's
// channel has space for its one action.
func (c *Controller) execute(actions []admission.Action) {
	now := c.clock.Now()
	for _, action := range actions {
		if action.Kind == admission.Reject {
			c.noteRejection(now, action)
		}
		if waiter := c.waiters[action.Ticket]; waiter != nil {
			delete(c.waiters, action.Ticket)
			waiter <- action
		}
	}
	c.actionBuffer = actions[:0]
	c.noteQuiet(now)
	if at, ok := c.queue.Next(); ok && at != c.timerAt {
		c.timerAt = at
		c.timer.Reset(at - now)
	}
}
