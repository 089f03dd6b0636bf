// Package repeatkeeper drives a repeats.Store: it runs what is to be sent, has repeats wait for it, and hands out ends. It is safe
// for concurrent use. A request runs apart from its clients: that the first of them leaves does not end what others wait for,
// and what it brought is kept for those who come again.
package repeatkeeper

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/repeats"
)

// Sends is where a running request tells of its sends.
type Sends interface {
	Sent(x repeats.Send)   // before its first byte goes out
	Unsent(x repeats.Send) // it is proved not to have run
}

// Ended is how a request that ran ended, as its clients are to be told.
type Ended struct {
	Verdict repeats.Verdict // Replay, Refuse or Fail
	Answer  *repeats.Answer // of Replay
	RetryIn time.Duration   // of Refuse
}

// Result is what a client is told. Left: it has gone meanwhile.
type Result struct {
	Ended
	First bool // it was run for this client
	Left  bool
}

// Options are a Keeper's parameters.
type Options struct {
	Repeats repeats.Options // checked
	Window  func(class string) time.Duration
	Clock   clock.Clock
	Log     *slog.Logger
}

// Keeper holds a Store, and an entry for each request that runs.
type Keeper struct {
	o Options

	mu      sync.Mutex
	store   *repeats.Store
	flights map[repeats.ID]*flight
	closed  bool
	refused int
	said    time.Duration
	running sync.WaitGroup
}

type flight struct {
	done chan struct{}
	end  Ended
}

// New returns a Keeper. Close ends it.
func New(o Options) *Keeper {
	return &Keeper{o: o, store: repeats.New(o.Repeats, o.Window), flights: map[repeats.ID]*flight{}}
}

// Configure takes other bounds over. What is held stays, also where it is more than they allow.
func (k *Keeper) Configure(o repeats.Options, window func(class string) time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.Configure(o, window)
}

// saidEvery is how often the log speaks of refusals.
const saidEvery = 10 * time.Second

// Do gives a client of a key its end, at the latest when ctx ends: at a deadline it is told Fail, else it has left. run is called
// where the request is to be sent, on a goroutine of its own, and must end by itself.
func (k *Keeper) Do(ctx context.Context, id repeats.ID, print repeats.Print, run func(prior []repeats.Send, s Sends) Ended) Result {
	now := k.o.Clock.Now()
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return Result{Ended: Ended{Verdict: repeats.Refuse}}
	}
	k.store.Expire(now)
	d := k.store.Arrive(now, id, print)
	var f *flight
	switch d.Verdict {
	case repeats.Run:
		f = &flight{done: make(chan struct{})}
		k.flights[id] = f
		k.running.Go(func() { k.run(id, d.Prior, f, run) })
	case repeats.Wait:
		f = k.flights[id]
	case repeats.Refuse:
		k.refusal(now)
	}
	k.mu.Unlock()
	if f == nil {
		return Result{Ended: Ended{Verdict: d.Verdict, Answer: d.Answer, RetryIn: d.RetryIn}}
	}
	select {
	case <-f.done:
		return Result{Ended: f.end, First: d.Verdict == repeats.Run}
	case <-ctx.Done():
	}
	if d.Verdict == repeats.Wait {
		k.mu.Lock()
		if k.flights[id] == f { // it still runs
			k.store.Leave(id)
		}
		k.mu.Unlock()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Result{Ended: Ended{Verdict: repeats.Fail}}
	}
	return Result{Left: true}
}

// refusal logs that keys are refused, now and then.
func (k *Keeper) refusal(now time.Duration) {
	if k.refused++; k.refused > 1 && now-k.said < saidEvery {
		return
	}
	k.o.Log.Warn("repeats: keyed requests are refused", "refused", k.refused, "keys", k.store.Len(), "bytes", k.store.Bytes(), "running", k.store.Running())
	k.refused, k.said = 1, now
}

func (k *Keeper) run(id repeats.ID, prior []repeats.Send, f *flight, run func([]repeats.Send, Sends) Ended) {
	end := run(prior, sends{k, id})
	kind := repeats.Uncertain
	switch end.Verdict {
	case repeats.Replay:
		kind = repeats.WasAnswered
	case repeats.Refuse:
		kind = repeats.NeverRan
	}
	k.mu.Lock()
	k.store.End(k.o.Clock.Now(), id, kind, end.Answer)
	delete(k.flights, id)
	k.mu.Unlock()
	f.end = end
	close(f.done)
}

type sends struct {
	k  *Keeper
	id repeats.ID
}

func (s sends) Sent(x repeats.Send) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.k.store.Sent(s.id, x)
}

func (s sends) Unsent(x repeats.Send) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	s.k.store.Unsent(s.id, x)
}

// Held is how many keys are known, what they take, and how many requests run.
func (k *Keeper) Held() (keys, bytes, running int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Len(), k.store.Bytes(), k.store.Running()
}

// Close runs nothing more, and waits for what runs: its engines are closed before.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.running.Wait()
}
