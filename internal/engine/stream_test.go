package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/balancer"
)

// Do returns a streamed answer as soon as it begins. The stream outlasts every deadline, and its call stays in flight
// until EndStream.
func TestStreamedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s", "u")
		var streamCtx context.Context
		a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
			streamCtx = ctx
			return AttemptResult{Streaming: true, Value: "first"}
		}))
		if a.Kind != Served || a.Value != "first" || e.InFlight() != 1 {
			t.Fatalf("Do returned %+v with %d calls in flight, want the streamed answer and 1 call in flight", a, e.InFlight())
		}
		time.Sleep(time.Minute) // longer than any deadline
		if streamCtx.Err() != nil {
			t.Errorf("the stream's context ended before EndStream: %v", context.Cause(streamCtx))
		}
		for range 2 {
			a.EndStream(balancer.Reset)
		}
		if streamCtx.Err() == nil || e.InFlight() != 0 {
			t.Errorf("after EndStream: context error %v, want one; %d calls in flight, want 0", streamCtx.Err(), e.InFlight())
		}
	})
}

// A streamed answer that begins just as its attempt's timeout expires is not returned, since the connection is being
// closed. The attempt counts as timed out, and the balancer decides on a retry; a non-idempotent call is not retried.
func TestStreamBeginsAsAttemptExpires(t *testing.T) {
	for name, class := range map[string]string{"idempotent": "search", "non-idempotent": "confirm"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := testEngine(t, nil, "s", "u")
				attempts := 0
				a := e.Do(t.Context(), e.newTestCall("1", class), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
					<-ctx.Done() // the answer begins as the timeout expires
					attempts++
					return AttemptResult{Result: balancer.OK, Streaming: true, PassThrough: true, Value: "a part"}
				}))
				if a.Kind == Served || a.Value != nil || class == "confirm" && a.Kind != Failed {
					t.Errorf("after %d attempts Do returned kind %v with value %v, want an answer that is not Served and has no value", attempts, a.Kind, a.Value)
				}
				if class == "confirm" && attempts != 1 {
					t.Errorf("%d attempts of a non-idempotent call that may have been executed, want 1", attempts)
				}
			})
		})
	}
}
