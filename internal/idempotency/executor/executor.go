package executor

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/clock"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/etcdstore"
)

// AttemptRecorder receives the attempts of an execution.
type AttemptRecorder interface {
	AttemptStarted(attempt idempotency.Attempt)     // called before the attempt's first byte is sent
	AttemptNotExecuted(attempt idempotency.Attempt) // called when the attempt is proved not to have been executed
}

// RunFunc executes a request and returns its outcome. It must not stop when the client that started it disconnects, since other clients may
// wait for the outcome, but it must finish by itself. The parameter wanted is canceled when no client waits any more, and earlier contains
// the attempts that may have been executed and against which upstreams must deduplicate the request. RunFunc must report its own attempts
// to recorder.
type RunFunc func(wanted context.Context, earlier []idempotency.Attempt, recorder AttemptRecorder) Outcome

// Outcome is the outcome of an execution for its clients.
type Outcome struct {
	Verdict    idempotency.Verdict // Replay, Reject or Fail if a RunFunc returned the Outcome
	Answer     *idempotency.Answer // set for Replay
	RetryAfter time.Duration       // set for Reject
}

// Result is the result of a request for one client.
type Result struct {
	Outcome
	Executed   bool // the request was executed for this client
	ClientLeft bool // the client's context was canceled before the outcome was known; Outcome is empty
}

// Options are an Executor's parameters.
type Options struct {
	Limits               idempotency.Options // must have passed Check
	DedupWindow          func(class string) time.Duration
	Clock                clock.Clock
	Log                  *slog.Logger
	OwnGoroutine         bool        // executions have their own goroutines, so that Do can return when its client disconnects
	Records              RecordStore // if nil, records do not outlive the process
	Shared               SharedStore // if nil, keys are not shared with other processes
	ProceedOnSharedError bool        // execute new keys without a claim while Shared is not available
	// Step, if not nil, is called when an execution reaches one of Steps. Tests use it to end the process at that step.
	Step func(step string)
}

// The steps of an execution. The package comment explains the effect of a crash after each step.
const (
	StepArrived  = "arrived"
	StepRecorded = "recorded"
	StepSent     = "sent"
	StepAnswered = "answered"
	StepNotified = "notified"
	StepStored   = "stored"
)

// Steps are the steps of an execution in order.
var Steps = []string{StepArrived, StepRecorded, StepSent, StepAnswered, StepNotified, StepStored}

// RecordStore stores records durably.
type RecordStore interface {
	// Clock returns the last known time of the previous process's clock, also if there are no records; 0 if there was no process.
	Clock() (now time.Duration, err error)
	// Load calls do for each record. The argument now is the last known time of the previous process's clock.
	Load(do func(now time.Duration, record idempotency.Record) error) error
	// Put writes record, if it is not nil, and deletes the expired records. It returns when both changes are durable.
	Put(record *idempotency.Record, expired []idempotency.ID, now time.Duration) error
	Close() error
}

// SharedStore is a store of keys that several processes share, implemented by etcdstore.Store. In the arguments and results of its methods,
// SentAt of each attempt is the attempt's age.
type SharedStore interface {
	Claim(ctx context.Context, request idempotency.SharedRequest, confirmKey func()) (etcdstore.Claim, error)
	Lookup(ctx context.Context, request idempotency.SharedRequest) (idempotency.Decision, error)
	Settle(claim etcdstore.Claim, id idempotency.ID, record *idempotency.Record)
	Abort()
	Close()
}

// Executor runs the requests with idempotency keys of one service. It is safe for concurrent use.
type Executor struct {
	options     Options
	clockOffset time.Duration // difference between the durable clock (see now) and Options.Clock
	running     sync.WaitGroup
	peer        atomic.Pointer[peerState] // see SetPeer

	mu          sync.Mutex
	store       *idempotency.Store
	dedupWindow func(class string) time.Duration
	executions  map[idempotency.ID]*execution
	closed      bool
	expired     []idempotency.ID // keys whose records the next Put deletes
	rejections  rejectionLog
}

// New returns an Executor that knows the keys of Options.Records. Close ends it and closes the stores.
func New(options Options) (*Executor, error) {
	e := &Executor{
		options:     options,
		store:       idempotency.New(options.Limits, options.DedupWindow),
		executions:  map[idempotency.ID]*execution{},
		dedupWindow: options.DedupWindow,
	}
	if options.Records == nil {
		return e, nil
	}
	stored, err := options.Records.Clock()
	if err == nil {
		e.clockOffset = stored - options.Clock.Now()
		err = options.Records.Load(e.store.Load)
	}
	if err != nil {
		_ = options.Records.Close() // the error of Load is more relevant than an error of Close
		return nil, err
	}
	return e, nil
}

// now returns the time on the durable clock, which continues in the next process and stops while no process runs. The Store and its records
// use this clock.
func (e *Executor) now() time.Duration { return e.clockOffset + e.options.Clock.Now() }

// Configure replaces the limits and deduplication windows. Known keys stay, even if they exceed the new limits.
func (e *Executor) Configure(limits idempotency.Options, dedupWindow func(class string) time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Configure(limits, dedupWindow)
	e.dedupWindow = dedupWindow
}

// Do returns the outcome of a request with an idempotency key. It executes the request with run, waits for a running request with the same
// key, or returns the stored answer. If the deadline of ctx passes while Do waits for an execution, Do returns the verdict Fail. If ctx is
// canceled, Do returns ClientLeft.
func (e *Executor) Do(ctx context.Context, id idempotency.ID, fingerprint idempotency.Fingerprint, run RunFunc) Result {
	for {
		result, keyConfirmed := e.tryDo(ctx, id, fingerprint, run)
		if keyConfirmed == nil {
			return result
		}
		select {
		case <-keyConfirmed:
		case <-ctx.Done():
			return Result{Outcome: Outcome{Verdict: idempotency.Conflict}}
		}
	}
}

// tryDo makes one attempt at Do. If the decision must be made again later, it returns a channel, which is closed at that time, instead of a
// Result.
func (e *Executor) tryDo(ctx context.Context, id idempotency.ID, fingerprint idempotency.Fingerprint, run RunFunc) (Result, <-chan struct{}) {
	a := e.arrive(id, fingerprint)
	if a.keyConfirmed != nil {
		return Result{}, a.keyConfirmed
	}
	d := a.decision
	request := idempotency.SharedRequest{ID: id, Fingerprint: fingerprint, EarlierAttempts: d.EarlierAttempts, DedupWindow: a.dedupWindow}
	if d.Verdict == idempotency.Fail && e.options.Shared != nil { // another process may have stored the answer by now
		if shared, err := e.options.Shared.Lookup(ctx, request); err == nil {
			d = shared
		}
	}
	if peer := e.currentPeer(); d.Verdict == idempotency.Fail && peer != nil { // the other process may know the answer
		if outcome, err := peer.Ask(ctx, id, fingerprint); err == nil && outcome.Verdict != idempotency.Execute {
			return Result{Outcome: outcome}, nil
		}
	}
	if a.execution == nil {
		return Result{Outcome: Outcome{Verdict: d.Verdict, Answer: d.Answer, RetryAfter: d.RetryAfter}}, nil
	}
	executes := d.Verdict == idempotency.Execute
	if executes && !e.options.OwnGoroutine {
		defer e.running.Done()
		defer context.AfterFunc(ctx, func() { e.leave(a.execution) })()
		e.execute(ctx, request, a.execution, run)
		return Result{Outcome: a.execution.outcome, Executed: !a.execution.decidedElsewhere}, nil
	}
	if executes {
		go func() {
			defer e.running.Done()
			e.execute(ctx, request, a.execution, run)
		}()
	}
	return e.wait(ctx, id, a.execution, executes), nil
}

// arrival is the Store's decision on a request and the execution that belongs to it.
type arrival struct {
	decision    idempotency.Decision
	dedupWindow time.Duration
	execution   *execution // set for Execute and Wait
	// keyConfirmed is not nil if a different request with the same key runs in this process, and the shared store has not yet confirmed that
	// the key belongs to the running request. The decision must be made again once the channel is closed.
	keyConfirmed <-chan struct{}
}

// arrive gets a decision from the Store. For Execute it registers a new execution, and for Wait it registers a waiting client.
func (e *Executor) arrive(id idempotency.ID, fingerprint idempotency.Fingerprint) arrival {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return arrival{decision: idempotency.Decision{Verdict: idempotency.Reject}}
	}
	if expired := e.store.Expire(now); e.options.Records != nil {
		e.expired = append(e.expired, expired...)
	}
	a := arrival{decision: e.store.Arrive(now, id, fingerprint), dedupWindow: e.dedupWindow(id.Class)}
	switch a.decision.Verdict {
	case idempotency.Execute:
		a.execution = newExecution(e.options.Shared != nil)
		a.execution.asking.Store(e.currentPeer() != nil && len(a.decision.EarlierAttempts) == 0)
		e.executions[id] = a.execution
		e.running.Add(1)
	case idempotency.Wait:
		a.execution = e.executions[id]
		a.execution.waiters++
	case idempotency.Reject:
		e.logRejection(now)
	case idempotency.Conflict:
		if x := e.executions[id]; x != nil && !x.isKeyConfirmed() {
			a.keyConfirmed = x.keyConfirmed
		}
	}
	return a
}

// wait waits for the outcome of an execution until ctx ends. executes is true if the execution was started for this client.
func (e *Executor) wait(ctx context.Context, id idempotency.ID, x *execution, executes bool) Result {
	select {
	case <-x.done:
		return Result{Outcome: x.outcome, Executed: executes && !x.decidedElsewhere}
	case <-ctx.Done():
	}
	e.leave(x)
	if !executes {
		e.mu.Lock()
		if e.executions[id] == x { // the execution is still running
			e.store.StopWaiting(id)
		}
		e.mu.Unlock()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Result{Outcome: Outcome{Verdict: idempotency.Fail}}
	}
	return Result{ClientLeft: true}
}

// leave records that a client no longer waits for an execution. If no client waits any more, it cancels the execution's context.
func (e *Executor) leave(x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.waiters--; x.waiters == 0 {
		x.cancel()
	}
}

// rejectionLogInterval is the shortest time between two log lines on rejected requests.
const rejectionLogInterval = 10 * time.Second

// rejectionLog counts the rejected requests since the last log line about them.
type rejectionLog struct {
	count    int
	loggedAt time.Duration
}

// logRejection counts a rejected request, and logs the count at most once per rejectionLogInterval. The caller holds e.mu.
func (e *Executor) logRejection(now time.Duration) {
	r := &e.rejections
	if r.count++; r.count > 1 && now-r.loggedAt < rejectionLogInterval {
		return
	}
	e.options.Log.Warn("repeats: requests with idempotency keys are rejected: the store is full, or too many requests run or wait",
		"refused", r.count, "keys", e.store.Len(), "bytes", e.store.Bytes(), "running", e.store.Running())
	r.count, r.loggedAt = 1, now
}

// Stats returns the number of known keys, their estimated memory in bytes, and the number of running requests.
func (e *Executor) Stats() (keys, bytes, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store.Len(), e.store.Bytes(), e.store.Running()
}

// Abort makes executions stop waiting for the shared store. It is called before the process exits without a graceful shutdown.
func (e *Executor) Abort() {
	if e.options.Shared != nil {
		e.options.Shared.Abort()
	}
}

// Close rejects new requests, waits for running executions and closes the stores. The engines that execute requests must be closed before
// the Executor.
func (e *Executor) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.running.Wait()
	if e.options.Shared != nil {
		e.options.Shared.Close()
	}
	if e.options.Records != nil {
		if err := e.options.Records.Close(); err != nil {
			e.options.Log.Error("repeats: closing the record store failed", "reason", err)
		}
	}
}
