package balancer

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestNewNamesTheBadSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":        func(s *Settings) { s.Classes = nil },
		"Name":           func(s *Settings) { s.Classes[0].Name = "" },
		"Aim":            func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"Deadline":       func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Effect":         func(s *Settings) { s.Classes[0].Idempotency = 7 },
		"Group":          func(s *Settings) { s.Classes[0].DedupScope = -1 },
		"Window":         func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		"Worth":          func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		"Tick":           func(s *Settings) { s.Tick = -1 },
		"WarmUp":         func(s *Settings) { s.SlowStartWindow = -1 },
		"FallMultiple":   func(s *Settings) { s.OverloadMultiple = -1 },
		"MaxAttempts":    func(s *Settings) { s.MaxAttempts = -1 },
		"PriceCrossZone": func(s *Settings) { s.CrossZonePrice = -1 },
		"ColdFrom":       func(s *Settings) { s.SlowStartMinCapacity = 1.5 },
		"OverShareWorth": func(s *Settings) { s.OverQuotaWeight = math.NaN() },
		"LateShare":      func(s *Settings) { s.Classes[0].LateValueFraction = 1.2 },
		"AimStretch":     func(s *Settings) { s.Classes[0].ObjectiveStretch = math.Inf(1) },
		"Fraction":       func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Quota: -0.1}} },
		"Balancers":      func(s *Settings) { s.FleetSize = -2 },
		"FallTime":       func(s *Settings) { s.OverloadWindow = -1 },
		"MaxRetryAfter":  func(s *Settings) { s.MaxRetryAfter = -1 },
		"ConnectTimeout": func(s *Settings) { s.ConnectTimeout = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", want, err)
		}
	}
	if _, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}}, 1); err != nil {
		t.Errorf("absent settings have defaults: %v", err)
	}
}

// With nothing set but a class, a request is sent and answered.
func TestBareSettings(t *testing.T) {
	r := newRig(t, Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}})
	r.fleet(1)
	r.wantSend(r.request("1", "c", time.Second))
	r.wantNothing(r.result("1", 0, OK, 10*ms))
	r.wantNothing(r.pass(2 * time.Second))
}

func TestOddInputIsHarmless(t *testing.T) {
	r := newRig(t, testSettings())
	r.list(FullUpdate) // empty list
	r.wantFinal(r.request("?", "no such class", time.Second), Reject)
	r.fleet(1)
	r.wantSend(r.request("1", "c", time.Second))
	r.wantNothing(r.request("1", "c", time.Second)) // the same id again
	r.wantNothing(r.result("1", 5, OK, 10*ms))      // no such attempt
	r.wantNothing(r.result("1", -1, OK, 10*ms))
	r.wantNothing(r.result("1", 0, OK, 10*ms))
	r.wantNothing(r.result("1", 0, Reset, 10*ms)) // late repeat
	r.wantNothing(r.do(ClientDisconnected{ID: "1"}))
	r.now -= time.Second // a clock that steps back counts as one that stands
	r.wantSend(r.do(Request{ID: "2", Class: "c", Tenant: "stranger", Deadline: r.now + 3*time.Second}))
	r.wantNothing(r.do(ClientDisconnected{ID: "2"}))
	r.wantNothing(r.result("2", 0, OK, 10*ms))
	acts := r.request("3", "c", -time.Second) // its time is over already
	acts = append(acts, r.pass(time.Second+20*ms)...)
	if len(finals(acts)) != 1 || len(kinds(acts, Send)) != 0 {
		t.Errorf("overdue request: %+v", acts)
	}
}

// What is finished or gone is let go.
func TestForgets(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(3)
	for i := range 1000 {
		id := time.Duration(i).String()
		r.request(id, "c", time.Second)
		r.result(id, 0, OK, 10*ms)
		r.pass(5 * ms)
	}
	r.list(FullUpdate, Endpoint{Name: "new"})
	r.pass(2 * time.Second)
	if len(r.b.requests) != 0 || len(r.b.upstreams) != 1 || len(r.b.shuffled) != 1 || r.b.timers.Len() != 0 {
		t.Errorf("kept: %d requests, %d upstreams, %d listed, %d timers", len(r.b.requests), len(r.b.upstreams), len(r.b.shuffled),
			r.b.timers.Len())
	}
}

// The same events and seed give the same actions.
func TestDeterministic(t *testing.T) {
	play := func() (all []Action) {
		r := newRig(t, testSettings())
		r.fleet(8)
		for i := range 300 {
			id := time.Duration(i).String()
			all = append(all, r.request(id, "c", time.Second)...)
			if i%3 == 0 {
				all = append(all, r.result(id, 0, Result(i/3%7), 20*ms)...)
			}
			all = append(all, r.pass(5*ms)...)
		}
		return all
	}
	a, b := play(), play()
	if len(a) != len(b) {
		t.Fatalf("%d and %d actions", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("action %d: %+v and %+v", i, a[i], b[i])
		}
	}
}

// The list once more, or an event in a tick of its own, changes nothing that is known.
func TestRepeatedListChangesNothing(t *testing.T) {
	r := newRig(t, testSettings())
	entries := []Endpoint{{Name: "a", MachineType: "m"}, {Name: "b", MachineType: "m"}}
	r.list(FullUpdate, entries...)
	r.wantSend(r.request("1", "c", time.Second))
	r.now += 50 * ms
	r.result("1", 0, OK, 50*ms)
	before := []*upstream{r.b.shuffled[0], r.b.shuffled[1]}
	known := []upstream{*before[0], *before[1]}
	r.list(FullUpdate, entries...)
	r.list(CachedUpdate, entries...)
	for i, u := range before {
		if r.b.shuffled[i] != u || u.latency != known[i].latency || u.slowStart.active || u.lastAnswerAt != known[i].lastAnswerAt {
			t.Errorf("changed: %+v, was %+v", *r.b.shuffled[i], known[i])
		}
	}
}
