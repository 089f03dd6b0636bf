package balancer

import (
	"fmt"
	"testing"
	"time"
)

// During a partition that cuts off another zone and the endpoint list, requests stay in the local zone,
// except for trials. After the partition, requests go to the other zone again.
func TestZonePartitionWithListLost(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	partitioned := false
	w := newScriptedFleet(t, s, func(u string) (Result, time.Duration) {
		if partitioned && u > "u3" {
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
	partitioned = true
	w.handle(EndpointUpdate{Kind: UpdateFailed})
	w.run(3*time.Second, 100)
	succeededBefore, requestsBefore := w.succeeded, w.requests
	clear(w.attemptsAt)
	w.run(10*time.Second, 100)
	if got := w.succeeded - succeededBefore; float64(got) < 0.97*float64(w.requests-requestsBefore) {
		t.Errorf("%d of %d requests served during the partition, want at least 97 percent", got, w.requests-requestsBefore)
	}
	if crossZone := w.attemptsAt["u4"] + w.attemptsAt["u5"] + w.attemptsAt["u6"] + w.attemptsAt["u7"]; crossZone > 60 {
		t.Errorf("%d attempts at the other zone during the partition, want at most 60", crossZone)
	}
	partitioned = false
	w.run(10*time.Second, 100)
	clear(w.attemptsAt)
	w.run(5*time.Second, 100)
	if crossZone := w.attemptsAt["u4"] + w.attemptsAt["u5"] + w.attemptsAt["u6"] + w.attemptsAt["u7"]; crossZone < 100 {
		t.Errorf("%d attempts at the other zone after the partition, want at least 100", crossZone)
	}
}

// With a high cross-zone price, requests stay in the local zone while it is fast and cross when it is slow.
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
	if crossZone := w.attemptsAt["u2"] + w.attemptsAt["u3"]; crossZone > 25 {
		t.Errorf("%d of %d requests left the local zone while it was fast, want at most 25", crossZone, w.requests)
	}
	slow = true
	clear(w.attemptsAt)
	w.run(5*time.Second, 50)
	if crossZone := w.attemptsAt["u2"] + w.attemptsAt["u3"]; crossZone < 60 {
		t.Errorf("%d of 250 requests left the local zone while it was slow, want at least 60", crossZone)
	}
}

// A zone outage, however its attempts fail, ejects the zone as a whole at the cost of few attempts. Requests
// in flight there go to other zones. The zone returns as soon as it answers.
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
			t.Fatalf("%s: %d attempts at zone c before the outage, want at least 30", name, n)
		}
		outage = true
		clear(w.attemptsAt)
		w.run(10*time.Second, 10)
		if n := w.attemptsInZone("c"); n > 20 || n < 4 { // 3 attempts that show the outage, the attempts in flight then, and trials
			t.Errorf("%s: %d attempts in 10 s at an ejected zone of 12 upstreams, want 4 to 20", name, n)
		}
		if !w.logged("zone c is silent") {
			t.Errorf("%s: the ejection of zone c is not logged: %q", name, w.logs)
		}
		outage = false
		w.run(6*time.Second, 10)
		clear(w.attemptsAt)
		w.run(10*time.Second, 10)
		if n := w.attemptsInZone("c"); n < 12 || !w.logged("zone c answers again") {
			t.Errorf("%s: %d attempts at zone c after the outage, want at least 12 and a log line; log %q", name, n, w.logs)
		}
	}
}

// Failures between answers, failures in all zones at once, and a single upstream that fails often are no
// zone outage.
func TestNoZoneOutage(t *testing.T) {
	n := 0
	for name, reply := range map[string]func(u string) (Result, time.Duration){
		"every third attempt fails": func(u string) (Result, time.Duration) {
			if u[:1] == "c" {
				if n++; n%3 == 0 {
					return ConnectFailed, 40 * ms
				}
			}
			return OK, 20 * ms
		},
		"the sidecar's own network fails": func(string) (Result, time.Duration) { return ConnectFailed, 40 * ms },
		"one upstream fails": func(u string) (Result, time.Duration) {
			if u == "c2" {
				return Reset, 2 * ms
			}
			return OK, 20 * ms
		},
	} {
		w := newZonedFleet(t, 6, reply)
		w.run(20*time.Second, 10)
		if w.logged("is silent") {
			t.Errorf("%s: a zone outage is logged: %q", name, w.logs)
		}
	}
}

// A new process in an ejected zone ends the zone's ejection before the process has answered.
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
		t.Fatalf("zone c is not ejected; log %q", w.logs)
	}
	w.updateEndpoints(IncrementalUpdate, Endpoint{Name: "c2", Zone: "c", StartedAt: w.now})
	if z.consecutiveEjections != 0 || w.now < z.ejectedUntil {
		t.Errorf("after a restart zone c has %d ejections and is ejected until %v, at %v", z.consecutiveEjections, z.ejectedUntil, w.now)
	}
}

// The number of stored zones without upstreams is bounded, as each endpoint list may name new zones.
func TestUnusedZonesAreRemoved(t *testing.T) {
	r := newHarness(t, testSettings())
	for i := range 1000 {
		r.updateEndpoints(FullUpdate, Endpoint{Name: "u", Zone: fmt.Sprint("z", i)})
	}
	if n := len(r.balancer.zones); n > spareZoneStatesMax+2 {
		t.Errorf("%d zones are stored, although the list names only one", n)
	}
}
