package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// An upstream in slow start gets at most its share of the mean load, counting first attempts, retries and the
// attempts that are made when no upstream is available.
func TestSlowStartBudget(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(10)
	n := map[string]int{}
	id := 0
	runSecond := func() {
		for range 200 { // 200 requests per second, answered at once
			id++
			name := string(rune('a'+id%26)) + time.Duration(id).String()
			for _, a := range ofKind(r.request(name, "c", time.Second), Send) {
				n[a.Upstream]++
				r.outcome(name, 0, OK, 5*ms)
			}
			r.advance(5 * ms)
		}
	}
	for range 10 {
		runSecond()
	}
	for i := range 9 { // nearly all upstreams restart
		r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	clear(n)
	runSecond()
	for i := range 9 {
		u := "u" + string(rune('0'+i))
		// The mean is 20 requests per second for each upstream. In this second the capacity is 0.2 to 0.28 of that, and
		// three times the capacity overloads the upstream.
		if n[u] > 13 {
			t.Errorf("%d requests to starting %s in its first second, want at most 13", n[u], u)
		}
	}
	for range 4 {
		runSecond()
	}
	if len(n) < 10 {
		t.Errorf("only %d of 10 upstreams got a request in five seconds", len(n))
	}
}

// Starting upstreams use their budget while the others are heavily loaded, because their first latency estimate is not
// above that of the others.
func TestSlowStartBudgetIsUsed(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.Classes[0].LatencyObjective = 80, time.Second // a latency objective that is long enough for no load shedding
	w := newScriptedFleet(t, s, func(u string) (Result, time.Duration) {
		if u < "u4" {
			return OK, 200 * ms
		}
		return OK, 20 * ms
	})
	w.addUpstreams(4)
	w.run(20*time.Second, 20)
	for i := range 4 {
		w.updateEndpoints(IncrementalUpdate, Endpoint{Name: fmt.Sprint("u", 4+i), Zone: "a", StartedAt: w.now})
	}
	clear(w.attemptsAt)
	w.run(4*time.Second, 20)
	starting := w.attemptsAt["u4"] + w.attemptsAt["u5"] + w.attemptsAt["u6"] + w.attemptsAt["u7"]
	// The mean is 2.5 requests per second for each upstream. A starting upstream may get 0.8 x 3 x (0.2 to 0.52) of
	// that: the four get 34 requests in all.
	if starting < 20 || starting > 40 {
		t.Errorf("%d requests to four starting upstreams in 4 s, want 20 to 40", starting)
	}
}

// With all upstreams in slow start, requests wait or are rejected: attempts keep to the budget even when no upstream is
// available.
func TestAllUpstreamsInSlowStart(t *testing.T) {
	r := newHarness(t, testSettings())
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{Name: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	r.updateEndpoints(FullUpdate, list...)
	sent, ended := 0, 0
	for i := range 400 {
		acts := r.request("r"+time.Duration(i).String(), "c", 150*ms)
		acts = append(acts, r.advance(5*ms)...)
		for _, a := range ofKind(acts, Send) {
			sent++
			r.outcome(a.ID, 0, OK, 5*ms)
		}
		ended += len(finalAnswers(acts))
	}
	// The 4 starting upstreams share 200 requests per second. Each has 0.2 to 0.36 of its capacity: 0.8 of three times
	// that is 112 requests per second in all.
	if sent > 224 || sent < 80 || ended == 0 {
		t.Errorf("%d requests sent, want 80 to 224; %d rejected or failed, want some", sent, ended)
	}
}

// Only the endpoint list shows a restart: a return from ejection begins no slow start.
func TestReturnFromEjectionIsNoSlowStart(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(2)
	u := r.balancer.upstreams["u0"]
	u.outlier.consecutiveEjections, u.outlier.ejectedUntil = 3, r.now+10*ms
	r.now += 20 * ms
	n := map[string]int{}
	for i := range 5 {
		n[r.wantSend(r.request(string(rune('a'+i)), "c", time.Second))]++
	}
	if n["u0"] != 1 {
		t.Errorf("%d trials of the ejected upstream at once, want 1", n["u0"])
	}
	for i := range 5 {
		r.outcome(string(rune('a'+i)), 0, OK, 20*ms)
	}
	if u.slowStart.active || u.outlier.consecutiveEjections != 0 {
		t.Errorf("upstream is still ejected or in slow start after its return: %+v", u)
	}
}

// lowTrafficFleet has many sidecars without shared state, each with two requests per second that are answered at once.
type lowTrafficFleet struct {
	now       time.Duration
	random    *rand.Rand
	endpoints []Endpoint
	sidecars  []*Balancer
	requests  int
}

func newLowTrafficFleet(t *testing.T, sidecars, upstreams int, seed uint64) *lowTrafficFleet {
	t.Helper()
	settings := testSettings()
	settings.FleetSize = sidecars
	f := &lowTrafficFleet{now: time.Minute, random: rand.New(rand.NewPCG(seed, 3))}
	for i := range upstreams {
		f.endpoints = append(f.endpoints, Endpoint{Name: fmt.Sprint("u", i), Zone: "ab"[i%2 : i%2+1]})
	}
	for i := range sidecars {
		b, err := New(settings, seed<<32+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.sends(b, EndpointUpdate{Kind: FullUpdate, Endpoints: f.endpoints})
		f.sidecars = append(f.sidecars, b)
	}
	return f
}

func (f *lowTrafficFleet) sends(b *Balancer, e Event) []Action {
	return ofKind(b.Handle(f.now, e, nil), Send)
}

// start restarts the first upstreams.
func (f *lowTrafficFleet) start(upstreams int) {
	for i := range upstreams {
		f.endpoints[i].StartedAt = f.now
	}
	for _, b := range f.sidecars {
		f.sends(b, EndpointUpdate{Kind: FullUpdate, Endpoints: f.endpoints})
	}
}

// runSecond runs the fleet for one second and returns the number of attempts by upstream.
func (f *lowTrafficFleet) runSecond() map[string]int {
	attempts := map[string]int{}
	for range 100 {
		for range len(f.sidecars) * 2 / 100 {
			b := f.sidecars[f.random.IntN(len(f.sidecars))]
			f.requests++
			id := fmt.Sprint(f.requests)
			for _, a := range f.sends(b, Request{ID: id, Class: "c", Deadline: f.now + time.Second}) {
				attempts[a.Upstream]++
				f.sends(b, Outcome{ID: id, Result: OK, Elapsed: 20 * ms, Final: true})
			}
		}
		f.now += 10 * ms
	}
	return attempts
}

// Many sidecars with little traffic must together stay below the load that overloads a starting upstream while most
// upstreams are in slow start, and must still use it. The capacity of a starting upstream grows from 0.2 to 1 within 10
// s; three times the capacity for 2 s overloads it.
func TestManyLowTrafficSidecarsInSlowStart(t *testing.T) {
	const sidecars, upstreams, starting = 400, 40, 36
	const mean = float64(sidecars) * 2 / upstreams // requests per second for each upstream, below its capacity
	for seed := range uint64(5) {
		f := newLowTrafficFleet(t, sidecars, upstreams, seed)
		for range 10 {
			f.runSecond()
		}
		f.start(starting)
		total := 0
		for period := range 8 {
			first, second := f.runSecond(), f.runSecond()
			for i := range starting {
				name := fmt.Sprint("u", i)
				got := first[name] + second[name]
				total += got
				limit := 3 * 2 * mean * (0.2 + 0.8*float64(2*period)/10)
				if period < 5 && float64(got) > limit {
					t.Errorf("seed %d: %d requests to starting %s in 2 s, want at most %.0f, which overload it", seed, got, name, limit)
				}
			}
		}
		if float64(total) < starting*mean*16/8 {
			t.Errorf("seed %d: too few requests, %d to %d upstreams, in the 16 s during and after slow start", seed, total, starting)
		}
	}
}

// With half the upstreams in slow start and one crashed, the starting ones stay within their budget.
func TestCrashDuringDeploy(t *testing.T) {
	w := newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return Reset, 5 * ms
		}
		return OK, 20 * ms
	})
	w.addUpstreams(8)
	w.reply, w.harness.logs = answerInTime, nil
	w.run(10*time.Second, 200)
	for i := range 4 {
		w.updateEndpoints(IncrementalUpdate, Endpoint{Name: fmt.Sprint("u", i+4), Zone: "a", StartedAt: w.now})
	}
	w.reply = func(u string) (Result, time.Duration) {
		if u == "u0" {
			return ConnectFailed, 0
		}
		return OK, 20 * ms
	}
	clear(w.attemptsAt)
	succeededBefore, requestsBefore := w.succeeded, w.requests
	w.run(2*time.Second, 200)
	if got := w.succeeded - succeededBefore; float64(got) < 0.95*float64(w.requests-requestsBefore) {
		t.Errorf("%d of %d requests served, want at least 95 percent", got, w.requests-requestsBefore)
	}
	for i := 4; i < 8; i++ {
		// Overload begins at 3 times 0.2 to 0.36 of the capacity; the mean load is 25 per second for each upstream.
		if got := w.attemptsAt[fmt.Sprint("u", i)]; got > 40 {
			t.Errorf("u%d, in slow start, got %d requests in 2 s, want at most 40", i, got)
		}
	}
}

// TestSlowStartTokensLapse guards against buckets that are all full after a lull: of many sidecars with a small share
// each, only a few hold a token at the same time.
func TestSlowStartTokensLapse(t *testing.T) {
	const (
		sidecars  = 200
		window    = 2 * time.Second
		perSecond = 0.02 // tokens, for each sidecar
	)
	random := rand.New(rand.NewPCG(1, 2))
	buckets := make([]slowStartState, sidecars)
	for i := range buckets {
		buckets[i].tokens = random.Float64()
	}
	now := time.Duration(0)
	for now < 5*time.Minute { // nothing is sent
		now += time.Second
		holding := 0
		for i := range buckets {
			buckets[i].refill(now, perSecond, window)
			if buckets[i].tokens >= 1 {
				holding++
			}
		}
		// Each sidecar holds a token for half a window, 1 s, of the 50 s between two tokens: the mean is 4 sidecars.
		if holding > 14 {
			t.Fatalf("after %v, %d of %d sidecars hold a token, want at most 14", now, holding, sidecars)
		}
	}
}

// TestSlowStartTokenOfASmallRequest guards against one token being enough for several small requests.
func TestSlowStartTokenOfASmallRequest(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(1)
	u := r.balancer.upstreams["u0"]
	u.slowStart = slowStartState{active: true, startedAt: r.now, refilledAt: r.now, tokens: 1}
	r.balancer.send(&request{id: "small", cost: 0.25, class: r.balancer.classes["c"]}, u)
	if u.slowStart.tokens != 0 {
		t.Errorf("%v tokens are left after a small request, want 0", u.slowStart.tokens)
	}
}
