package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/internal/idempotency"
)

// linkedPeer is the other executor of a replacement, with a link that takes a time and may break.
type linkedPeer struct {
	other  *Executor
	yields bool // the other one yields
	delay  time.Duration
	broken *atomic.Bool
}

func (p linkedPeer) Ask(ctx context.Context, id idempotency.ID, fingerprint idempotency.Fingerprint) (Outcome, error) {
	time.Sleep(p.delay)
	if p.broken.Load() {
		return Outcome{}, errors.New("the link has ended")
	}
	return p.other.AnswerPeer(ctx, id, fingerprint, p.yields), nil
}

func (p linkedPeer) Settled(record idempotency.Record) {
	if p.yields { // only the predecessor's keys are sent
		p.other.Adopt(record)
	}
}

// replacement is a process that is being replaced, and its successor.
type replacement struct {
	predecessor, successor *Executor
	broken                 atomic.Bool
	executions             atomic.Int32
}

func newReplacement(t *testing.T) *replacement {
	r := &replacement{predecessor: newTestExecutor(t, nil, nil), successor: newTestExecutor(t, nil, nil)}
	r.predecessor.SetPeer(linkedPeer{r.successor, true, time.Millisecond, &r.broken})
	r.successor.SetPeer(linkedPeer{r.predecessor, false, time.Millisecond, &r.broken})
	return r
}

// pay executes a payment that takes work and counts it.
func (r *replacement) pay(t *testing.T, at *Executor, key int, work time.Duration) Result {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return at.Do(ctx, testID(key), idempotency.Fingerprint{}, func(ctx context.Context, earlier []idempotency.Attempt, recorder AttemptRecorder) Outcome {
		r.executions.Add(1)
		time.Sleep(work)
		return runPayment(ctx, earlier, recorder)
	})
}

func (r *replacement) close() {
	r.predecessor.Close()
	r.successor.Close()
}

// Payments that were sent again while the sidecar's process was replaced ran twice: the new process did not know the keys of the old one.
func TestKeysAcrossAReplacement(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, r *replacement) []Result{
		"while the first runs at the predecessor": func(t *testing.T, r *replacement) []Result {
			return r.both(t, r.predecessor, r.successor, 100*time.Millisecond)
		},
		"while the first runs at the successor": func(t *testing.T, r *replacement) []Result {
			return r.both(t, r.successor, r.predecessor, 100*time.Millisecond)
		},
		"at both at once": func(t *testing.T, r *replacement) []Result {
			return r.both(t, r.successor, r.predecessor, 0)
		},
		"answered before the replacement": func(t *testing.T, r *replacement) []Result {
			r.predecessor.SetPeer(nil)
			first := r.pay(t, r.predecessor, 1, time.Millisecond)
			r.predecessor.SetPeer(linkedPeer{r.successor, true, time.Millisecond, &r.broken})
			r.predecessor.SendSettled()
			r.successor.SetPeer(nil) // the predecessor has ended
			return []Result{first, r.pay(t, r.successor, 1, time.Millisecond)}
		},
		"answered in the replacement, and sent again behind it": func(t *testing.T, r *replacement) []Result {
			first := r.pay(t, r.predecessor, 1, time.Millisecond)
			r.successor.SetPeer(nil)
			return []Result{first, r.pay(t, r.successor, 1, time.Millisecond)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReplacement(t)
				defer r.close()
				for i, result := range play(t, r) {
					if result.Verdict != idempotency.Replay || string(result.Answer.Body) != "paid" {
						t.Errorf("client %d got %+v, want the answer", i, result)
					}
				}
				if n := r.executions.Load(); n != 1 {
					t.Errorf("the payment was executed %d times, want once", n)
				}
			})
		})
	}
}

// both sends a payment at one executor, and again at the other one a time later.
func (r *replacement) both(t *testing.T, first, second *Executor, later time.Duration) []Result {
	var results [2]Result
	var clients sync.WaitGroup
	clients.Go(func() { results[0] = r.pay(t, first, 1, time.Second) })
	clients.Go(func() {
		time.Sleep(later)
		results[1] = r.pay(t, second, 1, time.Second)
	})
	clients.Wait()
	return results[:]
}

// A payment of which the other process was asked in vain must not be executed, also not once that process has ended: it may have run there.
// One that it has left to the successor is not executed there any more.
func TestKeysOfAnUnreachablePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplacement(t)
		defer r.close()
		if got := r.pay(t, r.successor, 2, time.Millisecond); got.Verdict != idempotency.Replay {
			t.Errorf("a new payment got %+v, want its answer", got)
		}
		r.broken.Store(true)
		if got := r.pay(t, r.successor, 1, time.Millisecond); got.Verdict != idempotency.Fail {
			t.Errorf("a payment of which the predecessor can't be asked got %+v, want Fail", got)
		}
		r.successor.SetPeer(nil)
		r.predecessor.SetPeer(nil)
		if got := r.pay(t, r.successor, 1, time.Millisecond); got.Verdict != idempotency.Fail {
			t.Errorf("the same payment got %+v once the predecessor had ended, want Fail", got)
		}
		if got := r.pay(t, r.predecessor, 2, time.Millisecond); got.Verdict != idempotency.Fail {
			t.Errorf("a payment that was left to the successor got %+v, want Fail", got)
		}
		if n := r.executions.Load(); n != 1 {
			t.Errorf("%d payments were executed, want the first one alone", n)
		}
	})
}
