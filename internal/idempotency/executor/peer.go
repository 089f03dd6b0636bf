package executor

import (
	"context"

	"orchiddrift/internal/idempotency"
)

// Peer is the other process while a process is replaced, which may know keys that this one does not.
type Peer interface {
	// Ask returns the other process's decision on a request whose key is not known here. The verdict is Execute if it does not know the key
	// either: it does not execute a request of the key from then on. An error means that it could not be asked.
	Ask(ctx context.Context, id idempotency.ID, fingerprint idempotency.Fingerprint) (Outcome, error)
	// Settled notifies the other process of the outcome of a request, if it needs it. UpdatedAt of the record is an age.
	Settled(record idempotency.Record)
}

// peerState is the Peer of an Executor; peer is nil while there is no other process.
type peerState struct{ peer Peer }

// SetPeer sets the other process, or nil once it has ended. Executors whose keys are stored beyond the process have no peer: both processes use
// the store.
func (e *Executor) SetPeer(peer Peer) {
	if e.options.Records != nil || e.options.Shared != nil {
		return
	}
	e.peer.Store(&peerState{peer})
}

// SendSettled notifies the other process of all settled keys.
func (e *Executor) SendSettled() {
	peer := e.currentPeer()
	if peer == nil {
		return
	}
	now := e.now()
	var records []idempotency.Record
	e.mu.Lock()
	e.store.Settled(now, func(record idempotency.Record) { records = append(records, record) })
	e.mu.Unlock()
	for _, record := range records {
		peer.Settled(record)
	}
}

func (e *Executor) currentPeer() Peer {
	if state := e.peer.Load(); state != nil {
		return state.peer
	}
	return nil
}

// askPeer asks the other process, if there is one, about a request that is about to be executed. If decided is true, it has set the
// execution's outcome.
func (e *Executor) askPeer(ctx context.Context, request idempotency.SharedRequest, x *execution) (decided bool) {
	defer x.asking.Store(false)
	peer := e.currentPeer()
	if peer == nil || len(request.EarlierAttempts) > 0 {
		return false
	}
	outcome, err := peer.Ask(ctx, request.ID, request.Fingerprint)
	if err == nil && outcome.Verdict == idempotency.Execute {
		return false
	}
	if err != nil { // it may have executed the request
		outcome = Outcome{Verdict: idempotency.Fail}
	}
	x.outcome, x.decidedElsewhere = outcome, true
	if outcome.Verdict == idempotency.Fail || outcome.Verdict == idempotency.AnswerNotStored {
		x.unknownElsewhere = true
		e.mu.Lock()
		e.store.ForgetAttempts(request.ID)
		e.mu.Unlock()
	}
	return true
}

// AnswerPeer decides on a request that arrived at the other process. It waits for a running request with the same key. If both processes ask
// each other about a key, the one that yields lets the other execute the request.
func (e *Executor) AnswerPeer(ctx context.Context, id idempotency.ID, fingerprint idempotency.Fingerprint, yields bool) Outcome {
	now := e.now()
	e.mu.Lock()
	e.store.Expire(now)
	decision := e.store.LookupForPeer(now, id, fingerprint)
	x := e.executions[id]
	if decision.Verdict != idempotency.Wait || x == nil || yields && x.asking.Load() {
		e.mu.Unlock()
		if decision.Verdict == idempotency.Wait {
			decision.Verdict = idempotency.Execute
		}
		return Outcome{Verdict: decision.Verdict, Answer: decision.Answer, RetryAfter: decision.RetryAfter}
	}
	x.waiters++
	e.mu.Unlock()
	defer e.leave(x)
	select {
	case <-x.done:
		return x.outcome
	case <-ctx.Done():
		return Outcome{Verdict: idempotency.Fail}
	}
}

// Adopt adds a record that the predecessor has settled.
func (e *Executor) Adopt(record idempotency.Record) {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Adopt(now, record)
}

// notifyPeer notifies the other process, if there is one, how a request ended.
func (e *Executor) notifyPeer(id idempotency.ID, x *execution) {
	peer := e.currentPeer()
	if peer == nil || x.decidedElsewhere {
		return
	}
	now := e.now()
	e.mu.Lock()
	record, known := e.store.Record(now, id)
	e.mu.Unlock()
	if known {
		record.UpdatedAt = 0
		peer.Settled(record)
	}
}
