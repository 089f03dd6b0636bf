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

func newTestController(t *testing.T, configure func(*Options)) *Controller {
	t.Helper()
	o := Options{Queue: admission.Default(), Classes: []balancer.Class{{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, LateValueFraction: 0.3}},
		Clock: clock.New(), SendRetryAfter: true, Seed: 1}
	o.Queue.MinLimit, o.Queue.MaxLimit, o.Queue.MaxQueued = 2, 2, 8
	if configure != nil {
		configure(&o)
	}
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func (c *Controller) newSearch(timeout time.Duration) admission.Arrival {
	now := c.clock.Now()
	return admission.Arrival{Class: "search", ArrivedAt: now, Deadline: now + timeout}
}

// A waiting request must be rejected as soon as it cannot be answered in time any more, and withdrawn as soon as its
// client disconnects. Free capacity must go to the next request, and the log must say when rejections begin and end.
func TestAcquireInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		c := newTestController(t, func(o *Options) { o.Log = slog.New(slog.NewTextHandler(&log, nil)) })
		var held []Permit
		for range 2 {
			p, v, _ := c.Acquire(t.Context(), admission.Client{Tenant: "a"}, c.newSearch(time.Second))
			if v != Admitted {
				t.Fatal(v)
			}
			held = append(held, p)
		}
		type result struct {
			client     string
			permit     Permit
			verdict    Verdict
			retryAfter time.Duration
			at         time.Duration
		}
		results := make(chan result, 10)
		start := c.clock.Now()
		acquire := func(ctx context.Context, client string, timeout time.Duration) {
			go func() {
				p, v, retryAfter := c.Acquire(ctx, admission.Client{Tenant: client}, c.newSearch(timeout))
				results <- result{client, p, v, retryAfter, c.clock.Now() - start}
			}()
			synctest.Wait()
		}
		ctx, disconnect := context.WithCancel(t.Context())
		acquire(ctx, "disconnects", time.Second)
		acquire(t.Context(), "waits", time.Second)
		acquire(t.Context(), "short", 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		disconnect()
		if r := <-results; r.client != "disconnects" || r.verdict != ClientLeft || r.at != 100*time.Millisecond {
			t.Errorf("first result is %+v, want ClientLeft for client disconnects after 100 ms", r)
		}
		if r := <-results; r.client != "short" || r.verdict != Rejected || r.retryAfter <= 0 || r.at < 250*time.Millisecond || r.at > 300*time.Millisecond {
			t.Errorf("second result is %+v, want Rejected with a Retry-After for client short after 250 to 300 ms", r)
		}
		held[0].Done(admission.Completed)
		held[0].Done(admission.Completed) // has no effect: Done counts once
		r := <-results
		if r.client != "waits" || r.verdict != Admitted {
			t.Errorf("third result is %+v, want Admitted for client waits", r)
		}
		if stats := c.Stats(); stats.InFlight != 2 || stats.Queued != 0 {
			t.Errorf("stats are %+v, want 2 requests in flight and none queued", stats)
		}
		time.Sleep(2 * time.Second)
		held[1].Done(admission.Completed)
		r.permit.Done(admission.Completed)
		if text := log.String(); !strings.Contains(text, "refusals begin") || !strings.Contains(text, "refusals have ended") {
			t.Error(text)
		}
	})
}

// Concurrent requests must get one verdict each while options change and some of their clients disconnect. At the end
// nothing may be in flight, and nothing may wait after AdmitAll or Close.
func TestConcurrentAcquire(t *testing.T) {
	for name, end := range map[string]func(*Controller){"admit all": (*Controller).AdmitAll, "close": (*Controller).Close, "neither": nil} {
		t.Run(name, func(t *testing.T) {
			c := newTestController(t, nil)
			var admitted, rejected, disconnected atomic.Int64
			var wg sync.WaitGroup
			for i := range 50 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(uint64(i), 1))
					for n := range 100 {
						ctx, cancel := context.WithCancel(context.Background())
						if rng.IntN(4) == 0 {
							time.AfterFunc(time.Duration(rng.IntN(2000))*time.Microsecond, cancel)
						}
						p, v, _ := c.Acquire(ctx, admission.Client{Tenant: fmt.Sprint(i % 7)}, c.newSearch(time.Second))
						switch v {
						case Admitted:
							admitted.Add(1)
							if rng.IntN(8) == 0 {
								time.Sleep(100 * time.Microsecond) // simulates the upstream's work
							}
							p.Done(admission.Outcome(rng.IntN(3)))
						case Rejected:
							rejected.Add(1)
						case ClientLeft:
							disconnected.Add(1)
						}
						cancel()
						if i == 0 && n%10 == 0 {
							o := admission.Default()
							o.MinLimit, o.MaxLimit, o.MaxQueued = 2, 2+n/10, 8+n
							o.Weights = []admission.Weight{{Name: "1", Weight: float64(n)}}
							if err := c.Configure(o); err != nil {
								t.Error(err)
							}
						}
						if i == 1 && n == 60 && end != nil {
							end(c)
						}
					}
				})
			}
			wg.Wait()
			if sum := admitted.Load() + rejected.Load() + disconnected.Load(); sum != 5000 || admitted.Load() == 0 {
				t.Errorf("%d verdicts, %d of them Admitted, want 5000 and at least one", sum, admitted.Load())
			}
			if stats := c.Stats(); end == nil && stats.Queued+stats.InFlight != 0 || len(c.waiters) != 0 {
				t.Errorf("after all requests have ended, stats are %+v and %d requests wait, want none", stats, len(c.waiters))
			}
		})
	}
}
