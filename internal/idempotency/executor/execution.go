package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/etcdstore"
)

// ProceedOnError is a value of the settings disk_error and error. With it, requests are executed without a record or a claim while the store
// is unavailable.
const ProceedOnError = "go on"

// storeErrorRetryAfter is the RetryAfter of requests that are rejected because their record or claim can't be written.
const storeErrorRetryAfter = time.Second

// execution is a running request. Its outcome may be read once done is closed.
type execution struct {
	wanted  context.Context // canceled when no client waits for the outcome any more
	cancel  context.CancelFunc
	waiters int // number of clients that wait for the outcome; guarded by Executor.mu

	// keyConfirmed is closed once the key is known to belong to this request in the shared store too. It is nil without a shared store.
	keyConfirmed chan struct{}
	confirmKey   func() // closes keyConfirmed; may be called repeatedly

	done             chan struct{}
	outcome          Outcome
	decidedElsewhere bool        // another process decided on the outcome
	unknownElsewhere bool        // another process may have executed the request, and its answer is not known
	asking           atomic.Bool // the other process of a replacement is asked about the key, or will be
}

// newExecution returns an execution that one client waits for.
func newExecution(shared bool) *execution {
	x := &execution{done: make(chan struct{}), waiters: 1, confirmKey: func() {}}
	x.wanted, x.cancel = context.WithCancel(context.Background())
	if shared {
		x.keyConfirmed = make(chan struct{})
		x.confirmKey = sync.OnceFunc(func() { close(x.keyConfirmed) })
	}
	return x
}

// isKeyConfirmed reports whether the key is known to belong to this request in all processes.
func (x *execution) isKeyConfirmed() bool {
	if x.keyConfirmed == nil {
		return true
	}
	select {
	case <-x.keyConfirmed:
		return true
	default:
		return false
	}
}

// execute records, claims and runs a request, and passes its outcome to all waiting clients. Only then is the outcome written to the
// RecordStore. If the process ends before that, the record still has the state running, and a repeated request is not executed.
func (e *Executor) execute(ctx context.Context, request idempotency.SharedRequest, x *execution, run RunFunc) {
	e.step(StepArrived)
	var claim etcdstore.Claim
	var err error
	isDecided := e.askPeer(ctx, request, x)
	if !isDecided {
		claim, err = e.prepare(ctx, request, x)
	}
	switch {
	case isDecided:
	case err != nil:
		x.outcome = Outcome{Verdict: idempotency.Reject, RetryAfter: storeErrorRetryAfter}
	case claim.Verdict != idempotency.Execute:
		x.decidedElsewhere = true
		x.outcome = Outcome{Verdict: claim.Verdict, Answer: claim.Answer}
	default:
		x.confirmKey()
		e.step(StepRecorded)
		earlier := claim.EarlierAttempts
		for i := range earlier {
			earlier[i].SentAt -= e.clockOffset
		}
		x.outcome = run(x.wanted, earlier, attemptRecorder{e, request.ID})
	}
	e.step(StepAnswered)
	e.finish(request.ID, claim, x)
	e.notifyPeer(request.ID, x)
	x.cancel()
	close(x.done)
	x.confirmKey()
	e.step(StepNotified)
	if e.options.Records == nil {
		return
	}
	e.running.Add(1)
	go func() { // the client does not wait for the disk
		defer e.running.Done()
		_ = e.writeRecord(request.ID) // writeRecord logs an error; the older record, in state running, then prevents another execution
		e.step(StepStored)
	}()
}

// prepare writes the record of a request that is about to be executed and claims the request in the shared store. An error means that the
// request must not be executed.
func (e *Executor) prepare(ctx context.Context, request idempotency.SharedRequest, x *execution) (etcdstore.Claim, error) {
	if err := e.writeRecord(request.ID); err != nil && e.options.Limits.DiskError != ProceedOnError {
		return etcdstore.Claim{}, err
	}
	claim, err := e.claim(ctx, request, x.confirmKey)
	if err != nil && !e.options.ProceedOnSharedError {
		return claim, err
	}
	return claim, nil
}

// claim claims a request in the shared store. It stops at the deadline of ctx, but not when the client disconnects. The times of the
// claim's attempts are on the durable clock (see Executor.now). If there is an error or no shared store, the returned claim has the verdict
// Execute, and Settle ignores it.
func (e *Executor) claim(ctx context.Context, request idempotency.SharedRequest, confirmKey func()) (etcdstore.Claim, error) {
	local := etcdstore.Claim{Decision: idempotency.Decision{Verdict: idempotency.Execute, EarlierAttempts: request.EarlierAttempts}}
	if e.options.Shared == nil {
		return local, nil
	}
	claimCtx := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		claimCtx, cancel = context.WithDeadline(claimCtx, deadline)
		defer cancel()
	}
	request.EarlierAttempts = swapAgesAndTimes(e.now(), request.EarlierAttempts)
	claim, err := e.options.Shared.Claim(claimCtx, request, confirmKey)
	if err != nil {
		return local, err
	}
	claim.EarlierAttempts = swapAgesAndTimes(e.now(), claim.EarlierAttempts)
	e.mu.Lock()
	e.store.AdoptAttempts(request.ID, claim.EarlierAttempts)
	e.mu.Unlock()
	return claim, nil
}

// finish records the outcome of an execution in the Store and in the shared store.
func (e *Executor) finish(id idempotency.ID, claim etcdstore.Claim, x *execution) {
	outcome := idempotency.MayHaveRun
	switch {
	case x.unknownElsewhere:
	case x.outcome.Verdict == idempotency.Replay:
		outcome = idempotency.Answered
	case x.outcome.Verdict == idempotency.Reject || x.decidedElsewhere:
		outcome = idempotency.NotExecuted
	}
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Finish(now, id, outcome, x.outcome.Answer)
	if e.options.Shared != nil && !x.decidedElsewhere {
		e.settle(now, claim, id)
	}
	delete(e.executions, id)
}

// settle writes the outcome of a claim to the shared store. The caller holds e.mu.
func (e *Executor) settle(now time.Duration, claim etcdstore.Claim, id idempotency.ID) {
	record, ok := e.store.Record(now, id)
	if !ok {
		e.options.Shared.Settle(claim, id, nil)
		return
	}
	record.Attempts = swapAgesAndTimes(now, record.Attempts)
	e.options.Shared.Settle(claim, id, &record)
}

// swapAgesAndTimes returns a copy of attempts with their ages at the time now in place of their times in SentAt, or the reverse.
func swapAgesAndTimes(now time.Duration, attempts []idempotency.Attempt) []idempotency.Attempt {
	swapped := append([]idempotency.Attempt(nil), attempts...)
	for i := range swapped {
		swapped[i].SentAt = now - swapped[i].SentAt
	}
	return swapped
}

// writeRecord stores a key's current record durably, or deletes it if the key is unknown, together with expired records. It logs errors.
func (e *Executor) writeRecord(id idempotency.ID) error {
	if e.options.Records == nil {
		return nil
	}
	now := e.now()
	e.mu.Lock()
	record, known := e.store.Record(now, id)
	expired := e.expired
	e.expired = nil
	e.mu.Unlock()
	var put *idempotency.Record
	if known {
		put = &record
	} else {
		expired = append(expired, id)
	}
	err := e.options.Records.Put(put, expired, now)
	if err != nil {
		e.options.Log.Error("repeats: writing a record failed", "reason", err)
		e.mu.Lock()
		e.expired = append(e.expired, expired...) // the next Put deletes them
		e.mu.Unlock()
	}
	return err
}

// step calls Options.Step, if it is set.
func (e *Executor) step(step string) {
	if e.options.Step != nil {
		e.options.Step(step)
	}
}

// attemptRecorder records the attempts of one execution in the Store. Its methods expect times on Options.Clock.
type attemptRecorder struct {
	executor *Executor
	id       idempotency.ID
}

// AttemptStarted implements AttemptRecorder.
func (r attemptRecorder) AttemptStarted(attempt idempotency.Attempt) {
	r.executor.mu.Lock()
	defer r.executor.mu.Unlock()
	attempt.SentAt += r.executor.clockOffset
	r.executor.store.AttemptStarted(r.id, attempt)
	r.executor.step(StepSent)
}

// AttemptNotExecuted implements AttemptRecorder.
func (r attemptRecorder) AttemptNotExecuted(attempt idempotency.Attempt) {
	r.executor.mu.Lock()
	defer r.executor.mu.Unlock()
	attempt.SentAt += r.executor.clockOffset
	r.executor.store.AttemptNotExecuted(r.id, attempt)
}
