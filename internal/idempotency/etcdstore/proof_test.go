package etcdstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
)

// fakeNode is an upstream that executes payments: it drops repeats within its window and counts what it executed.
type fakeNode struct {
	window time.Duration

	mu       sync.Mutex
	first    map[string]time.Time
	executed map[string]int
}

// pay receives an attempt, which is not sent if windowPassed returns true at the time of the write, as the balancer has it.
func (n *fakeNode) pay(key string, windowPassed func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if windowPassed() {
		return
	}
	if at, ok := n.first[key]; ok && time.Since(at) < n.window {
		return
	}
	n.first[key] = time.Now()
	n.executed[key]++
}

// paymentRig is four processes that share an etcd with faults, and the node that they pay at.
type paymentRig struct {
	t         *testing.T
	etcd      *fakes.Etcd
	address   string
	node      *fakeNode
	processes [4]atomic.Pointer[Store]

	mu      sync.Mutex
	rng     *rand.Rand
	answers map[string]string // by key

	tries, replays, uncertain atomic.Int64
}

func newPaymentRig(t *testing.T, window time.Duration) *paymentRig {
	t.Helper()
	r := &paymentRig{
		t:       t,
		node:    &fakeNode{window: window, first: map[string]time.Time{}, executed: map[string]int{}},
		rng:     rand.New(rand.NewPCG(1, 2)),
		answers: map[string]string{},
	}
	faults := []fakes.EtcdFault{fakes.EtcdRefuse, fakes.EtcdLose, fakes.EtcdLose, fakes.EtcdLate}
	r.etcd, r.address = base.Etcd(t, fakes.EtcdOptions{Late: 20 * time.Millisecond, Fault: func() fakes.EtcdFault {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.rng.Float64() < 0.08 {
			return faults[r.rng.IntN(len(faults))]
		}
		return fakes.EtcdFine
	}})
	for i := range r.processes {
		r.startProcess(i)
	}
	return r
}

func (r *paymentRig) startProcess(i int) {
	r.processes[i].Store(openStore(r.t, r.address, func(o *Options) {
		o.Timeout, o.Session, o.MaxClockSkew = units.Duration(50*time.Millisecond), units.Duration(2*time.Second), units.Duration(time.Millisecond)
	}))
}

// chance returns true with probability p.
func (r *paymentRig) chance(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < p
}

// pay is one client's try to pay at a process. It returns true if the process was free to execute the payment and did not run out of time.
func (r *paymentRig) pay(process int, key, body string) bool {
	r.tries.Add(1)
	s := r.processes[process].Load()
	request := testRequest(key)
	request.DedupWindow = r.node.window
	ctx, cancel := context.WithTimeout(r.t.Context(), 150*time.Millisecond)
	claim, err := s.Claim(ctx, request, func() {})
	cancel()
	switch {
	case err != nil || claim.Verdict == idempotency.Fail:
		r.uncertain.Add(1)
		return false
	case claim.Verdict == idempotency.Replay:
		r.checkReplay(key, string(claim.Answer.Body))
		return false
	case claim.Verdict != idempotency.Execute:
		r.t.Errorf("%s: %+v", key, claim)
		return false
	}
	return r.execute(process, s, request, claim, body)
}

func (r *paymentRig) checkReplay(key, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer, ok := r.answers[key]; ok && answer != body {
		r.t.Errorf("%s: %s, then %s", key, answer, body)
	}
	r.replays.Add(1)
}

// recordAnswer records the answer of an executed payment.
func (r *paymentRig) recordAnswer(key, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer, ok := r.answers[key]; ok {
		r.t.Errorf("%s: executed again after its answer %s", key, answer)
	}
	r.answers[key] = body
}

// execute executes a claimed payment, with faults of the node and of the process. It returns false if it ran out of time.
func (r *paymentRig) execute(process int, s *Store, request idempotency.SharedRequest, claim Claim, body string) bool {
	started := time.Now()
	windowPassed := func() bool {
		return slices.ContainsFunc(claim.EarlierAttempts, func(a idempotency.Attempt) bool { return a.SentAt+time.Since(started) >= r.node.window })
	}
	uncertain := func(attempts ...idempotency.Attempt) *idempotency.Record { // SentAt are ages at started
		attempts = append(attempts, claim.EarlierAttempts...)
		for i := range attempts {
			attempts[i].SentAt += time.Since(started)
		}
		return uncertainRecord(request, attempts...)
	}
	attemptsUnknown := uncertainRecord(request)
	attemptsUnknown.AttemptsUnknown = true
	switch {
	case windowPassed():
		s.Settle(claim, request.ID, attemptsUnknown)
	case r.chance(0.1): // rejected by the node
		if record := uncertain(); len(record.Attempts) > 0 { // an earlier attempt may have been executed all the same
			s.Settle(claim, request.ID, record)
		} else {
			s.Settle(claim, request.ID, nil)
		}
	case r.chance(0.15): // executed, and the answer is lost
		r.node.pay(request.ID.Key, windowPassed)
		s.Settle(claim, request.ID, uncertain(idempotency.Attempt{}))
	case r.chance(0.05): // the process crashes
		r.node.pay(request.ID.Key, windowPassed)
		s.Abort()
		r.startProcess(process)
	default:
		if r.node.pay(request.ID.Key, windowPassed); windowPassed() { // it may not have been sent
			s.Settle(claim, request.ID, attemptsUnknown)
			return false
		}
		r.recordAnswer(request.ID.Key, body)
		s.Settle(claim, request.ID, answeredRecord(request, body))
	}
	return true
}

// TestNothingExecutedTwice runs processes that crash, an etcd with all kinds of faults, and a node that remembers for a short time. No
// payment may be executed twice, and once an answer is known every process must return that one.
func TestNothingExecutedTwice(t *testing.T) {
	r := newPaymentRig(t, 250*time.Millisecond)
	var workers sync.WaitGroup
	for worker := range 24 {
		workers.Go(func() {
			for n := range 40 {
				key := fmt.Sprintf("%d-%d", worker/2, n) // two clients send each payment
				for try := range 5 {
					if r.pay((worker+try)%len(r.processes), key, fmt.Sprint(worker, try)) && r.chance(0.02) {
						r.etcd.CompactHistory()
					}
				}
			}
		})
	}
	workers.Wait()
	for key, n := range r.node.executed {
		if n > 1 {
			t.Errorf("%s: executed %d times", key, n)
		}
	}
	if r.replays.Load() < 300 || len(r.node.executed) < 300 {
		t.Errorf("too few to be conclusive: %d replays, %d executed", r.replays.Load(), len(r.node.executed))
	}
	t.Logf("%d tries, %d executed, %d replays, %d uncertain", r.tries.Load(), len(r.node.executed), r.replays.Load(), r.uncertain.Load())
}
