package fleetsim

import (
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/upstream/loadprobe"
)

// lowTrafficRun is a fleet of 60 nodes in four zones whose sidecars have little traffic each and use all nodes.
func lowTrafficRun(sidecars int) Run {
	r := testRun(sidecars, 60)
	r.Subset.Enabled, r.Zones, r.MeanServiceTime, r.Rate = false, 4, 25*time.Millisecond, 1200
	r.Settings.ConnectTimeout, r.Settings.HedgingAllowed, r.Settings.SlowStartMinCapacity, r.Settings.SlowStartWindow = 250*time.Millisecond, true, 0.3, 9*time.Second
	r.Settings.Classes = []balancer.Class{{Name: "search", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}
	return r
}

// TestFaultsWithFewAndManySidecars bounds what 10, 80 and 320 sidecars do together: no node in slow start is overloaded, no invariant is broken
// and most requests are served.
func TestFaultsWithFewAndManySidecars(t *testing.T) {
	for _, c := range []struct {
		name    string
		served  float64 // least, of the requests
		shape   func(r *Run)
		bounded func(got *Result, sidecars int) bool // what is particular to the shape
	}{
		// Each has to find out by itself, with a few sends and not some for each node: by upstream alone they are 457, 1,090, 1,456.
		{"a zone of 15 nodes is lost for 8 s", 0.9, func(r *Run) {
			r.Faults = []Fault{{Kind: ZoneOutage, Zone: 1, At: 10 * time.Second, Duration: 8 * time.Second}}
		}, func(got *Result, sidecars int) bool {
			return got.ConnectFailures > 0 && got.ConnectFailures <= map[int]int{10: 250, 80: 750, 320: 1250}[sidecars]
		}},
		{"six in ten replaced by cold ones within 7 s, some slow", 0.87, func(r *Run) {
			r.Faults = []Fault{{Kind: Slow, Fraction: 0.1, Factor: 4, At: 5 * time.Second, Duration: 20 * time.Second},
				{Kind: Deploy, Fraction: 0.6, At: 10 * time.Second, Duration: 7 * time.Second}}
		}, nil},
		// Discovery takes a call from all in 8 s, turns away what would wait longer than one, and is down for 5 s. Starts serve from
		// the list that they had, each calls a few times, and all have the list soon after discovery can give it.
		{"nine in ten sidecars killed at once", 0.95, func(r *Run) {
			r.Length = 60 * time.Second
			r.Discovery = &Discovery{LinesPerCall: 30, LinesPerSecond: float64(r.Sidecars*(60+30)) / 8, Timeout: time.Second, DownAt: 25 * time.Second, DownFor: 5 * time.Second}
			r.Faults = []Fault{{Kind: Deploy, Fraction: 0.3, At: 18 * time.Second, Duration: 7 * time.Second}, {Kind: Kill, Fraction: 0.9, At: 20 * time.Second}}
		}, func(got *Result, sidecars int) bool {
			return got.ListCalls <= 10*sidecars && got.ListCallsRejected > 0 && got.LastFullListAt > 30*time.Second && got.LastFullListAt < 50*time.Second
		}},
	} {
		for _, sidecars := range []int{10, 80, 320} {
			r := lowTrafficRun(sidecars)
			r.RestartDowntime = 500 * time.Millisecond
			c.shape(&r)
			got, err := Play(r)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s, %d sidecars: %d unreached, %d calls, %d in vain, %d in a second, listed at %v, %d served of %d", c.name, sidecars,
				got.ConnectFailures, got.ListCalls, got.ListCallsRejected, got.MaxListCallsPerSecond, got.LastFullListAt, got.Served, got.Requests)
			if got.NodesOverloaded > 0 || got.Violations > 0 || float64(got.Served) < c.served*float64(got.Requests) || c.bounded != nil && !c.bounded(got, sidecars) {
				t.Errorf("%s, %d sidecars: %+v", c.name, sidecars, got)
			}
		}
	}
}

// TestLowTrafficSidecarsKilledAtOnce kills nine in ten of 8 to 48 sidecars at the same moment while the discovery service cannot serve all calls.
// Probes and connections per request and calls per sidecar are bounded by the same values for all sizes, and no node gets more new
// connections in a second than there are sidecars.
func TestLowTrafficSidecarsKilledAtOnce(t *testing.T) {
	for _, sidecars := range []int{8, 24, 48} {
		r := lowTrafficRun(sidecars)
		r.Nodes, r.Rate, r.Length, r.RestartDowntime = 16, float64(5*sidecars), 60*time.Second, 500*time.Millisecond
		r.LoadProbes = loadprobe.Default()
		r.LoadProbes.Enabled = true
		r.Discovery = &Discovery{LinesPerCall: 30, LinesPerSecond: float64(sidecars*(16+30)) / 8, Timeout: time.Second, DownAt: 25 * time.Second, DownFor: 5 * time.Second}
		r.Faults = []Fault{{Kind: Deploy, Fraction: 0.3, At: 18 * time.Second, Duration: 7 * time.Second}, {Kind: Kill, Fraction: 0.9, At: 20 * time.Second}}
		got, err := Play(r)
		if err != nil {
			t.Fatal(err)
		}
		asked, each := float64(got.Requests), float64(sidecars)
		probes, opened, calls, made := float64(got.Probes)/asked, float64(got.ConnectionsOpened)/asked, float64(got.ListCalls)/each, float64(got.MaxConnectionsOpenedPerSecond)/each
		t.Logf("%d sidecars: %.2f probes and %.3f connections a request, %.1f calls a sidecar (%d in vain), %.2f connections a sidecar to one node in a second, listed at %v, %d served of %d",
			sidecars, probes, opened, calls, got.ListCallsRejected, made, got.LastFullListAt, got.Served, got.Requests)
		if probes > float64(r.LoadProbes.UpstreamsPerRequest) || opened > 0.25 || calls > 10 || made > 1 || got.ListCallsRejected == 0 || got.NodesOverloaded > 0 || got.Violations > 0 || float64(got.Served) < 0.95*asked {
			t.Errorf("%d sidecars: %+v", sidecars, got)
		}
	}
}
