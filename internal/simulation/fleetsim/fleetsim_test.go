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

func testRun(sidecars, nodes int) Run {
	o := subset.Default()
	o.Enabled, o.MinSize, o.MaxSize, o.RemoteZoneFraction, o.ShrinkDelay = true, 8, 4096, 0, units.Duration(2*time.Second)
	return Run{Sidecars: sidecars, Nodes: nodes, Rate: float64(nodes), MeanServiceTime: 100 * time.Millisecond, Length: 30 * time.Second, Seed: 3, Subset: o, IndexKnown: true,
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
		t.Errorf("%d sidecars: %+v", r.Sidecars, got)
	}
	return got
}

// TestSameSeedGivesSameResult checks that a run is deterministic.
func TestSameSeedGivesSameResult(t *testing.T) {
	r := testRun(5, 50)
	r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 5*time.Second, 2*time.Second, 0.5, time.Second
	if a, b := play(t, r), play(t, r); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// TestSubsetKeepsConnectionsPerNodeFlat checks that at the same traffic ten times the sidecars do not need many more connections per node,
// that every node is used and that the load is even. Without subsets and with random choice connections grow.
func TestSubsetKeepsConnectionsPerNodeFlat(t *testing.T) {
	few, many := play(t, testRun(4, 200)), play(t, testRun(40, 200))
	chance := testRun(40, 200)
	chance.Subset.Enabled, chance.SyncProbes = false, &SyncProbes{PerRequest: 1}
	if whole := play(t, chance); many.MeanConnectionsPerNode > 1.5*few.MeanConnectionsPerNode || whole.MeanConnectionsPerNode < 3*many.MeanConnectionsPerNode {
		t.Errorf("connections a node: %.2f of 4 sidecars, %.2f of 40, %.2f of 40 by chance", few.MeanConnectionsPerNode, many.MeanConnectionsPerNode, whole.MeanConnectionsPerNode)
	}
	for _, r := range []*Result{few, many} {
		if r.NodesUsed != 200 || r.LoadSpread > 2 {
			t.Errorf("%d nodes asked, spread %.2f", r.NodesUsed, r.LoadSpread)
		}
	}
}

// TestRestartOfHalfTheNodesOverloadsNone restarts half of the nodes within two seconds at half load: no node is overloaded. Some are where the
// balancers do not know start times, which shows that the check can fail.
func TestRestartOfHalfTheNodesOverloadsNone(t *testing.T) {
	r := testRun(20, 200)
	r.Rate *= 5
	r.Settings.SlowStartMinCapacity, r.Settings.OverloadMultiple, r.Settings.OverloadWindow = 0.1, 2, time.Second
	r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 8*time.Second, 2*time.Second, 0.5, 2*time.Second
	got, err := Play(r)
	if err != nil || got.NodesOverloaded > 0 {
		t.Errorf("%v; %+v", err, got)
	}
	r.HideStartTimes = true
	if blind, err := Play(r); err != nil || blind.NodesOverloaded == 0 || blind.Served > got.Served {
		t.Errorf("%v; blind %+v: no restart to speak of", err, blind)
	}
}

// TestShrinkingListAndUnevenTraffic shrinks the list to a fortieth and grows it back at one moment with nodes in slow start, and gives one
// sidecar a thousand times the traffic of the others: few requests fail.
func TestShrinkingListAndUnevenTraffic(t *testing.T) {
	r := testRun(100, 2000)
	r.Rate, r.Length = 100, 45*time.Second
	r.ListSizes = []ListSize{{10 * time.Second, 50}, {25 * time.Second, 2000}}
	if got := play(t, r); float64(got.Rejected+got.Failed) > 0.01*float64(got.Requests) {
		t.Errorf("%+v", got)
	}
	r = testRun(20, 500)
	r.TrafficWeight = func(i int) float64 {
		if i == 0 {
			return 1000
		}
		return 1
	}
	if got := play(t, r); float64(got.Rejected+got.Failed) > 0.03*float64(got.Requests) {
		t.Errorf("%+v", got)
	}
}

// TestPrewarmingSparesConnectDelays checks that with prewarming few requests wait for a connection, also while half of the nodes restart, at
// about the same number of connections per node and without bursts of new ones.
func TestPrewarmingSparesConnectDelays(t *testing.T) {
	r := testRun(40, 200)
	r.ConnectDelay = 50 * time.Millisecond
	r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 8*time.Second, time.Second, 0.5, time.Second
	withoutPrewarming := play(t, r)
	r.Prewarming = prewarm.Default()
	r.Prewarming.Enabled = true
	got := play(t, r)
	if 2*got.RequestsDelayedByConnect > withoutPrewarming.RequestsDelayedByConnect || got.MeanConnectionsPerNode > 1.5*withoutPrewarming.MeanConnectionsPerNode+1 || got.MaxConnectionsOpenedPerSecond > withoutPrewarming.MaxConnectionsOpenedPerSecond+2 {
		t.Errorf("%d of %d requests wait for a connection, %d without; %.2f and %.2f open a node, %d and %d made in a second", got.RequestsDelayedByConnect, got.Requests,
			withoutPrewarming.RequestsDelayedByConnect, got.MeanConnectionsPerNode, withoutPrewarming.MeanConnectionsPerNode, got.MaxConnectionsOpenedPerSecond, withoutPrewarming.MaxConnectionsOpenedPerSecond)
	}
}

// TestManySidecarsAndNodes plays 1,024 sidecars with 1,024 nodes: nearly all nodes are used.
func TestManySidecarsAndNodes(t *testing.T) {
	r := testRun(1024, 1024)
	r.Length = 12 * time.Second
	if got := play(t, r); got.NodesUsed < 1000 {
		t.Errorf("%d nodes of 1,024 are asked", got.NodesUsed)
	}
}
