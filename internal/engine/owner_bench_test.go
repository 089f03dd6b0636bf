package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

// goroutineEngine is an alternative to Engine without a mutex: one goroutine owns the balancer and reads events from a
// channel, and each attempt has a goroutine. It implements only what BenchmarkOwner needs to compare the two.
type goroutineEngine struct {
	clock    clock.Clock
	balancer *balancer.Balancer
	events   chan any
	stop     chan struct{}
	calls    map[string]*goroutineCall
	timer    *time.Timer
	actions  []balancer.Action
}

type goroutineCall struct {
	request         Call
	transport       Transport
	answer          chan Answer
	startedAt       []time.Duration
	cancel          []context.CancelFunc
	runningAttempts int
	answered        bool
}

type goroutineOutcome struct {
	call    *goroutineCall
	attempt int
	endedAt time.Duration
	result  AttemptResult
}

func newGoroutineEngine(b *balancer.Balancer, c clock.Clock) *goroutineEngine {
	e := &goroutineEngine{clock: c, balancer: b, events: make(chan any, 256), stop: make(chan struct{}),
		calls: map[string]*goroutineCall{}, timer: time.NewTimer(time.Hour)}
	go e.run()
	return e
}

func (e *goroutineEngine) Do(ctx context.Context, request Call, transport Transport) Answer {
	call := &goroutineCall{request: request, transport: transport, answer: make(chan Answer, 1)}
	select {
	case e.events <- call:
	case <-e.stop:
		return Answer{Kind: EngineClosed}
	}
	select {
	case a := <-call.answer:
		return a
	case <-ctx.Done():
		return Answer{Kind: ClientGone}
	}
}

func (e *goroutineEngine) run() {
	for {
		select {
		case ev := <-e.events:
			switch ev := ev.(type) {
			case *goroutineCall:
				e.calls[ev.request.ID] = ev
				e.handle(balancer.Request{ID: ev.request.ID, Class: ev.request.Class, Deadline: ev.request.Deadline})
				e.removeIfComplete(ev)
			case goroutineOutcome:
				ev.call.runningAttempts--
				ev.call.cancel[ev.attempt]()
				if ev.result.Result == balancer.OK {
					e.finish(ev.call, Answer{Kind: Served, Value: ev.result.Value})
				}
				e.handle(balancer.Outcome{ID: ev.call.request.ID, Attempt: ev.attempt, Result: ev.result.Result,
					Elapsed: ev.endedAt - ev.call.startedAt[ev.attempt], Final: ev.call.answered})
				e.removeIfComplete(ev.call)
			}
		case <-e.timer.C:
			e.handle(balancer.TimerFired{})
		case <-e.stop:
			return
		}
	}
}

func (e *goroutineEngine) handle(event balancer.Event) {
	e.actions = e.balancer.Handle(e.clock.Now(), event, e.actions[:0])
	for i := range e.actions {
		a := &e.actions[i]
		switch call := e.calls[a.ID]; a.Kind {
		case balancer.Send:
			now := e.clock.Now()
			ctx, cancel := context.WithTimeout(context.Background(), min(call.request.Deadline-now, a.Timeout))
			number := len(call.startedAt)
			call.startedAt, call.cancel = append(call.startedAt, now), append(call.cancel, cancel)
			call.runningAttempts++
			info := Attempt{ID: a.ID, Number: number, Upstream: a.Upstream}
			go func() {
				r := call.transport.RoundTrip(ctx, info)
				select {
				case e.events <- goroutineOutcome{call, number, e.clock.Now(), r}:
				case <-e.stop:
				}
			}()
		case balancer.Cancel:
			call.cancel[a.Attempt]()
		case balancer.Reject:
			e.finish(call, Answer{Kind: Rejected})
		case balancer.Fail:
			e.finish(call, Answer{Kind: Failed})
		case balancer.SetTimer:
			e.timer.Reset(a.FireAt - e.clock.Now())
		}
	}
}

func (e *goroutineEngine) finish(call *goroutineCall, a Answer) {
	if !call.answered {
		call.answered = true
		call.answer <- a
	}
}

func (e *goroutineEngine) removeIfComplete(call *goroutineCall) {
	if call.answered && call.runningAttempts == 0 {
		delete(e.calls, call.request.ID)
	}
}

// BenchmarkOwner measures a call whose attempt returns at once, with Engine's mutex and with goroutineEngine. Run it in
// the root of the repository:
//
//	go test -run '^$' -bench Owner -benchmem -count 6 -cpu 1,4 ./internal/engine
func BenchmarkOwner(b *testing.B) {
	served := transportFunc(func(context.Context, Attempt) AttemptResult { return AttemptResult{Result: balancer.OK} })
	var endpoints []balancer.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, testEndpoint(fmt.Sprint(i), balancer.Active))
	}
	for _, owner := range []string{"mutex", "goroutine"} {
		b.Run(owner, func(b *testing.B) {
			clk := clock.New()
			e, err := New(Options{Settings: testSettings(), Seed: 1, Clock: clk, CachedEndpoints: endpoints})
			if err != nil {
				b.Fatal(err)
			}
			defer e.Close()
			do := e.Do
			if owner == "goroutine" {
				bal, err := balancer.New(testSettings(), 1)
				if err != nil {
					b.Fatal(err)
				}
				bal.Handle(clk.Now(), balancer.EndpointUpdate{Kind: balancer.CachedUpdate, Endpoints: endpoints}, nil)
				l := newGoroutineEngine(bal, clk)
				defer close(l.stop)
				do = l.Do
			}
			var id atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				for pb.Next() {
					c := Call{ID: fmt.Sprint(id.Add(1)), Class: "confirm", Deadline: clk.Now() + time.Second}
					if a := do(ctx, c, served); a.Kind != Served && a.Kind != Rejected {
						b.Fatalf("Do returned %+v, want Served or Rejected", a)
					}
				}
			})
		})
	}
}

// BenchmarkMembers measures a call whose attempt returns at once, for endpoint lists of several lengths. Run it in the
// root of the repository:
//
//	go test -run '^$' -bench Members -benchmem -count 5 -cpu 1 ./internal/engine
func BenchmarkMembers(b *testing.B) {
	served := transportFunc(func(context.Context, Attempt) AttemptResult { return AttemptResult{Result: balancer.OK} })
	for _, n := range []int{12, 50, 128, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("node-", i))
			}
			e := testEngine(b, nil, names...)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if a := e.Do(context.Background(), e.newTestCall(fmt.Sprint(i), "search"), served); a.Kind != Served && a.Kind != Rejected {
					b.Fatalf("Do returned %+v, want Served or Rejected", a)
				}
			}
		})
	}
}
