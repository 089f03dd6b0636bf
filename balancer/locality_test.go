package balancer

import (
	"fmt"
	"testing"
	"time"
)

// During a partition from a zone that also loses the endpoint list, requests stay in the local zone but for
// trials, and return afterwards.
func TestZonePartitionWithListLost(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	cut := false
	w := newScriptedFleet(t, s, func(u string) (Result, time.Duration) {
		if cut && u > "u3" {
			return ConnectFailed, 200 * ms
		}
		return OK, 20 * ms
	})
	var list []Endpoint
	for i := range 8 {
		list = append(list, Endpoint{Name: fmt.Sprint("u", i), Zone: "ab"[i/4 : i/4+1]})
	}
	w.updateEndpoints(CachedUpdate, list...)
	w.updateEndpoints(IncrementalUpdate)
	w.run(5*time.Second, 100)
	cut = true
	w.handle(EndpointUpdate{Kind: UpdateFailed})
	w.run(3*time.Second, 100)
	ok, n := w.succeeded, w.requests
	clear(w.attemptsAt)
	w.run(10*time.Second, 100)
	if got := w.succeeded - ok; float64(got) < 0.97*float64(w.requests-n) {
		t.Errorf("%d of %d served in the cut", got, w.requests-n)
	}
	if far := w.attemptsAt["u4"] + w.attemptsAt["u5"] + w.attemptsAt["u6"] + w.attemptsAt["u7"]; far > 60 {
		t.Errorf("%d attempts over the cut", far)
	}
	cut = false
	w.run(10*time.Second, 100)
	clear(w.attemptsAt)
	w.run(5*time.Second, 100)
	if far := w.attemptsAt["u4"] + w.attemptsAt["u5"] + w.attemptsAt["u6"] + w.attemptsAt["u7"]; far < 100 {
		t.Errorf("%d attempts to the zone after the cut", far)
	}
}

// With a high cross-zone price requests stay in the local zone while it serves, and cross when it is slow.
func TestLocalZoneIsPreferred(t *testing.T) {
	s := testSettings()
	s.CrossZonePrice = 0.2
	slow := false
	w := newScriptedFleet(t, s, func(u string) (Result, time.Duration) {
		if slow && u < "u2" {
			return OK, 190 * ms
		}
		return OK, 20 * ms
	})
	w.updateEndpoints(FullUpdate, Endpoint{Name: "u0", Zone: "a"}, Endpoint{Name: "u1", Zone: "a"}, Endpoint{Name: "u2", Zone: "b"},
		Endpoint{Name: "u3", Zone: "b"})
	w.run(5*time.Second, 50)
	if far := w.attemptsAt["u2"] + w.attemptsAt["u3"]; far > 25 {
		t.Errorf("%d of %d crossed while home was fine", far, w.requests)
	}
	slow = true
	clear(w.attemptsAt)
	w.run(5*time.Second, 50)
	if far := w.attemptsAt["u2"] + w.attemptsAt["u3"]; far < 60 {
		t.Errorf("%d of 250 crossed while home was slow", far)
	}
}

// A zone outage, in each way that it shows, is recognized for the zone as one, with few lost attempts. What
// is in flight there goes elsewhere. The zone returns as soon as it answers.
func TestZoneOutageEjectsZone(t *testing.T) {
	for name, silent := range map[string]func() (Result, time.Duration){
		"no connection": func() (Result, time.Duration) { return ConnectFailed, 40 * ms },
		"no answer":     func() (Result, time.Duration) { return OK, -1 },
		"reset":         func() (Result, time.Duration) { return Reset, 2 * ms },
	} {
		outage := false
		w := newZonedFleet(t, 12, func(u string) (Result, time.Duration) {
			if outage && u[:1] == "c" {
				return silent()
			}
			return OK, 20 * ms
		})
		w.run(20*time.Second, 10)
		if n := w.attemptsInZone("c"); n < 30 {
			t.Fatalf("%s: %d to zone c in calm", name, n)
		}
		outage = true
		clear(w.attemptsAt)
		w.run(10*time.Second, 10)
		if n := w.attemptsInZone("c"); n > 20 || n < 4 { // 3 that tell, what was out by then, and trials
			t.Errorf("%s: %d attempts at an ejected zone of 12 in 10 s", name, n)
		}
		if !w.logged("zone c is silent") {
			t.Errorf("%s: log %q", name, w.logs)
		}
		outage = false
		w.run(6*time.Second, 10)
		clear(w.attemptsAt)
		w.run(10*time.Second, 10)
		if n := w.attemptsInZone("c"); n < 12 || !w.logged("zone c answers again") {
			t.Errorf("%s: %d attempts once it is back; log %q", name, n, w.logs)
		}
	}
}

// Failures between answers, failures everywhere at once, and one upstream that fails often are no zone
// outage.
func TestNoZoneOutage(t *testing.T) {
	n := 0
	for name, reply := range map[string]func(u string) (Result, time.Duration){
		"every third": func(u string) (Result, time.Duration) {
			if u[:1] == "c" {
				if n++; n%3 == 0 {
					return ConnectFailed, 40 * ms
				}
			}
			return OK, 20 * ms
		},
		"our own network": func(string) (Result, time.Duration) { return ConnectFailed, 40 * ms },
		"one upstream": func(u string) (Result, time.Duration) {
			if u == "c2" {
				return Reset, 2 * ms
			}
			return OK, 20 * ms
		},
	} {
		w := newZonedFleet(t, 6, reply)
		w.run(20*time.Second, 10)
		if w.logged("is silent") {
			t.Errorf("%s: log %q", name, w.logs)
		}
	}
}

// A new process in an ejected zone ends its ejection before it has answered.
func TestRestartEndsZoneEjection(t *testing.T) {
	outage := true
	w := newZonedFleet(t, 6, func(u string) (Result, time.Duration) {
		if outage && u[:1] == "c" {
			return ConnectFailed, 40 * ms
		}
		return OK, 20 * ms
	})
	w.run(10*time.Second, 20)
	z := w.balancer.zones["c"]
	if z.consecutiveEjections == 0 {
		t.Fatalf("log %q", w.logs)
	}
	w.updateEndpoints(IncrementalUpdate, Endpoint{Name: "c2", Zone: "c", StartedAt: w.now})
	if z.consecutiveEjections != 0 || w.now < z.ejectedUntil {
		t.Errorf("left out %d times, until %v, at %v", z.consecutiveEjections, z.ejectedUntil, w.now)
	}
}

// The states of zones without upstreams are bounded: a list may name ever new zones.
func TestUnusedZonesAreRemoved(t *testing.T) {
	r := newHarness(t, testSettings())
	for i := range 1000 {
		r.updateEndpoints(FullUpdate, Endpoint{Name: "u", Zone: fmt.Sprint("z", i)})
	}
	if n := len(r.balancer.zones); n > spareZoneStatesMax+2 {
		t.Errorf("%d zones kept of one", n)
	}
}
