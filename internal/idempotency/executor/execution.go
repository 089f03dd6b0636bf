package executor

import (
	"context"
	"sync"
	"time"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/etcdstore"
)

// ProceedOnError is the value of the settings disk_error and error for which requests are executed without a record or a claim while the
// store is not available.
const ProceedOnError = "go on"

// storeErrorRetryAfter is the RetryAfter of requests that are rejected because their record or claim can't be written.
const storeErrorRetryAfter = time.Second

// execution is a running request. Its outcome may be read once done is closed.
type execution struct {
	wanted  context.Context // canceled once no client waits for the outcome
	cancel  context.CancelFunc
	waiters int // clients that wait for the outcome; guarded by Executor.mu

	// keyConfirmed is closed once the key is known to be this request's in the shared store too; nil without a shared store.
	keyConfirmed chan struct{}
	confirmKey   func() // closes keyConfirmed; may be called repeatedly

	done             chan struct{}
	outcome          Outcome
	decidedElsewhere bool // the outcome is that of another process
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

// isKeyConfirmed reports whether the key is known to be this request's everywhere.
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

// execute runs a request once it is recorded and claimed, and hands its outcome to all clients that wait. The outcome is recorded after
// that: if the process ends in between, the record still says running, and a repeat is not executed.
func (e *Executor) execute(ctx context.Context, request idempotency.SharedRequest, x *execution, run RunFunc) {
	e.step(StepArrived)
	claim, err := e.prepare(ctx, request, x)
	switch {
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
	x.cancel()
	close(x.done)
	x.confirmKey()
	e.step(StepNotified)
	if e.options.Records == nil {
		return
	}
	e.running.Add(1)
	go func() { // the client need not wait for the disk
		defer e.running.Done()
		_ = e.writeRecord(request.ID) // it logs its error; the older record, which says running, is the stricter one
		e.step(StepStored)
	}()
}

// prepare writes the record of a request that is about to be executed and claims it in the shared store. An error means that it must not
// be executed.
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

// claim claims a request in the shared store, until the deadline of ctx but also if its client leaves. The claim's attempts are on the
// durable clock. With an error, or without a shared store, it returns a claim of verdict Execute that Settle ignores.
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
	request.EarlierAttempts = swapAges(e.now(), request.EarlierAttempts)
	claim, err := e.options.Shared.Claim(claimCtx, request, confirmKey)
	if err != nil {
		return local, err
	}
	claim.EarlierAttempts = swapAges(e.now(), claim.EarlierAttempts)
	e.mu.Lock()
	e.store.AdoptAttempts(request.ID, claim.EarlierAttempts)
	e.mu.Unlock()
	return claim, nil
}

// finish records the outcome of an execution in the Store and in the shared store.
func (e *Executor) finish(id idempotency.ID, claim etcdstore.Claim, x *execution) {
	outcome := idempotency.MayHaveRun
	switch {
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

// settle writes the outcome of a claim to the shared store. e.mu is held.
func (e *Executor) settle(now time.Duration, claim etcdstore.Claim, id idempotency.ID) {
	record, ok := e.store.Record(now, id)
	if !ok {
		e.options.Shared.Settle(claim, id, nil)
		return
	}
	record.Attempts = swapAges(now, record.Attempts)
	e.options.Shared.Settle(claim, id, &record)
}

// swapAges returns attempts whose SentAt are ages at now in place of times, or times in place of ages.
func swapAges(now time.Duration, attempts []idempotency.Attempt) []idempotency.Attempt {
	swapped := append([]idempotency.Attempt(nil), attempts...)
	for i := range swapped {
		swapped[i].SentAt = now - swapped[i].SentAt
	}
	return swapped
}

// writeRecord makes a key's present record durable, or its absence, and deletes expired records with it. It logs an error.
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
		e.expired = append(e.expired, expired...) // for the next Put
		e.mu.Unlock()
	}
	return err
}

// step calls Options.Step.
func (e *Executor) step(step string) {
	if e.options.Step != nil {
		e.options.Step(step)
	}
}

// attemptRecorder records the attempts of one execution in the Store. Their times are on Options.Clock.
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
