package admission

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/units"
)

// repeated returns n copies of an arrival.
func repeated(n int, a Arrival) []Arrival { return slices.Repeat([]Arrival{a}, n) }

// A full queue must evict from the group and flow with the highest load for its weight, and there the newest request of
// the lowest priority weight. A bound on bytes makes large requests count more.
func TestEvictionVictim(t *testing.T) {
	a, f, pay := Arrival{Group: "a"}, Arrival{Group: "f"}, Arrival{Group: "f", Class: "pay"}
	big, bestEffort := Arrival{Group: "big"}, Arrival{Group: "best-effort"}
	flowsOfA := []Arrival{{Group: "a", Flow: "1"}, {Group: "a", Flow: "2"}, {Group: "a", Flow: "2"}, {Group: "a", Flow: "3"}, {Group: "a", Flow: "4"},
		{Group: "a", Flow: "5"}, {Group: "a", Flow: "6"}, {Group: "a", Flow: "7"}, {Group: "a", Flow: "8"}, {Group: "a", Flow: "9"}}
	o := fixedLimitOptions(1, 10)
	o.Weights = []Weight{{"big", 8}, {"best-effort", 0}}
	for _, tt := range []struct {
		name     string
		queued   []Arrival
		arrives  Arrival
		victim   int   // index in queued; -1 if it is the request that arrives
		maxBytes int64 // 0 means the default
	}{
		{name: "the newest of a flood", queued: slices.Concat([]Arrival{a}, repeated(9, f)), arrives: Arrival{Group: "b"}, victim: 9},
		{name: "the flood's next request", queued: slices.Concat([]Arrival{a}, repeated(9, f)), arrives: f, victim: -1},
		{name: "the lowest priority weight", queued: slices.Concat([]Arrival{a, pay, f}, repeated(7, pay)), arrives: pay, victim: 2},
		{name: "the highest load for its weight", queued: slices.Concat([]Arrival{a, a}, repeated(8, big)), arrives: big, victim: 1},
		{name: "weight 0 before all others", queued: slices.Concat([]Arrival{a, a, bestEffort}, repeated(7, a)), arrives: a, victim: 2},
		{name: "the largest flow of a group", queued: flowsOfA, arrives: Arrival{Group: "b"}, victim: 2},
		{name: "the largest body", maxBytes: 1000, queued: []Arrival{a, a, a, {Group: "f", Bytes: 900}}, arrives: Arrival{Group: "b", Bytes: 200}, victim: 3},
		{name: "the larger flow of its own group", maxBytes: 1000, queued: []Arrival{{Group: "a", Flow: "1", Bytes: 900}}, arrives: Arrival{Group: "a", Bytes: 200}, victim: 0},
		{name: "a body that never fits", maxBytes: 1000, queued: []Arrival{a}, arrives: Arrival{Group: "b", Bytes: 2000}, victim: -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := o
			if tt.maxBytes > 0 {
				o.MaxQueuedBytes, o.MaxReservations = units.Size(tt.maxBytes), 0 // no reservation keeps the victim's group known
			}
			h := newHarness(o)
			h.arriveMany(t, 1, Arrival{Group: "first"})
			var tickets []Ticket
			for _, a := range tt.queued {
				tickets = append(tickets, h.arriveMany(t, 1, withoutTimeLimit(a))...)
			}
			if len(tickets) != len(tt.queued) {
				t.Fatalf("%d of %d requests are queued before the last one arrives", len(tickets), len(tt.queued))
			}
			last, err := h.arrive(withoutTimeLimit(tt.arrives))
			mustSucceed(t, err)
			for i, ticket := range append(tickets, last) {
				isVictim := i == tt.victim || tt.victim < 0 && i == len(tickets)
				if evicted := h.state[ticket] != entryQueued; evicted != isVictim {
					t.Errorf("request %d is evicted: %v, want the opposite", i, evicted)
				}
			}
		})
	}
}

// A request that cannot be answered in time must be rejected at once: on arrival if its principal's own backlog is too
// long, and in the queue when its timeout has passed. Requests with more time must go on waiting.
func TestRejectsWhatCannotBeServedInTime(t *testing.T) {
	h := newHarness(fixedLimitOptions(2, 200))
	for range 50 { // each is in flight for 50 ms
		ticket, err := h.arrive(Arrival{Group: "a", Deadline: h.now + time.Second})
		mustSucceed(t, err)
		h.now += 50 * time.Millisecond
		mustSucceed(t, h.complete(ticket, Completed))
	}
	if c := h.queue.classes["search"]; c.meanCost < 0.03 {
		t.Fatalf("the mean cost is %v s after requests of 50 ms, want at least 0.03 s", c.meanCost)
	}
	h.arriveMany(t, 2, Arrival{Group: "busy"})
	flood := h.arriveMany(t, 40, Arrival{Group: "flood"})
	if n := len(flood); n < 7 || n > 24 { // as many as can be served in 400 ms at half of a limit of two
		t.Errorf("%d requests of the flood are queued, want 7 to 24", n)
	}
	quiet := h.arriveMany(t, 1, Arrival{Group: "quiet"})
	if len(quiet) != 1 {
		t.Fatal("the request of the quiet principal is not queued")
	}
	next, ok := h.queue.Next()
	if !ok || next > h.now+400*time.Millisecond {
		t.Errorf("the next timeout of a queued request is in %v, want at most 400 ms", next-h.now)
	}
	h.now += 100 * time.Millisecond
	pay := h.arriveMany(t, 1, Arrival{Group: "pay", Class: "pay", Deadline: h.now + 2*time.Second})
	h.now += 880 * time.Millisecond
	mustSucceed(t, h.wake())
	if h.state[quiet[0]] == entryQueued || h.state[pay[0]] != entryQueued {
		t.Errorf("after 0.98 s the request of quiet has state %v, want not queued, and that of pay has state %v, want queued",
			h.state[quiet[0]], h.state[pay[0]])
	}
}

// A request that has waited past its latency objective must be admitted after one that has not.
func TestRequestsPastObjectiveYield(t *testing.T) {
	h := newHarness(fixedLimitOptions(1, 200))
	first, err := h.arrive(Arrival{Group: "x"})
	mustSucceed(t, err)
	late := h.arriveMany(t, 1, Arrival{Group: "a", Deadline: h.now + time.Second})
	h.now += 450 * time.Millisecond
	mustSucceed(t, h.wake())
	fresh := h.arriveMany(t, 1, Arrival{Group: "a"})
	mustSucceed(t, h.complete(first, Completed))
	if h.state[fresh[0]] != entryAdmitted || h.state[late[0]] != entryQueued {
		t.Errorf("the fresh request has state %v, want admitted, and the late one has state %v, want queued", h.state[fresh[0]], h.state[late[0]])
	}
}

// A principal that floods, changes its name, or sends large bodies or false hints must not delay a quiet principal,
// whose request must be among the next two that are admitted.
func TestQuietPrincipalBesideFlood(t *testing.T) {
	for name, flood := range map[string]func(i int) Arrival{
		"one name":     func(int) Arrival { return Arrival{Group: "flood"} },
		"many names":   func(i int) Arrival { return Arrival{Group: "flood", Flow: fmt.Sprint(i)} },
		"large bodies": func(int) Arrival { return Arrival{Group: "flood", Bytes: 60_000} },
		"small hints":  func(int) Arrival { return Arrival{Group: "flood", CostHint: time.Microsecond} },
		"weight 0":     func(int) Arrival { return Arrival{Group: "best-effort"} },
	} {
		t.Run(name, func(t *testing.T) {
			o := fixedLimitOptions(4, 100)
			o.Weights = []Weight{{"best-effort", 0}}
			h := newHarness(o)
			for i := range 3000 {
				a := flood(i)
				a.Class = "pay"
				a.Deadline = h.now + time.Hour
				h.arriveMany(t, 1, a)
			}
			quiet := h.arriveMany(t, 1, Arrival{Group: "quiet", CostHint: 10 * time.Millisecond})
			if len(quiet) == 0 {
				t.Fatal("the request of the quiet principal is not queued")
			}
			for range 2 {
				h.now += 20 * time.Millisecond
				mustSucceed(t, h.complete(h.admitted[0], Completed))
				h.admitted = h.admitted[1:]
			}
			if h.state[quiet[0]] != entryAdmitted {
				t.Error("the request of the quiet principal is not admitted after two others have completed")
			}
		})
	}
}

// A flood of names must not evict a known principal or its requests, and must stay within the bound on principals.
func TestKnownPrincipalsSurviveFloodOfNames(t *testing.T) {
	o := fixedLimitOptions(1, 20)
	o.MaxPrincipals = 64
	h := newHarness(o)
	h.arriveMany(t, 1, withoutTimeLimit(Arrival{Group: "x"}))
	known := h.arriveMany(t, 1, withoutTimeLimit(Arrival{Group: "known"}))
	for i := range 5000 {
		h.arriveMany(t, 1, withoutTimeLimit(Arrival{Group: fmt.Sprint("name", i), Flow: fmt.Sprint(i)}))
	}
	if g := h.queue.groups["known"]; g == nil || g.queued != 1 {
		t.Error("the known group was removed during the flood, or its request is no longer queued")
	}
	for _, ticket := range known {
		if h.state[ticket] != entryQueued {
			t.Error("a request of the known group is not queued any more")
		}
	}
	if stats := h.queue.Stats(); stats.Principals > 64 {
		t.Errorf("%d principals are known, want at most 64", stats.Principals)
	}
}

// Retries must be bounded to a fraction of first requests, for each group and for all together. They must not be
// bounded while the limit is not saturated.
func TestRetryBudget(t *testing.T) {
	h := newHarness(fixedLimitOptions(1, 1000))
	for range 50 {
		ticket, err := h.arrive(Arrival{Group: "a", Retry: true})
		mustSucceed(t, err)
		if h.state[ticket] != entryAdmitted {
			t.Fatal("a retry is not admitted while the limit is not saturated")
		}
		h.now += time.Millisecond
		mustSucceed(t, h.complete(ticket, Completed))
	}
	h.arriveMany(t, 1, withoutTimeLimit(Arrival{Group: "x"}))
	retries := func(group string) int {
		return len(h.arriveMany(t, 100, withoutTimeLimit(Arrival{Group: group, Retry: true})))
	}
	if n := retries("a"); n != 1 {
		t.Errorf("%d retries are queued before any first request, want 1", n)
	}
	h.arriveMany(t, 100, withoutTimeLimit(Arrival{Group: "a"}))
	if n := retries("a"); n != groupRetryBurst {
		t.Errorf("%d retries are queued after 100 first requests, want groupRetryBurst", n)
	}
	h.arriveMany(t, 50, withoutTimeLimit(Arrival{Group: "b"}))
	for i := range 100 { // groups without first requests must not use up the tokens of others
		retries(fmt.Sprint("name", i))
	}
	if n := retries("b"); n != groupRetryBurst {
		t.Errorf("%d retries of another group are queued after its 50 first requests, want groupRetryBurst", n)
	}
}

// A latency objective that stretches with the hint must let a request wait longer, and a weight must apply to a name
// that is replaced by its hash.
func TestObjectiveStretchAndLongNames(t *testing.T) {
	long := strings.Repeat("n", maxNameLength+1)
	o := fixedLimitOptions(1, 100)
	o.Weights = []Weight{{long, 0}}
	q := New(o, []balancer.Class{{Name: "search", LatencyObjective: 100 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second}}, 1)
	now := time.Hour
	sources, err := ParsePrincipalSources([]string{"tenant"})
	mustSucceed(t, err)
	group, _ := sources.Names(Client{Tenant: long})
	for _, hint := range []time.Duration{0, time.Second} {
		q.Arrive(now, Arrival{Group: group, Class: "search", CostHint: hint, ArrivedAt: now, Deadline: now + 5*time.Second}, nil)
	}
	if at, ok := q.Next(); !ok || at < now+time.Second {
		t.Errorf("a request with an objective of 0.1 s, stretched by twice its hint of 1 s, times out in %v, want at least 1 s", at-now)
	}
	if w := q.groups[group].weight; w != 0 {
		t.Errorf("the group with the long name has weight %v, want 0", w)
	}
}
