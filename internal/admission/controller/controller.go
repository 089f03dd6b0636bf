package controller

import (
	"log/slog"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/clock"
)

// Controller admits requests through an admission.Queue. New creates one.
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
	timerAt          time.Duration // when the timer fires; 0 if it is not set

	rejections    int           // number of rejections since the last log line on the end of rejections
	lastRejection time.Duration // when the last rejection was
	logLines      []logLine     // written by unlock
}

// initialTimerDelay is the delay of a new timer, which New stops long before it fires.
const initialTimerDelay = time.Hour

// Options are a Controller's parameters.
type Options struct {
	Queue          admission.Options // must have passed Check
	Classes        []balancer.Class
	Seed           uint64 // seeds the queue's random numbers
	Clock          clock.Clock
	SendRetryAfter bool         // rejected clients get a Retry-After
	Log            *slog.Logger // if it is nil, nothing is logged
}

// New returns a Controller, or an error that names an invalid principal source. Close stops the controller.
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
	c.timer = time.AfterFunc(initialTimerDelay, c.wake)
	c.timer.Stop()
	return c, nil
}

// RetryHeader returns the header by which clients mark retries.
func (c *Controller) RetryHeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryHeader
}

// Configure replaces the queue's options, see admission.Queue.Configure. If a principal source is invalid, it changes
// nothing and returns an error that names the source.
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

// AdmitAll admits all waiting and all later requests. It is for a service that has no admission control any more.
func (c *Controller) AdmitAll() { c.bypass(admission.Action{Kind: admission.Admit}) }

// Close rejects all waiting requests. It is for a process that is about to be killed. Later requests are admitted, and
// the components behind the controller answer them.
func (c *Controller) Close() { c.bypass(admission.Action{Kind: admission.Reject}) }

// bypass ends the use of the queue, and sends the same action to all waiting requests.
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

// Stats returns the queue's current counts.
func (c *Controller) Stats() admission.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Stats()
}

// wake wakes the queue. It is the function that the timer calls.
func (c *Controller) wake() {
	c.mu.Lock()
	defer c.unlock()
	if !c.bypassed {
		c.timerAt = 0
		c.execute(c.queue.Wake(c.clock.Now(), c.actionBuffer[:0]))
	}
}

// execute passes the queue's actions to the waiting requests, and sets the timer. The caller holds the lock. Sending
// does not block, because each waiter's channel has space for its one action.
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
	c.noteRejectionsEnded(now)
	if at, ok := c.queue.Next(); ok && at != c.timerAt {
		c.timerAt = at
		c.timer.Reset(at - now)
	}
}
