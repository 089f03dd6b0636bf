package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestOneAttemptInFlightWithoutHedging(t *testing.T) {
	r := newHarness(t, keyedSettings(ScopeZone))
	r.addUpstreams(4)
	r.wantSend(r.request("1", "k", time.Second))
	var cancelled bool
	for range 80 {
		actions := r.advance(5 * ms)
		if len(ofKind(actions, Send)) > 0 {
			t.Fatal("second attempt was sent while the first was in flight, although hedging is not allowed")
		}
		cancelled = cancelled || len(ofKind(actions, Cancel)) > 0
	}
	if !cancelled {
		t.Fatal("the unanswered attempt was never cancelled")
	}
}

// Hedged requests must keep requests succeeding while an upstream pauses too briefly to be ejected by
// outlier detection.
func TestHedgingCoversPause(t *testing.T) {
	var w *scriptedFleet
	w = newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if phase := w.now % (2 * time.Second); u == "u0" && phase < 300*ms {
			return OK, 300*ms - phase + 20*ms
		}
		return OK, 20 * ms
	})
	w.addUpstreams(4)
	w.run(20*time.Second, 100)
	if float64(w.succeeded) < 0.99*float64(w.requests-5) {
		t.Errorf("only %d of %d requests succeeded while one upstream paused again and again", w.succeeded, w.requests)
	}
}

// Hedging must stop at a lower load than the one at which requests are rejected.
func TestNoHedgingNearQueueingLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting int // the limit is 26 waiting requests: 0.65 of the objective of 200 ms at 200 answers a second
		hedged  bool
	}{
		{"far below the limit", 15, true},
		{"near the limit", 24, false},
	} {
		r := newHarness(t, testSettings())
		r.addUpstreams(4)
		for range 400 {
			r.now += 5 * ms
			r.balancer.servedRate.add(1, r.now)
		}
		r.balancer.latency.late.value, r.balancer.hedgingSuccessRatio = 0.08, 1
		r.wantSend(r.handle(Request{ID: "r", Class: "c", Deadline: r.now + time.Second, CostHint: 20 * ms}))
		for range c.waiting {
			r.balancer.setWaiting(&request{timing: requestTiming{startedAt: r.now, objectiveAt: r.now + 200*ms}}, true)
		}
		hedges := 0
		for range 24 {
			r.balancer.servedRate.add(1, r.now)
			hedges += len(ofKind(r.advance(5*ms), Send))
		}
		if hedges > 0 != c.hedged {
			t.Errorf("%s: %d hedged requests, want some only far below the limit; %d requests waiting, load pressure %.2f",
				c.name, hedges, c.waiting, r.balancer.loadPressure())
		}
	}
}

// A late request is hedged only if its upstream looks hung, or if its cost is known and hedging has paid
// recently.
func TestHedgingOnlyOfHungUpstreams(t *testing.T) {
	for _, c := range []struct {
		name       string
		unanswered bool // another attempt at the upstream is unanswered too
		paid       bool // hedging has paid recently
		costHint   time.Duration
		hedged     bool
	}{
		{name: "nothing known"},
		{name: "two attempts unanswered", unanswered: true, hedged: true},
		{name: "hedging pays, cost known", paid: true, costHint: 20 * ms, hedged: true},
		{name: "hedging pays, cost unknown", paid: true},
		{name: "hedging does not pay, cost known", costHint: 20 * ms},
	} {
		r := newHarness(t, testSettings()) // objective 200 ms
		r.addUpstreams(1)
		for i := range 300 {
			id := fmt.Sprint(i)
			r.request(id, "c", time.Second)
			r.now += 20 * ms
			r.outcome(id, 0, OK, 20*ms)
		}
		if c.paid {
			r.balancer.hedgingSuccessRatio = 0.5
		}
		r.now += time.Second
		r.handle(Request{ID: "late", Class: "c", Deadline: r.now + time.Second, CostHint: c.costHint})
		if c.unanswered {
			r.request("beside", "c", time.Second)
		}
		r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "other", Zone: "a"})
		if got := len(ofKind(r.advance(60*ms), Send)) > 0; got != c.hedged {
			t.Errorf("%s: late request hedged: %v, want the opposite", c.name, got)
		}
	}
}

// Whether hedging pays is learnt from the results of hedged requests. It pays where upstreams pause one
// at a time, and not where all are slow together.
func TestHedgingFollowsItsSuccess(t *testing.T) {
	for _, pauses := range []bool{false, true} {
		var w *scriptedFleet
		w = newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) {
			if phase := (w.now + time.Duration(u[1])*170*ms) % (2 * time.Second); pauses && phase < 300*ms {
				return OK, 300*ms - phase + 20*ms
			}
			if !pauses && w.now%(4*time.Second) < 400*ms {
				return OK, 150 * ms // all upstreams are slow, so that the hedged request takes as long
			}
			return OK, 20 * ms
		})
		w.addUpstreams(6)
		w.run(30*time.Second, 100)
		hedges := w.attempts() - w.requests
		pays := w.balancer.hedgingSuccessRatio > hedgingMinSuccessRatio
		if pauses != pays || !pauses && hedges > w.requests/20 {
			t.Errorf("hedging should pay exactly if upstreams pause: %v; %d hedged requests for %d requests, hedging success ratio %.2f",
				pauses, hedges, w.requests, w.balancer.hedgingSuccessRatio)
		}
	}
}
