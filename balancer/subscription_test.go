package balancer

import (
	"testing"
	"time"
)

// All sidecars of a release start at the same moment. The registry rejects every call for 10 s and then
// takes one a second: the calls do not go on in step, and no sidecar gives up.
func TestManySidecarsSubscribeToOverloadedRegistry(t *testing.T) {
	const down, length = 10 * time.Second, 420 * time.Second
	for _, sidecars := range []int{10, 80, 320} {
		s := testSettings()
		s.FleetSize, s.MustSubscribe = sidecars, true
		now := time.Minute
		begin := now
		known := []Endpoint{{Name: "u0", Zone: "a"}, {Name: "u1", Zone: "a"}}
		type call struct{ of int }
		var due []call
		wakes := make([]time.Duration, sidecars)
		var all []*Balancer
		take := func(i int, acts []Action) {
			for _, a := range acts {
				switch a.Kind {
				case Subscribe:
					due = append(due, call{i})
				case SetTimer:
					wakes[i] = a.FireAt
				}
			}
		}
		for i := range sidecars {
			b, err := New(s, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, b)
			take(i, b.Handle(now, EndpointUpdate{Kind: CachedUpdate, Endpoints: known}, nil))
		}
		var perSecond [int(length / time.Second)]int
		got, last := 0, time.Duration(-1)
		for ; now < begin+length && got < sidecars; now += 50 * ms {
			second := (now - begin) / time.Second
			calls := due
			due = nil
			for _, c := range calls {
				perSecond[second]++
				if now-begin >= down && second != last {
					last = second
					got++
					take(c.of, all[c.of].Handle(now, EndpointUpdate{Kind: FullUpdate, Endpoints: known}, nil))
					continue
				}
				take(c.of, all[c.of].Handle(now, EndpointUpdate{Kind: UpdateFailed}, nil))
			}
			for i, at := range wakes {
				if at > 0 && at <= now {
					wakes[i] = 0
					take(i, all[i].Handle(now, TimerFired{}, nil))
				}
			}
		}
		early, most := 0, 0
		for second, n := range perSecond {
			if second < int(down/time.Second) {
				early += n
			}
			if second >= int(down/time.Second) {
				most = max(most, n)
			}
		}
		t.Logf("%d sidecars: %d calls in the first 10 s, up to %d in a second after, %d have the list after %v", sidecars, early, most, got, now-begin)
		if early > 5*sidecars || most > sidecars/4+4 {
			t.Errorf("%d sidecars: %d calls in the first 10 s, up to %d in a second after", sidecars, early, most)
		}
		if got < sidecars {
			t.Errorf("%d of %d sidecars have the list after %v", got, sidecars, length)
		}
	}
}

// A failed subscription is followed by another, each time after a longer pause; a success ends that.
func TestSubscribesAgainWithBackoff(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	r := newHarness(t, s)
	if n := len(ofKind(r.updateEndpoints(CachedUpdate, Endpoint{Name: "u0"}), Subscribe)); n != 1 {
		t.Fatalf("%d calls at the start", n)
	}
	var waits []time.Duration
	for range 4 {
		asked := r.now
		r.handle(EndpointUpdate{Kind: UpdateFailed})
		for len(ofKind(r.advance(5*ms), Subscribe)) == 0 {
			if r.now-asked > 20*time.Second {
				t.Fatal("never asked again")
			}
		}
		waits = append(waits, r.now-asked)
	}
	if waits[0] < subscribeBackoffBase/2 || waits[3] < 2*waits[0] {
		t.Errorf("waits %v do not grow", waits)
	}
	r.updateEndpoints(IncrementalUpdate)
	if n := len(ofKind(r.advance(20*time.Second), Subscribe)); n != 0 {
		t.Errorf("%d calls while subscribed", n)
	}
	r.handle(EndpointUpdate{Kind: UpdateFailed}) // the subscription broke
	if n := len(ofKind(r.advance(2*time.Second), Subscribe)); n != 1 {
		t.Errorf("%d calls after the subscription broke", n)
	}
}
