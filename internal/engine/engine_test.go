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

// New rejects an invalid setting with an error that names it.
func TestNewRejectsInvalidSettings(t *testing.T) {
	s := testSettings()
	s.Classes[0].Deadline = -1
	if _, err := New(Options{Settings: s, Clock: clock.New()}); err == nil || !strings.Contains(err.Error(), "Deadline") {
		t.Errorf("New with a negative deadline: error %v, want one that names Deadline", err)
	}
}

// An endpoint update is handled before all decisions that begin after Update was called, however many requests wait for
// the lock: no request is sent to an endpoint that the update marks as draining.
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
		t.Error("a request was sent to the endpoint that the update marks as draining")
	}
}

// A call that Abort has failed keeps that answer when an attempt succeeds later, and is removed once the attempt has
// ended.
func TestAbortGivesOneFinalAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s")
		go func() {
			time.Sleep(time.Second)
			e.Abort()
		}()
		start := time.Now()
		a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
			<-ctx.Done()
			return AttemptResult{Result: balancer.OK, Value: "late"}
		}))
		if a.Kind != Failed || time.Since(start) != time.Second {
			t.Errorf("Do returned %+v after %v, want Failed as soon as Abort is called after 1 s", a, time.Since(start))
		}
		if n := e.InFlight(); n != 0 {
			t.Errorf("%d calls are still in flight after Abort and the end of the attempt, want 0", n)
		}
	})
}

// A call whose attempts all hang is answered before its deadline, and all its attempts have ended by then.
func TestAnsweredBeforeDeadline(t *testing.T) {
	for _, class := range []string{"search", "record", "confirm"} {
		synctest.Test(t, func(t *testing.T) {
			e := testEngine(t, nil, "s", "u")
			start := time.Now()
			a := e.Do(t.Context(), e.newTestCall("1", class), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
				<-ctx.Done()
				if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
					return AttemptResult{Result: balancer.Timeout}
				}
				return AttemptResult{Result: balancer.Cancelled}
			}))
			took := time.Since(start)
			if a.Kind == Served || a.Kind == Rejected && class != "search" || took > 3*time.Second || took < 2*time.Second {
				t.Errorf("class %s: Do returned %+v after %v, want an unsuccessful answer after 2 s to 3 s", class, a, took)
			}
			if n := e.InFlight(); n != 0 {
				t.Errorf("class %s: %d calls are still in flight after the answer", class, n)
			}
		})
	}
}

// Successive attempts of a call run on the goroutine that called Do, one at a time.
func TestAttemptsRunOnCallerGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s", "u")
		var running, maxRunning, sends atomic.Int32
		a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, a Attempt) AttemptResult {
			maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
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
		if a.Kind != Served || a.Value != 2 || maxRunning.Load() != 1 || sends.Load() != 3 || a.Attempts != 3 {
			t.Errorf("Do returned %+v with %d attempts at once and %d sends, want the third attempt to succeed alone", a, maxRunning.Load(), sends.Load())
		}
	})
}

// When a hedged request is answered, Do does not wait for the call's other attempt, which is cancelled.
func TestHedgedRequestWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hedgesWon := atomic.Int32{}
		for seed := range uint64(20) {
			e := testEngine(t, func(o *Options) { o.Seed = seed }, "hangs", "answers")
			var wg sync.WaitGroup
			for i := range 3 { // two unanswered requests at one upstream make the balancer hedge
				wg.Go(func() {
					start := time.Now()
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
						if took := time.Since(start); took > 2500*time.Millisecond {
							t.Errorf("Do returned %+v of a hedged request after %v, want at most 2.5 s", a, took)
						}
					}
				})
			}
			wg.Wait()
			if n := e.InFlight(); n != 0 {
				t.Errorf("%d calls are still in flight after all attempts have ended, want 0", n)
			}
		}
		if hedgesWon.Load() == 0 {
			t.Error("no hedged request was answered")
		}
	})
}

// When a caller disconnects, its call gets no further attempt and is removed. The running attempt is cancelled with
// CancelWithCaller, and otherwise continues until it times out.
func TestCallerDisconnects(t *testing.T) {
	for _, cancels := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := testEngine(t, func(o *Options) { o.CancelWithCaller = cancels }, "s", "u")
			ctx, disconnect := context.WithTimeout(t.Context(), time.Second)
			defer disconnect()
			start, sends := time.Now(), 0
			a := e.Do(ctx, e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
				sends++
				<-ctx.Done()
				return AttemptResult{Result: balancer.Cancelled}
			}))
			if a.Kind != ClientGone || sends != 1 {
				t.Errorf("Do returned %+v after %d sends, want ClientGone after 1", a, sends)
			}
			if ended := time.Since(start) == time.Second; ended != cancels {
				t.Errorf("the attempt was cancelled when its caller disconnected: %v, want %v", ended, cancels)
			}
			if n := e.InFlight(); n != 0 {
				t.Errorf("%d calls are still in flight after the caller has disconnected, want 0", n)
			}
		})
	}
	e := testEngine(t, nil, "s")
	ctx, disconnect := context.WithCancel(t.Context())
	disconnect()
	if a := e.Do(ctx, e.newTestCall("1", "search"), transportFunc(func(context.Context, Attempt) AttemptResult {
		t.Error("a request was sent for a caller that had already disconnected")
		return AttemptResult{}
	})); a.Kind != ClientGone {
		t.Errorf("Do for a caller that had already disconnected returned %+v, want ClientGone", a)
	}
}

// An attempt that succeeds after its caller's context has ended still provides the answer.
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
			t.Errorf("Do returned %+v, want the answer of the attempt that succeeded", a)
		}
	})
}

// A second call with the ID of a call in flight is answered at once, and does not affect the first.
func TestDuplicateCallID(t *testing.T) {
	e := testEngine(t, nil, "s")
	inner := Answer{}
	a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(context.Context, Attempt) AttemptResult {
		inner = e.Do(t.Context(), e.newTestCall("1", "search"), nil)
		return AttemptResult{Result: balancer.OK}
	}))
	if a.Kind != Served || inner.Kind != Duplicate {
		t.Errorf("Do returned %+v, want Served; a second call with the same ID returned %+v, want Duplicate", a, inner)
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
		t.Errorf("Do returned %+v after %d sends and logged %q, want Failed after 1 and a log line with the panic", a, sends, logged)
	}
	if n := e.InFlight(); n != 0 {
		t.Errorf("%d calls are still in flight after the panic, want 0", n)
	}
}

// Close fails the calls in flight, and a closed engine accepts no further calls.
func TestClose(t *testing.T) {
	e := testEngine(t, nil, "s")
	go e.Close()
	a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
		<-ctx.Done()
		return AttemptResult{Result: balancer.Cancelled}
	}))
	if a.Kind != Failed && a.Kind != EngineClosed {
		t.Errorf("Do returned %+v while Close was called, want Failed or EngineClosed", a)
	}
	e.Close()
	if a := e.Do(t.Context(), e.newTestCall("2", "search"), nil); a.Kind != EngineClosed {
		t.Errorf("Do returned %+v after Close, want EngineClosed", a)
	}
	e.Update(balancer.EndpointUpdate{Kind: balancer.FullUpdate})
}

// The same seed, calls and attempt results give the same sequence of attempts and answers.
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
		t.Errorf("two runs with the same seed differ:\n%s\n%s", a, b)
	}
}

// Concurrent calls that end in all possible ways get one answer each, and none stays in flight. With -race, the test
// also checks the engine for data races.
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
		t.Errorf("%d calls are still in flight after all have been answered, want 0", n)
	}
	if answersByKind[Served].Load() == 0 || answersByKind[Duplicate].Load() != 0 {
		t.Errorf("numbers of Served, Rejected, Failed and Duplicate answers: %v, want some Served and no Duplicate", []int32{answersByKind[0].Load(), answersByKind[1].Load(), answersByKind[2].Load(), answersByKind[3].Load()})
	}
}
