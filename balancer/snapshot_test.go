package balancer

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/testing/golden"
)

// The JSON form of a snapshot must stay the same byte for byte: a process may read the snapshot of a
// predecessor of the previous release.
func TestSnapshotGolden(t *testing.T) {
	want := Snapshot{
		Upstreams: map[string]UpstreamSnapshot{
			"n1": {Uptime: 3 * time.Second, Estimate: 0.125, Age: 40 * time.Millisecond, ErrorRatio: 0.25, ConsecutiveErrors: 2, ConsecutiveFailures: 1, Ejections: 3, EjectedFor: 2 * time.Second},
			"n2": {},
		},
		MeanLatency: 0.5, MeanNormalizedLatency: 0.25, MedianLatency: 0.0625, LateLatency: 0.75, MeanCostHint: 1.5,
		Classes:       map[string]float64{"booking": 0.5, "search": 0.25},
		MachineTypes:  map[string]float64{"": 1, "large": 2},
		QueueingLimit: 0.65, ServedRate: 12.5, OfferedRate: 20,
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Match(t, "knowledge.json", text)
	var got Snapshot
	if err := json.Unmarshal(golden.Read(t, "knowledge.json", text), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("snapshot read from JSON is %+v, want %+v", got, want)
	}
}

// trainedHarness returns a harness whose Balancer has learnt of a fast, a slow and a failing upstream.
func trainedHarness(t *testing.T) *harness {
	t.Helper()
	r := newHarness(t, testSettings())
	r.updateEndpoints(FullUpdate, Endpoint{Name: "fast", Zone: "a", MachineType: "new"}, Endpoint{Name: "slow", Zone: "a", MachineType: "old"},
		Endpoint{Name: "bad", Zone: "a", StartedAt: r.now - time.Second})
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		r.now += 10 * ms
		for _, a := range ofKind(r.request(id, "c", time.Second), Send) {
			elapsed, result := 20*ms, OK
			switch a.Upstream {
			case "slow":
				elapsed = 80 * ms
			case "bad":
				elapsed, result = ms, ServerError
			}
			r.outcome(id, 0, result, elapsed)
			r.handle(ClientDisconnected{ID: id})
		}
	}
	return r
}

// snapshotAsRead returns a snapshot as the successor process reads it.
func (r *harness) snapshotAsRead() *Snapshot {
	r.t.Helper()
	text, err := json.Marshal(r.balancer.Snapshot(r.now))
	if err != nil {
		r.t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		r.t.Fatal(err)
	}
	if err := snapshot.Validate(); err != nil {
		r.t.Fatal(err)
	}
	return &snapshot
}

// A restored Balancer must go on with its predecessor's estimates, ejections and rates. An upstream that
// the snapshot does not have starts without them.
func TestSnapshotRestores(t *testing.T) {
	predecessor := trainedHarness(t)
	snapshot := predecessor.snapshotAsRead()
	// The successor's clock shows another time, and one upstream has been added in the meantime.
	successor := newHarness(t, testSettings())
	successor.now = time.Hour
	successor.updateEndpoints(CachedUpdate, Endpoint{Name: "fast", Zone: "a", MachineType: "new"}, Endpoint{Name: "slow", Zone: "a", MachineType: "old"},
		Endpoint{Name: "bad", Zone: "a", StartedAt: successor.now - (predecessor.now - predecessor.balancer.upstreams["bad"].startedAt)}, Endpoint{Name: "new", Zone: "a"})
	initialLatency := successor.balancer.upstreams["new"].latency
	successor.balancer.Restore(successor.now, snapshot)
	for name, u := range predecessor.balancer.upstreams {
		v := successor.balancer.upstreams[name]
		sameEstimate := v.latency.value == u.latency.value && successor.now-v.latency.updatedAt == predecessor.now-u.latency.updatedAt
		sameEjection := v.outlier.consecutiveEjections == u.outlier.consecutiveEjections &&
			max(0, v.outlier.ejectedUntil-successor.now) == max(0, u.outlier.ejectedUntil-predecessor.now)
		if !sameEstimate || !sameEjection || v.outlier.errorRatio != u.outlier.errorRatio {
			t.Errorf("upstream %s: restored as %+v, was %+v", name, v, u)
		}
	}
	if successor.balancer.upstreams["bad"].outlier.consecutiveEjections == 0 {
		t.Error("the ejection of the failing upstream was not restored")
	}
	if successor.balancer.upstreams["new"].latency != initialLatency {
		t.Error("Restore changed the latency estimate of an upstream that is not in the snapshot")
	}
	original, restored := predecessor.balancer, successor.balancer
	for _, c := range []struct {
		name               string
		restored, original float64
	}{
		{"served rate", restored.servedRate.perSecond(successor.now), original.servedRate.perSecond(predecessor.now)},
		{"offered rate", restored.offeredRate.perSecond(successor.now), original.offeredRate.perSecond(predecessor.now)},
		{"median latency", restored.latency.median.value, original.latency.median.value},
		{"class latency", restored.classes["c"].meanLatency, original.classes["c"].meanLatency},
		{"queueing limit", restored.shedding.queueingLimit, original.shedding.queueingLimit},
	} {
		if math.Abs(c.restored-c.original) > 1e-6*c.original {
			t.Errorf("%s: restored as %v, was %v", c.name, c.restored, c.original)
		}
	}
}

// What the predecessor learnt of an upstream must not be restored if the upstream has restarted since.
func TestSnapshotIsNotRestoredAfterRestart(t *testing.T) {
	predecessor := trainedHarness(t)
	snapshot := predecessor.snapshotAsRead()
	successor := newHarness(t, testSettings())
	successor.now = time.Hour
	successor.updateEndpoints(CachedUpdate, Endpoint{Name: "bad", Zone: "a", StartedAt: successor.now - time.Millisecond})
	before := *successor.balancer.upstreams["bad"]
	successor.balancer.Restore(successor.now, snapshot)
	if u := successor.balancer.upstreams["bad"]; u.outlier.consecutiveEjections != 0 || u.latency != before.latency {
		t.Errorf("state of the earlier incarnation was restored: %+v, was %+v before Restore", *u, before)
	}
}

// Numbers that would break the estimates must be rejected.
func TestSnapshotValidateRejects(t *testing.T) {
	for name, corrupt := range map[string]func(*Snapshot){
		"negative":            func(s *Snapshot) { s.MeanLatency = -1 },
		"too large":           func(s *Snapshot) { s.Classes["c"] = 1e300 },
		"NaN":                 func(s *Snapshot) { s.LateLatency = math.NaN() },
		"negative age":        func(s *Snapshot) { s.Upstreams["x"] = UpstreamSnapshot{Age: -1} },
		"ejection too long":   func(s *Snapshot) { s.Upstreams["x"] = UpstreamSnapshot{Ejections: 1, EjectedFor: time.Hour} },
		"error ratio above 1": func(s *Snapshot) { s.Upstreams["x"] = UpstreamSnapshot{ErrorRatio: 2} },
	} {
		s := trainedHarness(t).balancer.Snapshot(time.Hour)
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		if corrupt(s); s.Validate() == nil {
			t.Errorf("%s: Validate accepted the snapshot", name)
		}
	}
}
