package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func keyed(group DedupScope) Settings {
	s := testSettings()
	s.HedgingAllowed = false
	s.Classes = []Class{{Name: "k", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: IdempotentWithKey, DedupScope: group, DedupWindow: time.Second}}
	return s
}

func unsafeSettings() Settings {
	s := testSettings()
	s.Classes = []Class{{Name: "x", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: NonIdempotent, LateValueFraction: 0.5}}
	return s
}

// The request's own end counts, often much sooner than its class's deadline.
func TestAnswersBeforeItsOwnEnd(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValueFraction = 0.5
	r := newRig(t, s)
	r.fleet(2)
	r.request("1", "c", 60*ms)
	end := r.now + 60*ms
	var got []Action
	for r.now < end && len(finals(got)) == 0 {
		got = r.pass(5 * ms)
	}
	if len(finals(got)) != 1 || r.now > end {
		t.Fatalf("no answer by the request's end: %+v", got)
	}
}

func TestHeldRequestIsRefusedInTime(t *testing.T) {
	r := newRig(t, testSettings())
	r.wantNothing(r.request("1", "c", 100*ms)) // no upstream at all: held
	r.wantFinal(r.pass(95*ms), Reject)
}

func TestHeldRequestGoesOutWhenAnUpstreamComes(t *testing.T) {
	r := newRig(t, testSettings())
	r.wantNothing(r.request("1", "c", 150*ms))
	r.fleet(1)
	r.wantSend(r.pass(20 * ms))
}

// A time-out at the deadline leaves the answer owed; without late worth it may come at the aim already.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	r := newRig(t, unsafeSettings())
	r.fleet(2)
	r.wantSend(r.request("1", "x", 300*ms))
	r.now += 300 * ms
	r.wantFinal(r.result("1", 0, Timeout, 300*ms), Fail)
	r.wantNothing(r.pass(time.Second))
}

func TestUnsafeGoesOnOnlyWhenProvedNotRun(t *testing.T) {
	for res, again := range map[Result]bool{Rejected: true, ConnectFailed: true, NotSent: true,
		ServerError: false, Timeout: false, Reset: false, Cancelled: false} {
		r := newRig(t, unsafeSettings())
		r.fleet(3)
		r.wantSend(r.request("1", "x", time.Second))
		acts := r.result("1", 0, res, 10*ms)
		if again {
			r.wantSend(acts)
		} else {
			r.wantFinal(acts, Fail)
		}
	}
}

func TestUnsafeHasNoSecondCopy(t *testing.T) {
	r := newRig(t, unsafeSettings())
	r.fleet(3)
	r.wantSend(r.request("1", "x", time.Second))
	if s := kinds(r.pass(900*ms), Send); len(s) > 0 {
		t.Fatalf("second copy of an unsafe request: %+v", s)
	}
}

func TestUnsafeRefusedWhenNothingRan(t *testing.T) {
	s := unsafeSettings()
	s.MaxAttempts = 1
	r := newRig(t, s)
	r.fleet(3)
	r.wantSend(r.request("1", "x", time.Second))
	r.wantFinal(r.result("1", 0, ConnectFailed, ms), Reject)
}

// Guards against a refusal where the list changes under each attempt: one that was never sent uses up none,
// nor of what is kept for repeats. It is bounded all the same.
func TestMootAttemptsUseUpNone(t *testing.T) {
	for moot, final := range map[int]bool{1: false, 2: false, 3: true} {
		s := unsafeSettings()
		s.MaxAttempts = 2
		r := newRig(t, s)
		r.fleet(3)
		r.b.retryTokens = 0
		acts := r.request("1", "x", time.Second)
		for n := range moot {
			r.wantSend(acts)
			acts = r.result("1", n, NotSent, ms)
		}
		r.wantSend(acts)
		if acts = r.result("1", moot, ConnectFailed, ms); final {
			r.wantFinal(acts, Reject)
		} else {
			r.wantSend(acts)
		}
	}
}

// Once it may have run, a keyed request stays in its group; before that it may go anywhere.
func TestKeyedStaysInItsGroup(t *testing.T) {
	for group, same := range map[DedupScope]func(a, b Endpoint) bool{
		ScopeAll:  func(a, b Endpoint) bool { return true },
		ScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
		ScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
	} {
		list := map[string]Endpoint{}
		var entries []Endpoint
		for i, m := range []Endpoint{{Zone: "a", Cell: 0}, {Zone: "a", Cell: 1}, {Zone: "b", Cell: 2},
			{Zone: "b", Cell: 2}, {Zone: "a", Cell: 0}, {Zone: "b", Cell: 3}} {
			m.Name = string(rune('p' + i))
			list[m.Name] = m
			entries = append(entries, m)
		}
		for n := range 40 {
			r := newRig(t, keyed(group))
			r.b.random.Uint64() // other chances each time
			for range n {
				r.b.random.Uint64()
			}
			r.list(FullUpdate, entries...)
			first := list[r.wantSend(r.request("1", "k", time.Second))]
			for _, a := range kinds(r.result("1", 0, ServerError, 10*ms), Send) {
				if !same(first, list[a.Upstream]) {
					t.Fatalf("group %d: %+v then %+v", group, first, list[a.Upstream])
				}
			}
		}
	}
}

// The window counts from the sending of the attempt that may have run; afterwards no attempt.
func TestKeyedWindow(t *testing.T) {
	s := keyed(ScopeAll)
	s.Classes[0].DedupWindow = 100 * ms
	s.Classes[0].LatencyObjective = time.Second
	r := newRig(t, s)
	r.fleet(3)
	r.wantSend(r.request("1", "k", time.Second))
	r.now += 95 * ms
	r.wantFinal(r.result("1", 0, Reset, 95*ms), Reject)
}

func TestKeyedRefusal(t *testing.T) {
	for group, want := range map[DedupScope]ActionKind{ScopeAll: Reject, ScopeZone: Fail, ScopeCell: Fail} {
		s := keyed(group)
		s.MaxAttempts = 1
		r := newRig(t, s)
		r.fleet(3)
		r.wantSend(r.request("1", "k", time.Second))
		r.wantFinal(r.result("1", 0, Cancelled, 10*ms), want) // a cancelled attempt may have run
	}
}

func TestNeverTwoOutWhereCopiesAreRuledOut(t *testing.T) {
	r := newRig(t, keyed(ScopeZone))
	r.fleet(4)
	r.wantSend(r.request("1", "k", time.Second))
	var cancelled bool
	for range 80 {
		acts := r.pass(5 * ms)
		if len(kinds(acts, Send)) > 0 {
			t.Fatal("second attempt beside the first")
		}
		cancelled = cancelled || len(kinds(acts, Cancel)) > 0
	}
	if !cancelled {
		t.Fatal("the silent attempt was never ended")
	}
}

func TestDrainingAndGoneGetNothing(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(3)
	r.list(IncrementalUpdate, Endpoint{Name: "u0", State: Draining}, Endpoint{Name: "u1", State: Removed})
	for i := range 30 {
		if u := r.wantSend(r.request(string(rune('A'+i)), "c", time.Second)); u != "u2" {
			t.Fatalf("sent to %s", u)
		}
		r.result(string(rune('A'+i)), 0, OK, 10*ms)
		r.now += 10 * ms
	}
	r.list(FullUpdate) // nothing is left
	r.wantNothing(r.request("z", "c", time.Second))
}

// A failed call is followed by another, later each time; one answer ends that.
func TestAsksAgainWithBackoff(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	r := newRig(t, s)
	if n := len(kinds(r.list(CachedUpdate, Endpoint{Name: "u0"}), Subscribe)); n != 1 {
		t.Fatalf("%d calls at the start", n)
	}
	var waits []time.Duration
	for range 4 {
		asked := r.now
		r.do(EndpointUpdate{Kind: UpdateFailed})
		for len(kinds(r.pass(5*ms), Subscribe)) == 0 {
			if r.now-asked > 20*time.Second {
				t.Fatal("never asked again")
			}
		}
		waits = append(waits, r.now-asked)
	}
	if waits[0] < subscribeBackoffBase/2 || waits[3] < 2*waits[0] {
		t.Errorf("waits %v do not grow", waits)
	}
	r.list(IncrementalUpdate)
	if n := len(kinds(r.pass(20*time.Second), Subscribe)); n != 0 {
		t.Errorf("%d calls while subscribed", n)
	}
	r.do(EndpointUpdate{Kind: UpdateFailed}) // the subscription broke
	if n := len(kinds(r.pass(2*time.Second), Subscribe)); n != 1 {
		t.Errorf("%d calls after the subscription broke", n)
	}
}

// A restart voids what was learnt of the old process, and the new one is cold.
func TestRestartIsANewProcess(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	r.b.upstreams["u0"].latency = peakEWMA{5, r.now}
	r.b.upstreams["u0"].outlier.ejectedUntil = r.now + time.Hour
	r.list(IncrementalUpdate, Endpoint{Name: "u0", Zone: "a", StartedAt: r.now - time.Second})
	u := r.b.upstreams["u0"]
	if u.latency.value > 1 || u.outlier.ejectedUntil != 0 || !u.slowStart.active || len(r.b.shuffled) != 2 {
		t.Errorf("still known: %+v", u)
	}
}

// A cold upstream gets its warmth's share of the mean load at most, whatever goes on: first tries, retries,
// panic.
func TestColdBudget(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(10)
	n := map[string]int{}
	id := 0
	second := func() {
		for range 200 { // 200 requests a second, answered at once
			id++
			name := string(rune('a'+id%26)) + time.Duration(id).String()
			for _, a := range kinds(r.request(name, "c", time.Second), Send) {
				n[a.Upstream]++
				r.result(name, 0, OK, 5*ms)
			}
			r.pass(5 * ms)
		}
	}
	for range 10 {
		second()
	}
	for i := range 9 { // nearly the whole fleet starts anew
		r.list(IncrementalUpdate, Endpoint{Name: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	clear(n)
	second()
	for i := range 9 {
		u := "u" + string(rune('0'+i))
		// 20 a second is the mean, and three times the 0.2 to 0.28 of it that is there in this second pushes it
		// over.
		if n[u] > 13 {
			t.Errorf("%d requests to cold %s in its first second", n[u], u)
		}
	}
	for range 4 {
		second()
	}
	if len(n) < 10 {
		t.Errorf("in five seconds only %d upstreams got a request", len(n))
	}
}

// A cold upstream's budget is used while the others are full: its estimate is no worse than theirs before it
// has had a request. (Cold upstreams answered in 20 ms, a third of their budget used, beside old ones at 500
// ms.)
func TestColdBudgetIsUsed(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.Classes[0].LatencyObjective = 80, time.Second // aims long enough that nothing is shed
	w := newWorld(t, s, func(u string) (Result, time.Duration) {
		if u < "u4" {
			return OK, 200 * ms
		}
		return OK, 20 * ms
	})
	w.fleet(4)
	w.play(20*time.Second, 20)
	for i := range 4 {
		w.list(IncrementalUpdate, Endpoint{Name: fmt.Sprint("u", 4+i), Zone: "a", StartedAt: w.now})
	}
	clear(w.sends)
	w.play(4*time.Second, 20)
	cold := w.sends["u4"] + w.sends["u5"] + w.sends["u6"] + w.sends["u7"]
	// 2.5 a second is the mean, of which 0.8 x 3 x 0.2 to 0.52 may go: 34 in all.
	if cold < 20 || cold > 40 {
		t.Errorf("%d sent to four cold upstreams in 4 s beside full ones", cold)
	}
}

// With everything cold, work is held or refused: panic does not go round the limit.
func TestAllCold(t *testing.T) {
	r := newRig(t, testSettings())
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{Name: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	r.list(FullUpdate, list...)
	sent, ended := 0, 0
	for i := range 400 {
		acts := r.request("r"+time.Duration(i).String(), "c", 150*ms)
		acts = append(acts, r.pass(5*ms)...)
		for _, a := range kinds(acts, Send) {
			sent++
			r.result(a.ID, 0, OK, 5*ms)
		}
		ended += len(finals(acts))
	}
	// 200 a second over 4 cold upstreams, each with 0.2 to 0.36 of its share: 0.8 of three times that is 112 a
	// second.
	if sent > 224 || sent < 80 || ended == 0 {
		t.Errorf("%d sent, %d ended unsent", sent, ended)
	}
}

// A repeat whose aim has passed is refused at once: its time left was cut by the end of all tries, which
// tells when the first came. A repeat early enough is served, and first tries settle what time left is
// usual.
func TestStaleRepeatIsRefused(t *testing.T) {
	r := newRig(t, testSettings()) // aim 200 ms, deadline 1 s
	r.fleet(3)
	for i := range 20 { // first tries have 600 ms
		id := time.Duration(i).String()
		r.wantSend(r.request(id, "c", 600*ms))
		r.result(id, 0, OK, 10*ms)
		r.pass(10 * ms)
	}
	r.wantFinal(r.request("stale", "c", 550*ms), Reject) // the first came 450 ms ago
	r.wantSend(r.request("early", "c", 900*ms))          // the first came 100 ms ago
	if f := finals(r.pass(105 * ms)); len(f) != 1 {      // and so it ends when its aim does
		t.Errorf("still open after its aim: %+v", f)
	}
	r.wantSend(r.request("first", "c", 601*ms))
}

// A return from ejection is not a cold start: only the list tells of a restart. (iadfa39: three upstreams
// silent for 10 s idled for the whole warm-up after it, the others overloaded.)
func TestReturnIsNotAColdStart(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	u := r.b.upstreams["u0"]
	u.outlier.ejections, u.outlier.ejectedUntil = 3, r.now+10*ms
	r.now += 20 * ms
	n := map[string]int{}
	for i := range 5 {
		n[r.wantSend(r.request(string(rune('a'+i)), "c", time.Second))]++
	}
	if n["u0"] != 1 {
		t.Errorf("%d trials at once, want 1", n["u0"])
	}
	for i := range 5 {
		r.result(string(rune('a'+i)), 0, OK, 20*ms)
	}
	if u.slowStart.active || u.outlier.ejections != 0 {
		t.Errorf("after its return: %+v", u)
	}
}

// Many quiet sidecars against a fleet most of which has just started: together they stay under what pushes a
// cold upstream over, and still warm it. Nothing is shared between them. (i2a20be: with many cold each
// sidecar passed those without budget, came to all of them and had a full token for each.)
func TestManyQuietSidecarsAgainstColdUpstreams(t *testing.T) {
	const sidecars, fleet, cold = 400, 40, 36
	for seed := range uint64(5) {
		s := testSettings() // cold from 0.2, warm in 10 s; three times the capacity for 2 s pushes over
		s.FleetSize = sidecars
		g := rand.New(rand.NewPCG(seed, 3))
		var all []*Balancer
		now := time.Minute
		deal := func(b *Balancer, e Event) []Action { return kinds(b.Handle(now, e, nil), Send) }
		var entries []Endpoint
		for i := range fleet {
			entries = append(entries, Endpoint{Name: fmt.Sprint("u", i), Zone: "ab"[i%2 : i%2+1]})
		}
		for i := range sidecars {
			b, err := New(s, seed<<32+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			deal(b, EndpointUpdate{Kind: FullUpdate, Endpoints: entries})
			all = append(all, b)
		}
		n := 0
		second := func() map[string]int { // two requests a second from each, answered at once
			sends := map[string]int{}
			for range 100 {
				for range sidecars * 2 / 100 {
					b := all[g.IntN(sidecars)]
					n++
					id := fmt.Sprint(n)
					for _, a := range deal(b, Request{ID: id, Class: "c", Deadline: now + time.Second}) {
						sends[a.Upstream]++
						deal(b, Outcome{ID: id, Result: OK, Elapsed: 20 * ms, Final: true})
					}
				}
				now += 10 * ms
			}
			return sends
		}
		for range 10 {
			second()
		}
		for i := range cold {
			entries[i].StartedAt = now
		}
		for _, b := range all {
			deal(b, EndpointUpdate{Kind: FullUpdate, Endpoints: entries})
		}
		const mean = float64(sidecars) * 2 / fleet // a second, below the capacity of each
		warmed := 0
		for sec := range 8 {
			one, two := second(), second()
			for i := range cold {
				got := one[fmt.Sprint("u", i)] + two[fmt.Sprint("u", i)]
				warmed += got
				if limit := 3 * 2 * mean * (0.2 + 0.8*float64(2*sec)/10); sec < 5 && float64(got) > limit {
					t.Errorf("seed %d: %d sent to cold u%d in 2 s, %.0f push it over", seed, got, i, limit)
				}
			}
		}
		if float64(warmed) < cold*mean*16/8 {
			t.Errorf("seed %d: %d requests to %d upstreams in 16 s: left out while and after cold", seed, warmed, cold)
		}
	}
}

// Guards against a client's repeat that runs where its first try's memory is not: what was sent for that
// counts as sent for this.
func TestPriorSends(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: ScopeZone, DedupWindow: 6 * time.Second}}
	for _, c := range []struct {
		name  string
		prior []EarlierAttempt
		want  string // zones that it may go to; "": none
	}{
		{"none", nil, "ab"}, {"in b", []EarlierAttempt{{Zone: "b", SentAt: 50 * time.Second}}, ""}, {"in b, within the window", []EarlierAttempt{{Zone: "b", SentAt: 58 * time.Second}}, "b"},
		{"in both", []EarlierAttempt{{Zone: "a", SentAt: 59 * time.Second}, {Zone: "b", SentAt: 59 * time.Second}}, ""}, {"elsewhere", []EarlierAttempt{{Zone: "z", SentAt: 59 * time.Second}}, ""},
	} {
		got := map[string]bool{}
		for i := range 30 {
			r := newRig(t, s)
			r.b.random = rand.New(rand.NewPCG(uint64(i), 1))
			r.list(FullUpdate, Endpoint{Name: "x", Zone: "a"}, Endpoint{Name: "y", Zone: "b"})
			acts := r.do(Request{ID: "1", Class: "c", Deadline: r.now + 5*time.Second, EarlierAttempts: c.prior})
			if sends := kinds(acts, Send); len(sends) == 1 {
				got[sends[0].Zone] = true
			} else if len(kinds(acts, Reject)) > 0 || c.want == "" && c.name == "in b" && len(kinds(acts, Fail)) != 1 {
				t.Errorf("%s: %+v", c.name, acts)
			}
		}
		if want := map[string]bool{"ab": c.want == "ab"}; len(got) != len(c.want) && !want["ab"] || c.want == "b" && !got["b"] {
			t.Errorf("%s: sent to %v, want %q", c.name, got, c.want)
		}
	}
}

// A repeat of a keyed request that may have run says by when it is to be with its group; what was never sent
// before, or may run at any time, does not.
func TestRepeatsSayByWhen(t *testing.T) {
	for effect, bound := range map[Idempotency]bool{IdempotentWithKey: true, Idempotent: false} {
		s := testSettings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow, s.Classes[0].Deadline = effect, ScopeAll, 5*time.Second, time.Minute
		r := newRig(t, s)
		r.fleet(3)
		sent := r.now
		first := kinds(r.request("1", "c", time.Minute), Send)
		r.now += 30 * ms
		unrun := kinds(r.result("1", 0, ConnectFailed, 30*ms), Send)
		second := r.now
		r.now += 10 * ms
		repeat := kinds(r.result("1", 1, Reset, 10*ms), Send)
		if len(first) != 1 || len(unrun) != 1 || len(repeat) != 1 || first[0].SendBy != 0 || unrun[0].SendBy != 0 {
			t.Fatalf("%+v, %+v, %+v", first, unrun, repeat)
		}
		if want := second + 5*time.Second - 2*s.Tick; bound != (repeat[0].SendBy == want) || !bound && repeat[0].SendBy != 0 {
			t.Errorf("sent at %v and %v, the repeat by %v, want %v", sent, second, repeat[0].SendBy, want)
		}
	}
}
