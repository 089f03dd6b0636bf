package etcdstore

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func open(t *testing.T, at string, change func(*Options)) *Store {
	t.Helper()
	o := Options{Declaration: Declaration{Servers: []string{at}, Prefix: "p/", Timeout: units.Duration(300 * time.Millisecond),
		Session: units.Duration(3 * time.Second)}, Service: "pay", Retention: time.Minute, MaxPending: 100, Log: slog.New(slog.DiscardHandler)}
	if change != nil {
		change(&o)
	}
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func id(n any) idempotency.ID { return idempotency.ID{Tenant: "t", Class: "c", Key: fmt.Sprint(n)} }

func meeting(n any) idempotency.SharedRequest {
	return idempotency.SharedRequest{ID: id(n), Fingerprint: idempotency.Fingerprint{1}, DedupWindow: 6 * time.Second}
}

func claim(t *testing.T, s *Store, m idempotency.SharedRequest, want idempotency.Verdict) Claim {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	c, err := s.Claim(ctx, m, func() {})
	if err != nil || c.Verdict != want {
		t.Fatalf("%v: %+v, %v", m.ID, c, err)
	}
	return c
}

func answered(m idempotency.SharedRequest, body string) *idempotency.Record {
	return &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.Answered, Answer: &idempotency.Answer{Status: 200, Body: []byte(body)}}
}

// What one process runs another waits for, and has the end of: an answer, that it never ran, that it may have run, or that the
// process has gone. Another request under the key is a conflict, also at another process.
func TestAnotherProcess(t *testing.T) {
	e, at := base.Etcd(t, fakes.EtcdOptions{})
	a, b := open(t, at, nil), open(t, at, func(o *Options) { o.MaxClockSkew = units.Duration(time.Second) })
	send := idempotency.Attempt{Zone: "z", Cell: 2, SentAt: 2 * time.Second}
	for _, c := range []struct {
		name  string
		end   func(c Claim, m idempotency.SharedRequest)
		want  idempotency.Verdict
		again idempotency.Verdict // at the first process
	}{
		{"answered", func(c Claim, m idempotency.SharedRequest) { a.Settle(c, m.ID, answered(m, "paid")) }, idempotency.Replay, idempotency.Replay},
		{"never ran", func(c Claim, m idempotency.SharedRequest) { a.Settle(c, m.ID, nil) }, idempotency.Execute, idempotency.Wait},
		{"too large", func(c Claim, m idempotency.SharedRequest) {
			a.Settle(c, m.ID, &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.Answered})
		}, idempotency.AnswerNotStored, idempotency.AnswerNotStored},
		{"may have run", func(c Claim, m idempotency.SharedRequest) {
			a.Settle(c, m.ID, &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.MayHaveRun, Attempts: []idempotency.Attempt{send}})
		}, idempotency.Execute, idempotency.Wait},
		{"may have run anywhere", func(c Claim, m idempotency.SharedRequest) {
			a.Settle(c, m.ID, &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.MayHaveRun, AttemptsUnknown: true, Attempts: []idempotency.Attempt{send}})
		}, idempotency.Fail, idempotency.Fail},
		{"long ago", func(c Claim, m idempotency.SharedRequest) {
			a.Settle(c, m.ID, &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.MayHaveRun, Attempts: []idempotency.Attempt{send, {SentAt: 5100 * time.Millisecond}}})
		}, idempotency.Fail, idempotency.Fail},
		{"gone", func(Claim, idempotency.SharedRequest) { e.Expire(3 * time.Second) }, idempotency.Fail, idempotency.Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := meeting(c.name)
			first := claim(t, a, m, idempotency.Execute)
			other := m
			other.Fingerprint = idempotency.Fingerprint{2}
			claim(t, b, other, idempotency.Conflict)
			ends := make(chan Claim, 1)
			go func() { ends <- claim(t, b, m, c.want) }()
			select {
			case got := <-ends:
				t.Fatalf("it did not wait: %+v", got)
			case <-time.After(30 * time.Millisecond): // it would have come by then, mostly
			}
			c.end(first, m)
			got := <-ends
			if c.name == "may have run" {
				if len(got.EarlierAttempts) != 1 || got.EarlierAttempts[0].Zone != "z" || got.EarlierAttempts[0].Cell != 2 || got.EarlierAttempts[0].SentAt < 3*time.Second || got.EarlierAttempts[0].SentAt > 4*time.Second {
					t.Errorf("prior sends, with the skew: %+v", got.EarlierAttempts)
				}
			}
			if c.want == idempotency.Replay && string(got.Answer.Body) != "paid" {
				t.Errorf("%+v", got.Answer)
			}
			if c.again == idempotency.Wait { // b runs it now
				b.Settle(got, m.ID, answered(m, "late"))
				c.again = idempotency.Replay
			}
			claim(t, a, m, c.again)
		})
	}
}

// Without a bound on the clocks what may have run is sent again by the process that sent it, which knows when, and by no other.
func TestClocksAreNotTrusted(t *testing.T) {
	_, at := base.Etcd(t, fakes.EtcdOptions{})
	a, b := open(t, at, nil), open(t, at, nil)
	m := meeting(1)
	a.Settle(claim(t, a, m, idempotency.Execute), m.ID, &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.MayHaveRun, Attempts: []idempotency.Attempt{{Zone: "z"}}})
	claim(t, b, m, idempotency.Fail)
	m.EarlierAttempts = []idempotency.Attempt{{Zone: "z", SentAt: time.Second}}
	c := claim(t, a, m, idempotency.Execute)
	if len(c.EarlierAttempts) != 1 || c.EarlierAttempts[0].SentAt < time.Second {
		t.Errorf("%+v", c.EarlierAttempts)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if c, err := b.Claim(ctx, m, func() {}); err != nil || c.Verdict != idempotency.Fail {
		t.Errorf("waiting till its deadline: %+v, %v", c, err)
	}
}

// While the store is away nothing is claimed; ends that could not be told are told once it is back, and a claim that was given up
// does not keep its key for good, even where it comes to stand late.
func TestStoreGoesAway(t *testing.T) {
	var fault atomic.Int32
	e, at := base.Etcd(t, fakes.EtcdOptions{Fault: func() fakes.EtcdFault { return fakes.EtcdFault(fault.Load()) }, Late: 200 * time.Millisecond})
	a, b := open(t, at, nil), open(t, at, nil)
	m := meeting("in hand")
	held := claim(t, a, m, idempotency.Execute)
	claim(t, b, meeting("warm"), idempotency.Execute) // it has its session
	away := claim(t, a, meeting("away"), idempotency.Execute)
	for i, f := range []fakes.EtcdFault{fakes.EtcdRefuse, fakes.EtcdLose, fakes.EtcdLate, fakes.EtcdHang} {
		fault.Store(int32(f))
		if c, err := a.Claim(t.Context(), meeting(i), func() {}); err == nil {
			t.Errorf("fault %d: %+v", f, c)
		}
	}
	a.Settle(held, m.ID, answered(m, "paid"))
	a.Settle(away, id("away"), nil)
	e.Stop()
	fault.Store(0)
	if _, err := a.Claim(t.Context(), meeting(9), func() {}); err == nil {
		t.Error("claimed without a store")
	}
	if _, err := e.Start(); err != nil {
		t.Fatal(err)
	}
	base.Eventually(t, "what never ran can be run", func() bool {
		c, err := a.Claim(t.Context(), meeting("away"), func() {})
		if err == nil && c.Verdict != idempotency.Execute {
			t.Fatalf("its end here counts before it is told there: %+v", c)
		}
		return err == nil
	})
	base.Eventually(t, "the end is told", func() bool {
		c, err := b.Claim(t.Context(), m, func() {})
		return err == nil && c.Verdict == idempotency.Replay && string(c.Answer.Body) == "paid"
	})
	for i := range 4 {
		base.Eventually(t, "the key is free again", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			c, err := b.Claim(ctx, meeting(i), func() {})
			return err == nil && c.Verdict == idempotency.Execute
		})
	}
}

// The store's connection may be encrypted and need a password, and nothing is claimed where either is not right; a session that was
// lost is made anew, with its leases.
func TestConnections(t *testing.T) {
	ca, strange := base.CA(t, "etcd"), base.CA(t, "strange")
	e, at := base.Etcd(t, fakes.EtcdOptions{User: "pay", Password: "secret", TLS: base.ServerTLS(t, base.Issue(t, ca, "127.0.0.1"))})
	with := func(ca *fakes.CA, password string) *Store {
		return open(t, at, func(o *Options) {
			o.User, o.PasswordFile = "pay", base.File(t, "password", []byte(password+"\n"))
			o.TLS.CA = base.File(t, "ca.pem", ca.PEM)
		})
	}
	s := with(ca, "secret")
	claim(t, s, meeting(0), idempotency.Execute)
	for name, s := range map[string]*Store{"another authority": with(strange, "secret"), "another password": with(ca, "guess")} {
		if c, err := s.Claim(t.Context(), meeting(name), func() {}); err == nil {
			t.Errorf("%s: %+v", name, c)
		}
	}
	for i := range 3 {
		e.Expire(time.Hour) // all of them, records too
		claim(t, s, meeting(i), idempotency.Execute)
	}
}

// model is a payment's node: it drops repeats within its window, and counts what it recorded.
type model struct {
	mu     sync.Mutex
	window time.Duration
	first  map[string]time.Time
	ran    map[string]int
}

// pay is a send. It is not made where late says so at the write, as the module has it.
func (n *model) pay(key string, late func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if late() {
		return
	}
	if at, ok := n.first[key]; ok && time.Since(at) < n.window {
		return
	}
	n.first[key] = time.Now()
	n.ran[key]++
}

// The proof: processes that come and go without a word, a store that fails in every way, and nodes that remember for a short time.
// Whatever happens a payment is recorded once, and once the answer is known every process gives that one.
func TestNothingTwice(t *testing.T) {
	const window = 250 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	chance := func(p float64) bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < p }
	faults := []fakes.EtcdFault{fakes.EtcdRefuse, fakes.EtcdLose, fakes.EtcdLose, fakes.EtcdLate}
	e, at := base.Etcd(t, fakes.EtcdOptions{Late: 20 * time.Millisecond, Fault: func() fakes.EtcdFault {
		mu.Lock()
		defer mu.Unlock()
		if rng.Float64() < 0.08 {
			return faults[rng.IntN(len(faults))]
		}
		return fakes.EtcdFine
	}})
	node := &model{window: window, first: map[string]time.Time{}, ran: map[string]int{}}
	answers := map[string]string{}
	var processes [4]atomic.Pointer[Store]
	start := func(i int) {
		processes[i].Store(open(t, at, func(o *Options) {
			o.Timeout, o.Session, o.MaxClockSkew = units.Duration(50*time.Millisecond), units.Duration(2*time.Second), units.Duration(time.Millisecond)
		}))
	}
	for i := range processes {
		start(i)
	}
	var wg sync.WaitGroup
	var tries, told, uncertain atomic.Int64
	for worker := range 24 {
		wg.Go(func() {
			for n := range 40 {
				key := fmt.Sprintf("%d-%d", worker/2, n) // two clients send each payment
				for try := range 5 {
					tries.Add(1)
					s := processes[(worker+try)%len(processes)].Load()
					m := meeting(key)
					m.DedupWindow = window
					ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
					c, err := s.Claim(ctx, m, func() {})
					cancel()
					switch {
					case err != nil || c.Verdict == idempotency.Fail:
						uncertain.Add(1)
						continue
					case c.Verdict == idempotency.Replay:
						mu.Lock()
						if was, ok := answers[key]; ok && was != string(c.Answer.Body) {
							t.Errorf("%s: %s, then %s", key, was, c.Answer.Body)
						}
						mu.Unlock()
						told.Add(1)
						continue
					case c.Verdict != idempotency.Execute:
						t.Errorf("%s: %+v", key, c)
						continue
					}
					begun := time.Now()
					late := func() bool {
						return slices.ContainsFunc(c.EarlierAttempts, func(x idempotency.Attempt) bool { return x.SentAt+time.Since(begun) >= window })
					}
					unsure := func(sends ...idempotency.Attempt) *idempotency.Record { // Sent since begun
						sends = append(sends, c.EarlierAttempts...)
						for i := range sends {
							sends[i].SentAt += time.Since(begun)
						}
						return &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.MayHaveRun, Attempts: sends}
					}
					switch {
					case late():
						s.Settle(c, m.ID, &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.MayHaveRun, AttemptsUnknown: true})
					case chance(0.1): // turned away by the node
						if of := unsure(); len(of.Attempts) > 0 { // an earlier one may have run all the same
							s.Settle(c, m.ID, of)
						} else {
							s.Settle(c, m.ID, nil)
						}
					case chance(0.15): // it runs, and no answer comes
						node.pay(key, late)
						s.Settle(c, m.ID, unsure(idempotency.Attempt{}))
					case chance(0.05): // the process ends without a word
						node.pay(key, late)
						s.Abort()
						start((worker + try) % len(processes))
					default:
						if node.pay(key, late); late() { // it may not have been sent
							s.Settle(c, m.ID, &idempotency.Record{ID: m.ID, Fingerprint: m.Fingerprint, Outcome: idempotency.MayHaveRun, AttemptsUnknown: true})
							continue
						}
						body := fmt.Sprint(worker, try)
						mu.Lock()
						if was, ok := answers[key]; ok {
							t.Errorf("%s: run again after its answer %s", key, was)
						}
						answers[key] = body
						mu.Unlock()
						s.Settle(c, m.ID, answered(m, body))
					}
					if chance(0.02) {
						e.Forget()
					}
				}
			}
		})
	}
	wg.Wait()
	for key, n := range node.ran {
		if n > 1 {
			t.Errorf("%s: recorded %d times", key, n)
		}
	}
	if told.Load() < 300 || len(node.ran) < 300 {
		t.Errorf("it says nothing: %d replays, %d recorded", told.Load(), len(node.ran))
	}
	t.Logf("%d tries, %d recorded, %d replays, %d not known", tries.Load(), len(node.ran), told.Load(), uncertain.Load())
}
