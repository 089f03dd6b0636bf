package balancer

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/testing/golden"
)

// A snapshot is written and read byte for byte as by the release before.
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
		t.Errorf("read %+v, want %+v", got, want)
	}
}

// trainedHarness is a Balancer that has seen a fast, a slow and a failing upstream.
func trainedHarness(t *testing.T) *harness {
	r := newHarness(t, testSettings())
	r.updateEndpoints(FullUpdate, Endpoint{Name: "fast", Zone: "a", MachineType: "new"}, Endpoint{Name: "slow", Zone: "a", MachineType: "old"},
		Endpoint{Name: "bad", Zone: "a", StartedAt: r.now - time.Second})
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		r.now += 10 * ms
		for _, a := range ofKind(r.request(id, "c", time.Second), Send) {
			took, res := 20*ms, OK
			switch a.Upstream {
			case "slow":
				took = 80 * ms
			case "bad":
				took, res = ms, ServerError
			}
			r.outcome(id, 0, res, took)
			r.handle(ClientDisconnected{ID: id})
		}
	}
	return r
}

// A restored Balancer goes on with its predecessor's estimates, ejections and rates. Upstreams that have
// started since are new.
func TestSnapshotRestores(t *testing.T) {
	old := trainedHarness(t)
	text, err := json.Marshal(old.balancer.Snapshot(old.now))
	if err != nil {
		t.Fatal(err)
	}
	var k Snapshot
	if err := json.Unmarshal(text, &k); err != nil || k.Validate() != nil {
		t.Fatal(err, k.Validate())
	}
	// Its clock began an hour before, and one upstream has started anew meanwhile.
	next := newHarness(t, testSettings())
	next.now = time.Hour
	next.updateEndpoints(CachedUpdate, Endpoint{Name: "fast", Zone: "a", MachineType: "new"}, Endpoint{Name: "slow", Zone: "a", MachineType: "old"},
		Endpoint{Name: "bad", Zone: "a", StartedAt: next.now - (old.now - old.balancer.upstreams["bad"].startedAt)}, Endpoint{Name: "new", Zone: "a"})
	fresh := next.balancer.upstreams["new"].latency
	next.balancer.Restore(next.now, &k)
	for name, u := range old.balancer.upstreams {
		v := next.balancer.upstreams[name]
		if v.latency.value != u.latency.value || next.now-v.latency.updatedAt != old.now-u.latency.updatedAt || v.outlier.ejections != u.outlier.ejections ||
			max(0, v.outlier.ejectedUntil-next.now) != max(0, u.outlier.ejectedUntil-old.now) || v.outlier.errorRatio != u.outlier.errorRatio {
			t.Errorf("%s: %+v, was %+v", name, v, u)
		}
	}
	if next.balancer.upstreams["bad"].outlier.ejections == 0 {
		t.Error("the failing one was not left out")
	}
	if next.balancer.upstreams["new"].latency != fresh {
		t.Error("one that nothing is known of has an estimate")
	}
	for _, x := range [][2]float64{{next.balancer.servedRate.perSecond(next.now), old.balancer.servedRate.perSecond(old.now)}, {next.balancer.offeredRate.perSecond(next.now), old.balancer.offeredRate.perSecond(old.now)},
		{next.balancer.latency.median.value, old.balancer.latency.median.value}, {next.balancer.classes["c"].meanLatency, old.balancer.classes["c"].meanLatency}, {next.balancer.shedding.queueingLimit, old.balancer.shedding.queueingLimit}} {
		if math.Abs(x[0]-x[1]) > 1e-6*x[1] {
			t.Errorf("%v, was %v", x[0], x[1])
		}
	}
	again := newHarness(t, testSettings())
	again.now = time.Hour
	again.updateEndpoints(CachedUpdate, Endpoint{Name: "bad", Zone: "a", StartedAt: again.now - time.Millisecond})
	was := *again.balancer.upstreams["bad"]
	again.balancer.Restore(again.now, &k)
	if u := again.balancer.upstreams["bad"]; u.outlier.ejections != 0 || u.latency != was.latency {
		t.Error("what was known of an upstream's earlier process counts for the one that started since")
	}
}

// Numbers that would break the estimates are rejected.
func TestSnapshotValidateRejects(t *testing.T) {
	for name, spoil := range map[string]func(*Snapshot){
		"negative":  func(k *Snapshot) { k.MeanLatency = -1 },
		"huge":      func(k *Snapshot) { k.Classes["c"] = 1e300 },
		"no number": func(k *Snapshot) { k.LateLatency = math.NaN() },
		"an age":    func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{Age: -1} },
		"for ever":  func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{Ejections: 1, EjectedFor: time.Hour} },
		"a share":   func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{ErrorRatio: 2} },
	} {
		k := trainedHarness(t).balancer.Snapshot(time.Hour)
		if err := k.Validate(); err != nil {
			t.Fatal(err)
		}
		if spoil(k); k.Validate() == nil {
			t.Errorf("%s: it is taken", name)
		}
	}
}
