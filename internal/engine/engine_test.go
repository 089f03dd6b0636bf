package engine

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/logging"
)

// New reports a setting that cannot be used, by its name.
func TestNewRejectsInvalidSettings(t *testing.T) {
	s := testSettings()
	s.Classes[0].Deadline = -1
	if _, err := New(Options{Settings: s, Clock: clock.New()}); err == nil || !strings.Contains(err.Error(), "Deadline") {
		t.Errorf("error %v", err)
	}
}

// However many requests wait for the lock, an update is handled before any decision that begins after Update was called:
// none is sent to an endpoint that it says is draining.
func TestUpdatesAreHandledBeforeRequests(t *testing.T) {
	e := testEngine(t, nil, "draining", "active")
	e.mu.Lock() // all goroutines below wait for it
	var sent sync.Map
	var wg sync.WaitGroup
	arrived := atomic.Int32{}
	for i := range 50 {
		wg.Go(func() {
			arrived.Add(1)
			e.Do(context.Background(), e.newTestCall(fmt.Sprint(i), "search"), transportFunc(func(_ context.Context, a Attempt) AttemptResult {
				sent.Store(a.Upstream, true)
				return AttemptResult{Result: balancer.OK}
			}))
		})
	}
	wg.Go(func() {
		e.Update(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: []balancer.Endpoint{testEndpoint("draining", balancer.Draining)}})
	})
	for arrived.Load() < 50 || !e.updatesPending.Load() {
		time.Sleep(time.Millisecond)
	}
	e.mu.Unlock()
	wg.Wait()
	if _, ok := sent.Load("draining"); ok {
		t.Error("sent to the draining endpoint")
	}
}

// A call that Abort has failed keeps that answer when an attempt succeeds late, and is forgotten once the attempt has
// ended.
func TestAbortGivesOneFinalAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s")
		go func() {
			time.Sleep(time.Second)
			e.Abort()
		}()
		begun := time.Now()
		a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
			<-ctx.Done()
			return AttemptResult{Result: balancer.OK, Value: "late"}
		}))
		if a.Kind != Failed || time.Since(begun) != time.Second {
			t.Errorf("answered %+v after %v", a, time.Since(begun))
		}
		if n := e.InFlight(); n != 0 {
			t.Errorf("%d calls are still in flight", n)
		}
	})
}

// A call whose attempts all hang is answered before its deadline, and no attempt outlasts it.
func TestAnsweredBeforeDeadline(t *testing.T) {
	for _, class := range []string{"search", "record", "confirm"} {
		synctest.Test(t, func(t *testing.T) {
			e := testEngine(t, nil, "s", "u")
			begun := time.Now()
			a := e.Do(t.Context(), e.newTestCall("1", class), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
				<-ctx.Done()
				if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
					return AttemptResult{Result: balancer.Timeout}
				}
				return AttemptResult{Result: balancer.Cancelled}
			}))
			took := time.Since(begun)
			if a.Kind == Served || a.Kind == Rejected && class != "search" || took > 3*time.Second || took < 2*time.Second {
				t.Errorf("%s: answered %+v after %v", class, a, took)
			}
			if n := e.InFlight(); n != 0 {
				t.Errorf("%s: %d calls are still in flight", class, n)
			}
		})
	}
}

// Attempts that follow one another run on the goroutine in Do, one at a time.
func TestAttemptsRunOnCallerGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s", "u")
		var running, most, sends atomic.Int32
		a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, a Attempt) AttemptResult {
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
			sends.Add(1)
			switch a.Number {
			case 0:
				return AttemptResult{Result: balancer.ConnectFailed}
			case 1:
				return AttemptResult{Result: balancer.Rejected}
			}
			return AttemptResult{Result: balancer.OK, Value: a.Number}
		}))
		if a.Kind != Served || a.Value != 2 || most.Load() != 1 || sends.Load() != 3 || a.Attempts != 3 {
			t.Errorf("answered %+v, %d at once, %d sends", a, most.Load(), sends.Load())
		}
	})
}

// The answer of a hedged request does not wait for the attempt beside it: that is cancelled.
func TestHedgedRequestWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hedgesWon := atomic.Int32{}
		for seed := range uint64(20) {
			e := testEngine(t, func(o *Options) { o.Seed = seed }, "hangs", "answers")
			var wg sync.WaitGroup
			for i := range 3 { // two unanswered requests at one upstream are a reason to hedge
				wg.Go(func() {
					begun := time.Now()
					a := e.Do(t.Context(), e.newTestCall(fmt.Sprint(i), "search"),
						transportFunc(func(ctx context.Context, a Attempt) AttemptResult {
							if a.Upstream == "hangs" {
								<-ctx.Done()
								return AttemptResult{Result: balancer.Cancelled}
							}
							time.Sleep(10 * time.Millisecond)
							return AttemptResult{Result: balancer.OK, Value: a.Upstream}
						}))
					if a.Kind == Served && a.Attempts > 1 {
						hedgesWon.Add(1)
						if took := time.Since(begun); took > 2500*time.Millisecond {
							t.Errorf("answered %+v after %v", a, took)
						}
					}
				})
			}
			wg.Wait()
			if n := e.InFlight(); n != 0 {
				t.Errorf("%d calls are still in flight", n)
			}
		}
		if hedgesWon.Load() == 0 {
			t.Error("no hedged request ever won")
		}
	})
}

// A caller that disconnects gets no further attempt, and its call is forgotten. Its attempt is cancelled with
// CancelWithCaller, and otherwise runs on until it times out.
func TestCallerDisconnects(t *testing.T) {
	for _, cancels := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := testEngine(t, func(o *Options) { o.CancelWithCaller = cancels }, "s", "u")
			ctx, disconnect := context.WithTimeout(t.Context(), time.Second)
			defer disconnect()
			begun, sends := time.Now(), 0
			a := e.Do(ctx, e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
				sends++
				<-ctx.Done()
				return AttemptResult{Result: balancer.Cancelled}
			}))
			if a.Kind != ClientGone || sends != 1 {
				t.Errorf("answered %+v after %d sends", a, sends)
			}
			if ended := time.Since(begun) == time.Second; ended != cancels {
				t.Errorf("cancelled with its caller: %v, want %v", ended, cancels)
			}
			if n := e.InFlight(); n != 0 {
				t.Errorf("%d calls are still in flight", n)
			}
		})
	}
	e := testEngine(t, nil, "s")
	ctx, disconnect := context.WithCancel(t.Context())
	disconnect()
	if a := e.Do(ctx, e.newTestCall("1", "search"), transportFunc(func(context.Context, Attempt) AttemptResult {
		t.Error("sent for a caller that had disconnected")
		return AttemptResult{}
	})); a.Kind != ClientGone {
		t.Errorf("answered %+v", a)
	}
}

// An attempt that succeeds after its caller's context has ended is still the answer.
func TestServedAfterDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s")
		ctx, disconnect := context.WithCancel(t.Context())
		a := e.Do(ctx, e.newTestCall("1", "confirm"), transportFunc(func(context.Context, Attempt) AttemptResult {
			disconnect()
			synctest.Wait()
			return AttemptResult{Result: balancer.OK, Value: "answer"}
		}))
		if a.Kind != Served || a.Value != "answer" {
			t.Errorf("answered %+v", a)
		}
	})
}

// A second call with the ID of a call in flight is answered at once, and does not disturb the first.
func TestDuplicateCallID(t *testing.T) {
	e := testEngine(t, nil, "s")
	inner := Answer{}
	a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(context.Context, Attempt) AttemptResult {
		inner = e.Do(t.Context(), e.newTestCall("1", "search"), nil)
		return AttemptResult{Result: balancer.OK}
	}))
	if a.Kind != Served || inner.Kind != Duplicate {
		t.Errorf("answered %+v, the second %+v", a, inner)
	}
}

// A panic of the Transport is logged, counts as an attempt that may have run, and leaves no call in flight.
func TestTransportPanic(t *testing.T) {
	logged := ""
	e := testEngine(t, func(o *Options) { o.Log = logging.NewFunc(func(text string) { logged += text }) }, "s", "u")
	sends := 0
	a := e.Do(t.Context(), e.newTestCall("1", "confirm"), transportFunc(func(context.Context, Attempt) AttemptResult {
		sends++
		panic("boom")
	}))
	if a.Kind != Failed || sends != 1 || !strings.Contains(logged, "boom") {
		t.Errorf("answered %+v after %d sends, said %q", a, sends, logged)
	}
	if n := e.InFlight(); n != 0 {
		t.Errorf("%d calls are still in flight", n)
	}
}

// Close fails the calls in flight, and a closed engine takes no further ones.
func TestClose(t *testing.T) {
	e := testEngine(t, nil, "s")
	go e.Close()
	a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
		<-ctx.Done()
		return AttemptResult{Result: balancer.Cancelled}
	}))
	if a.Kind != Failed && a.Kind != EngineClosed {
		t.Errorf("answered %+v", a)
	}
	e.Close()
	if a := e.Do(t.Context(), e.newTestCall("2", "search"), nil); a.Kind != EngineClosed {
		t.Errorf("answered %+v", a)
	}
	e.Update(balancer.EndpointUpdate{Kind: balancer.FullUpdate})
}

// The same seed and the same script give the same attempts and answers.
func TestSameSeedSameTrace(t *testing.T) {
	trace := func() (out string) {
		synctest.Test(t, func(t *testing.T) {
			e := testEngine(t, nil, "s", "u", "v", "w")
			for i := range 100 {
				a := e.Do(t.Context(), e.newTestCall(fmt.Sprint(i), []string{"search", "record", "confirm"}[i%3]),
					transportFunc(func(_ context.Context, a Attempt) AttemptResult {
						out += a.Upstream
						time.Sleep(time.Duration(10+len(out)%7) * time.Millisecond)
						return AttemptResult{Result: []balancer.Result{balancer.OK, balancer.OK, balancer.OK, balancer.ServerError,
							balancer.ConnectFailed}[len(out)%5]}
					}))
				out += fmt.Sprint(a.Kind, " ")
			}
		})
		return out
	}
	if a, b := trace(), trace(); a != b {
		t.Errorf("two traces:\n%s\n%s", a, b)
	}
}

// Concurrent calls with every kind of end get one answer each, and none stays in flight. The race detector watches.
func TestConcurrentCalls(t *testing.T) {
	e := testEngine(t, nil, "s", "u", "v")
	var wg sync.WaitGroup
	var answersByKind [8]atomic.Int32
	for i := range 2000 {
		wg.Go(func() {
			ctx := t.Context()
			if i%11 == 0 {
				c, cancel := context.WithTimeout(ctx, time.Duration(i%5)*time.Millisecond)
				defer cancel()
				ctx = c
			}
			a := e.Do(ctx, e.newTestCall(fmt.Sprint(i), []string{"search", "record", "confirm"}[i%3]),
				transportFunc(func(ctx context.Context, a Attempt) AttemptResult {
					select {
					case <-time.After(time.Duration(i%7) * time.Millisecond):
						return AttemptResult{Result: balancer.Result(i % 9)}
					case <-ctx.Done():
						return AttemptResult{Result: balancer.Cancelled}
					}
				}))
			answersByKind[a.Kind].Add(1)
		})
		if i%50 == 0 {
			wg.Go(func() {
				e.Update(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: []balancer.Endpoint{testEndpoint("v", balancer.EndpointState(i/50%3))}})
			})
		}
	}
	wg.Wait()
	if n := e.InFlight(); n != 0 {
		t.Errorf("%d calls are still in flight", n)
	}
	if answersByKind[Served].Load() == 0 || answersByKind[Duplicate].Load() != 0 {
		t.Errorf("answers by kind: %v", []int32{answersByKind[0].Load(), answersByKind[1].Load(), answersByKind[2].Load(), answersByKind[3].Load()})
	}
}
