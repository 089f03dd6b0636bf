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

// goroutineEngine is the other way to own a Balancer, as the sidecar had it: one goroutine, an event channel, and a
// goroutine for each attempt. It is here to be measured beside Engine, and leaves out what the benchmark needs not.
type goroutineEngine struct {
	clock   clock.Clock
	b       *balancer.Balancer
	events  chan any
	stop    chan struct{}
	flights map[string]*goroutineCall
	timer   *time.Timer
	acts    []balancer.Action
}

type goroutineCall struct {
	call    Call
	carrier Transport
	answer  chan Answer
	sent    []time.Duration
	cancel  []context.CancelFunc
	out     int
	done    bool
}

type goroutineOutcome struct {
	f     *goroutineCall
	n     int
	at    time.Duration
	reply AttemptResult
}

func newGoroutineEngine(b *balancer.Balancer, c clock.Clock) *goroutineEngine {
	l := &goroutineEngine{clock: c, b: b, events: make(chan any, 256), stop: make(chan struct{}),
		flights: map[string]*goroutineCall{}, timer: time.NewTimer(time.Hour)}
	go l.run()
	return l
}

func (l *goroutineEngine) Do(ctx context.Context, c Call, carrier Transport) Answer {
	f := &goroutineCall{call: c, carrier: carrier, answer: make(chan Answer, 1)}
	select {
	case l.events <- f:
	case <-l.stop:
		return Answer{Kind: EngineClosed}
	}
	select {
	case a := <-f.answer:
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
				l.flights[ev.call.ID] = ev
				l.handle(balancer.Request{ID: ev.call.ID, Class: ev.call.Class, Deadline: ev.call.Deadline})
				l.forget(ev)
			case goroutineOutcome:
				ev.f.out--
				ev.f.cancel[ev.n]()
				if ev.reply.Result == balancer.OK {
					l.finish(ev.f, Answer{Kind: Served, Value: ev.reply.Value})
				}
				l.handle(balancer.Outcome{ID: ev.f.call.ID, Attempt: ev.n, Result: ev.reply.Result,
					Elapsed: ev.at - ev.f.sent[ev.n], Final: ev.f.done})
				l.forget(ev.f)
			}
		case <-l.timer.C:
			l.handle(balancer.TimerFired{})
		case <-l.stop:
			return
		}
	}
}

func (l *goroutineEngine) handle(e balancer.Event) {
	l.acts = l.b.Handle(l.clock.Now(), e, l.acts[:0])
	for i := range l.acts {
		a := &l.acts[i]
		switch f := l.flights[a.ID]; a.Kind {
		case balancer.Send:
			now := l.clock.Now()
			ctx, cancel := context.WithTimeout(context.Background(), min(f.call.Deadline-now, a.Timeout))
			n := len(f.sent)
			f.sent, f.cancel = append(f.sent, now), append(f.cancel, cancel)
			f.out++
			at := Attempt{ID: a.ID, Number: n, Upstream: a.Upstream}
			go func() {
				r := f.carrier.RoundTrip(ctx, at)
				select {
				case l.events <- goroutineOutcome{f, n, l.clock.Now(), r}:
				case <-l.stop:
				}
			}()
		case balancer.Cancel:
			f.cancel[a.Attempt]()
		case balancer.Reject:
			l.finish(f, Answer{Kind: Rejected})
		case balancer.Fail:
			l.finish(f, Answer{Kind: Failed})
		case balancer.SetTimer:
			l.timer.Reset(a.FireAt - l.clock.Now())
		}
	}
}

func (l *goroutineEngine) finish(f *goroutineCall, a Answer) {
	if !f.done {
		f.done = true
		f.answer <- a
	}
}

func (l *goroutineEngine) forget(f *goroutineCall) {
	if f.done && f.out == 0 {
		delete(l.flights, f.call.ID)
	}
}

// BenchmarkOwner measures a call whose attempt costs nothing, by who owns the Balancer. From the repository's root:
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

// BenchmarkMembers measures a call whose attempt costs nothing, by the length of the module's list.
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
