package fleetsim

import (
	"reflect"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/units"
	"orchiddrift/internal/upstream/prewarm"
)

// testRun returns a run with a load of a tenth of the nodes' capacity, with subsets and slow start.
func testRun(sidecars, nodes int) Run {
	options := subset.Default()
	options.Enabled, options.MinSize, options.MaxSize, options.RemoteZoneFraction, options.ShrinkDelay = true, 8, 4096, 0, units.Duration(2*time.Second)
	return Run{Sidecars: sidecars, Nodes: nodes, Rate: float64(nodes), MeanServiceTime: 100 * time.Millisecond, Length: 30 * time.Second, Seed: 3, Subset: options, IndexKnown: true,
		ConnectDelay: 2 * time.Millisecond, Settings: balancer.Settings{MaxAttempts: 3, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: time.Second,
			ConnectTimeout: time.Second, Tick: 5 * time.Millisecond, SlowStartMinCapacity: 0.2, SlowStartWindow: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
			Classes: []balancer.Class{{Name: "search", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}}}
}

func play(t *testing.T, r Run) *Result {
	t.Helper()
	got, err := Play(r)
	if err != nil {
		t.Fatal(err)
	}
	if got.Served+got.Rejected+got.Failed > got.Requests || float64(got.Served) < 0.98*float64(got.Requests) {
		t.Errorf("%d sidecars: more answers than requests, or less than 0.98 of the requests served: %+v", r.Sidecars, got)
	}
	return got
}

// TestSameSeedGivesSameResult checks that a run with restarts is deterministic.
func TestSameSeedGivesSameResult(t *testing.T) {
	r := testRun(5, 50)
	r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 5*time.Second, 2*time.Second, 0.5, time.Second
	if first, second := play(t, r), play(t, r); !reflect.DeepEqual(first, second) {
		t.Errorf("two runs with the same seed differ:\n%+v\n%+v", first, second)
	}
}

// TestSubsetKeepsConnectionsPerNodeFlat checks that ten times the sidecars open at most 1.5 times the connections per node at the same
// traffic, that every node is used, and that the load is even. With a random choice among all nodes instead of subsets, the number of
// connections has to grow.
func TestSubsetKeepsConnectionsPerNodeFlat(t *testing.T) {
	few, many := play(t, testRun(4, 200)), play(t, testRun(40, 200))
	randomChoice := testRun(40, 200)
	randomChoice.Subset.Enabled, randomChoice.SyncProbes = false, &SyncProbes{PerRequest: 1}
	if withoutSubsets := play(t, randomChoice); many.MeanConnectionsPerNode > 1.5*few.MeanConnectionsPerNode || withoutSubsets.MeanConnectionsPerNode < 3*many.MeanConnectionsPerNode {
		t.Errorf("mean connections per node: %.2f with 4 sidecars, %.2f with 40, and %.2f with 40 that choose at random among all nodes; want at most 1.5 times as many with 40 sidecars as with 4, and at least 3 times as many with random choice as with 40", few.MeanConnectionsPerNode, many.MeanConnectionsPerNode, withoutSubsets.MeanConnectionsPerNode)
	}
	for _, r := range []*Result{few, many} {
		if r.NodesUsed != 200 || r.LoadSpread > 2 {
			t.Errorf("%d nodes were used, want 200; the load of the most loaded node is %.2f times the mean, want at most 2", r.NodesUsed, r.LoadSpread)
		}
	}
}

// TestRestartOfHalfTheNodesOverloadsNone guards against balancers that overload nodes in slow start. Half of the nodes restart within two
// seconds at half load. If the balancers do not know start times, some nodes have to be overloaded, which shows that the load is high enough.
func TestRestartOfHalfTheNodesOverloadsNone(t *testing.T) {
	r := testRun(20, 200)
	r.Rate *= 5
	r.Settings.SlowStartMinCapacity, r.Settings.OverloadMultiple, r.Settings.OverloadWindow = 0.1, 2, time.Second
	r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 8*time.Second, 2*time.Second, 0.5, 2*time.Second
	got, err := Play(r)
	if err != nil || got.NodesOverloaded > 0 {
		t.Errorf("Play returned error %v, or nodes were overloaded during slow start: %+v", err, got)
	}
	r.HideStartTimes = true
	if withoutStartTimes, err := Play(r); err != nil || withoutStartTimes.NodesOverloaded == 0 || withoutStartTimes.Served > got.Served {
		t.Errorf("Play returned error %v, or no node was overloaded although the balancers did not know start times: %+v", err, withoutStartTimes)
	}
}

// TestShrinkingListAndUnevenTraffic checks that few requests fail in two cases. In the first the list shrinks to a fortieth, and later grows
// back at once with nodes in slow start. In the second one sidecar has a thousand times the traffic of each other sidecar.
func TestShrinkingListAndUnevenTraffic(t *testing.T) {
	r := testRun(100, 2000)
	r.Rate, r.Length = 100, 45*time.Second
	r.ListSizes = []ListSize{{10 * time.Second, 50}, {25 * time.Second, 2000}}
	if got := play(t, r); float64(got.Rejected+got.Failed) > 0.01*float64(got.Requests) {
		t.Errorf("shrinking list: more than 0.01 of the requests were rejected or failed: %+v", got)
	}
	r = testRun(20, 500)
	r.TrafficWeight = func(i int) float64 {
		if i == 0 {
			return 1000
		}
		return 1
	}
	if got := play(t, r); float64(got.Rejected+got.Failed) > 0.03*float64(got.Requests) {
		t.Errorf("uneven traffic: more than 0.03 of the requests were rejected or failed: %+v", got)
	}
}

// TestPrewarmingSparesConnectDelays checks the effect of prewarming while half of the nodes restart. At most half as many requests may wait
// for a connection, with about the same number of connections per node and without bursts of new connections.
func TestPrewarmingSparesConnectDelays(t *testing.T) {
	r := testRun(40, 200)
	r.ConnectDelay = 50 * time.Millisecond
	r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 8*time.Second, time.Second, 0.5, time.Second
	withoutPrewarming := play(t, r)
	r.Prewarming = prewarm.Default()
	r.Prewarming.Enabled = true
	got := play(t, r)
	if 2*got.RequestsDelayedByConnect > withoutPrewarming.RequestsDelayedByConnect || got.MeanConnectionsPerNode > 1.5*withoutPrewarming.MeanConnectionsPerNode+1 || got.MaxConnectionsOpenedPerSecond > withoutPrewarming.MaxConnectionsOpenedPerSecond+2 {
		t.Errorf("prewarming has too little effect or too high a cost: %d of %d requests waited for a connection with it, %d without; mean connections per node %.2f with it, %.2f without; at most %d connections opened to one node in a second with it, %d without", got.RequestsDelayedByConnect, got.Requests,
			withoutPrewarming.RequestsDelayedByConnect, got.MeanConnectionsPerNode, withoutPrewarming.MeanConnectionsPerNode, got.MaxConnectionsOpenedPerSecond, withoutPrewarming.MaxConnectionsOpenedPerSecond)
	}
}

// TestManySidecarsAndNodes checks that 1,024 sidecars use nearly all of 1,024 nodes.
func TestManySidecarsAndNodes(t *testing.T) {
	r := testRun(1024, 1024)
	r.Length = 12 * time.Second
	if got := play(t, r); got.NodesUsed < 1000 {
		t.Errorf("%d of 1,024 nodes were used, want at least 1,000", got.NodesUsed)
	}
}
