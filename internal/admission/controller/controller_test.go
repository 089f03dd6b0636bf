package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTestController(t *testing.T, change func(*Options)) *Controller {
	t.Helper()
	o := Options{Queue: admission.Default(), Classes: []balancer.Class{{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, LateValueFraction: 0.3}},
		Clock: clock.New(), SendRetryAfter: true, Seed: 1}
	o.Queue.MinLimit, o.Queue.MaxLimit, o.Queue.MaxQueued = 2, 2, 8
	if change != nil {
		change(&o)
	}
	k, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

func (k *Controller) newSearch(d time.Duration) admission.Arrival {
	now := k.clock.Now()
	return admission.Arrival{Class: "search", ArrivedAt: now, Deadline: now + d}
}

// In virtual time: who waits is refused at the very moment at which it can't be answered any more, who leaves is gone at
// once, a place that gets free goes to the next, and the log tells when refusals begin and end.
func TestAcquireInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		k := newTestController(t, func(o *Options) { o.Log = slog.New(slog.NewTextHandler(&log, nil)) })
		var held []Permit
		for range 2 {
			p, v, _ := k.Acquire(t.Context(), admission.Client{Tenant: "a"}, k.newSearch(time.Second))
			if v != Admitted {
				t.Fatal(v)
			}
			held = append(held, p)
		}
		type end struct {
			v   Verdict
			in  time.Duration
			p   Permit
			at  time.Duration
			who string
		}
		ends := make(chan end, 10)
		begun := k.clock.Now()
		enter := func(ctx context.Context, who string, d time.Duration) {
			go func() {
				p, v, in := k.Acquire(ctx, admission.Client{Tenant: who}, k.newSearch(d))
				ends <- end{v, in, p, k.clock.Now() - begun, who}
			}()
			synctest.Wait()
		}
		leaving, leave := context.WithCancel(t.Context())
		enter(leaving, "leaves", time.Second)
		enter(t.Context(), "waits", time.Second)
		enter(t.Context(), "short", 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		leave()
		if e := <-ends; e.who != "leaves" || e.v != ClientLeft || e.at != 100*time.Millisecond {
			t.Errorf("%+v", e)
		}
		if e := <-ends; e.who != "short" || e.v != Rejected || e.in <= 0 || e.at < 250*time.Millisecond || e.at > 300*time.Millisecond {
			t.Errorf("%+v", e)
		}
		held[0].Done(admission.Completed)
		held[0].Done(admission.Completed) // counts once
		e := <-ends
		if e.who != "waits" || e.v != Admitted {
			t.Errorf("%+v", e)
		}
		if v := k.Stats(); v.InFlight != 2 || v.Queued != 0 {
			t.Errorf("%+v", v)
		}
		time.Sleep(2 * time.Second)
		held[1].Done(admission.Completed)
		e.p.Done(admission.Completed)
		if text := log.String(); !strings.Contains(text, "refusals begin") || !strings.Contains(text, "refusals have ended") {
			t.Error(text)
		}
	})
}

// Many at once, some of whom leave, while options change: each has one verdict, nothing is held in the end, and a door that
// is taken away or closed has nobody wait.
func TestConcurrentAcquire(t *testing.T) {
	for name, end := range map[string]func(*Controller){"open": (*Controller).AdmitAll, "close": (*Controller).Close, "neither": nil} {
		t.Run(name, func(t *testing.T) {
			k := newTestController(t, nil)
			var passed, refused, left atomic.Int64
			var wg sync.WaitGroup
			for i := range 50 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(uint64(i), 1))
					for n := range 100 {
						ctx, cancel := context.WithCancel(context.Background())
						if rng.IntN(4) == 0 {
							time.AfterFunc(time.Duration(rng.IntN(2000))*time.Microsecond, cancel)
						}
						p, v, _ := k.Acquire(ctx, admission.Client{Tenant: fmt.Sprint(i % 7)}, k.newSearch(time.Second))
						switch v {
						case Admitted:
							passed.Add(1)
							if rng.IntN(8) == 0 {
								time.Sleep(100 * time.Microsecond) // the work
							}
							p.Done(admission.Outcome(rng.IntN(3)))
						case Rejected:
							refused.Add(1)
						case ClientLeft:
							left.Add(1)
						}
						cancel()
						if i == 0 && n%10 == 0 {
							o := admission.Default()
							o.MinLimit, o.MaxLimit, o.MaxQueued = 2, 2+n/10, 8+n
							o.Weights = []admission.Weight{{Name: "1", Weight: float64(n)}}
							if err := k.Configure(o); err != nil {
								t.Error(err)
							}
						}
						if i == 1 && n == 60 && end != nil {
							end(k)
						}
					}
				})
			}
			wg.Wait()
			if sum := passed.Load() + refused.Load() + left.Load(); sum != 5000 || passed.Load() == 0 {
				t.Errorf("%d verdicts, %d of them passed", sum, passed.Load())
			}
			if v := k.Stats(); end == nil && v.Queued+v.InFlight != 0 || len(k.waiters) != 0 {
				t.Errorf("%+v, %d waiting", v, len(k.waiters))
			}
		})
	}
}
