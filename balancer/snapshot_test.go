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

// trainedHarness is a Balancer that has learnt of a fast, a slow and a failing upstream.
func trainedHarness(t *testing.T) *harness {
	t.Helper()
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

// passOn returns a snapshot as the successor process reads it.
func (r *harness) passOn() *Snapshot {
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

// A restored Balancer goes on with its predecessor's estimates, ejections and rates. Upstreams that have
// started since are new.
func TestSnapshotRestores(t *testing.T) {
	old := trainedHarness(t)
	snapshot := old.passOn()
	// Its clock began an hour before, and one upstream has started anew meanwhile.
	next := newHarness(t, testSettings())
	next.now = time.Hour
	next.updateEndpoints(CachedUpdate, Endpoint{Name: "fast", Zone: "a", MachineType: "new"}, Endpoint{Name: "slow", Zone: "a", MachineType: "old"},
		Endpoint{Name: "bad", Zone: "a", StartedAt: next.now - (old.now - old.balancer.upstreams["bad"].startedAt)}, Endpoint{Name: "new", Zone: "a"})
	fresh := next.balancer.upstreams["new"].latency
	next.balancer.Restore(next.now, snapshot)
	for name, u := range old.balancer.upstreams {
		v := next.balancer.upstreams[name]
		sameEstimate := v.latency.value == u.latency.value && next.now-v.latency.updatedAt == old.now-u.latency.updatedAt
		sameEjection := v.outlier.consecutiveEjections == u.outlier.consecutiveEjections &&
			max(0, v.outlier.ejectedUntil-next.now) == max(0, u.outlier.ejectedUntil-old.now)
		if !sameEstimate || !sameEjection || v.outlier.errorRatio != u.outlier.errorRatio {
			t.Errorf("%s: %+v, was %+v", name, v, u)
		}
	}
	if next.balancer.upstreams["bad"].outlier.consecutiveEjections == 0 {
		t.Error("the failing one was not left out")
	}
	if next.balancer.upstreams["new"].latency != fresh {
		t.Error("one that nothing is known of has an estimate")
	}
	was, is := old.balancer, next.balancer
	for _, c := range []struct {
		name    string
		is, was float64
	}{
		{"served rate", is.servedRate.perSecond(next.now), was.servedRate.perSecond(old.now)},
		{"offered rate", is.offeredRate.perSecond(next.now), was.offeredRate.perSecond(old.now)},
		{"median latency", is.latency.median.value, was.latency.median.value},
		{"class latency", is.classes["c"].meanLatency, was.classes["c"].meanLatency},
		{"queueing limit", is.shedding.queueingLimit, was.shedding.queueingLimit},
	} {
		if math.Abs(c.is-c.was) > 1e-6*c.was {
			t.Errorf("%s: %v, was %v", c.name, c.is, c.was)
		}
	}
}

// What was known of an upstream's earlier process does not count for one that has started since.
func TestSnapshotIsNotRestoredAfterRestart(t *testing.T) {
	old := trainedHarness(t)
	snapshot := old.passOn()
	again := newHarness(t, testSettings())
	again.now = time.Hour
	again.updateEndpoints(CachedUpdate, Endpoint{Name: "bad", Zone: "a", StartedAt: again.now - time.Millisecond})
	before := *again.balancer.upstreams["bad"]
	again.balancer.Restore(again.now, snapshot)
	if u := again.balancer.upstreams["bad"]; u.outlier.consecutiveEjections != 0 || u.latency != before.latency {
		t.Errorf("restored %+v, was %+v", *u, before)
	}
}

// Numbers that would break the estimates are rejected.
func TestSnapshotValidateRejects(t *testing.T) {
	for name, spoil := range map[string]func(*Snapshot){
		"negative":            func(k *Snapshot) { k.MeanLatency = -1 },
		"too large":           func(k *Snapshot) { k.Classes["c"] = 1e300 },
		"NaN":                 func(k *Snapshot) { k.LateLatency = math.NaN() },
		"negative age":        func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{Age: -1} },
		"ejection too long":   func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{Ejections: 1, EjectedFor: time.Hour} },
		"error ratio above 1": func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{ErrorRatio: 2} },
	} {
		k := trainedHarness(t).balancer.Snapshot(time.Hour)
		if err := k.Validate(); err != nil {
			t.Fatal(err)
		}
		if spoil(k); k.Validate() == nil {
			t.Errorf("%s: it is accepted", name)
		}
	}
}
