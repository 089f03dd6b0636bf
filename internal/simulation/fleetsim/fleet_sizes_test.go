package fleetsim

import (
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/upstream/loadprobe"
)

// lowTrafficRun returns a run with 60 nodes in four zones. Each sidecar has little traffic and uses all nodes.
func lowTrafficRun(sidecars int) Run {
	r := testRun(sidecars, 60)
	r.Subset.Enabled, r.Zones, r.MeanServiceTime, r.Rate = false, 4, 25*time.Millisecond, 1200
	r.Settings.ConnectTimeout, r.Settings.HedgingAllowed, r.Settings.SlowStartMinCapacity, r.Settings.SlowStartWindow = 250*time.Millisecond, true, 0.3, 9*time.Second
	r.Settings.Classes = []balancer.Class{{Name: "search", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}
	return r
}

// TestFaultsWithFewAndManySidecars guards against sidecars that together overload nodes or the discovery service, because each sidecar reacts to a
// fault independently. With 10, 80 and 320 sidecars no node in slow start may be overloaded, no invariant may be broken, and most requests have to be
// served.
func TestFaultsWithFewAndManySidecars(t *testing.T) {
	for _, c := range []struct {
		name         string
		served       float64 // minimum fraction of the requests that are served
		configure    func(r *Run)
		withinLimits func(got *Result, sidecars int) bool // checks limits that apply only to this fault; nil if there are none
	}{
		// Each sidecar has to detect the outage of the zone by a few failed attempts in total. If each sidecar detected the failure of each node
		// separately, 457, 1,090 and 1,456 connection attempts would fail with 10, 80 and 320 sidecars.
		{"a zone of 15 nodes is down for 8 s", 0.9, func(r *Run) {
			r.Faults = []Fault{{Kind: ZoneOutage, Zone: 1, At: 10 * time.Second, Duration: 8 * time.Second}}
		}, func(got *Result, sidecars int) bool {
			return got.ConnectFailures > 0 && got.ConnectFailures <= map[int]int{10: 250, 80: 750, 320: 1250}[sidecars]
		}},
		{"60% of the nodes restart in slow start within 7 s, some nodes are slow", 0.87, func(r *Run) {
			r.Faults = []Fault{{Kind: Slow, Fraction: 0.1, Factor: 4, At: 5 * time.Second, Duration: 20 * time.Second},
				{Kind: Deploy, Fraction: 0.6, At: 10 * time.Second, Duration: 7 * time.Second}}
		}, nil},
		// The discovery service needs 8 s to answer one call from each sidecar, rejects calls that would wait longer than 1 s, and is down for 5 s.
		// Restarted sidecars have to serve with their cached list and call only a few times each. All of them have to get the full list soon after the
		// service can answer.
		{"90% of the sidecars are killed at once", 0.95, func(r *Run) {
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
			c.configure(&r)
			got, err := Play(r)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s, %d sidecars: %d connection attempts failed; %d list calls, %d of them rejected, at most %d in a second; last full list at %v; served %d of %d requests", c.name, sidecars,
				got.ConnectFailures, got.ListCalls, got.ListCallsRejected, got.MaxListCallsPerSecond, got.LastFullListAt, got.Served, got.Requests)
			if got.NodesOverloaded > 0 || got.Violations > 0 || float64(got.Served) < c.served*float64(got.Requests) || c.withinLimits != nil && !c.withinLimits(got, sidecars) {
				t.Errorf("%s, %d sidecars: a count is outside the limits of this test: %+v", c.name, sidecars, got)
			}
		}
	}
}

// TestLowTrafficSidecarsKilledAtOnce guards against bursts when 90% of 8, 24 or 48 sidecars are killed at the same moment while the discovery service
// cannot serve all calls. The same limits on probes and connections per request and on calls per sidecar apply to all sizes. No node may get more new
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
		requests, sidecarCount := float64(got.Requests), float64(sidecars)
		probes, connections, calls, connectionBurst := float64(got.Probes)/requests, float64(got.ConnectionsOpened)/requests, float64(got.ListCalls)/sidecarCount, float64(got.MaxConnectionsOpenedPerSecond)/sidecarCount
		t.Logf("%d sidecars: %.2f probes and %.3f connections per request, %.1f list calls per sidecar (%d calls rejected), at most %.2f connections per sidecar to one node in a second, last full list at %v, served %d of %d requests",
			sidecars, probes, connections, calls, got.ListCallsRejected, connectionBurst, got.LastFullListAt, got.Served, got.Requests)
		if probes > float64(r.LoadProbes.UpstreamsPerRequest) || connections > 0.25 || calls > 10 || connectionBurst > 1 || got.ListCallsRejected == 0 || got.NodesOverloaded > 0 || got.Violations > 0 || float64(got.Served) < 0.95*requests {
			t.Errorf("%d sidecars: a count is outside the limits of this test: %+v", sidecars, got)
		}
	}
}
