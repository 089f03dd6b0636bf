package engine

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// transportFunc is a function that implements Transport.
type transportFunc func(ctx context.Context, a Attempt) AttemptResult

func (f transportFunc) RoundTrip(ctx context.Context, a Attempt) AttemptResult { return f(ctx, a) }

func testSettings() balancer.Settings {
	class := func(name string, idempotency balancer.Idempotency) balancer.Class {
		return balancer.Class{Name: name, LatencyObjective: time.Second, Deadline: 4 * time.Second, LateValueFraction: 0.5, Idempotency: idempotency,
			DedupScope: balancer.ScopeZone, DedupWindow: 6 * time.Second}
	}
	return balancer.Settings{Zone: "a", Classes: []balancer.Class{class("search", balancer.Idempotent),
		class("record", balancer.IdempotentWithKey), class("confirm", balancer.NonIdempotent)}, Tick: 5 * time.Millisecond, MaxAttempts: 5,
		HedgingAllowed: true, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 1500 * time.Millisecond}
}

func testEndpoint(name string, state balancer.EndpointState) balancer.Endpoint {
	return balancer.Endpoint{Name: name, Zone: "a", State: state}
}

func testEngine(t testing.TB, configure func(*Options), names ...string) *Engine {
	t.Helper()
	o := Options{Settings: testSettings(), Seed: 1, Clock: clock.New()}
	for _, name := range names {
		o.CachedEndpoints = append(o.CachedEndpoints, testEndpoint(name, balancer.Active))
	}
	if configure != nil {
		configure(&o)
	}
	e, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func (e *Engine) newTestCall(id, class string) Call {
	return Call{ID: id, Class: class, Deadline: e.clock.Now() + 3*time.Second}
}
