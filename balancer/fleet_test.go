package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// All sidecars of a release start at the same moment; discovery turns every call away for 10 s and then takes one a
// second. Guards against calls that go on in step, and against a sidecar that gives up asking.
func TestManyAskADiscoveryThatTurnsAway(t *testing.T) {
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

// What befalls a sidecar of little traffic, and what it may cost: attempts at what fails, and requests that are not served.
func TestHardCasesOfAThinSidecar(t *testing.T) {
	g := rand.New(rand.NewPCG(5, 7))
	answer := func() time.Duration { return time.Duration(5+g.IntN(40)) * ms }
	bad := func(u string, n int) bool { // n of the 60 in zoned's order
		var i int
		if _, err := fmt.Sscanf(u[1:], "%d", &i); err != nil {
			t.Fatal(err)
		}
		return i < n
	}
	for _, c := range []struct {
		name     string
		bad      int
		reply    func(u string) (Result, time.Duration)
		attempts float64 // most at the bad ones, of the requests
		served   float64 // least
	}{
		{"twenty fail four of five", 20, func(u string) (Result, time.Duration) {
			if bad(u, 20) && g.Float64() < 0.8 {
				return ServerError, 5 * ms
			}
			return OK, answer()
		}, 0.15, 0.97},
		{"an old list, six in ten are gone", 36, func(u string) (Result, time.Duration) {
			if bad(u, 36) {
				return ConnectFailed, ms
			}
			return OK, answer()
		}, 0.35, 0.97},
		{"one whose table of connections is full", 1, func(u string) (Result, time.Duration) {
			if bad(u, 1) {
				return ConnectFailed, ms
			}
			return OK, answer()
		}, 0.02, 0.99},
		{"three hang", 3, func(u string) (Result, time.Duration) {
			if bad(u, 3) {
				return OK, -1
			}
			return OK, answer()
		}, 0.05, 0.95},
	} {
		w := zoned(t, 20, func(u string) (Result, time.Duration) { return c.reply(u) })
		w.play(60*time.Second, 20)
		at := 0
		for u, n := range w.sends {
			if bad(u, c.bad) {
				at += n
			}
		}
		t.Logf("%s: %d attempts at bad ones, %d of %d requests served", c.name, at, w.ok, w.n)
		if float64(at) > c.attempts*float64(w.n) || float64(w.ok) < c.served*float64(w.n) {
			t.Errorf("%s: %d attempts at bad ones, %d of %d requests served", c.name, at, w.ok, w.n)
		}
	}
}
