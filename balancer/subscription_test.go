package balancer

import (
	"testing"
	"time"
)

// registryScenario is a fleet of sidecars whose endpoint registry rejects calls.
type registryScenario struct {
	now, startedAt time.Duration
	rejectsFor     time.Duration // how long the registry rejects every call; after that it accepts one per second
	endpoints      []Endpoint
	sidecars       []*Balancer
	timers         []time.Duration // by sidecar: when its timer is due; 0 if it has none
	calls          []int           // sidecars that wait for the reply to a call
	callsInSecond  []int
	lastAcceptedIn time.Duration // second since startedAt in which the latest call was accepted
	subscribed     int           // number of subscribed sidecars
}

func newRegistryScenario(t *testing.T, sidecars int, rejectsFor, length time.Duration) *registryScenario {
	t.Helper()
	settings := testSettings()
	settings.FleetSize, settings.MustSubscribe = sidecars, true
	r := &registryScenario{
		now:            time.Minute,
		startedAt:      time.Minute,
		rejectsFor:     rejectsFor,
		endpoints:      []Endpoint{{Name: "u0", Zone: "a"}, {Name: "u1", Zone: "a"}},
		timers:         make([]time.Duration, sidecars),
		callsInSecond:  make([]int, length/time.Second),
		lastAcceptedIn: -1,
	}
	for i := range sidecars {
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r.sidecars = append(r.sidecars, b)
		r.handle(i, EndpointUpdate{Kind: CachedUpdate, Endpoints: r.endpoints})
	}
	return r
}

func (r *registryScenario) handle(sidecar int, e Event) {
	for _, a := range r.sidecars[sidecar].Handle(r.now, e, nil) {
		switch a.Kind {
		case Subscribe:
			r.calls = append(r.calls, sidecar)
		case SetTimer:
			r.timers[sidecar] = a.FireAt
		}
	}
}

// step answers the calls, fires the timers that are due, and advances the clock.
func (r *registryScenario) step() {
	second := (r.now - r.startedAt) / time.Second
	calls := r.calls
	r.calls = nil
	for _, sidecar := range calls {
		r.callsInSecond[second]++
		if r.now-r.startedAt >= r.rejectsFor && second != r.lastAcceptedIn {
			r.lastAcceptedIn = second
			r.subscribed++
			r.handle(sidecar, EndpointUpdate{Kind: FullUpdate, Endpoints: r.endpoints})
			continue
		}
		r.handle(sidecar, EndpointUpdate{Kind: UpdateFailed})
	}
	for i, at := range r.timers {
		if at > 0 && at <= r.now {
			r.timers[i] = 0
			r.handle(i, TimerFired{})
		}
	}
	r.now += 50 * ms
}

// All sidecars of a release start at the same time. The registry rejects every call for 10 s and then accepts one per
// second: the calls spread out over time, and every sidecar subscribes in the end.
func TestManySidecarsSubscribeToOverloadedRegistry(t *testing.T) {
	const rejectsFor, length = 10 * time.Second, 420 * time.Second
	for _, sidecars := range []int{10, 80, 320} {
		r := newRegistryScenario(t, sidecars, rejectsFor, length)
		for r.now < r.startedAt+length && r.subscribed < sidecars {
			r.step()
		}
		early, highest := 0, 0
		for second, calls := range r.callsInSecond {
			if second < int(rejectsFor/time.Second) {
				early += calls
			} else {
				highest = max(highest, calls)
			}
		}
		t.Logf("%d sidecars: %d calls in the first 10 s, up to %d per second after that, %d are subscribed after %v",
			sidecars, early, highest, r.subscribed, r.now-r.startedAt)
		if early > 5*sidecars || highest > sidecars/4+4 {
			t.Errorf("%d sidecars made too many calls: %d in the first 10 s or %d in a later second", sidecars, early, highest)
		}
		if r.subscribed < sidecars {
			t.Errorf("%d of %d sidecars are subscribed after %v", r.subscribed, sidecars, length)
		}
	}
}

// A failed subscription is retried, each time after a longer pause, until one succeeds.
func TestSubscribesAgainWithBackoff(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	r := newHarness(t, s)
	if n := len(ofKind(r.updateEndpoints(CachedUpdate, Endpoint{Name: "u0"}), Subscribe)); n != 1 {
		t.Fatalf("%d Subscribe actions for the cached list, want 1", n)
	}
	var pauses []time.Duration
	for range 4 {
		failedAt := r.now
		r.handle(EndpointUpdate{Kind: UpdateFailed})
		for len(ofKind(r.advance(5*ms), Subscribe)) == 0 {
			if r.now-failedAt > 20*time.Second {
				t.Fatal("no new subscription within 20 s after a failure")
			}
		}
		pauses = append(pauses, r.now-failedAt)
	}
	if pauses[0] < subscribeBackoffBase/2 || pauses[3] < 2*pauses[0] {
		t.Errorf("pauses %v between subscriptions are too short or do not grow", pauses)
	}
	r.updateEndpoints(IncrementalUpdate)
	if n := len(ofKind(r.advance(20*time.Second), Subscribe)); n != 0 {
		t.Errorf("%d Subscribe actions while subscribed, want 0", n)
	}
	r.handle(EndpointUpdate{Kind: UpdateFailed}) // the subscription broke
	if n := len(ofKind(r.advance(2*time.Second), Subscribe)); n != 1 {
		t.Errorf("%d Subscribe actions after the subscription broke, want 1", n)
	}
}
