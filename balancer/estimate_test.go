package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// The estimate by hand: decay 1 s, so w = 1/2 after 693.147... ms.
func TestEstimate(t *testing.T) {
	const decay = time.Second
	half := time.Duration(math.Round(math.Ln2 * 1e9))
	for _, c := range []struct {
		name    string
		e       peakEWMA
		sample  float64
		now     time.Duration
		want    float64
		wantNow time.Duration
	}{
		{"above the estimate: replaces it", peakEWMA{0.1, 0}, 0.3, half, 0.3, half},
		{"above its projection only: replaces it", peakEWMA{0.1, 0}, 0.06, half, 0.06, half},
		{"below the projection: blended in", peakEWMA{0.1, 0}, 0.02, half, 0.1*0.5 + 0.02*0.5, half},
		{"at the projection: stays there", peakEWMA{0.1, 0}, 0.05, half, 0.05, half},
		{"same moment, lower: no weight", peakEWMA{0.1, half}, 0.02, half, 0.1, half},
		{"same moment, higher: a peak all the same", peakEWMA{0.1, half}, 0.2, half, 0.2, half},
		{"earlier than the last: dropped", peakEWMA{0.1, half}, 0.9, half - 1, 0.1, half},
	} {
		c.e.add(c.sample, c.now, decay)
		if math.Abs(c.e.value-c.want) > 1e-6 || c.e.updatedAt != c.wantNow {
			t.Errorf("%s: got %v at %v, want %v at %v", c.name, c.e.value, c.e.updatedAt, c.want, c.wantNow)
		}
	}
}

// What each outcome feeds: success its latency, failure answers at least the penalty, the rest elapsed time.
func TestObserve(t *testing.T) {
	for _, c := range []struct {
		res     Result
		elapsed time.Duration
		want    float64
	}{
		{OK, 80 * ms, 0.080},
		{ServerError, 10 * ms, 0.200}, // penalty: one mean aim
		{Rejected, 1 * ms, 0.200},
		{ServerError, 300 * ms, 0.300}, // longer than the penalty
		{Timeout, 150 * ms, 0.150},
		{Reset, 90 * ms, 0.090},
		{ConnectFailed, 70 * ms, 0.070},
	} {
		r := newRig(t, testSettings())
		r.fleet(1)
		r.wantSend(r.request("1", "c", time.Second))
		r.now += 60 * time.Second // the seed's projection is nothing by now
		u := r.b.shuffled[0]
		a := u.inFlight[0]
		r.b.now = r.now
		r.b.observeLatency(a, c.res, c.elapsed)
		if !near(u.latency.value, c.want) {
			t.Errorf("result %d after %v: estimate %v, want %v", c.res, c.elapsed, u.latency.value, c.want)
		}
	}
}

// The seed is the mean latency known when the upstream is first seen.
func TestSeed(t *testing.T) {
	r := newRig(t, testSettings())
	r.b.latency.normalizedMean = 0.033
	r.fleet(1)
	if got := r.b.shuffled[0].latency; got.value != 0.033 || got.updatedAt != r.now {
		t.Errorf("seed %+v", got)
	}
}

// load is latency x (pending+1).
func TestLoad(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(1)
	u := r.b.shuffled[0]
	u.latency = peakEWMA{0.04, r.now}
	r.b.now = r.now
	if got := r.b.load(u); !near(got, 0.04) {
		t.Errorf("idle: %v", got)
	}
	r.b.send(&request{id: "x", class: r.b.classes["c"], cost: 1, timing: requestTiming{deadline: r.now + time.Second}}, u)
	if got := r.b.load(u); !near(got, 0.08) {
		t.Errorf("one pending: %v", got)
	}
	// A hung attempt's age is a lower bound of the latency.
	r.b.now += 100 * ms
	if got := r.b.load(u); !near(got, 0.2) {
		t.Errorf("one pending for 100 ms: %v", got)
	}
}

// An idle estimate tends to the mean of all, not to zero: idleness is not speed.
func TestIdleEstimateTendsToMean(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	r.b.shuffled[0].latency = peakEWMA{0.5, r.now}
	r.b.now = r.now + time.Hour
	if got := r.b.load(r.b.shuffled[0]); !near(got, r.b.latency.normalizedMean) {
		t.Errorf("idle for long: %v, want the mean %v", got, r.b.latency.normalizedMean)
	}
}

// Of two ready upstreams the one with the lower load is picked, every time.
func TestPickTakesLowerOfTwo(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	r.b.upstreams["u0"].latency = peakEWMA{0.02, r.now}
	r.b.upstreams["u1"].latency = peakEWMA{0.05, r.now}
	r.b.now = r.now
	got := ""
	for i, want := range []string{"u0", "u0", "u1", "u0", "u0", "u1"} { // loads 20/50, 40/50, 60/50, 60/100, 80/100, 100/100
		if i == 5 {
			break // a tie
		}
		got = r.wantSend(r.request(string(rune('a'+i)), "c", time.Second))
		if got != want {
			t.Fatalf("pick %d: %s, want %s", i, got, want)
		}
	}
}

// Both of the pair are drawn at random: over many picks each upstream is compared, and the worst never wins.
func TestPairIsRandomAndDistinct(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(4)
	for i := range r.b.shuffled {
		r.b.upstreams[fmt.Sprint("u", i)].latency = peakEWMA{0.01 * float64(i+1), r.now}
	}
	r.b.now = r.now
	n := map[string]int{}
	for range 6000 {
		n[r.b.powerOfTwoChoices(r.b.shuffled).name]++
	}
	// Of the six pairs, u0 wins three, u1 two, u2 one, u3 none.
	for id, want := range map[string]int{"u0": 3000, "u1": 2000, "u2": 1000, "u3": 0} {
		if d := n[id] - want; d < -200 || d > 200 {
			t.Errorf("%s picked %d times of 6000, want about %d", id, n[id], want)
		}
	}
}

// A quiet sidecar keeps to a few of many upstreams, so that its estimates stay current and its connections
// few; which ones is its own draw, so that all sidecars together reach each alike. A dead one's place is
// taken by the next.
func TestQuietSidecarKeepsToASubset(t *testing.T) {
	const sidecars, fleet = 300, 50
	owners := map[string]int{}
	for i := range sidecars {
		b, err := New(testSettings(), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: time.Minute}
		r.fleet(fleet)
		met := map[string]bool{}
		for n := range 60 { // one request a second
			id := fmt.Sprint(n)
			u := r.wantSend(r.request(id, "c", time.Second))
			met[u] = true
			r.result(id, 0, OK, 20*ms)
			r.pass(time.Second)
		}
		if len(met) > subsetSizeMin+2 {
			t.Fatalf("one request a second met %d upstreams", len(met))
		}
		for u := range met {
			owners[u]++
		}
	}
	for i := range fleet { // about 24 each
		if n := owners[fmt.Sprint("u", i)]; n < 8 || n > 50 {
			t.Errorf("u%d is met by %d of %d sidecars", i, n, sidecars)
		}
	}
	r := newRig(t, testSettings())
	r.fleet(fleet)
	for _, u := range r.b.shuffled[:subsetSizeMin] {
		u.outlier.ejectedUntil = r.now + time.Hour
	}
	r.wantSend(r.request("x", "c", time.Second))
}

// A busy sidecar hears from all often enough, and uses all.
func TestBusySidecarUsesAll(t *testing.T) {
	w := newWorld(t, testSettings(), fine)
	w.fleet(30)
	w.play(5*time.Second, 100)
	if len(w.sends) != 30 {
		t.Errorf("100 requests a second met %d of 30 upstreams", len(w.sends))
	}
}

// An upstream never heard of counts as its kind of machine does, not as the fleet: kinds differ in speed
// threefold.
func TestUnheardUpstreamCountsAsItsKind(t *testing.T) {
	r := newRig(t, testSettings())
	r.list(FullUpdate, Endpoint{Name: "f0", MachineType: "fast"}, Endpoint{Name: "s0", MachineType: "slow"})
	for i := range 200 {
		id := fmt.Sprint(i)
		elapsed := map[string]time.Duration{"f0": 20 * ms, "s0": 80 * ms}[r.wantSend(r.request(id, "c", time.Second))]
		r.now += elapsed
		r.result(id, 0, OK, elapsed)
		r.now += 10 * time.Second
	}
	r.list(IncrementalUpdate, Endpoint{Name: "f1", MachineType: "fast"}, Endpoint{Name: "s1", MachineType: "slow"})
	if f, s := r.b.load(r.b.upstreams["f1"]), r.b.load(r.b.upstreams["s1"]); s < 2*f {
		t.Errorf("new and unheard: fast %.3f, slow %.3f", f, s)
	}
}

// A pick at a quiet sidecar costs the same however long the list. (At 400 upstreams it took 11 us of a
// budget of 10.)
func TestPickDoesNotWalkALargeList(t *testing.T) {
	r := newRig(t, testSettings())
	var list []Endpoint
	for i := range 1000 {
		list = append(list, Endpoint{Name: fmt.Sprint("u", i), Zone: "ab"[i%2 : i%2+1]})
	}
	r.list(FullUpdate, list...)
	clear(r.b.shuffled[100:]) // a look at one of them panics
	r.wantSend(r.request("1", "c", time.Second))
}

// What is known of an upstream outlasts the time until it is drawn again, and no longer: at two requests a
// second among twelve a failing one is still passed over seconds later, at two hundred an estimate is as old
// as its like.
func TestEstimatesLastUntilHeardAgain(t *testing.T) {
	for _, c := range []struct {
		rate int
		want time.Duration
	}{{2, durationFromSeconds(latencyDecayIntervals * subsetSampleInterval.Seconds())}, {200, 4 * 200 * ms}} {
		r := newRig(t, testSettings())
		r.fleet(12)
		for i := range 10 * c.rate {
			id := time.Duration(i).String()
			r.wantSend(r.request(id, "c", time.Second))
			r.result(id, 0, OK, 5*ms)
			r.pass(time.Second / time.Duration(c.rate))
		}
		if r.b.latency.decay != c.want {
			t.Errorf("%d a second: estimates last %v, want %v", c.rate, r.b.latency.decay, c.want)
		}
	}
}
