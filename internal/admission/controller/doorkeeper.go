// Package doorkeeper drives a door.Door: it has requests wait, wakes them, and leaves with their clients. It is safe for
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
	Passed  Verdict = iota // it goes on: Pass.Done must be called
	Refused                // it was not done, trying again is harmless
	Left                   // its client left while it waited
)

// Keeper is a door that can be waited at.
type Keeper struct {
	clock clock.Clock
	log   *slog.Logger
	tells bool

	mu       sync.Mutex
	door     *admission.Door
	by       admission.By
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
	Door    admission.Options // checked
	Classes []balancer.Class
	Seed    uint64
	Clock   clock.Clock
	Tells   bool         // refused clients may be told when to come back
	Log     *slog.Logger // nil: lines are dropped
}

// New returns a Keeper, or says which principals can't be told apart. Close ends it.
func New(o Options) (*Keeper, error) {
	by, err := admission.ParseBy(o.Door.By)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	k := &Keeper{clock: o.Clock, log: o.Log, tells: o.Tells, by: by, marked: o.Door.Marked, door: admission.New(o.Door, o.Classes, o.Seed),
		waiting: map[admission.Ticket]chan admission.Action{}}
	k.timer = time.AfterFunc(time.Hour, k.wake)
	k.timer.Stop()
	return k, nil
}

// Pass is a request that went on. Its zero value is one that no door counts.
type Pass struct {
	k *Keeper
	t admission.Ticket
}

// Done ends it. Only the first call counts.
func (p Pass) Done(how admission.Result) {
	if p.k == nil {
		return
	}
	p.k.mu.Lock()
	if !p.k.open {
		p.k.do(p.k.door.Done(p.k.clock.Now(), p.t, how, p.k.acts[:0]))
	}
	p.k.unlock()
}

// Ended is what a final answer means to the door.
func Ended(a engine.Answer) admission.Result {
	switch a.Kind {
	case engine.Rejected:
		return admission.Turned
	case engine.ClientGone, engine.Duplicate, engine.EngineClosed:
		return admission.Gone
	}
	return admission.Answered
}

// Enter brings a request to the door, and returns once it goes on, is refused, or ctx has ended. Group and Flow of a are
// filled in from who. RetryIn is a refused client's; 0: nothing is to be said.
func (k *Keeper) Enter(ctx context.Context, who admission.Who, a admission.Arrival) (p Pass, v Verdict, retryIn time.Duration) {
	k.mu.Lock()
	if k.open {
		k.unlock()
		return Pass{}, Passed, 0
	}
	a.Group, a.Flow = k.by.Names(who)
	t, acts := k.door.Arrive(k.clock.Now(), a, k.acts[:0])
	for _, x := range acts {
		if x.Ticket == t { // its own fate is known at once
			k.do(acts)
			k.unlock()
			if x.Kind == admission.Pass {
				return Pass{k, t}, Passed, 0
			}
			return Pass{}, Refused, k.told(x)
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
		k.do(k.door.Leave(k.clock.Now(), t, k.acts[:0]))
		k.unlock()
		return Pass{}, Left, 0
	}
	k.unlock()
	return k.called(<-mine) // it was called in the same moment: its caller finds its client gone
}

func (k *Keeper) called(x admission.Action) (Pass, Verdict, time.Duration) {
	switch {
	case x.Kind == admission.Refuse:
		return Pass{}, Refused, k.told(x)
	case x.Ticket == 0:
		return Pass{}, Passed, 0
	}
	return Pass{k, x.Ticket}, Passed, 0
}

func (k *Keeper) told(x admission.Action) time.Duration {
	if !k.tells {
		return 0
	}
	return x.RetryIn.Round(time.Millisecond)
}

// do carries out what the door said; the lock is held.
func (k *Keeper) do(acts []admission.Action) {
	now := k.clock.Now()
	for _, x := range acts {
		if x.Kind == admission.Refuse {
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
func (k *Keeper) refused(now time.Duration, x admission.Action) {
	k.refusals++
	k.last = now
	if k.refusals == 1 {
		v := k.door.View()
		k.lines = append(k.lines, line{"the door: refusals begin", []any{"reason", x.Reason.String(), "waiting", v.Waiting,
			"in_hand", v.InHand, "limit", v.Limit, "principals", v.Known}})
	}
}

// unlock gives the door free, then writes what there was to say.
func (k *Keeper) unlock() {
	lines := k.lines
	k.lines = nil
	k.mu.Unlock()
	for _, l := range lines {
		k.log.Info(l.text, l.attrs...)
	}
}

func (k *Keeper) wake() {
	k.mu.Lock()
	defer k.unlock()
	if !k.open {
		k.due = 0
		k.do(k.door.Wake(k.clock.Now(), k.acts[:0]))
	}
}

// RepeatHeader is the header by which clients mark repeats.
func (k *Keeper) RepeatHeader() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.marked
}

// Configure takes over other options, as door.Door.Configure tells.
func (k *Keeper) Configure(o admission.Options) error {
	by, err := admission.ParseBy(o.By)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.unlock()
	if k.open {
		return nil
	}
	k.by, k.marked = by, o.Marked
	k.door.Configure(k.clock.Now(), o)
	k.do(k.door.Wake(k.clock.Now(), k.acts[:0])) // the limit may have risen
	return nil
}

// Open lets on everybody who waits and whoever comes from now on: there is no door any more.
func (k *Keeper) Open() { k.end(admission.Action{Kind: admission.Pass}) }

// Close refuses everybody who waits, once: the process is about to be killed. Whoever comes from now on goes on, and has
// its answer there.
func (k *Keeper) Close() { k.end(admission.Action{Kind: admission.Refuse}) }

func (k *Keeper) end(x admission.Action) {
	k.mu.Lock()
	defer k.unlock()
	k.open = true
	k.timer.Stop()
	for t, c := range k.waiting {
		delete(k.waiting, t)
		c <- x
	}
}

// View is what the door holds now.
func (k *Keeper) View() admission.View {
	k.mu.Lock()
	defer k.unlock()
	return k.door.View()
}
