// Package executor drives a repeats.Store: it runs what is to be sent, has repeats wait for it, and hands out ends. It is safe
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

// AttemptRecorder is where a running request tells of its sends.
type AttemptRecorder interface {
	AttemptStarted(x idempotency.Attempt) // before its first byte goes out
	AttemptNotSent(x idempotency.Attempt) // it is proved not to have run
}

// Outcome is how a request that ran ended, as its clients are to be told.
type Outcome struct {
	Verdict    idempotency.Verdict // Replay, Refuse or Fail
	Answer     *idempotency.Answer // of Replay
	RetryAfter time.Duration       // of Refuse
}

// Result is what a client is told. Left: it has gone meanwhile.
type Result struct {
	Outcome
	Executed   bool // it was run for this client
	ClientLeft bool
}

// Options are a Keeper's parameters.
type Options struct {
	Limits               idempotency.Options // checked
	DedupWindow          func(class string) time.Duration
	Clock                clock.Clock
	Log                  *slog.Logger
	OwnGoroutine         bool        // what runs has a goroutine of its own, for clients that may leave at any time
	Records              RecordStore // nil: nothing lasts longer than the process
	Shared               SharedStore // nil: no other process knows its keys
	ProceedOnSharedError bool        // new keys run while Shared can't be asked
	// Step is called as a request gets to each of Steps, for tests that end the process there. Absent: nothing is.
	Step func(step string)
}

// Steps are the points of a request's way between which what is on record changes.
var Steps = []string{"arrived", "recorded", "sent", "answered", "told", "kept"}

// RecordStore is where records last. Put returns when they are on the disk.
type RecordStore interface {
	// Load calls do for each record, with the time up to which the last process's went on.
	Load(do func(at time.Duration, r idempotency.Record) error) error
	Put(r *idempotency.Record, gone []idempotency.ID, at time.Duration) error
	Close() error
}

// SharedStore is a store of keys that other processes have too: internal/idempotency/etcdstore's. Times of sends are ages.
type SharedStore interface {
	Claim(ctx context.Context, m idempotency.SharedRequest, same func()) (etcdstore.Claim, error)
	Lookup(ctx context.Context, m idempotency.SharedRequest) (idempotency.Decision, error)
	Settle(c etcdstore.Claim, id idempotency.ID, r *idempotency.Record)
	Abort()
	Close()
}

// Executor holds a Store, and an entry for each request that runs.
type Executor struct {
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
	end    Outcome
	theirs bool // its end is another process's
}

// New returns a Keeper, with what its journal holds. Close ends it, and the journal.
func New(o Options) (*Executor, error) {
	k := &Executor{o: o, store: idempotency.New(o.Limits, o.DedupWindow), flights: map[idempotency.ID]*flight{}, window: o.DedupWindow}
	if o.Records == nil {
		return k, nil
	}
	begun := o.Clock.Now()
	err := o.Records.Load(func(at time.Duration, r idempotency.Record) error {
		k.offset = at - begun
		return k.store.Load(at, r)
	})
	if err != nil {
		_ = o.Records.Close() // the error at hand says more
		return nil, err
	}
	return k, nil
}

// now is the time of all processes that wrote the journal, one after another.
func (k *Executor) now() time.Duration { return k.offset + k.o.Clock.Now() }

// Configure takes other bounds over. What is held stays, also where it is more than they allow.
func (k *Executor) Configure(o idempotency.Options, window func(class string) time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.Configure(o, window)
	k.window = window
}

// saidEvery is how often the log speaks of refusals.
const saidEvery = 10 * time.Second

// Do gives a client of a key its end. Where the request is to be sent, run is called, which must end by itself and not with this
// client: others may wait for it, and wanted ends once none does. One that waits is told Fail at ctx's deadline, and else has left when ctx ends.
func (k *Executor) Do(ctx context.Context, id idempotency.ID, print idempotency.Fingerprint, run func(wanted context.Context, prior []idempotency.Attempt, s AttemptRecorder) Outcome) Result {
	for {
		r, again := k.do(ctx, id, print, run)
		if again == nil {
			return r
		}
		select { // another request has the key here, and perhaps not elsewhere
		case <-again:
		case <-ctx.Done():
			return Result{Outcome: Outcome{Verdict: idempotency.Conflict}}
		}
	}
}

// do is Do; where it returns a channel the key is not decided on before that is closed.
func (k *Executor) do(ctx context.Context, id idempotency.ID, print idempotency.Fingerprint, run func(wanted context.Context, prior []idempotency.Attempt, s AttemptRecorder) Outcome) (Result, <-chan struct{}) {
	now := k.now()
	k.mu.Lock()
	window := k.window
	if k.closed {
		k.mu.Unlock()
		return Result{Outcome: Outcome{Verdict: idempotency.Reject}}, nil
	}
	if gone := k.store.Expire(now); k.o.Records != nil {
		k.gone = append(k.gone, gone...) // with the next record
	}
	d := k.store.Arrive(now, id, print)
	var f *flight
	switch d.Verdict {
	case idempotency.Execute:
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
	case idempotency.Reject:
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
	meeting := idempotency.SharedRequest{ID: id, Fingerprint: print, EarlierAttempts: d.EarlierAttempts, DedupWindow: window(id.Class)}
	switch {
	case d.Verdict == idempotency.Fail && k.o.Shared != nil: // another process may have had the answer since
		if of, err := k.o.Shared.Lookup(ctx, meeting); err == nil {
			d = of
		}
		return Result{Outcome: Outcome{Verdict: d.Verdict, Answer: d.Answer}}, nil
	case f == nil:
		return Result{Outcome: Outcome{Verdict: d.Verdict, Answer: d.Answer, RetryAfter: d.RetryAfter}}, nil
	case d.Verdict == idempotency.Execute && k.o.OwnGoroutine:
		go func() {
			defer k.running.Done()
			k.run(ctx, meeting, f, run)
		}()
	case d.Verdict == idempotency.Execute:
		defer k.running.Done()
		defer context.AfterFunc(ctx, func() { k.leave(f) })()
		k.run(ctx, meeting, f, run)
		return Result{Outcome: f.end, Executed: !f.theirs}, nil
	}
	select {
	case <-f.done:
		return Result{Outcome: f.end, Executed: d.Verdict == idempotency.Execute && !f.theirs}, nil
	case <-ctx.Done():
	}
	k.leave(f)
	if d.Verdict == idempotency.Wait {
		k.mu.Lock()
		if k.flights[id] == f { // it still runs
			k.store.StopWaiting(id)
		}
		k.mu.Unlock()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Result{Outcome: Outcome{Verdict: idempotency.Fail}}, nil
	}
	return Result{ClientLeft: true}, nil
}

// leave says that a client waits no longer.
func (k *Executor) leave(f *flight) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.waiting--; f.waiting == 0 {
		f.give()
	}
}

// refusal logs that keys are refused, now and then.
func (k *Executor) refusal(now time.Duration) {
	if k.refused++; k.refused > 1 && now-k.said < saidEvery {
		return
	}
	k.o.Log.Warn("repeats: keyed requests are refused", "refused", k.refused, "keys", k.store.Len(), "bytes", k.store.Bytes(), "running", k.store.Running())
	k.refused, k.said = 1, now
}

// write puts a key's record into the journal, as it is now.
func (k *Executor) write(id idempotency.ID) error {
	if k.o.Records == nil {
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
	err := k.o.Records.Put(record, gone, now)
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
func (k *Executor) run(ctx context.Context, m idempotency.SharedRequest, f *flight, run func(context.Context, []idempotency.Attempt, AttemptRecorder) Outcome) {
	id := m.ID
	var end Outcome
	var claim etcdstore.Claim
	same := func() {}
	if k.o.Shared != nil {
		same = sync.OnceFunc(func() { close(f.same) })
	}
	k.step(0)
	if err := k.write(id); err != nil && k.o.Limits.DiskError != ProceedOnError {
		end = Outcome{Verdict: idempotency.Reject, RetryAfter: storeAgain}
	} else if claim, err = k.claimed(ctx, m, same); err != nil && !k.o.ProceedOnSharedError {
		end = Outcome{Verdict: idempotency.Reject, RetryAfter: storeAgain}
	} else if claim.Verdict != idempotency.Execute {
		f.theirs = true
		end = Outcome{Verdict: claim.Verdict, Answer: claim.Answer}
	} else {
		same()
		k.step(1)
		prior := claim.EarlierAttempts
		for i := range prior {
			prior[i].SentAt -= k.offset
		}
		end = run(f.wanted, prior, sends{k, id})
	}
	k.step(3)
	kind := idempotency.MayHaveRun
	switch {
	case end.Verdict == idempotency.Replay:
		kind = idempotency.Answered
	case end.Verdict == idempotency.Reject || f.theirs:
		kind = idempotency.NotExecuted
	}
	now := k.now()
	k.mu.Lock()
	k.store.Finish(now, id, kind, end.Answer)
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
	if k.o.Records == nil {
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
func (k *Executor) claimed(ctx context.Context, m idempotency.SharedRequest, same func()) (etcdstore.Claim, error) {
	if k.o.Shared == nil {
		return etcdstore.Claim{Decision: idempotency.Decision{EarlierAttempts: m.EarlierAttempts}}, nil
	}
	return k.claim(ctx, m, same)
}

// claim claims a request where processes share their keys; it goes on when its client leaves. Prior times are the Store's again.
func (k *Executor) claim(ctx context.Context, m idempotency.SharedRequest, same func()) (etcdstore.Claim, error) {
	known := etcdstore.Claim{Decision: idempotency.Decision{EarlierAttempts: m.EarlierAttempts}}
	stays := context.WithoutCancel(ctx)
	if at, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		stays, cancel = context.WithDeadline(stays, at)
		defer cancel()
	}
	begun := k.now()
	m.EarlierAttempts = aged(begun, m.EarlierAttempts)
	c, err := k.o.Shared.Claim(stays, m, same)
	if err != nil {
		return known, err
	}
	now := k.now()
	c.EarlierAttempts = aged(now, c.EarlierAttempts)
	k.mu.Lock()
	k.store.AdoptAttempts(m.ID, c.EarlierAttempts)
	k.mu.Unlock()
	return c, nil
}

// settle tells the processes that share the keys of an end.
func (k *Executor) settle(now time.Duration, c etcdstore.Claim, id idempotency.ID) {
	r, ok := k.store.Record(now, id)
	if !ok {
		k.o.Shared.Settle(c, id, nil)
		return
	}
	r.Attempts = aged(now, r.Attempts)
	k.o.Shared.Settle(c, id, &r)
}

// aged turns times into ages at now, and ages into times.
func aged(now time.Duration, sends []idempotency.Attempt) []idempotency.Attempt {
	of := append([]idempotency.Attempt(nil), sends...)
	for i := range of {
		of[i].SentAt = now - of[i].SentAt
	}
	return of
}

func (k *Executor) step(i int) {
	if k.o.Step != nil {
		k.o.Step(Steps[i])
	}
}

// ProceedOnError is Options.DiskError where keyed requests go on without a record.
const ProceedOnError = "go on"

// storeAgain is when to come back where a record can't be written.
const storeAgain = time.Second

type sends struct {
	k  *Executor
	id idempotency.ID
}

func (s sends) AttemptStarted(x idempotency.Attempt) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	x.SentAt += s.k.offset
	s.k.store.AttemptStarted(s.id, x)
	s.k.step(2)
}

func (s sends) AttemptNotSent(x idempotency.Attempt) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	x.SentAt += s.k.offset
	s.k.store.AttemptNotSent(s.id, x)
}

// Stats is how many keys are known, what they take, and how many requests run.
func (k *Executor) Stats() (keys, bytes, running int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Len(), k.store.Bytes(), k.store.Running()
}

// Abort ends what waits for other processes: the process is about to be killed.
func (k *Executor) Abort() {
	if k.o.Shared != nil {
		k.o.Shared.Abort()
	}
}

// Close runs nothing more, and waits for what runs: its engines are closed before.
func (k *Executor) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.running.Wait()
	if k.o.Shared != nil {
		k.o.Shared.Close()
	}
	if k.o.Records != nil {
		if err := k.o.Records.Close(); err != nil {
			k.o.Log.Error("repeats: closing the journal", "reason", err)
		}
	}
}
