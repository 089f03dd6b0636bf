package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Load must be latency x (pending + 1), where the latency is at least the age of the oldest unanswered attempt.
func TestLoadIsLatencyTimesPending(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(1)
	u := r.balancer.shuffled[0]
	u.latency = peakEWMA{0.04, r.now}
	r.balancer.now = r.now
	if got := r.balancer.load(u); !almostEqual(got, 0.04) {
		t.Errorf("load of an idle upstream: %v, want 0.04", got)
	}
	r.balancer.send(&request{id: "x", class: r.balancer.classes["c"], cost: 1, timing: requestTiming{deadline: r.now + time.Second}}, u)
	if got := r.balancer.load(u); !almostEqual(got, 0.08) {
		t.Errorf("load with one pending attempt: %v, want 0.08", got)
	}
	// The attempt's age of 100 ms exceeds the estimate of 40 ms.
	r.balancer.now += 100 * ms
	if got := r.balancer.load(u); !almostEqual(got, 0.2) {
		t.Errorf("load with one attempt pending for 100 ms: %v, want 0.2", got)
	}
}

// Of two available upstreams, the one with the lower load is always picked.
func TestPickTakesLowerLoadOfTwo(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(2)
	r.balancer.upstreams["u0"].latency = peakEWMA{0.02, r.now}
	r.balancer.upstreams["u1"].latency = peakEWMA{0.05, r.now}
	r.balancer.now = r.now
	got := ""
	for i, want := range []string{"u0", "u0", "u1", "u0", "u0", "u1"} { // loads 20/50, 40/50, 60/50, 60/100, 80/100, 100/100
		if i == 5 {
			break // the loads are equal, so either upstream may be picked
		}
		got = r.wantSend(r.request(string(rune('a'+i)), "c", time.Second))
		if got != want {
			t.Fatalf("pick %d: request was sent to %s, want %s", i, got, want)
		}
	}
}

// Over many picks, every pair of upstreams is compared equally often, and the most loaded one never wins.
func TestPowerOfTwoChoicesPairIsRandomAndDistinct(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(4)
	for i := range r.balancer.shuffled {
		r.balancer.upstreams[fmt.Sprint("u", i)].latency = peakEWMA{0.01 * float64(i+1), r.now}
	}
	r.balancer.now = r.now
	n := map[string]int{}
	for range 6000 {
		n[r.balancer.powerOfTwoChoices(r.balancer.shuffled).name]++
	}
	// Of the six pairs, u0 wins three, u1 two, u2 one, u3 none.
	for id, want := range map[string]int{"u0": 3000, "u1": 2000, "u2": 1000, "u3": 0} {
		if d := n[id] - want; d < -200 || d > 200 {
			t.Errorf("%s picked %d times of 6000, want about %d", id, n[id], want)
		}
	}
}

// A sidecar with little traffic uses a random subset of the upstreams, so that all sidecars together use each
// upstream about equally. The next upstream of the sidecar's order replaces an ejected one.
func TestLowTrafficSidecarUsesSubset(t *testing.T) {
	const sidecars, fleet = 300, 50
	sidecarsUsing := map[string]int{}
	for i := range sidecars {
		b, err := New(testSettings(), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r := &harness{t: t, balancer: b, now: time.Minute}
		r.addUpstreams(fleet)
		used := map[string]bool{}
		for n := range 60 { // one request per second
			id := fmt.Sprint(n)
			u := r.wantSend(r.request(id, "c", time.Second))
			used[u] = true
			r.outcome(id, 0, OK, 20*ms)
			r.advance(time.Second)
		}
		if len(used) > candidateSetSizeMin+2 {
			t.Fatalf("a sidecar with one request per second used %d upstreams, want at most 6", len(used))
		}
		for u := range used {
			sidecarsUsing[u]++
		}
	}
	for i := range fleet { // each upstream is used by about 24 sidecars
		if n := sidecarsUsing[fmt.Sprint("u", i)]; n < 8 || n > 50 {
			t.Errorf("u%d is used by %d of %d sidecars, want 8 to 50", i, n, sidecars)
		}
	}
	r := newHarness(t, testSettings())
	r.addUpstreams(fleet)
	for _, u := range r.balancer.shuffled[:candidateSetSizeMin] {
		u.outlier.ejectedUntil = r.now + time.Hour
	}
	r.wantSend(r.request("x", "c", time.Second))
}

// A busy sidecar's candidate set covers all upstreams.
func TestBusySidecarUsesAllUpstreams(t *testing.T) {
	w := newScriptedFleet(t, testSettings(), answerInTime)
	w.addUpstreams(30)
	w.run(5*time.Second, 100)
	if len(w.attemptsAt) != 30 {
		t.Errorf("a sidecar with 100 requests per second used %d of 30 upstreams, want all", len(w.attemptsAt))
	}
}

// The cost of a pick does not grow with the endpoint list.
func TestPickVisitsBoundedPartOfLargeList(t *testing.T) {
	r := newHarness(t, testSettings())
	var list []Endpoint
	for i := range 1000 {
		list = append(list, Endpoint{Name: fmt.Sprint("u", i), Zone: "ab"[i%2 : i%2+1]})
	}
	r.updateEndpoints(FullUpdate, list...)
	clear(r.balancer.shuffled[100:]) // visiting one of these nil upstreams panics
	r.wantSend(r.request("1", "c", time.Second))
}

func TestSlowUpstreamGetsLess(t *testing.T) {
	w := newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return OK, 120 * ms
		}
		return OK, 20 * ms
	})
	w.addUpstreams(4)
	w.run(10*time.Second, 100)
	if w.attemptsAt["u0"] > w.attemptsAt["u1"]/2 {
		t.Errorf("attempts at the slow upstream: %d, want at most half of the %d at a fast one", w.attemptsAt["u0"], w.attemptsAt["u1"])
	}
}
