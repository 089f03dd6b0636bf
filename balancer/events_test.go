package balancer

import (
	"testing"
	"time"
)

func TestUnexpectedEventsAreIgnored(t *testing.T) {
	r := newHarness(t, testSettings())
	r.updateEndpoints(FullUpdate) // empty list
	r.wantFinal(r.request("?", "no such class", time.Second), Reject)
	r.addUpstreams(1)
	r.wantSend(r.request("1", "c", time.Second))
	r.wantNothing(r.request("1", "c", time.Second)) // the ID is already known
	r.wantNothing(r.outcome("1", 5, OK, 10*ms))     // no such attempt
	r.wantNothing(r.outcome("1", -1, OK, 10*ms))
	r.wantNothing(r.outcome("1", 0, OK, 10*ms))
	r.wantNothing(r.outcome("1", 0, Reset, 10*ms)) // the attempt has already ended
	r.wantNothing(r.handle(ClientDisconnected{ID: "1"}))
	r.now -= time.Second // a clock that steps back counts as one that stands still
	r.wantSend(r.handle(Request{ID: "2", Class: "c", Tenant: "unknown", Deadline: r.now + 3*time.Second}))
	r.wantNothing(r.handle(ClientDisconnected{ID: "2"}))
	r.wantNothing(r.outcome("2", 0, OK, 10*ms))
	actions := r.request("3", "c", -time.Second) // its deadline has passed already
	actions = append(actions, r.advance(time.Second+20*ms)...)
	if len(finalAnswers(actions)) != 1 || len(ofKind(actions, Send)) != 0 {
		t.Errorf("request whose deadline has passed: got actions %+v, want one final answer and no attempt", actions)
	}
}

// Finished requests, their timers and removed upstreams must be dropped from memory.
func TestFinishedStateIsRemoved(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(3)
	for i := range 1000 {
		id := time.Duration(i).String()
		r.request(id, "c", time.Second)
		r.outcome(id, 0, OK, 10*ms)
		r.advance(5 * ms)
	}
	r.updateEndpoints(FullUpdate, Endpoint{Name: "new"})
	r.advance(2 * time.Second)
	if len(r.balancer.requests) != 0 || len(r.balancer.upstreams) != 1 || len(r.balancer.shuffled) != 1 || r.balancer.timers.Len() != 0 {
		t.Errorf("after all requests have ended, the state has %d requests, %d upstreams, %d listed upstreams and %d timers; want 0, 1, 1 and 0",
			len(r.balancer.requests), len(r.balancer.upstreams), len(r.balancer.shuffled), r.balancer.timers.Len())
	}
}

// The same events and the same seed must give the same actions.
func TestSameSeedSameActions(t *testing.T) {
	play := func() (all []Action) {
		r := newHarness(t, testSettings())
		r.addUpstreams(8)
		for i := range 300 {
			id := time.Duration(i).String()
			all = append(all, r.request(id, "c", time.Second)...)
			if i%3 == 0 {
				all = append(all, r.outcome(id, 0, Result(i/3%7), 20*ms)...)
			}
			all = append(all, r.advance(5*ms)...)
		}
		return all
	}
	a, b := play(), play()
	if len(a) != len(b) {
		t.Fatalf("two runs with the same events and seed gave %d and %d actions", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("action %d differs between two runs with the same events and seed: %+v and %+v", i, a[i], b[i])
		}
	}
}
