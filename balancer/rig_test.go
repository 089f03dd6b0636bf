package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// rig drives a Balancer by hand.
type rig struct {
	t    *testing.T
	b    *Balancer
	now  time.Duration
	acts []Action // of the last call
	logs []string
}

// testSettings are a plain site: one safe class, copies and cancelling allowed, pushed list.
func testSettings() Settings {
	return Settings{
		FleetSize: 2, Zone: "a", Tick: 5 * ms, MaxAttempts: 4, HedgingAllowed: true, CancellationAllowed: true,
		RetryAfterAllowed: true, MaxRetryAfter: time.Second, ConnectTimeout: 200 * ms,
		SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		Classes: []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1}},
	}
}

func newRig(t *testing.T, s Settings) *rig {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, b: b, now: time.Minute}
}

func (r *rig) do(e Event) []Action {
	r.acts = r.b.Handle(r.now, e, nil)
	for _, a := range r.acts {
		if a.Kind == Log {
			r.logs = append(r.logs, a.Text)
		}
	}
	return r.acts
}

// pass lets time go by, with a Wake each tick.
func (r *rig) pass(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		r.now += r.b.settings.Tick
		all = append(all, r.do(TimerFired{})...)
	}
	return all
}

func (r *rig) list(kind UpdateKind, m ...Endpoint) []Action {
	return r.do(EndpointUpdate{Kind: kind, Endpoints: m})
}

func (r *rig) fleet(n int) {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("u%d", i), Zone: "a"})
	}
	r.list(FullUpdate, list...)
}

func (r *rig) request(id, class string, left time.Duration) []Action {
	return r.do(Request{ID: id, Class: class, Deadline: r.now + left})
}

func (r *rig) result(id string, n int, res Result, elapsed time.Duration) []Action {
	return r.do(Outcome{ID: id, Attempt: n, Result: res, Elapsed: elapsed, Final: res == OK})
}

// kinds picks the actions of one kind.
func kinds(acts []Action, k ActionKind) (out []Action) {
	for _, a := range acts {
		if a.Kind == k {
			out = append(out, a)
		}
	}
	return out
}

// finals are the final answers among acts.
func finals(acts []Action) []Action { return append(kinds(acts, Reject), kinds(acts, Fail)...) }

// wantSend fails the test unless acts hold exactly one attempt, and returns its upstream.
func (r *rig) wantSend(acts []Action) string {
	r.t.Helper()
	s := kinds(acts, Send)
	if len(s) != 1 {
		r.t.Fatalf("want one attempt, got %+v", acts)
	}
	return s[0].Upstream
}

// wantFinal fails the test unless acts hold exactly one final answer of kind k and no attempt.
func (r *rig) wantFinal(acts []Action, k ActionKind) {
	r.t.Helper()
	if f := finals(acts); len(f) != 1 || f[0].Kind != k || len(kinds(acts, Send)) > 0 {
		r.t.Fatalf("want one final answer of kind %d and no attempt, got %+v", k, acts)
	}
}

func (r *rig) wantNothing(acts []Action) {
	r.t.Helper()
	if len(finals(acts)) > 0 || len(kinds(acts, Send)) > 0 {
		r.t.Fatalf("want no attempt and no answer, got %+v", acts)
	}
}
