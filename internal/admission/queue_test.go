package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
)

// mustSucceed ends the test on an error.
func mustSucceed(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// fill has so many requests of a principal come; it returns those that neither went on nor were refused.
func (r *harness) fill(t testing.TB, n int, a Arrival) (waiting []Ticket) {
	t.Helper()
	for range n {
		ticket, err := r.arrive(a)
		mustSucceed(t, err)
		if r.state[ticket] == entryQueued {
			waiting = append(waiting, ticket)
		}
	}
	return waiting
}

func fixedLimitOptions(places, waiting int) Options {
	o := Default()
	o.MinLimit, o.MaxLimit, o.MaxQueued = places, places, waiting
	return o
}

// withoutTimeLimit keeps a request from being given up for its time.
func withoutTimeLimit(a Arrival) Arrival {
	a.ArrivedAt, a.Deadline = 100*time.Hour, 200*time.Hour
	return a
}

// A full queue gives up of who holds the most for its weight, of that the least worthy and newest; never of a quiet one.
func TestWhoIsGivenUp(t *testing.T) {
	o := fixedLimitOptions(1, 10)
	o.Weights = []Weight{{"big", 8}, {"nobody", 0}}
	for _, tt := range []struct {
		name    string
		held    []Arrival // one each
		comes   Arrival
		gone    int // index in held; -1: the newcomer
		bytes   int64
		comment string
	}{
		{name: "the flood's newest", held: []Arrival{{Group: "a"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}}, comes: Arrival{Group: "b"}, gone: 9},
		{name: "the flood itself", held: []Arrival{{Group: "a"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}, {Group: "f"}}, comes: Arrival{Group: "f"}, gone: -1},
		{name: "less worthy goes first", held: []Arrival{{Group: "a"}, {Group: "f", Class: "pay"}, {Group: "f"}, {Group: "f", Class: "pay"}, {Group: "f", Class: "pay"}, {Group: "f", Class: "pay"}, {Group: "f", Class: "pay"}, {Group: "f", Class: "pay"}, {Group: "f", Class: "pay"}, {Group: "f", Class: "pay"}}, comes: Arrival{Group: "f", Class: "pay"}, gone: 2},
		{name: "by weight", held: []Arrival{{Group: "a"}, {Group: "a"}, {Group: "big"}, {Group: "big"}, {Group: "big"}, {Group: "big"}, {Group: "big"}, {Group: "big"}, {Group: "big"}, {Group: "big"}}, comes: Arrival{Group: "big"}, gone: 1},
		{name: "weight 0 before all", held: []Arrival{{Group: "a"}, {Group: "a"}, {Group: "nobody"}, {Group: "a"}, {Group: "a"}, {Group: "a"}, {Group: "a"}, {Group: "a"}, {Group: "a"}, {Group: "a"}}, comes: Arrival{Group: "a"}, gone: 2},
		{name: "one flow of a group", held: []Arrival{{Group: "a", Flow: "1"}, {Group: "a", Flow: "2"}, {Group: "a", Flow: "2"}, {Group: "a", Flow: "3"}, {Group: "a", Flow: "4"}, {Group: "a", Flow: "5"}, {Group: "a", Flow: "6"}, {Group: "a", Flow: "7"}, {Group: "a", Flow: "8"}, {Group: "a", Flow: "9"}}, comes: Arrival{Group: "b"}, gone: 2},
		{name: "who holds the bytes", bytes: 1000, held: []Arrival{{Group: "a"}, {Group: "a"}, {Group: "a"}, {Group: "f", Bytes: 900}}, comes: Arrival{Group: "b", Bytes: 200}, gone: 3},
		{name: "the larger flow of its own group", bytes: 1000, held: []Arrival{{Group: "a", Flow: "1", Bytes: 900}}, comes: Arrival{Group: "a", Bytes: 200}, gone: 0},
		{name: "a body that never fits", bytes: 1000, held: []Arrival{{Group: "a"}}, comes: Arrival{Group: "b", Bytes: 2000}, gone: -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := o
			if tt.bytes > 0 {
				o.MaxQueuedBytes, o.MaxReservations = 1000, 0 // nothing keeps who gave way known
			}
			r := newHarness(o)
			r.fill(t, 1, Arrival{Group: "first"})
			var held []Ticket
			for _, a := range tt.held {
				held = append(held, r.fill(t, 1, withoutTimeLimit(a))...)
			}
			if len(held) != len(tt.held) {
				t.Fatalf("%d of %d wait", len(held), len(tt.held))
			}
			came, err := r.arrive(withoutTimeLimit(tt.comes))
			mustSucceed(t, err)
			for i, ticket := range append(held, came) {
				if gone := r.state[ticket] != entryQueued; gone != (i == tt.gone || tt.gone < 0 && i == len(held)) {
					t.Errorf("number %d: given up %v", i, gone)
				}
			}
		})
	}
}

// What can't be answered in time leaves at once: at its arrival where its principal's own queue is too long, in the queue
// when its time is up. Others of the same moment wait on.
func TestTime(t *testing.T) {
	r := newHarness(fixedLimitOptions(2, 200))
	for range 50 { // a place is needed for 50 ms
		ticket, err := r.arrive(Arrival{Group: "a", Deadline: r.now + time.Second})
		mustSucceed(t, err)
		r.now += 50 * time.Millisecond
		mustSucceed(t, r.complete(ticket, Completed))
	}
	if c := r.queue.classes["search"]; c.meanCost < 0.03 {
		t.Fatalf("learned %v s of 50 ms", c.meanCost)
	}
	r.fill(t, 2, Arrival{Group: "busy"})
	held := r.fill(t, 40, Arrival{Group: "flood"})
	if n := len(held); n < 7 || n > 24 { // 400 ms at half of two places
		t.Errorf("%d of the flood wait", n)
	}
	quiet := r.fill(t, 1, Arrival{Group: "quiet"})
	if len(quiet) != 1 {
		t.Fatal("a quiet one does not wait")
	}
	next, ok := r.queue.Next()
	if !ok || next > r.now+400*time.Millisecond {
		t.Errorf("looks again at %v", next-r.now)
	}
	r.now += 100 * time.Millisecond
	pay := r.fill(t, 1, Arrival{Group: "pay", Class: "pay", Deadline: r.now + 2*time.Second})
	r.now += 880 * time.Millisecond
	mustSucceed(t, r.wake())
	if r.state[quiet[0]] == entryQueued || r.state[pay[0]] != entryQueued {
		t.Errorf("after 0.98 s: quiet %v, pay %v", r.state[quiet[0]], r.state[pay[0]])
	}
}

// Who has waited beyond its aim is worth less than who has not, and goes behind it; where late answers are worth nothing
// it leaves.
func TestLateGoBehind(t *testing.T) {
	r := newHarness(fixedLimitOptions(1, 200))
	first, err := r.arrive(Arrival{Group: "x"})
	mustSucceed(t, err)
	old := r.fill(t, 1, Arrival{Group: "a", Deadline: r.now + time.Second})
	r.now += 450 * time.Millisecond
	mustSucceed(t, r.wake())
	fresh := r.fill(t, 1, Arrival{Group: "a"})
	mustSucceed(t, r.complete(first, Completed))
	if r.state[fresh[0]] != entryAdmitted || r.state[old[0]] != entryQueued {
		t.Errorf("fresh %v, late %v", r.state[fresh[0]], r.state[old[0]])
	}
}

// A principal that floods, changes its name, sends the largest bodies or false hints, does not keep a quiet one from its
// turn: of the next places to get free, the quiet one has one of the first two.
func TestQuietGoesSoon(t *testing.T) {
	for name, flood := range map[string]func(i int) Arrival{
		"one name":     func(int) Arrival { return Arrival{Group: "flood"} },
		"many names":   func(i int) Arrival { return Arrival{Group: "flood", Flow: fmt.Sprint(i)} },
		"large bodies": func(int) Arrival { return Arrival{Group: "flood", Bytes: 60_000} },
		"says little":  func(int) Arrival { return Arrival{Group: "flood", CostHint: time.Microsecond} },
		"weight 0":     func(int) Arrival { return Arrival{Group: "nobody"} },
	} {
		t.Run(name, func(t *testing.T) {
			o := fixedLimitOptions(4, 100)
			o.Weights = []Weight{{"nobody", 0}}
			r := newHarness(o)
			for i := range 3000 {
				a := flood(i)
				a.Class = "pay"
				a.Deadline = r.now + time.Hour
				r.fill(t, 1, a)
			}
			quiet := r.fill(t, 1, Arrival{Group: "quiet", CostHint: 10 * time.Millisecond})
			if len(quiet) == 0 {
				t.Fatal("it does not wait")
			}
			for range 2 {
				r.now += 20 * time.Millisecond
				mustSucceed(t, r.complete(r.admitted[0], Completed))
				r.admitted = r.admitted[1:]
			}
			if r.state[quiet[0]] != entryAdmitted {
				t.Error("it still waits")
			}
		})
	}
}

// A flood of names neither ousts nor keeps anybody: who was known stays known, with what it owes and was promised, and who
// is beyond the bound shares.
func TestNamesAreBounded(t *testing.T) {
	o := fixedLimitOptions(1, 20)
	o.MaxPrincipals = 64
	r := newHarness(o)
	r.fill(t, 1, withoutTimeLimit(Arrival{Group: "x"}))
	known := r.fill(t, 1, withoutTimeLimit(Arrival{Group: "known"}))
	for i := range 5000 {
		r.fill(t, 1, withoutTimeLimit(Arrival{Group: fmt.Sprint("name", i), Flow: fmt.Sprint(i)}))
	}
	if g := r.queue.groups["known"]; g == nil || g.queued != 1 {
		t.Error("the known one was ousted")
	}
	for _, ticket := range known {
		if r.state[ticket] != entryQueued {
			t.Error("one of the known one's requests has gone")
		}
	}
	if v := r.queue.Stats(); v.Principals > 64 {
		t.Errorf("%d are known", v.Principals)
	}
}

// What the package's comment states.
const (
	principalBytes = 700
	fixedBytes     = 1 << 20
)

// Ten thousand principals with one request each, and one with thousands, in the memory that the package's comment states.
func TestMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("reads the heap")
	}
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, tt := range []struct {
		n     int
		flows bool
	}{{10_000, false}, {40_000, false}, {40_000, true}} { // within what may be known, and beyond it
		n := tt.n
		o := fixedLimitOptions(8, 1024)
		o.MaxRetryAfter = 4 * time.Minute
		before := heap()
		d := New(o, testClasses, 1)
		var acts []Action
		now := time.Hour
		for i := range n {
			name := "client-" + strings.Repeat("x", 50) + fmt.Sprintf("%07d", i) // as long as a name may be
			flow := ""
			if tt.flows {
				flow = name + "f"
			}
			_, acts = d.Arrive(now, Arrival{Group: name, Flow: flow, Class: "search", ArrivedAt: now, Deadline: now + time.Second}, acts[:0])
			_, acts = d.Arrive(now, Arrival{Group: "flood", Class: "search", ArrivedAt: now, Deadline: now + time.Second}, acts[:0])
		}
		v := d.Stats()
		used := heap() - before
		t.Logf("%d KB for %+v", used>>10, v)
		if limit := int64(v.Principals)*principalBytes + fixedBytes; used > limit {
			t.Errorf("%d bytes for %d principals, of %d", used, v.Principals, limit)
		}
		if v.Principals < min(n, o.MaxPrincipals)-1 {
			t.Errorf("only %d are known", v.Principals)
		}
		runtime.KeepAlive(d)
	}
}

// Who was told when to come back: spread, no more in a moment than drain, mostly served when they come then, and coming
// early gains nothing.
func TestPromises(t *testing.T) {
	const places, clients = 4, 400
	rng := rand.New(rand.NewPCG(3, 3))
	o := fixedLimitOptions(places, 20)
	o.MaxRetryAfter = 20 * time.Second
	r := newHarness(o)
	type back struct {
		at    time.Duration
		group string
		early bool
	}
	var backs []back
	ends := map[Ticket]time.Duration{}
	groups := map[Ticket]string{}
	told, kept, earlyKept, earlyAsked := 0, 0, 0, 0
	seen := 0
	arrive := func(group string, isBack, early bool) {
		if err := r.wake(); err != nil {
			t.Fatal(err)
		}
		standing := r.queue.Stats().Reservations // those that have lapsed are gone
		ticket, err := r.arrive(Arrival{Group: group, Deadline: r.now + time.Second})
		mustSucceed(t, err)
		groups[ticket] = group
		if !isBack {
			return
		}
		if early {
			earlyAsked++
			if r.queue.Stats().Reservations < standing {
				earlyKept++
			}
		} else {
			told++
			if _, refused := r.retryAfter[ticket]; !refused {
				kept++
			}
		}
	}
	for i := range clients {
		arrive(fmt.Sprint(i), false, false)
	}
	for _, ticket := range slices.Sorted(func(yield func(Ticket) bool) {
		for ticket := range r.retryAfter {
			if !yield(ticket) {
				return
			}
		}
	}) {
		early := rng.IntN(4) == 0
		at := r.now + r.retryAfter[ticket]
		if early {
			at = r.now + r.retryAfter[ticket]/2 // 20 ms are let pass, so that this is before its time
			if r.retryAfter[ticket] < 50*time.Millisecond {
				early, at = false, r.now+r.retryAfter[ticket]
			}
		}
		backs = append(backs, back{at, groups[ticket], early})
	}
	slices.SortFunc(backs, func(a, b back) int { return int(a.at - b.at) })
	perTenth := map[time.Duration]int{}
	for _, b := range backs {
		if !b.early {
			perTenth[b.at/(100*time.Millisecond)]++
		}
	}
	for at, n := range perTenth { // 4 places at 20 ms drain 20 in 100 ms, half of which may be promised
		if n > 14 {
			t.Errorf("%d are to come in the tenth of a second %v", n, at)
		}
	}
	flood := 0
	for len(backs) > 0 || r.queue.Stats().InFlight > 0 {
		r.now += time.Millisecond
		for ; seen < len(r.admitted); seen++ {
			ends[r.admitted[seen]] = r.now + 20*time.Millisecond
		}
		for ticket, at := range ends {
			if at <= r.now {
				delete(ends, ticket)
				mustSucceed(t, r.complete(ticket, Completed))
			}
		}
		if flood++; flood < 15_000 {
			arrive("flood", false, false)
		}
		for len(backs) > 0 && backs[0].at <= r.now {
			arrive(backs[0].group, true, backs[0].early)
			backs = backs[1:]
		}
		mustSucceed(t, r.wake())
	}
	if part := float64(kept) / float64(told); part < 0.95 {
		t.Errorf("of %d who came when told %d were kept", told, kept)
	}
	if earlyAsked < 20 || earlyKept > 0 {
		t.Errorf("of %d who came early %d had their promise kept", earlyAsked, earlyKept)
	}
}

// Repeats have their part of first requests, of each principal and of all, and none where nobody waits.
func TestRepeatBudget(t *testing.T) {
	r := newHarness(fixedLimitOptions(1, 1000))
	for range 50 {
		ticket, err := r.arrive(Arrival{Group: "a", Retry: true})
		mustSucceed(t, err)
		if r.state[ticket] != entryAdmitted {
			t.Fatal("a repeat is held up on a quiet day")
		}
		r.now += time.Millisecond
		mustSucceed(t, r.complete(ticket, Completed))
	}
	r.fill(t, 1, withoutTimeLimit(Arrival{Group: "x"}))
	repeats := func(name string) int { return len(r.fill(t, 100, withoutTimeLimit(Arrival{Group: name, Retry: true}))) }
	if n := repeats("a"); n != 1 {
		t.Errorf("%d repeats wait beside no first request", n)
	}
	r.fill(t, 100, withoutTimeLimit(Arrival{Group: "a"}))
	if n := repeats("a"); n != groupRetryBurst {
		t.Errorf("%d repeats wait beside 100 first requests", n)
	}
	r.fill(t, 50, withoutTimeLimit(Arrival{Group: "b"}))
	for i := range 100 { // names that repeat without having asked don't use up what others have earned
		repeats(fmt.Sprint("name", i))
	}
	if n := repeats("b"); n != groupRetryBurst {
		t.Errorf("%d of another's repeats wait beside its 50 first requests", n)
	}
}

// Names are told apart as By says, and none is longer than its bound.
func TestNames(t *testing.T) {
	peer := func(a string) func() netip.Addr { return func() netip.Addr { return netip.MustParseAddr(a) } }
	header := func(string) string { return strings.Repeat("h", 100) }
	for _, tt := range []struct {
		by          string
		who         Client
		group, flow string
	}{
		{"tenant", Client{Tenant: "acme"}, "acme", ""},
		{"tenant", Client{}, "", ""},
		{"tenant address", Client{Tenant: "acme", Peer: peer("192.0.2.7")}, "acme", "192.0.2.7"},
		{"address", Client{Peer: peer("::ffff:192.0.2.7")}, "192.0.2.7", ""},
		{"address", Client{Peer: peer("2001:db8:1:2:3:4:5:6")}, "2001:db8:1:2::/64", ""},
		{"address", Client{Peer: peer("fe80::1%eth0")}, "fe80::/64", ""},
		{"address", Client{Peer: func() netip.Addr { return netip.Addr{} }}, "", ""},
		{"certificate", Client{Certificate: func() string { return "spiffe://x/y" }}, "spiffe://x/y", ""},
		{"certificate", Client{}, "", ""},
		{"header:X-Shop tenant", Client{Tenant: "t", Header: header}, "*", "t"},
	} {
		by, err := ParsePrincipalSources(strings.Fields(tt.by))
		mustSucceed(t, err)
		group, flow := by.Names(tt.who)
		if tt.group == "*" && len(group) == maxNameLength {
			tt.group = group
		}
		if group != tt.group || flow != tt.flow {
			t.Errorf("%s: %q, %q", tt.by, group, flow)
		}
	}
	for _, bad := range []string{"", "tenant tenant", "tenant address certificate", "header:", "header:a b", "name", "tenant:x"} {
		if _, err := ParsePrincipalSources(strings.Fields(bad)); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

// An aim that stretches with the hint holds a request longer, and a weight counts for a name that is known by its hash.
func TestStretchAndLongNames(t *testing.T) {
	long := strings.Repeat("n", maxNameLength+1)
	o := fixedLimitOptions(1, 100)
	o.Weights = []Weight{{long, 0}}
	d := New(o, []balancer.Class{{Name: "search", LatencyObjective: 100 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second}}, 1)
	now := time.Hour
	by, err := ParsePrincipalSources([]string{"tenant"})
	mustSucceed(t, err)
	group, _ := by.Names(Client{Tenant: long})
	for _, hint := range []time.Duration{0, time.Second} {
		d.Arrive(now, Arrival{Group: group, Class: "search", CostHint: hint, ArrivedAt: now, Deadline: now + 5*time.Second}, nil)
	}
	if at, ok := d.Next(); !ok || at < now+time.Second {
		t.Errorf("an aim of 0.1 s and two of a hint of 1 s ends in %v", at-now)
	}
	if w := d.groups[group].weight; w != 0 {
		t.Errorf("the long name weighs %v", w)
	}
}

// BenchmarkRequest is a request's arrival, its turn and its end, while so many principals wait.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := fixedLimitOptions(64, 16_000)
			d := New(o, testClasses, 1)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("principal-", i)
			}
			now := time.Hour
			var acts []Action
			var running []Ticket
			for i := range max(n, 128) { // all of them wait
				_, acts = d.Arrive(now, withoutTimeLimit(Arrival{Group: names[i%n], Class: "search"}), acts[:0])
				for _, x := range acts {
					running = append(running, x.Ticket)
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += 100 * time.Microsecond
				acts = d.Done(now, running[i%len(running)], Completed, acts[:0])
				for _, x := range acts {
					running[i%len(running)] = x.Ticket
				}
				_, acts = d.Arrive(now, withoutTimeLimit(Arrival{Group: names[i%n], Class: "search"}), acts[:0])
				i++
			}
		})
	}
}
