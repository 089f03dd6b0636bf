package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness passes events to a Balancer at the times of its own clock, and collects the log.
type harness struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	actions  []Action // actions of the latest event
	logs     []string
}

// testSettings returns settings with one idempotent class, where hedging and cancellation are allowed and endpoint
// lists come without a subscription.
func testSettings() Settings {
	return Settings{
		FleetSize: 2, Zone: "a", Tick: 5 * ms, MaxAttempts: 4, HedgingAllowed: true, CancellationAllowed: true,
		RetryAfterAllowed: true, MaxRetryAfter: time.Second, ConnectTimeout: 200 * ms,
		SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		Classes: []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1}},
	}
}

func newHarness(t *testing.T, s Settings) *harness {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, balancer: b, now: time.Minute}
}

func (r *harness) handle(e Event) []Action {
	r.actions = r.balancer.Handle(r.now, e, nil)
	for _, a := range r.actions {
		if a.Kind == Log {
			r.logs = append(r.logs, a.Text)
		}
	}
	return r.actions
}

// advance advances the clock by d, with a TimerFired each tick.
func (r *harness) advance(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		r.now += r.balancer.settings.Tick
		all = append(all, r.handle(TimerFired{})...)
	}
	return all
}

func (r *harness) updateEndpoints(kind UpdateKind, m ...Endpoint) []Action {
	return r.handle(EndpointUpdate{Kind: kind, Endpoints: m})
}

func (r *harness) addUpstreams(n int) {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("u%d", i), Zone: "a"})
	}
	r.updateEndpoints(FullUpdate, list...)
}

func (r *harness) request(id, class string, timeLeft time.Duration) []Action {
	return r.handle(Request{ID: id, Class: class, Deadline: r.now + timeLeft})
}

func (r *harness) outcome(id string, n int, res Result, elapsed time.Duration) []Action {
	return r.handle(Outcome{ID: id, Attempt: n, Result: res, Elapsed: elapsed, Final: res == OK})
}

// ofKind returns the actions of one kind.
func ofKind(acts []Action, k ActionKind) (out []Action) {
	for _, a := range acts {
		if a.Kind == k {
			out = append(out, a)
		}
	}
	return out
}

// finalAnswers returns the final answers among acts.
func finalAnswers(acts []Action) []Action { return append(ofKind(acts, Reject), ofKind(acts, Fail)...) }

// wantSend fails the test unless acts contain exactly one Send, and returns its upstream.
func (r *harness) wantSend(acts []Action) string {
	r.t.Helper()
	s := ofKind(acts, Send)
	if len(s) != 1 {
		r.t.Fatalf("want exactly one attempt, got actions %+v", acts)
	}
	return s[0].Upstream
}

// wantFinal fails the test unless acts contain exactly one final answer, of kind k, and no attempt.
func (r *harness) wantFinal(acts []Action, k ActionKind) {
	r.t.Helper()
	if f := finalAnswers(acts); len(f) != 1 || f[0].Kind != k || len(ofKind(acts, Send)) > 0 {
		r.t.Fatalf("want one final answer of kind %d and no attempt, got actions %+v", k, acts)
	}
}

func (r *harness) wantNothing(acts []Action) {
	r.t.Helper()
	if len(finalAnswers(acts)) > 0 || len(ofKind(acts, Send)) > 0 {
		r.t.Fatalf("want no attempt and no final answer, got actions %+v", acts)
	}
}
