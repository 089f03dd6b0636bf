// Package repeatkeeper drives a repeats.Store: it runs what is to be sent, has repeats wait for it, and hands out ends. It is safe
// for concurrent use. A request runs on the goroutine of the client that came first, and goes on when that one leaves: others may
// wait for its end, and what it brought is kept for those who come again. Once all have left nothing more of it is begun.
package executor

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/etcdstore"
)

// Sends is where a running request tells of its sends.
type Sends interface {
	Sent(x idempotency.Send)   // before its first byte goes out
	Unsent(x idempotency.Send) // it is proved not to have run
}

// Ended is how a request that ran ended, as its clients are to be told.
type Ended struct {
	Verdict idempotency.Verdict // Replay, Refuse or Fail
	Answer  *idempotency.Answer // of Replay
	RetryIn time.Duration       // of Refuse
}

// Result is what a client is told. Left: it has gone meanwhile.
type Result struct {
	Ended
	First bool // it was run for this client
	Left  bool
}

// Options are a Keeper's parameters.
type Options struct {
	Repeats idempotency.Options // checked
	Window  func(class string) time.Duration
	Clock   clock.Clock
	Log     *slog.Logger
	Apart   bool    // what runs has a goroutine of its own, for clients that may leave at any time
	Journal Journal // nil: nothing lasts longer than the process
	Shared  Shared  // nil: no other process knows its keys
	GoOn    bool    // new keys run while Shared can't be asked
	// Step is called as a request gets to each of Steps, for tests that end the process there. Absent: nothing is.
	Step func(step string)
}

// Steps are the points of a request's way between which what is on record changes.
var Steps = []string{"arrived", "recorded", "sent", "answered", "told", "kept"}

// Journal is where records last. Put returns when they are on the disk.
type Journal interface {
	// Load calls do for each record, with the time up to which the last process's went on.
	Load(do func(at time.Duration, r idempotency.Record) error) error
	Put(r *idempotency.Record, gone []idempotency.ID, at time.Duration) error
	Close() error
}

// Shared is a store of keys that other processes have too: internal/idempotency/etcdstore's. Times of sends are ages.
type Shared interface {
	Claim(ctx context.Context, m idempotency.Meeting, same func()) (etcdstore.Claim, error)
	Look(ctx context.Context, m idempotency.Meeting) (idempotency.Decision, error)
	Settle(c etcdstore.Claim, id idempotency.ID, r *idempotency.Record)
	Abort()
	Close()
}

// Keeper holds a Store, and an entry for each request that runs.
type Keeper struct {
	o Options

	mu      sync.Mutex
	store   *idempotency.Store
	window  func(class string) time.Duration
	flights map[idempotency.ID]*flight
	closed  bool
	refused int
	said    time.Duration
	offset  time.Duration    // what this process's time began at, beyond the clock's: an earlier process's went on up to there
	gone    []idempotency.ID // forgotten, and still in the journal
	running sync.WaitGroup
}

type flight struct {
	wanted  context.Context // ends once all have left that wait for its end
	give    context.CancelFunc
	waiting int // under mu

	done   chan struct{}
	same   chan struct{} // where keys are shared: closed once it is known that the key is this request's elsewhere too, or with done
	end    Ended
	theirs bool // its end is another process's
}

// New returns a Keeper, with what its journal holds. Close ends it, and the journal.
func New(o Options) (*Keeper, error) {
	k := &Keeper{o: o, store: idempotency.New(o.Repeats, o.Window), flights: map[idempotency.ID]*flight{}, window: o.Window}
	if o.Journal == nil {
		return k, nil
	}
	begun := o.Clock.Now()
	err := o.Journal.Load(func(at time.Duration, r idempotency.Record) error {
		k.offset = at - begun
		return k.store.Load(at, r)
	})
	if err != nil {
		_ = o.Journal.Close() // the error at hand says more
		return nil, err
	}
	return k, nil
}

// now is the time of all processes that wrote the journal, one after another.
func (k *Keeper) now() time.Duration { return k.offset + k.o.Clock.Now() }

// Configure takes other bounds over. What is held stays, also where it is more than they allow.
func (k *Keeper) Configure(o idempotency.Options, window func(class string) time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.Configure(o, window)
	k.window = window
}

// saidEvery is how often the log speaks of refusals.
const saidEvery = 10 * time.Second

// Do gives a client of a key its end. Where the request is to be sent, run is called, which must end by itself and not with this
// client: others may wait for it, and wanted ends once none does. One that waits is told Fail at ctx's deadline, and else has left when ctx ends.
func (k *Keeper) Do(ctx context.Context, id idempotency.ID, print idempotency.Print, run func(wanted context.Context, prior []idempotency.Send, s Sends) Ended) Result {
	for {
		r, again := k.do(ctx, id, print, run)
		if again == nil {
			return r
		}
		select { // another request has the key here, and perhaps not elsewhere
		case <-again:
		case <-ctx.Done():
			return Result{Ended: Ended{Verdict: idempotency.Conflict}}
		}
	}
}

// do is Do; where it returns a channel the key is not decided on before that is closed.
func (k *Keeper) do(ctx context.Context, id idempotency.ID, print idempotency.Print, run func(wanted context.Context, prior []idempotency.Send, s Sends) Ended) (Result, <-chan struct{}) {
	now := k.now()
	k.mu.Lock()
	window := k.window
	if k.closed {
		k.mu.Unlock()
		return Result{Ended: Ended{Verdict: idempotency.Refuse}}, nil
	}
	if gone := k.store.Expire(now); k.o.Journal != nil {
		k.gone = append(k.gone, gone...) // with the next record
	}
	d := k.store.Arrive(now, id, print)
	var f *flight
	switch d.Verdict {
	case idempotency.Run:
		f = &flight{done: make(chan struct{}), waiting: 1}
		f.wanted, f.give = context.WithCancel(context.Background())
		if k.o.Shared != nil {
			f.same = make(chan struct{})
		}
		k.flights[id] = f
		k.running.Add(1)
	case idempotency.Wait:
		f = k.flights[id]
		f.waiting++
	case idempotency.Refuse:
		k.refusal(now)
	case idempotency.Conflict:
		if of := k.flights[id]; of != nil && k.o.Shared != nil {
			select {
			case <-of.same:
			default:
				k.mu.Unlock()
				return Result{}, of.same
			}
		}
	}
	k.mu.Unlock()
	meeting := idempotency.Meeting{ID: id, Print: print, Prior: d.Prior, Window: window(id.Class)}
	switch {
	case d.Verdict == idempotency.Fail && k.o.Shared != nil: // another process may have had the answer since
		if of, err := k.o.Shared.Look(ctx, meeting); err == nil {
			d = of
		}
		return Result{Ended: Ended{Verdict: d.Verdict, Answer: d.Answer}}, nil
	case f == nil:
		return Result{Ended: Ended{Verdict: d.Verdict, Answer: d.Answer, RetryIn: d.RetryIn}}, nil
	case d.Verdict == idempotency.Run && k.o.Apart:
		go func() {
			defer k.running.Done()
			k.run(ctx, meeting, f, run)
		}()
	case d.Verdict == idempotency.Run:
		defer k.running.Done()
		defer context.AfterFunc(ctx, func() { k.leave(f) })()
		k.run(ctx, meeting, f, run)
		return Result{Ended: f.end, First: !f.theirs}, nil
	}
	select {
	case <-f.done:
		return Result{Ended: f.end, First: d.Verdict == idempotency.Run && !f.theirs}, nil
	case <-ctx.Done():
	}
	k.leave(f)
	if d.Verdict == idempotency.Wait {
		k.mu.Lock()
		if k.flights[id] == f { // it still runs
			k.store.Leave(id)
		}
		k.mu.Unlock()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Result{Ended: Ended{Verdict: idempotency.Fail}}, nil
	}
	return Result{Left: true}, nil
}

// leave says that a client waits no longer.
func (k *Keeper) leave(f *flight) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.waiting--; f.waiting == 0 {
		f.give()
	}
}

// refusal logs that keys are refused, now and then.
func (k *Keeper) refusal(now time.Duration) {
	if k.refused++; k.refused > 1 && now-k.said < saidEvery {
		return
	}
	k.o.Log.Warn("repeats: keyed requests are refused", "refused", k.refused, "keys", k.store.Len(), "bytes", k.store.Bytes(), "running", k.store.Running())
	k.refused, k.said = 1, now
}

// write puts a key's record into the journal, as it is now.
func (k *Keeper) write(id idempotency.ID) error {
	if k.o.Journal == nil {
		return nil
	}
	now := k.now()
	k.mu.Lock()
	r, ok := k.store.Record(now, id)
	gone := k.gone
	k.gone = nil
	if !ok {
		gone = append(gone, id)
	}
	k.mu.Unlock()
	var record *idempotency.Record
	if ok {
		record = &r
	}
	err := k.o.Journal.Put(record, gone, now)
	if err != nil {
		k.o.Log.Error("repeats: the journal can't be written", "reason", err)
		k.mu.Lock()
		k.gone = append(k.gone, gone...)
		k.mu.Unlock()
	}
	return err
}

// run sends a request, once it is on record, and claimed where processes share their keys. Its end is told before it is on record:
// should the process end between the two, the record says that it ran, and a repeat is not sent.
func (k *Keeper) run(ctx context.Context, m idempotency.Meeting, f *flight, run func(context.Context, []idempotency.Send, Sends) Ended) {
	id := m.ID
	var end Ended
	var claim etcdstore.Claim
	same := func() {}
	if k.o.Shared != nil {
		same = sync.OnceFunc(func() { close(f.same) })
	}
	k.step(0)
	if err := k.write(id); err != nil && k.o.Repeats.DiskError != GoOn {
		end = Ended{Verdict: idempotency.Refuse, RetryIn: storeAgain}
	} else if claim, err = k.claimed(ctx, m, same); err != nil && !k.o.GoOn {
		end = Ended{Verdict: idempotency.Refuse, RetryIn: storeAgain}
	} else if claim.Verdict != idempotency.Run {
		f.theirs = true
		end = Ended{Verdict: claim.Verdict, Answer: claim.Answer}
	} else {
		same()
		k.step(1)
		prior := claim.Prior
		for i := range prior {
			prior[i].Sent -= k.offset
		}
		end = run(f.wanted, prior, sends{k, id})
	}
	k.step(3)
	kind := idempotency.Uncertain
	switch {
	case end.Verdict == idempotency.Replay:
		kind = idempotency.WasAnswered
	case end.Verdict == idempotency.Refuse || f.theirs:
		kind = idempotency.NeverRan
	}
	now := k.now()
	k.mu.Lock()
	k.store.End(now, id, kind, end.Answer)
	if k.o.Shared != nil && !f.theirs {
		k.settle(now, claim, id)
	}
	delete(k.flights, id)
	k.mu.Unlock()
	f.end = end
	f.give()
	close(f.done)
	same()
	k.step(4)
	if k.o.Journal == nil {
		return
	}
	k.running.Add(1)
	go func() { // its client need not wait for it
		defer k.running.Done()
		_ = k.write(id) // it has been logged; the record that stands is the stricter one
		k.step(5)
	}()
}

// claimed is claim where processes share their keys.
func (k *Keeper) claimed(ctx context.Context, m idempotency.Meeting, same func()) (etcdstore.Claim, error) {
	if k.o.Shared == nil {
		return etcdstore.Claim{Decision: idempotency.Decision{Prior: m.Prior}}, nil
	}
	return k.claim(ctx, m, same)
}

// claim claims a request where processes share their keys; it goes on when its client leaves. Prior times are the Store's again.
func (k *Keeper) claim(ctx context.Context, m idempotency.Meeting, same func()) (etcdstore.Claim, error) {
	known := etcdstore.Claim{Decision: idempotency.Decision{Prior: m.Prior}}
	stays := context.WithoutCancel(ctx)
	if at, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		stays, cancel = context.WithDeadline(stays, at)
		defer cancel()
	}
	begun := k.now()
	m.Prior = aged(begun, m.Prior)
	c, err := k.o.Shared.Claim(stays, m, same)
	if err != nil {
		return known, err
	}
	now := k.now()
	c.Prior = aged(now, c.Prior)
	k.mu.Lock()
	k.store.Adopt(m.ID, c.Prior)
	k.mu.Unlock()
	return c, nil
}

// settle tells the processes that share the keys of an end.
func (k *Keeper) settle(now time.Duration, c etcdstore.Claim, id idempotency.ID) {
	r, ok := k.store.Record(now, id)
	if !ok {
		k.o.Shared.Settle(c, id, nil)
		return
	}
	r.Sends = aged(now, r.Sends)
	k.o.Shared.Settle(c, id, &r)
}

// aged turns times into ages at now, and ages into times.
func aged(now time.Duration, sends []idempotency.Send) []idempotency.Send {
	of := append([]idempotency.Send(nil), sends...)
	for i := range of {
		of[i].Sent = now - of[i].Sent
	}
	return of
}

func (k *Keeper) step(i int) {
	if k.o.Step != nil {
		k.o.Step(Steps[i])
	}
}

// GoOn is Options.DiskError where keyed requests go on without a record.
const GoOn = "go on"

// storeAgain is when to come back where a record can't be written.
const storeAgain = time.Second

type sends struct {
	k  *Keeper
	id idempotency.ID
}

func (s sends) Sent(x idempotency.Send) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	x.Sent += s.k.offset
	s.k.store.Sent(s.id, x)
	s.k.step(2)
}

func (s sends) Unsent(x idempotency.Send) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	x.Sent += s.k.offset
	s.k.store.Unsent(s.id, x)
}

// Held is how many keys are known, what they take, and how many requests run.
func (k *Keeper) Held() (keys, bytes, running int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Len(), k.store.Bytes(), k.store.Running()
}

// Abort ends what waits for other processes: the process is about to be killed.
func (k *Keeper) Abort() {
	if k.o.Shared != nil {
		k.o.Shared.Abort()
	}
}

// Close runs nothing more, and waits for what runs: its engines are closed before.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.running.Wait()
	if k.o.Shared != nil {
		k.o.Shared.Close()
	}
	if k.o.Journal != nil {
		if err := k.o.Journal.Close(); err != nil {
			k.o.Log.Error("repeats: closing the journal", "reason", err)
		}
	}
}
