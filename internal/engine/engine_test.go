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

	"go.uber.org/goleak"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/logging"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// transportFunc is a Carrier made of a function.
type transportFunc func(ctx context.Context, a Attempt) AttemptResult

func (c transportFunc) RoundTrip(ctx context.Context, a Attempt) AttemptResult { return c(ctx, a) }

func testSettings() balancer.Settings {
	class := func(name string, e balancer.Idempotency) balancer.Class {
		return balancer.Class{Name: name, LatencyObjective: time.Second, Deadline: 4 * time.Second, LateValueFraction: 0.5, Idempotency: e,
			DedupScope: balancer.ScopeZone, DedupWindow: 6 * time.Second}
	}
	return balancer.Settings{Zone: "a", Classes: []balancer.Class{class("search", balancer.Idempotent),
		class("record", balancer.IdempotentWithKey), class("confirm", balancer.NonIdempotent)}, Tick: 5 * time.Millisecond, MaxAttempts: 5,
		HedgingAllowed: true, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 1500 * time.Millisecond}
}

func testEndpoint(name string, state balancer.EndpointState) balancer.Endpoint {
	return balancer.Endpoint{Name: name, Zone: "a", State: state}
}

func testEngine(t testing.TB, change func(*Options), names ...string) *Engine {
	t.Helper()
	o := Options{Settings: testSettings(), Seed: 1, Clock: clock.New()}
	for _, name := range names {
		o.CachedEndpoints = append(o.CachedEndpoints, testEndpoint(name, balancer.Active))
	}
	if change != nil {
		change(&o)
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

// Guards against an engine that starts with settings that it can't use.
func TestNewNamesTheBadSetting(t *testing.T) {
	s := testSettings()
	s.Classes[0].Deadline = -1
	if _, err := New(Options{Settings: s, Clock: clock.New()}); err == nil || !strings.Contains(err.Error(), "Deadline") {
		t.Errorf("error %v", err)
	}
}

// Guards against sends to what a list already forbids: however many requests wait for the Balancer, news that Update
// was called with is handled before any decision that begins after it.
func TestNewsGoesBeforeRequests(t *testing.T) {
	e := testEngine(t, nil, "drains", "stays")
	e.mu.Lock() // everything below waits for it
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
		e.Update(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: []balancer.Endpoint{testEndpoint("drains", balancer.Draining)}})
	})
	for arrived.Load() < 50 || !e.updatesPending.Load() {
		time.Sleep(time.Millisecond)
	}
	e.mu.Unlock()
	wg.Wait()
	if _, ok := sent.Load("drains"); ok {
		t.Error("sent to the one that drains")
	}
}

// Guards against two answers and against a request that is never forgotten: a copy's answer after the request was
// failed goes nowhere, and each attempt is still reported to the module.
func TestOneFinalAnswer(t *testing.T) {
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
			t.Errorf("%d requests are still in hand", n)
		}
	})
}

// Guards against an attempt that outlasts its request, and against an answer that comes after the client's time.
func TestAnsweredInTime(t *testing.T) {
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
				t.Errorf("%s: %d requests are still in hand", class, n)
			}
		})
	}
}

// Guards against a hop that costs: what the caller can carry out itself runs on its goroutine, one attempt after
// another; a second copy runs beside it and its answer ends the first.
func TestCallerCarriesOut(t *testing.T) {
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

// Guards against a copy's answer that waits for the attempt that it was sent beside: the winner calls that off.
func TestSecondCopyWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copies := atomic.Int32{}
		for seed := range uint64(20) {
			e := testEngine(t, func(o *Options) { o.Seed = seed }, "hangs", "answers")
			var wg sync.WaitGroup
			for i := range 3 { // two unanswered at one upstream are a reason for a copy
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
						copies.Add(1)
						if took := time.Since(begun); took > 2500*time.Millisecond {
							t.Errorf("answered %+v after %v", a, took)
						}
					}
				})
			}
			wg.Wait()
			if n := e.InFlight(); n != 0 {
				t.Errorf("%d requests are still in hand", n)
			}
		}
		if copies.Load() == 0 {
			t.Error("no copy ever won")
		}
	})
}

// Guards against work for callers that have left, and against a request that the module holds for ever.
func TestCallerLeaves(t *testing.T) {
	for _, cancels := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := testEngine(t, func(o *Options) { o.CancelWithCaller = cancels }, "s", "u")
			ctx, leave := context.WithTimeout(t.Context(), time.Second)
			defer leave()
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
				t.Errorf("%d requests are still in hand", n)
			}
		})
	}
	e := testEngine(t, nil, "s")
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if a := e.Do(ctx, e.newTestCall("1", "search"), transportFunc(func(context.Context, Attempt) AttemptResult {
		t.Error("sent for a caller that had left")
		return AttemptResult{}
	})); a.Kind != ClientGone {
		t.Errorf("answered %+v", a)
	}
}

// Guards against an answer thrown away: the client was thought to have left, and is there after all.
func TestServedThoughThoughtGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s")
		ctx, leave := context.WithCancel(t.Context())
		a := e.Do(ctx, e.newTestCall("1", "confirm"), transportFunc(func(context.Context, Attempt) AttemptResult {
			leave()
			synctest.Wait()
			return AttemptResult{Result: balancer.OK, Value: "whole"}
		}))
		if a.Kind != Served || a.Value != "whole" {
			t.Errorf("answered %+v", a)
		}
	})
}

// Guards against two requests of one id: the module would ignore the second, and it would wait for ever.
func TestDuplicate(t *testing.T) {
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

// Guards against a front's panic that leaves a request in hand, or repeats what may have run.
func TestPanicInAnAttempt(t *testing.T) {
	said := ""
	e := testEngine(t, func(o *Options) { o.Log = logging.NewFunc(func(text string) { said += text }) }, "s", "u")
	sends := 0
	a := e.Do(t.Context(), e.newTestCall("1", "confirm"), transportFunc(func(context.Context, Attempt) AttemptResult {
		sends++
		panic("boom")
	}))
	if a.Kind != Failed || sends != 1 || !strings.Contains(said, "boom") {
		t.Errorf("answered %+v after %d sends, said %q", a, sends, said)
	}
	if n := e.InFlight(); n != 0 {
		t.Errorf("%d requests are still in hand", n)
	}
}

// Guards against a second attempt of a stream that has begun, and against a stream whose end the module never hears.
func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := testEngine(t, nil, "s", "u")
		var streamCtx context.Context
		a := e.Do(t.Context(), e.newTestCall("1", "search"), transportFunc(func(ctx context.Context, _ Attempt) AttemptResult {
			streamCtx = ctx
			return AttemptResult{Streaming: true, Value: "first"}
		}))
		if a.Kind != Served || a.Value != "first" || e.InFlight() != 1 {
			t.Fatalf("answered %+v, %d in hand", a, e.InFlight())
		}
		time.Sleep(time.Minute) // far beyond any deadline: the stream is its reader's
		if streamCtx.Err() != nil {
			t.Errorf("the stream was ended: %v", context.Cause(streamCtx))
		}
		for range 2 {
			a.EndStream(balancer.Reset)
		}
		if streamCtx.Err() == nil || e.InFlight() != 0 {
			t.Errorf("after its end: context %v, %d in hand", streamCtx.Err(), e.InFlight())
		}
	})
}

// Guards against a closed engine that still takes calls, and one that closes under them.
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

// Guards against a trace that depends on anything but the seed: the same script gives the same sends and answers.
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

// Many calls at once, with every kind of end: one answer each, nothing left in hand. For the race detector too.
func TestManyAtOnce(t *testing.T) {
	e := testEngine(t, nil, "s", "u", "v")
	var wg sync.WaitGroup
	var kinds [8]atomic.Int32
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
			kinds[a.Kind].Add(1)
		})
		if i%50 == 0 {
			wg.Go(func() {
				e.Update(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: []balancer.Endpoint{testEndpoint("v", balancer.EndpointState(i/50%3))}})
			})
		}
	}
	wg.Wait()
	if n := e.InFlight(); n != 0 {
		t.Errorf("%d requests are still in hand", n)
	}
	if kinds[Served].Load() == 0 || kinds[Duplicate].Load() != 0 {
		t.Errorf("answers by kind: %v", []int32{kinds[0].Load(), kinds[1].Load(), kinds[2].Load(), kinds[3].Load()})
	}
}

// Guards against an answer that begins as its attempt is over: its connection is closed by then, so that its client would have a part of
// it and no end. It is not begun; the attempt's end is what ended it, and the module decides anew.
func TestAnswerBeginsAsItsAttemptEnds(t *testing.T) {
	for name, class := range map[string]string{"safe": "search", "unsafe": "confirm"} {
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
