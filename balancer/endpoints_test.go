package balancer

import (
	"testing"
	"time"
)

// A repeated endpoint list must not discard the learnt state of its upstreams.
func TestRepeatedEndpointListKeepsState(t *testing.T) {
	r := newHarness(t, testSettings())
	entries := []Endpoint{{Name: "a", MachineType: "m"}, {Name: "b", MachineType: "m"}}
	r.updateEndpoints(FullUpdate, entries...)
	r.wantSend(r.request("1", "c", time.Second))
	r.now += 50 * ms
	r.outcome("1", 0, OK, 50*ms)
	before := []*upstream{r.balancer.shuffled[0], r.balancer.shuffled[1]}
	copies := []upstream{*before[0], *before[1]}
	r.updateEndpoints(FullUpdate, entries...)
	r.updateEndpoints(CachedUpdate, entries...)
	for i, u := range before {
		if r.balancer.shuffled[i] != u || u.latency != copies[i].latency || u.slowStart.active || u.lastAnswerAt != copies[i].lastAnswerAt {
			t.Errorf("state after the repeated list: %+v, want %+v", *r.balancer.shuffled[i], copies[i])
		}
	}
}

func TestDrainingAndRemovedGetNoAttempts(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(3)
	r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "u0", State: Draining}, Endpoint{Name: "u1", State: Removed})
	for i := range 30 {
		if u := r.wantSend(r.request(string(rune('A'+i)), "c", time.Second)); u != "u2" {
			t.Fatalf("sent to %s, want the only active upstream u2", u)
		}
		r.outcome(string(rune('A'+i)), 0, OK, 10*ms)
		r.now += 10 * ms
	}
	r.updateEndpoints(FullUpdate) // an empty list: no upstream is left
	r.wantNothing(r.request("z", "c", time.Second))
}

// A restart discards the learnt state of the earlier process, and begins a slow start.
func TestRestartedUpstreamStartsAnew(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(2)
	r.balancer.upstreams["u0"].latency = peakEWMA{5, r.now}
	r.balancer.upstreams["u0"].outlier.ejectedUntil = r.now + time.Hour
	r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "u0", Zone: "a", StartedAt: r.now - time.Second})
	u := r.balancer.upstreams["u0"]
	if u.latency.value > 1 || u.outlier.ejectedUntil != 0 || !u.slowStart.active || len(r.balancer.shuffled) != 2 {
		t.Errorf("upstream has state of its earlier process after a restart: %+v", u)
	}
}
