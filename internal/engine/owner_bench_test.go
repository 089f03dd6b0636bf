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

// goroutineEngine is the alternative to Engine's mutex: one goroutine owns the balancer and reads events from a channel,
// and each attempt has a goroutine. BenchmarkOwner compares the two; what the benchmark does not need is left out.
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
	l := &goroutineEngine{clock: c, balancer: b, events: make(chan any, 256), stop: make(chan struct{}),
		calls: map[string]*goroutineCall{}, timer: time.NewTimer(time.Hour)}
	go l.run()
	return l
}

func (l *goroutineEngine) Do(ctx context.Context, request Call, transport Transport) Answer {
	call := &goroutineCall{request: request, transport: transport, answer: make(chan Answer, 1)}
	select {
	case l.events <- call:
	case <-l.stop:
		return Answer{Kind: EngineClosed}
	}
	select {
	case a := <-call.answer:
		return a
	case <-ctx.Done():
		return Answer{Kind: ClientGone}
	}
}

func (l *goroutineEngine) run() {
	for {
		select {
		case ev := <-l.events:
			switch ev := ev.(type) {
			case *goroutineCall:
				l.calls[ev.request.ID] = ev
				l.handle(balancer.Request{ID: ev.request.ID, Class: ev.request.Class, Deadline: ev.request.Deadline})
				l.forget(ev)
			case goroutineOutcome:
				ev.call.runningAttempts--
				ev.call.cancel[ev.attempt]()
				if ev.result.Result == balancer.OK {
					l.finish(ev.call, Answer{Kind: Served, Value: ev.result.Value})
				}
				l.handle(balancer.Outcome{ID: ev.call.request.ID, Attempt: ev.attempt, Result: ev.result.Result,
					Elapsed: ev.endedAt - ev.call.startedAt[ev.attempt], Final: ev.call.answered})
				l.forget(ev.call)
			}
		case <-l.timer.C:
			l.handle(balancer.TimerFired{})
		case <-l.stop:
			return
		}
	}
}

func (l *goroutineEngine) handle(event balancer.Event) {
	l.actions = l.balancer.Handle(l.clock.Now(), event, l.actions[:0])
	for i := range l.actions {
		a := &l.actions[i]
		switch call := l.calls[a.ID]; a.Kind {
		case balancer.Send:
			now := l.clock.Now()
			ctx, cancel := context.WithTimeout(context.Background(), min(call.request.Deadline-now, a.Timeout))
			number := len(call.startedAt)
			call.startedAt, call.cancel = append(call.startedAt, now), append(call.cancel, cancel)
			call.runningAttempts++
			info := Attempt{ID: a.ID, Number: number, Upstream: a.Upstream}
			go func() {
				r := call.transport.RoundTrip(ctx, info)
				select {
				case l.events <- goroutineOutcome{call, number, l.clock.Now(), r}:
				case <-l.stop:
				}
			}()
		case balancer.Cancel:
			call.cancel[a.Attempt]()
		case balancer.Reject:
			l.finish(call, Answer{Kind: Rejected})
		case balancer.Fail:
			l.finish(call, Answer{Kind: Failed})
		case balancer.SetTimer:
			l.timer.Reset(a.FireAt - l.clock.Now())
		}
	}
}

func (l *goroutineEngine) finish(call *goroutineCall, a Answer) {
	if !call.answered {
		call.answered = true
		call.answer <- a
	}
}

func (l *goroutineEngine) forget(call *goroutineCall) {
	if call.answered && call.runningAttempts == 0 {
		delete(l.calls, call.request.ID)
	}
}

// BenchmarkOwner measures a call whose attempt costs nothing, by what owns the balancer. From the repository's root:
//
//	go test -run '^$' -bench Owner -benchmem -count 6 -cpu 1,4 ./internal/engine
func BenchmarkOwner(b *testing.B) {
	served := transportFunc(func(context.Context, Attempt) AttemptResult { return AttemptResult{Result: balancer.OK} })
	var names []balancer.Endpoint
	for i := range 12 {
		names = append(names, testEndpoint(fmt.Sprint(i), balancer.Active))
	}
	for _, owner := range []string{"mutex", "goroutine"} {
		b.Run(owner, func(b *testing.B) {
			clk := clock.New()
			e, err := New(Options{Settings: testSettings(), Seed: 1, Clock: clk, CachedEndpoints: names})
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
				bal.Handle(clk.Now(), balancer.EndpointUpdate{Kind: balancer.CachedUpdate, Endpoints: names}, nil)
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
						b.Fatalf("answered %+v", a)
					}
				}
			})
		})
	}
}

// BenchmarkMembers measures a call whose attempt costs nothing, by the length of the endpoint list.
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
					b.Fatalf("answered %+v", a)
				}
			}
		})
	}
}
