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

// Guards against a successor that begins as if nothing was known: it would send to the failing upstream, take the slow one for the fast
// one, and shed because nothing has been served.
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
		Endpoint{Name: "bad", Zone: "a", StartedAt: next.now - (old.now - old.b.ups["bad"].cameUp)}, Endpoint{Name: "new", Zone: "a"})
	fresh := next.b.ups["new"].est
	next.b.Restore(next.now, &k)
	for name, u := range old.b.ups {
		v := next.b.ups[name]
		if v.est.value != u.est.value || next.now-v.est.at != old.now-u.est.at || v.ejections != u.ejections ||
			max(0, v.until-next.now) != max(0, u.until-old.now) || v.wrong != u.wrong {
			t.Errorf("%s: %+v, was %+v", name, v, u)
		}
	}
	if next.b.ups["bad"].ejections == 0 {
		t.Error("the failing one was not left out")
	}
	if next.b.ups["new"].est != fresh {
		t.Error("one that nothing is known of has an estimate")
	}
	for _, x := range [][2]float64{{next.b.served.per(next.now), old.b.served.per(old.now)}, {next.b.offered.per(next.now), old.b.offered.per(old.now)},
		{next.b.mid.v, old.b.mid.v}, {next.b.classes["c"].mean, old.b.classes["c"].mean}, {next.b.limit, old.b.limit}} {
		if math.Abs(x[0]-x[1]) > 1e-6*x[1] {
			t.Errorf("%v, was %v", x[0], x[1])
		}
	}
	again := newRig(t, testSettings())
	again.now = time.Hour
	again.list(CachedUpdate, Endpoint{Name: "bad", Zone: "a", StartedAt: again.now - time.Millisecond})
	was := *again.b.ups["bad"]
	again.b.Restore(again.now, &k)
	if u := again.b.ups["bad"]; u.ejections != 0 || u.est != was.est {
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
