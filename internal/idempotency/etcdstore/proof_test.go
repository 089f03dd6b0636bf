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

// fakeUpstream is an upstream that executes payments. It drops repeated payments within its deduplication window and counts the executions
// of each key.
type fakeUpstream struct {
	window time.Duration

	mu       sync.Mutex
	first    map[string]time.Time
	executed map[string]int
}

// pay sends an attempt to the upstream. If windowPassed returns true just before that, the attempt is not sent, as in the balancer.
func (u *fakeUpstream) pay(key string, windowPassed func() bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if windowPassed() {
		return
	}
	if firstAt, ok := u.first[key]; ok && time.Since(firstAt) < u.window {
		return
	}
	u.first[key] = time.Now()
	u.executed[key]++
}

// paymentRig consists of four processes that share an etcd with faults, and the upstream to which they send payments.
type paymentRig struct {
	t         *testing.T
	etcd      *fakes.Etcd
	address   string
	upstream  *fakeUpstream
	processes [4]atomic.Pointer[Store]

	mu      sync.Mutex
	rng     *rand.Rand
	answers map[string]string // answers of executed payments, by key

	requests, replays, uncertain atomic.Int64
}

func newPaymentRig(t *testing.T, window time.Duration) *paymentRig {
	t.Helper()
	r := &paymentRig{
		t:        t,
		upstream: &fakeUpstream{window: window, first: map[string]time.Time{}, executed: map[string]int{}},
		rng:      rand.New(rand.NewPCG(1, 2)),
		answers:  map[string]string{},
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

// pay sends one client's payment request to a process. It returns true if the process claimed the payment and handled it before the
// deduplication window of the earlier attempts ended.
func (r *paymentRig) pay(process int, key, body string) bool {
	r.requests.Add(1)
	s := r.processes[process].Load()
	request := testRequest(key)
	request.DedupWindow = r.upstream.window
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
		r.t.Errorf("payment %s: Claim returned %+v, want the verdict Execute, Replay or Fail", key, claim)
		return false
	}
	return r.execute(process, s, request, claim, body)
}

func (r *paymentRig) checkReplay(key, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer, ok := r.answers[key]; ok && answer != body {
		r.t.Errorf("payment %s: the answer was %s, and a replay returned %s", key, answer, body)
	}
	r.replays.Add(1)
}

// recordAnswer records the answer of an executed payment.
func (r *paymentRig) recordAnswer(key, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer, ok := r.answers[key]; ok {
		r.t.Errorf("payment %s was executed again after its answer %s", key, answer)
	}
	r.answers[key] = body
}

// execute executes a claimed payment, with random faults of the upstream and of the process. It returns false if the deduplication window of
// an earlier attempt ended before the payment was sent.
func (r *paymentRig) execute(process int, s *Store, request idempotency.SharedRequest, claim Claim, body string) bool {
	started := time.Now()
	windowPassed := func() bool {
		return slices.ContainsFunc(claim.EarlierAttempts, func(a idempotency.Attempt) bool { return a.SentAt+time.Since(started) >= r.upstream.window })
	}
	uncertain := func(attempts ...idempotency.Attempt) *idempotency.Record { // SentAt of each attempt is its age at started
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
	case r.chance(0.1): // the upstream rejects the payment
		if record := uncertain(); len(record.Attempts) > 0 { // an earlier attempt may still have been executed
			s.Settle(claim, request.ID, record)
		} else {
			s.Settle(claim, request.ID, nil)
		}
	case r.chance(0.15): // the payment is executed, but its answer is lost
		r.upstream.pay(request.ID.Key, windowPassed)
		s.Settle(claim, request.ID, uncertain(idempotency.Attempt{}))
	case r.chance(0.05): // the process crashes
		r.upstream.pay(request.ID.Key, windowPassed)
		s.Abort()
		r.startProcess(process)
	default:
		if r.upstream.pay(request.ID.Key, windowPassed); windowPassed() { // the payment may not have been sent
			s.Settle(claim, request.ID, attemptsUnknown)
			return false
		}
		r.recordAnswer(request.ID.Key, body)
		s.Settle(claim, request.ID, answeredRecord(request, body))
	}
	return true
}

// TestNothingExecutedTwice runs processes that crash, an etcd with many kinds of faults, and an upstream with a short deduplication window.
// It guards against payments that are executed twice, and against a replay that differs from the recorded answer.
func TestNothingExecutedTwice(t *testing.T) {
	r := newPaymentRig(t, 250*time.Millisecond)
	var workers sync.WaitGroup
	for worker := range 24 {
		workers.Go(func() {
			for n := range 40 {
				key := fmt.Sprintf("%d-%d", worker/2, n) // two clients send each payment
				for attempt := range 5 {
					if r.pay((worker+attempt)%len(r.processes), key, fmt.Sprint(worker, attempt)) && r.chance(0.02) {
						r.etcd.CompactHistory()
					}
				}
			}
		})
	}
	workers.Wait()
	for key, n := range r.upstream.executed {
		if n > 1 {
			t.Errorf("payment %s was executed %d times, want at most once", key, n)
		}
	}
	if r.replays.Load() < 300 || len(r.upstream.executed) < 300 {
		t.Errorf("too few events for the test to be conclusive: %d replays, %d payments executed; want at least 300 of each", r.replays.Load(), len(r.upstream.executed))
	}
	t.Logf("%d requests, %d payments executed, %d replays, %d uncertain outcomes", r.requests.Load(), len(r.upstream.executed), r.replays.Load(), r.uncertain.Load())
}
