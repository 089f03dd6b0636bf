package balancer

import (
	"testing"
	"time"
)

// The same endpoint list again changes nothing that is known.
func TestRepeatedEndpointListKeepsState(t *testing.T) {
	r := newHarness(t, testSettings())
	entries := []Endpoint{{Name: "a", MachineType: "m"}, {Name: "b", MachineType: "m"}}
	r.updateEndpoints(FullUpdate, entries...)
	r.wantSend(r.request("1", "c", time.Second))
	r.now += 50 * ms
	r.outcome("1", 0, OK, 50*ms)
	before := []*upstream{r.balancer.shuffled[0], r.balancer.shuffled[1]}
	known := []upstream{*before[0], *before[1]}
	r.updateEndpoints(FullUpdate, entries...)
	r.updateEndpoints(CachedUpdate, entries...)
	for i, u := range before {
		if r.balancer.shuffled[i] != u || u.latency != known[i].latency || u.slowStart.active || u.lastAnswerAt != known[i].lastAnswerAt {
			t.Errorf("changed: %+v, was %+v", *r.balancer.shuffled[i], known[i])
		}
	}
}

func TestDrainingAndRemovedGetNoAttempts(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(3)
	r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "u0", State: Draining}, Endpoint{Name: "u1", State: Removed})
	for i := range 30 {
		if u := r.wantSend(r.request(string(rune('A'+i)), "c", time.Second)); u != "u2" {
			t.Fatalf("sent to %s", u)
		}
		r.outcome(string(rune('A'+i)), 0, OK, 10*ms)
		r.now += 10 * ms
	}
	r.updateEndpoints(FullUpdate) // nothing is left
	r.wantNothing(r.request("z", "c", time.Second))
}

// A restart discards what was learnt of the old process, and begins a slow start.
func TestRestartedUpstreamStartsAnew(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(2)
	r.balancer.upstreams["u0"].latency = peakEWMA{5, r.now}
	r.balancer.upstreams["u0"].outlier.ejectedUntil = r.now + time.Hour
	r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "u0", Zone: "a", StartedAt: r.now - time.Second})
	u := r.balancer.upstreams["u0"]
	if u.latency.value > 1 || u.outlier.ejectedUntil != 0 || !u.slowStart.active || len(r.balancer.shuffled) != 2 {
		t.Errorf("still known: %+v", u)
	}
}
