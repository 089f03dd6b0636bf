package fleetsim

import (
	"testing"
	"time"

	"orchiddrift/balancer"
)

// thin is a fleet of 60 nodes in four zones before sidecars that send little each, all of them with the whole list.
func thin(sidecars int) Run {
	r := run(sidecars, 60)
	r.Subset.On, r.Zones, r.Work, r.Rate = false, 4, 25*time.Millisecond, 1200
	r.Settings.ConnectTimeout, r.Settings.SecondCopies, r.Settings.ColdFrom, r.Settings.WarmUp = 250*time.Millisecond, true, 0.3, 9*time.Second
	r.Settings.Classes = []balancer.Class{{Name: "search", Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1, LateShare: 0.3}}
	return r
}

// A zone's machines vanish for 8 s and come back cold. Each sidecar has to find out by itself, which costs a few sends
// each, not some for each of the zone's nodes. No cold node is pushed over and no rule broken.
func TestLostZoneFromFewToMany(t *testing.T) {
	for sidecars, most := range map[int]int{10: 250, 80: 750, 320: 1250} { // by upstream alone: 457, 1,090, 1,456
		r := thin(sidecars)
		r.Faults = []Fault{{Kind: Lost, Zone: 1, At: 10 * time.Second, For: 8 * time.Second}}
		got, err := Play(r)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d sidecars: %d unreached, %d served of %d", sidecars, got.Unreached, got.Served, got.Requests)
		if got.Unreached == 0 || got.Unreached > most {
			t.Errorf("%d sidecars: %d sends to a lost zone of 15 nodes, %d at most", sidecars, got.Unreached, most)
		}
		if got.Fell > 0 || got.Violations > 0 || float64(got.Served) < 0.9*float64(got.Requests) {
			t.Errorf("%d sidecars: %d fell, %v, %d of %d served", sidecars, got.Fell, got.Broken, got.Served, got.Requests)
		}
	}
}

// Six in ten nodes are replaced by cold ones within 7 s while some are slow: none is pushed over, whether ten sidecars
// or 320 send to them, and the cold ones are used: most requests are served.
func TestSixInTenReplacedFromFewToMany(t *testing.T) {
	for _, sidecars := range []int{10, 80, 320} {
		r := thin(sidecars)
		r.Down = 500 * time.Millisecond
		r.Faults = []Fault{{Kind: Slow, Part: 0.1, Factor: 4, At: 5 * time.Second, For: 20 * time.Second},
			{Kind: Deploy, Part: 0.6, At: 10 * time.Second, For: 7 * time.Second}}
		got, err := Play(r)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d sidecars: %d fell, %d served of %d, %d opened", sidecars, got.Fell, got.Served, got.Requests, got.Opened)
		if got.Fell > 0 || got.Violations > 0 || float64(got.Served) < 0.87*float64(got.Requests) {
			t.Errorf("%d sidecars: %d fell, %v, %d of %d served", sidecars, got.Fell, got.Broken, got.Served, got.Requests)
		}
	}
}

// Nine in ten sidecars are killed at once during a release, while discovery can take a call from all in 8 s and turns away what
// would wait for longer than one; then it is down for 5 s. Starts serve from the list that they had, the calls of each stay few,
// and all have the list soon after discovery can give it.
func TestKilledSidecarsBeforeAnOverbookedDiscovery(t *testing.T) {
	for _, sidecars := range []int{10, 80, 320} {
		r := thin(sidecars)
		r.Length, r.Down = 60*time.Second, 500*time.Millisecond
		r.Discovery = &Discovery{CallLines: 30, Lines: float64(sidecars*(60+30)) / 8, Timeout: time.Second, DownAt: 25 * time.Second, DownFor: 5 * time.Second}
		r.Faults = []Fault{{Kind: Deploy, Part: 0.3, At: 18 * time.Second, For: 7 * time.Second}, {Kind: Kill, Part: 0.9, At: 20 * time.Second}}
		got, err := Play(r)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d sidecars: %d calls, %d in vain, %d in one second, the last had the list at %v; %d served of %d, %d sends reached nobody", sidecars,
			got.Calls, got.CallsTurnedAway, got.MostCalls, got.Listed, got.Served, got.Requests, got.Unreached)
		if got.Calls > 14*sidecars || got.Listed > 58*time.Second || got.CallsTurnedAway == 0 {
			t.Errorf("%d sidecars: %d calls, %d in vain, the last has the list at %v", sidecars, got.Calls, got.CallsTurnedAway, got.Listed)
		}
		if got.Fell > 0 || got.Violations > 0 || float64(got.Served) < 0.95*float64(got.Requests) {
			t.Errorf("%d sidecars: %d fell, %v, %d of %d served", sidecars, got.Fell, got.Broken, got.Served, got.Requests)
		}
	}
}
