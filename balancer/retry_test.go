package balancer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

func keyedSettings(scope DedupScope) Settings {
	s := testSettings()
	s.HedgingAllowed = false
	s.Classes = []Class{{Name: "k", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: IdempotentWithKey, DedupScope: scope, DedupWindow: time.Second}}
	return s
}

func nonIdempotentSettings() Settings {
	s := testSettings()
	s.Classes = []Class{{Name: "x", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: NonIdempotent, LateValueFraction: 0.5}}
	return s
}

func TestNonIdempotentIsRetriedOnlyIfNotRun(t *testing.T) {
	for result, retried := range map[Result]bool{Rejected: true, ConnectFailed: true, NotSent: true,
		ServerError: false, Timeout: false, Reset: false, Cancelled: false} {
		r := newHarness(t, nonIdempotentSettings())
		r.addUpstreams(3)
		r.wantSend(r.request("1", "x", time.Second))
		actions := r.outcome("1", 0, result, 10*ms)
		if retried {
			r.wantSend(actions)
		} else {
			r.wantFinal(actions, Fail)
		}
	}
}

func TestNonIdempotentIsNotHedged(t *testing.T) {
	r := newHarness(t, nonIdempotentSettings())
	r.addUpstreams(3)
	r.wantSend(r.request("1", "x", time.Second))
	if sends := ofKind(r.advance(900*ms), Send); len(sends) > 0 {
		t.Fatalf("non-idempotent request was hedged: %+v", sends)
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

// Up to MaxAttempts attempts that were not sent count neither towards MaxAttempts nor towards the retry
// budget.
func TestNotSentAttemptsDoNotCount(t *testing.T) {
	for notSent, final := range map[int]bool{1: false, 2: false, 3: true} {
		s := nonIdempotentSettings()
		s.MaxAttempts = 2
		r := newHarness(t, s)
		r.addUpstreams(3)
		r.balancer.retryTokens = 0
		actions := r.request("1", "x", time.Second)
		for n := range notSent {
			r.wantSend(actions)
			actions = r.outcome("1", n, NotSent, ms)
		}
		r.wantSend(actions)
		if actions = r.outcome("1", notSent, ConnectFailed, ms); final {
			r.wantFinal(actions, Reject)
		} else {
			r.wantSend(actions)
		}
	}
}

// A request with an idempotency key that may have run must be retried only within its deduplication
// scope: other upstreams would execute it again.
func TestRetryWithKeyStaysInDedupScope(t *testing.T) {
	for scope, inScope := range map[DedupScope]func(a, b Endpoint) bool{
		ScopeAll:  func(a, b Endpoint) bool { return true },
		ScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
		ScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
	} {
		byName := map[string]Endpoint{}
		var endpoints []Endpoint
		for i, endpoint := range []Endpoint{{Zone: "a", Cell: 0}, {Zone: "a", Cell: 1}, {Zone: "b", Cell: 2},
			{Zone: "b", Cell: 2}, {Zone: "a", Cell: 0}, {Zone: "b", Cell: 3}} {
			endpoint.Name = string(rune('p' + i))
			byName[endpoint.Name] = endpoint
			endpoints = append(endpoints, endpoint)
		}
		for draws := range 40 {
			r := newHarness(t, keyedSettings(scope))
			r.balancer.random.Uint64() // other random draws each time
			for range draws {
				r.balancer.random.Uint64()
			}
			r.updateEndpoints(FullUpdate, endpoints...)
			first := byName[r.wantSend(r.request("1", "k", time.Second))]
			for _, a := range ofKind(r.outcome("1", 0, ServerError, 10*ms), Send) {
				if !inScope(first, byName[a.Upstream]) {
					t.Fatalf("scope %d: sent to %+v, then retried outside of its scope at %+v", scope, first, byName[a.Upstream])
				}
			}
		}
	}
}

// The deduplication window begins when the attempt that may have run is sent.
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
	for scope, want := range map[DedupScope]ActionKind{ScopeAll: Reject, ScopeZone: Fail, ScopeCell: Fail} {
		s := keyedSettings(scope)
		s.MaxAttempts = 1
		r := newHarness(t, s)
		r.addUpstreams(3)
		r.wantSend(r.request("1", "k", time.Second))
		r.wantFinal(r.outcome("1", 0, Cancelled, 10*ms), want) // a cancelled attempt may have run
	}
}

// A client's retry that arrives after the latency objective of its first attempt is rejected at once,
// and an earlier retry is served. The time left until the deadline shows when the first attempt arrived.
func TestStaleRetryIsRejected(t *testing.T) {
	r := newHarness(t, testSettings()) // objective 200 ms, deadline 1 s
	r.addUpstreams(3)
	for i := range 20 { // first attempts have 600 ms left
		id := time.Duration(i).String()
		r.wantSend(r.request(id, "c", 600*ms))
		r.outcome(id, 0, OK, 10*ms)
		r.advance(10 * ms)
	}
	r.wantFinal(r.request("stale", "c", 550*ms), Reject)     // its first attempt arrived 450 ms ago
	r.wantSend(r.request("early", "c", 900*ms))              // its first attempt arrived 100 ms ago
	if f := finalAnswers(r.advance(105 * ms)); len(f) != 1 { // it ends with its latency objective
		t.Errorf("early retry has no single final answer at the end of its latency objective: %+v", f)
	}
	r.wantSend(r.request("first", "c", 601*ms))
}

// Attempts of earlier requests with the same idempotency key restrict this request's upstreams like
// attempts of its own.
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
		want    string // zones that the request may be sent to; "" if it may not be sent
		fails   bool   // the request gets its final answer at once
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
			actions := r.handle(Request{ID: "1", Class: "c", Deadline: r.now + 5*time.Second, EarlierAttempts: c.earlier})
			if sends := ofKind(actions, Send); len(sends) == 1 {
				got[sends[0].Zone] = true
			} else if len(ofKind(actions, Reject)) > 0 || c.fails && len(ofKind(actions, Fail)) != 1 {
				t.Errorf("%s: request was not sent and got unexpected actions %+v", c.name, actions)
			}
		}
		want := map[string]bool{}
		for _, zone := range c.want {
			want[string(zone)] = true
		}
		if !maps.Equal(got, want) {
			t.Errorf("%s: request was sent to %v, want %v", c.name, got, want)
		}
	}
}

// Only a retry of a request with an idempotency key, after an attempt that may have run, carries the
// time by which it has to be sent.
func TestRetryCarriesSendBy(t *testing.T) {
	for idempotency, limited := range map[Idempotency]bool{IdempotentWithKey: true, Idempotent: false} {
		s := testSettings()
		class := &s.Classes[0]
		class.Idempotency, class.Deadline = idempotency, time.Minute
		class.DedupScope, class.DedupWindow = ScopeAll, 5*time.Second
		r := newHarness(t, s)
		r.addUpstreams(3)
		firstSentAt := r.now
		first := ofKind(r.request("1", "c", time.Minute), Send)
		r.now += 30 * ms
		afterConnectFailed := ofKind(r.outcome("1", 0, ConnectFailed, 30*ms), Send)
		secondSentAt := r.now
		r.now += 10 * ms
		afterReset := ofKind(r.outcome("1", 1, Reset, 10*ms), Send)
		if len(first) != 1 || len(afterConnectFailed) != 1 || len(afterReset) != 1 || first[0].SendBy != 0 || afterConnectFailed[0].SendBy != 0 {
			t.Fatalf("got attempts %+v, %+v and %+v; want one each, the first two without SendBy", first, afterConnectFailed, afterReset)
		}
		if want := secondSentAt + 5*time.Second - 2*s.Tick; limited != (afterReset[0].SendBy == want) || !limited && afterReset[0].SendBy != 0 {
			t.Errorf("attempts sent at %v and %v: the retry after the Reset has SendBy %v, want %v with an idempotency key and 0 without",
				firstSentAt, secondSentAt, afterReset[0].SendBy, want)
		}
	}
}

// Retries and hedged requests stay within a budget relative to first attempts: without it, they would
// multiply the load when many attempts fail.
func TestRetryBudget(t *testing.T) {
	w := newScriptedFleet(t, testSettings(), func(string) (Result, time.Duration) { return ServerError, 5 * ms })
	w.addUpstreams(8)
	w.run(20*time.Second, 100)
	total := w.attempts()
	if limit := float64(w.requests)*(1+retryTokensPerRequest) + retryTokensBurst; float64(total) > limit {
		t.Errorf("%d attempts for %d requests exceed the retry budget", total, w.requests)
	}
}

// Failed connection attempts are retried without regard to the retry budget, and must not use up the tokens that
// hedging needs later.
func TestFailedConnectsDoNotOverdrawRetryBudget(t *testing.T) {
	w := newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) { return ConnectFailed, 0 })
	w.addUpstreams(4)
	w.run(5*time.Second, 100)
	if w.balancer.retryTokens < 0 {
		t.Errorf("retry budget is overdrawn: %v tokens", w.balancer.retryTokens)
	}
}

// The retry budget is relative to first attempts: a rejected request must earn no tokens.
func TestRejectedRequestsEarnNoRetryTokens(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(4)
	r.balancer.retryTokens = 0
	for i := range 20 {
		r.wantSend(r.request(fmt.Sprint(i), "c", time.Second))
	}
	if r.balancer.retryTokens != 20*retryTokensPerRequest {
		t.Errorf("retry budget is %.2f tokens after twenty first attempts, want 20 times retryTokensPerRequest", r.balancer.retryTokens)
	}
	r.now += 150 * ms // no attempt is answered: every request is rejected from now on
	for i := range 100 {
		r.wantFinal(r.request(fmt.Sprint("late", i), "c", time.Second), Reject)
	}
	if r.balancer.retryTokens != 20*retryTokensPerRequest {
		t.Errorf("retry budget changed to %.2f tokens after a hundred rejected requests, want no change", r.balancer.retryTokens)
	}
}

// A request with an idempotency key that may have run at an upstream of unknown group was sent to upstreams of other groups, which
// executed it again.
func TestRetryWithKeyNeverLeavesUnknownGroup(t *testing.T) {
	for scope, unknown := range map[DedupScope]Endpoint{
		ScopeZone: {Zone: "", Cell: 1},
		ScopeCell: {Zone: "a", Cell: UnknownCell},
	} {
		r := newHarness(t, keyedSettings(scope))
		p, q, s := unknown, unknown, unknown
		p.Name, q.Name, s.Name = "p", "q", "s"
		r.updateEndpoints(FullUpdate, p, q, s)
		r.wantSend(r.request("1", "k", time.Second))
		r.wantFinal(r.outcome("1", 0, ServerError, 10*ms), Fail) // at once: no upstream can get it any more
		r.wantSend(r.request("2", "k", time.Second))
		r.wantSend(r.outcome("2", 0, Rejected, 10*ms)) // it has not run
	}
}
