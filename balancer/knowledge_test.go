package balancer

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// busy is a Balancer that has seen a fast, a slow and a failing upstream.
func busy(t *testing.T) *rig {
	r := newRig(t, testSettings())
	r.list(FullUpdate, Endpoint{Name: "fast", Zone: "a", MachineType: "new"}, Endpoint{Name: "slow", Zone: "a", MachineType: "old"},
		Endpoint{Name: "bad", Zone: "a", StartedAt: r.now - time.Second})
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		r.now += 10 * ms
		for _, a := range kinds(r.request(id, "c", time.Second), Send) {
			took, res := 20*ms, OK
			switch a.Upstream {
			case "slow":
				took = 80 * ms
			case "bad":
				took, res = ms, ServerError
			}
			r.result(id, 0, res, took)
			r.do(ClientDisconnected{ID: id})
		}
	}
	return r
}

// Guards against a successor that begins as if nothing was known: it would send to the failing upstream,
// take the slow one for the fast one, and shed because nothing has been served.
func TestKnowledgeIsPassedOn(t *testing.T) {
	old := busy(t)
	text, err := json.Marshal(old.b.Snapshot(old.now))
	if err != nil {
		t.Fatal(err)
	}
	var k Snapshot
	if err := json.Unmarshal(text, &k); err != nil || k.Validate() != nil {
		t.Fatal(err, k.Validate())
	}
	// Its clock began an hour before, and one upstream has started anew meanwhile.
	next := newRig(t, testSettings())
	next.now = time.Hour
	next.list(CachedUpdate, Endpoint{Name: "fast", Zone: "a", MachineType: "new"}, Endpoint{Name: "slow", Zone: "a", MachineType: "old"},
		Endpoint{Name: "bad", Zone: "a", StartedAt: next.now - (old.now - old.b.upstreams["bad"].startedAt)}, Endpoint{Name: "new", Zone: "a"})
	fresh := next.b.upstreams["new"].latency
	next.b.Restore(next.now, &k)
	for name, u := range old.b.upstreams {
		v := next.b.upstreams[name]
		if v.latency.value != u.latency.value || next.now-v.latency.updatedAt != old.now-u.latency.updatedAt || v.outlier.ejections != u.outlier.ejections ||
			max(0, v.outlier.ejectedUntil-next.now) != max(0, u.outlier.ejectedUntil-old.now) || v.outlier.errorRatio != u.outlier.errorRatio {
			t.Errorf("%s: %+v, was %+v", name, v, u)
		}
	}
	if next.b.upstreams["bad"].outlier.ejections == 0 {
		t.Error("the failing one was not left out")
	}
	if next.b.upstreams["new"].latency != fresh {
		t.Error("one that nothing is known of has an estimate")
	}
	for _, x := range [][2]float64{{next.b.servedRate.perSecond(next.now), old.b.servedRate.perSecond(old.now)}, {next.b.offeredRate.perSecond(next.now), old.b.offeredRate.perSecond(old.now)},
		{next.b.latency.median.value, old.b.latency.median.value}, {next.b.classes["c"].meanLatency, old.b.classes["c"].meanLatency}, {next.b.shedding.queueingLimit, old.b.shedding.queueingLimit}} {
		if math.Abs(x[0]-x[1]) > 1e-6*x[1] {
			t.Errorf("%v, was %v", x[0], x[1])
		}
	}
	again := newRig(t, testSettings())
	again.now = time.Hour
	again.list(CachedUpdate, Endpoint{Name: "bad", Zone: "a", StartedAt: again.now - time.Millisecond})
	was := *again.b.upstreams["bad"]
	again.b.Restore(again.now, &k)
	if u := again.b.upstreams["bad"]; u.outlier.ejections != 0 || u.latency != was.latency {
		t.Error("what was known of an upstream's earlier process counts for the one that started since")
	}
}

// Guards against numbers that would break the estimates, from whoever passed them on.
func TestKnowledgeThatCannotBeUsed(t *testing.T) {
	for name, spoil := range map[string]func(*Snapshot){
		"negative":  func(k *Snapshot) { k.MeanLatency = -1 },
		"huge":      func(k *Snapshot) { k.Classes["c"] = 1e300 },
		"no number": func(k *Snapshot) { k.LateLatency = math.NaN() },
		"an age":    func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{Age: -1} },
		"for ever":  func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{Ejections: 1, EjectedFor: time.Hour} },
		"a share":   func(k *Snapshot) { k.Upstreams["x"] = UpstreamSnapshot{ErrorRatio: 2} },
	} {
		k := busy(t).b.Snapshot(time.Hour)
		if err := k.Validate(); err != nil {
			t.Fatal(err)
		}
		if spoil(k); k.Validate() == nil {
			t.Errorf("%s: it is taken", name)
		}
	}
}
