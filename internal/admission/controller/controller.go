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
	clock clock.Clock
	log   *slog.Logger
	tells bool

	mu       sync.Mutex
	door     *admission.Queue
	by       admission.PrincipalSources
	marked   string
	open     bool // everybody goes on
	waiting  map[admission.Ticket]chan admission.Action
	acts     []admission.Action
	timer    *time.Timer
	due      time.Duration // what the timer is set to; 0: nothing
	refusals int           // since the log spoke of them
	last     time.Duration // when one was
	lines    []line
}

type line struct {
	text  string
	attrs []any
}

// quiet is how long after the last refusal the log says that refusals have ended.
const quiet = time.Second

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
	k := &Controller{clock: o.Clock, log: o.Log, tells: o.SendRetryAfter, by: by, marked: o.Queue.RetryHeader, door: admission.New(o.Queue, o.Classes, o.Seed),
		waiting: map[admission.Ticket]chan admission.Action{}}
	k.timer = time.AfterFunc(time.Hour, k.wake)
	k.timer.Stop()
	return k, nil
}

// Permit is a request that went on. Its zero value is one that no door counts.
type Permit struct {
	k *Controller
	t admission.Ticket
}

// Done ends it. Only the first call counts.
func (p Permit) Done(how admission.Outcome) {
	if p.k == nil {
		return
	}
	p.k.mu.Lock()
	if !p.k.open {
		p.k.do(p.k.door.Done(p.k.clock.Now(), p.t, how, p.k.acts[:0]))
	}
	p.k.unlock()
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
func (k *Controller) Acquire(ctx context.Context, who admission.Client, a admission.Arrival) (p Permit, v Verdict, retryIn time.Duration) {
	k.mu.Lock()
	if k.open {
		k.unlock()
		return Permit{}, Admitted, 0
	}
	a.Group, a.Flow = k.by.Names(who)
	t, acts := k.door.Arrive(k.clock.Now(), a, k.acts[:0])
	for _, x := range acts {
		if x.Ticket == t { // its own fate is known at once
			k.do(acts)
			k.unlock()
			if x.Kind == admission.Admit {
				return Permit{k, t}, Admitted, 0
			}
			return Permit{}, Rejected, k.told(x)
		}
	}
	mine := make(chan admission.Action, 1)
	k.waiting[t] = mine
	k.do(acts)
	k.unlock()
	select {
	case x := <-mine:
		return k.called(x)
	case <-ctx.Done():
	}
	k.mu.Lock()
	if _, waits := k.waiting[t]; waits {
		delete(k.waiting, t)
		k.do(k.door.Cancel(k.clock.Now(), t, k.acts[:0]))
		k.unlock()
		return Permit{}, ClientLeft, 0
	}
	k.unlock()
	return k.called(<-mine) // it was called in the same moment: its caller finds its client gone
}

func (k *Controller) called(x admission.Action) (Permit, Verdict, time.Duration) {
	switch {
	case x.Kind == admission.Reject:
		return Permit{}, Rejected, k.told(x)
	case x.Ticket == 0:
		return Permit{}, Admitted, 0
	}
	return Permit{k, x.Ticket}, Admitted, 0
}

func (k *Controller) told(x admission.Action) time.Duration {
	if !k.tells {
		return 0
	}
	return x.RetryAfter.Round(time.Millisecond)
}

// do carries out what the door said; the lock is held.
func (k *Controller) do(acts []admission.Action) {
	now := k.clock.Now()
	for _, x := range acts {
		if x.Kind == admission.Reject {
			k.refused(now, x)
		}
		if c := k.waiting[x.Ticket]; c != nil {
			delete(k.waiting, x.Ticket)
			c <- x
		}
	}
	k.acts = acts[:0]
	if k.refusals > 0 && now-k.last > quiet {
		k.lines = append(k.lines, line{"the door: refusals have ended", []any{"refused", k.refusals}})
		k.refusals = 0
	}
	if at, ok := k.door.Next(); ok && at != k.due {
		k.due = at
		k.timer.Reset(at - now)
	}
}

// refused notes a refusal for the log: the first of a time of refusals is written, and their end with how many there were.
func (k *Controller) refused(now time.Duration, x admission.Action) {
	k.refusals++
	k.last = now
	if k.refusals == 1 {
		v := k.door.Stats()
		k.lines = append(k.lines, line{"the door: refusals begin", []any{"reason", x.Reason.String(), "waiting", v.Queued,
			"in_hand", v.InFlight, "limit", v.Limit, "principals", v.Principals}})
	}
}

// unlock gives the door free, then writes what there was to say.
func (k *Controller) unlock() {
	lines := k.lines
	k.lines = nil
	k.mu.Unlock()
	for _, l := range lines {
		k.log.Info(l.text, l.attrs...)
	}
}

func (k *Controller) wake() {
	k.mu.Lock()
	defer k.unlock()
	if !k.open {
		k.due = 0
		k.do(k.door.Wake(k.clock.Now(), k.acts[:0]))
	}
}

// RetryHeader is the header by which clients mark repeats.
func (k *Controller) RetryHeader() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.marked
}

// Configure takes over other options, as door.Door.Configure tells.
func (k *Controller) Configure(o admission.Options) error {
	by, err := admission.ParsePrincipalSources(o.PrincipalSources)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.unlock()
	if k.open {
		return nil
	}
	k.by, k.marked = by, o.RetryHeader
	k.door.Configure(k.clock.Now(), o)
	k.do(k.door.Wake(k.clock.Now(), k.acts[:0])) // the limit may have risen
	return nil
}

// AdmitAll lets on everybody who waits and whoever comes from now on: there is no door any more.
func (k *Controller) AdmitAll() { k.end(admission.Action{Kind: admission.Admit}) }

// Close refuses everybody who waits, once: the process is about to be killed. Whoever comes from now on goes on, and has
// its answer there.
func (k *Controller) Close() { k.end(admission.Action{Kind: admission.Reject}) }

func (k *Controller) end(x admission.Action) {
	k.mu.Lock()
	defer k.unlock()
	k.open = true
	k.timer.Stop()
	for t, c := range k.waiting {
		delete(k.waiting, t)
		c <- x
	}
}

// Stats is what the door holds now.
func (k *Controller) Stats() admission.Stats {
	k.mu.Lock()
	defer k.unlock()
	return k.door.Stats()
}
