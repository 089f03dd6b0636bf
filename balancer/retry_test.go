package balancer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

func keyedSettings(group DedupScope) Settings {
	s := testSettings()
	s.HedgingAllowed = false
	s.Classes = []Class{{Name: "k", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: IdempotentWithKey, DedupScope: group, DedupWindow: time.Second}}
	return s
}

func nonIdempotentSettings() Settings {
	s := testSettings()
	s.Classes = []Class{{Name: "x", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: NonIdempotent, LateValueFraction: 0.5}}
	return s
}

func TestNonIdempotentIsRetriedOnlyIfNotRun(t *testing.T) {
	for res, again := range map[Result]bool{Rejected: true, ConnectFailed: true, NotSent: true,
		ServerError: false, Timeout: false, Reset: false, Cancelled: false} {
		r := newHarness(t, nonIdempotentSettings())
		r.addUpstreams(3)
		r.wantSend(r.request("1", "x", time.Second))
		acts := r.outcome("1", 0, res, 10*ms)
		if again {
			r.wantSend(acts)
		} else {
			r.wantFinal(acts, Fail)
		}
	}
}

func TestNonIdempotentIsNotHedged(t *testing.T) {
	r := newHarness(t, nonIdempotentSettings())
	r.addUpstreams(3)
	r.wantSend(r.request("1", "x", time.Second))
	if s := ofKind(r.advance(900*ms), Send); len(s) > 0 {
		t.Fatalf("hedge of a non-idempotent request: %+v", s)
	}
}

func TestNonIdempotentIsRejectedIfNotRun(t *testing.T) {
	s := nonIdempotentSettings()
	s.MaxAttempts = 1
	r := newHarness(t, s)
	r.addUpstreams(3)
	r.wantSend(r.request("1", "x", time.Second))
	r.wantFinal(r.outcome("1", 0, ConnectFailed, ms), Reject)
}

// An attempt that was not sent uses up neither MaxAttempts nor the retry budget, up to as many again.
func TestNotSentAttemptsDoNotCount(t *testing.T) {
	for notSent, final := range map[int]bool{1: false, 2: false, 3: true} {
		s := nonIdempotentSettings()
		s.MaxAttempts = 2
		r := newHarness(t, s)
		r.addUpstreams(3)
		r.balancer.retryTokens = 0
		acts := r.request("1", "x", time.Second)
		for n := range notSent {
			r.wantSend(acts)
			acts = r.outcome("1", n, NotSent, ms)
		}
		r.wantSend(acts)
		if acts = r.outcome("1", notSent, ConnectFailed, ms); final {
			r.wantFinal(acts, Reject)
		} else {
			r.wantSend(acts)
		}
	}
}

// Once it may have run, a request with an idempotency key stays in its deduplication scope.
func TestRetryWithKeyStaysInDedupScope(t *testing.T) {
	for group, same := range map[DedupScope]func(a, b Endpoint) bool{
		ScopeAll:  func(a, b Endpoint) bool { return true },
		ScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
		ScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
	} {
		list := map[string]Endpoint{}
		var entries []Endpoint
		for i, m := range []Endpoint{{Zone: "a", Cell: 0}, {Zone: "a", Cell: 1}, {Zone: "b", Cell: 2},
			{Zone: "b", Cell: 2}, {Zone: "a", Cell: 0}, {Zone: "b", Cell: 3}} {
			m.Name = string(rune('p' + i))
			list[m.Name] = m
			entries = append(entries, m)
		}
		for n := range 40 {
			r := newHarness(t, keyedSettings(group))
			r.balancer.random.Uint64() // other random draws each time
			for range n {
				r.balancer.random.Uint64()
			}
			r.updateEndpoints(FullUpdate, entries...)
			first := list[r.wantSend(r.request("1", "k", time.Second))]
			for _, a := range ofKind(r.outcome("1", 0, ServerError, 10*ms), Send) {
				if !same(first, list[a.Upstream]) {
					t.Fatalf("group %d: %+v then %+v", group, first, list[a.Upstream])
				}
			}
		}
	}
}

// The window counts from the sending of the attempt that may have run.
func TestNoRetryAfterDedupWindow(t *testing.T) {
	s := keyedSettings(ScopeAll)
	s.Classes[0].DedupWindow = 100 * ms
	s.Classes[0].LatencyObjective = time.Second
	r := newHarness(t, s)
	r.addUpstreams(3)
	r.wantSend(r.request("1", "k", time.Second))
	r.now += 95 * ms
	r.wantFinal(r.outcome("1", 0, Reset, 95*ms), Reject)
}

func TestRejectWithKeyOnlyInScopeAll(t *testing.T) {
	for group, want := range map[DedupScope]ActionKind{ScopeAll: Reject, ScopeZone: Fail, ScopeCell: Fail} {
		s := keyedSettings(group)
		s.MaxAttempts = 1
		r := newHarness(t, s)
		r.addUpstreams(3)
		r.wantSend(r.request("1", "k", time.Second))
		r.wantFinal(r.outcome("1", 0, Cancelled, 10*ms), want) // a cancelled attempt may have run
	}
}

// A client's retry whose latency objective has passed is rejected at once: its time left tells when the
// first attempt came. An early retry is served.
func TestStaleRetryIsRejected(t *testing.T) {
	r := newHarness(t, testSettings()) // objective 200 ms, deadline 1 s
	r.addUpstreams(3)
	for i := range 20 { // first tries have 600 ms
		id := time.Duration(i).String()
		r.wantSend(r.request(id, "c", 600*ms))
		r.outcome(id, 0, OK, 10*ms)
		r.advance(10 * ms)
	}
	r.wantFinal(r.request("stale", "c", 550*ms), Reject)     // the first came 450 ms ago
	r.wantSend(r.request("early", "c", 900*ms))              // the first came 100 ms ago
	if f := finalAnswers(r.advance(105 * ms)); len(f) != 1 { // it ends when its objective does
		t.Errorf("still open after its objective: %+v", f)
	}
	r.wantSend(r.request("first", "c", 601*ms))
}

// Attempts of earlier requests of the same key count as this request's.
func TestEarlierAttemptsBindDedupScope(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{
		Name: "c", LatencyObjective: 200 * ms, Deadline: 10 * time.Second, PriorityWeight: 1,
		Idempotency: IdempotentWithKey, DedupScope: ScopeZone, DedupWindow: 6 * time.Second,
	}}
	inZone := func(zone string, sentAt time.Duration) EarlierAttempt {
		return EarlierAttempt{Zone: zone, SentAt: sentAt}
	}
	for _, c := range []struct {
		name    string
		earlier []EarlierAttempt
		want    string // zones that it may be sent to; "": none
		fails   bool   // it gets its final answer at once
	}{
		{"no earlier attempt", nil, "ab", false},
		{"in b, after the window", []EarlierAttempt{inZone("b", 50*time.Second)}, "", true},
		{"in b, within the window", []EarlierAttempt{inZone("b", 58*time.Second)}, "b", false},
		{"in both zones", []EarlierAttempt{inZone("a", 59*time.Second), inZone("b", 59*time.Second)}, "", false},
		{"in an unknown zone", []EarlierAttempt{inZone("z", 59*time.Second)}, "", false},
	} {
		got := map[string]bool{}
		for i := range 30 {
			r := newHarness(t, s)
			r.balancer.random = rand.New(rand.NewPCG(uint64(i), 1))
			r.updateEndpoints(FullUpdate, Endpoint{Name: "x", Zone: "a"}, Endpoint{Name: "y", Zone: "b"})
			acts := r.handle(Request{ID: "1", Class: "c", Deadline: r.now + 5*time.Second, EarlierAttempts: c.earlier})
			if sends := ofKind(acts, Send); len(sends) == 1 {
				got[sends[0].Zone] = true
			} else if len(ofKind(acts, Reject)) > 0 || c.fails && len(ofKind(acts, Fail)) != 1 {
				t.Errorf("%s: %+v", c.name, acts)
			}
		}
		want := map[string]bool{}
		for _, zone := range c.want {
			want[string(zone)] = true
		}
		if !maps.Equal(got, want) {
			t.Errorf("%s: sent to %v, want %v", c.name, got, want)
		}
	}
}

// Only a retry with an idempotency key, after an attempt that may have run, carries the time by which to
// send it.
func TestRetryCarriesSendBy(t *testing.T) {
	for effect, bound := range map[Idempotency]bool{IdempotentWithKey: true, Idempotent: false} {
		s := testSettings()
		class := &s.Classes[0]
		class.Idempotency, class.Deadline = effect, time.Minute
		class.DedupScope, class.DedupWindow = ScopeAll, 5*time.Second
		r := newHarness(t, s)
		r.addUpstreams(3)
		sent := r.now
		first := ofKind(r.request("1", "c", time.Minute), Send)
		r.now += 30 * ms
		unrun := ofKind(r.outcome("1", 0, ConnectFailed, 30*ms), Send)
		second := r.now
		r.now += 10 * ms
		repeat := ofKind(r.outcome("1", 1, Reset, 10*ms), Send)
		if len(first) != 1 || len(unrun) != 1 || len(repeat) != 1 || first[0].SendBy != 0 || unrun[0].SendBy != 0 {
			t.Fatalf("%+v, %+v, %+v", first, unrun, repeat)
		}
		if want := second + 5*time.Second - 2*s.Tick; bound != (repeat[0].SendBy == want) || !bound && repeat[0].SendBy != 0 {
			t.Errorf("sent at %v and %v, the repeat by %v, want %v", sent, second, repeat[0].SendBy, want)
		}
	}
}

// Retries and hedged requests have a budget relative to first attempts.
func TestRetryBudget(t *testing.T) {
	w := newScriptedFleet(t, testSettings(), func(string) (Result, time.Duration) { return ServerError, 5 * ms })
	w.addUpstreams(8)
	w.run(20*time.Second, 100)
	total := w.attempts()
	if limit := float64(w.requests)*(1+retryTokensPerRequest) + retryTokensBurst; float64(total) > limit {
		t.Errorf("%d attempts for %d requests", total, w.requests)
	}
}

// Failed connects are retried without regard to the budget, and do not use up what hedging needs later.
func TestFailedConnectsDoNotOverdrawRetryBudget(t *testing.T) {
	w := newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) { return ConnectFailed, 0 })
	w.addUpstreams(4)
	w.run(5*time.Second, 100)
	if w.balancer.retryTokens < 0 {
		t.Errorf("budget %v", w.balancer.retryTokens)
	}
}

// The budget is relative to first attempts: a rejected request earns nothing.
func TestRejectedRequestsEarnNoRetryTokens(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(4)
	r.balancer.retryTokens = 0
	for i := range 20 {
		r.wantSend(r.request(fmt.Sprint(i), "c", time.Second))
	}
	if r.balancer.retryTokens != 20*retryTokensPerRequest {
		t.Errorf("budget %.2f after twenty first attempts", r.balancer.retryTokens)
	}
	r.now += 150 * ms // and no answer: every request is rejected now
	for i := range 100 {
		r.wantFinal(r.request(fmt.Sprint("late", i), "c", time.Second), Reject)
	}
	if r.balancer.retryTokens != 20*retryTokensPerRequest {
		t.Errorf("budget %.2f after a hundred refusals", r.balancer.retryTokens)
	}
}
