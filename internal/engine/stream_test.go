package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/balancer"
)

// A streamed answer ends its call at once, outlasts every deadline, and stays in flight until EndStream.
func TestStreamedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s", "u")
		var streamCtx context.Context
		a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
			streamCtx = ctx
			return AttemptResult{Streaming: true, Value: "first"}
		}))
		if a.Kind != Served || a.Value != "first" || e.InFlight() != 1 {
			t.Fatalf("answered %+v, %d in flight", a, e.InFlight())
		}
		time.Sleep(time.Minute) // far beyond any deadline
		if streamCtx.Err() != nil {
			t.Errorf("the stream was ended: %v", context.Cause(streamCtx))
		}
		for range 2 {
			a.EndStream(balancer.Reset)
		}
		if streamCtx.Err() == nil || e.InFlight() != 0 {
			t.Errorf("after its end: context %v, %d in flight", streamCtx.Err(), e.InFlight())
		}
	})
}

// A streamed answer that begins just as its attempt expires is not passed on, since its connection is being closed: the
// attempt timed out, and the balancer decides again. A non-idempotent call is not attempted again.
func TestStreamBeginsAsAttemptExpires(t *testing.T) {
	for name, class := range map[string]string{"idempotent": "search", "non-idempotent": "confirm"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := testEngine(t, nil, "s", "u")
				begun := 0
				a := e.Do(t.Context(), e.newTestCall("1", class), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
					<-ctx.Done() // the last moment
					begun++
					return AttemptResult{Result: balancer.OK, Streaming: true, PassThrough: true, Value: "a part"}
				}))
				if a.Kind == Served || a.Value != nil || class == "confirm" && a.Kind != Failed {
					t.Errorf("after %d attempts: kind %v with %v", begun, a.Kind, a.Value)
				}
				if class == "confirm" && begun != 1 {
					t.Errorf("%d attempts of what may have run", begun)
				}
			})
		})
	}
}
