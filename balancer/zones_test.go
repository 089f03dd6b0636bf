package balancer

import (
	"fmt"
	"testing"
	"time"
)

// zoned is a world of one sidecar in zone a that sends little, before perZone upstreams in each of three
// zones.
func zoned(t *testing.T, perZone int, reply func(u string) (Result, time.Duration)) *world {
	s := testSettings()
	s.FleetSize = 80
	w := newWorld(t, s, reply)
	var list []Endpoint
	for i := range 3 * perZone {
		zone := "abc"[i%3 : i%3+1]
		list = append(list, Endpoint{Name: fmt.Sprint(zone, i), Zone: zone})
	}
	w.list(FullUpdate, list...)
	return w
}

func (w *world) sentTo(zone string) (n int) {
	for u, k := range w.sends {
		if u[:1] == zone {
			n += k
		}
	}
	return n
}

// A zone falls silent, in each way that it can: its upstreams are not found out one after the other, with
// two lost requests for each, and what is on its way there goes elsewhere. It is taken back at once as it
// answers. Guards against eighty sidecars that spend 2,700 attempts on finding seventeen lost upstreams.
func TestLostZoneIsLeftOutAsAWhole(t *testing.T) {
	for name, silent := range map[string]func() (Result, time.Duration){
		"no connection": func() (Result, time.Duration) { return ConnectFailed, 40 * ms },
		"no answer":     func() (Result, time.Duration) { return OK, -1 },
		"reset":         func() (Result, time.Duration) { return Reset, 2 * ms },
	} {
		lost := false
		w := zoned(t, 12, func(u string) (Result, time.Duration) {
			if lost && u[:1] == "c" {
				return silent()
			}
			return OK, 20 * ms
		})
		w.play(20*time.Second, 10)
		if n := w.sentTo("c"); n < 30 {
			t.Fatalf("%s: %d to zone c in calm", name, n)
		}
		lost = true
		clear(w.sends)
		w.play(10*time.Second, 10)
		if n := w.sentTo("c"); n > 20 || n < 4 { // 3 that tell, what was out by then, and trials
			t.Errorf("%s: %d attempts at a lost zone of 12 in 10 s", name, n)
		}
		if !w.logged("zone c is silent") {
			t.Errorf("%s: log %q", name, w.logs)
		}
		lost = false
		w.play(6*time.Second, 10)
		clear(w.sends)
		w.play(10*time.Second, 10)
		if n := w.sentTo("c"); n < 12 || !w.logged("zone c answers again") {
			t.Errorf("%s: %d attempts once it is back; log %q", name, n, w.logs)
		}
	}
}

// What is no loss of a zone: failures between answers, failures everywhere at once, and one upstream that
// fails often.
func TestZoneIsNotTakenAsLost(t *testing.T) {
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
		w := zoned(t, 6, reply)
		w.play(20*time.Second, 10)
		if w.logged("is silent") {
			t.Errorf("%s: log %q", name, w.logs)
		}
	}
}

// A zone's new processes end its silence: the list tells of them before one has answered.
func TestLostZoneComesBackWithItsProcesses(t *testing.T) {
	lost := true
	w := zoned(t, 6, func(u string) (Result, time.Duration) {
		if lost && u[:1] == "c" {
			return ConnectFailed, 40 * ms
		}
		return OK, 20 * ms
	})
	w.play(10*time.Second, 20)
	z := w.b.zones["c"]
	if z.ejections == 0 {
		t.Fatalf("log %q", w.logs)
	}
	w.list(IncrementalUpdate, Endpoint{Name: "c2", Zone: "c", StartedAt: w.now})
	if z.ejections != 0 || w.now < z.ejectedUntil {
		t.Errorf("left out %d times, until %v, at %v", z.ejections, z.ejectedUntil, w.now)
	}
}

// Answers that can't be read come from any upstream alike, spoilt on their way: one in ten ejects nobody.
// (Forty ejections in half a minute of four sidecars, where the share of errors counted them.)
func TestSpoiltAnswersEjectNobody(t *testing.T) {
	n := 0
	w := zoned(t, 6, func(string) (Result, time.Duration) {
		if n++; n%10 < 2 && n%20 < 10 {
			return Malformed, 5 * ms
		}
		return OK, 20 * ms
	})
	w.play(60*time.Second, 40)
	if w.logged("eject") {
		t.Errorf("log %q", w.logs)
	}
}

// Zones that no upstream is in any more are forgotten: a list may name ever new ones.
func TestZonesAreForgotten(t *testing.T) {
	r := newRig(t, testSettings())
	for i := range 1000 {
		r.list(FullUpdate, Endpoint{Name: "u", Zone: fmt.Sprint("z", i)})
	}
	if n := len(r.b.zones); n > spareZoneStatesMax+2 {
		t.Errorf("%d zones kept of one", n)
	}
}
