package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// A sample above the decayed estimate must replace the estimate, and any other sample must be averaged in.
// With a decay of 1 s the weight is 1/2 after 693.147... ms.
func TestPeakEWMA(t *testing.T) {
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
		{"above the decayed value only: replaces it", peakEWMA{0.1, 0}, 0.06, half, 0.06, half},
		{"below the decayed value: averaged in", peakEWMA{0.1, 0}, 0.02, half, 0.1*0.5 + 0.02*0.5, half},
		{"equal to the decayed value: keeps it", peakEWMA{0.1, 0}, 0.05, half, 0.05, half},
		{"at the same time, lower: has no weight", peakEWMA{0.1, half}, 0.02, half, 0.1, half},
		{"at the same time, higher: replaces it", peakEWMA{0.1, half}, 0.2, half, 0.2, half},
		{"earlier than the latest: dropped", peakEWMA{0.1, half}, 0.9, half - 1, 0.1, half},
	} {
		c.e.add(c.sample, c.now, decay)
		if math.Abs(c.e.value-c.want) > 1e-6 || c.e.updatedAt != c.wantNow {
			t.Errorf("%s: got %v at %v, want %v at %v", c.name, c.e.value, c.e.updatedAt, c.want, c.wantNow)
		}
	}
}

// An OK answer counts with its latency, an error answer with at least the penalty, any other result with its
// elapsed time.
func TestLatencySampleByResult(t *testing.T) {
	for _, c := range []struct {
		res     Result
		elapsed time.Duration
		want    float64
	}{
		{OK, 80 * ms, 0.080},
		{ServerError, 10 * ms, 0.200}, // the penalty is one mean objective
		{Rejected, 1 * ms, 0.200},
		{ServerError, 300 * ms, 0.300}, // the time is longer than the penalty
		{Timeout, 150 * ms, 0.150},
		{Reset, 90 * ms, 0.090},
		{ConnectFailed, 70 * ms, 0.070},
	} {
		r := newHarness(t, testSettings())
		r.addUpstreams(1)
		r.wantSend(r.request("1", "c", time.Second))
		r.now += 60 * time.Second // the first estimate has faded
		u := r.balancer.shuffled[0]
		a := u.inFlight[0]
		r.balancer.now = r.now
		r.balancer.observeLatency(a, c.res, c.elapsed)
		if !almostEqual(u.latency.value, c.want) {
			t.Errorf("result %d after %v: estimate %v, want %v", c.res, c.elapsed, u.latency.value, c.want)
		}
	}
}

// The first estimate is the mean latency known when the upstream appears.
func TestNewUpstreamHasMeanLatency(t *testing.T) {
	r := newHarness(t, testSettings())
	r.balancer.latency.normalizedMean = 0.033
	r.addUpstreams(1)
	if got := r.balancer.shuffled[0].latency; got.value != 0.033 || got.updatedAt != r.now {
		t.Errorf("first estimate %+v, want the mean 0.033 as of now", got)
	}
}

// An idle upstream's estimate fades to the mean of all upstreams, not to zero.
func TestIdleEstimateFadesToMean(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(2)
	r.balancer.shuffled[0].latency = peakEWMA{0.5, r.now}
	r.balancer.now = r.now + time.Hour
	if got := r.balancer.load(r.balancer.shuffled[0]); !almostEqual(got, r.balancer.latency.normalizedMean) {
		t.Errorf("load after an hour without requests: %v, want the mean %v", got, r.balancer.latency.normalizedMean)
	}
}

// A new upstream is assumed to be as fast as its machine type, because machine types differ in speed.
func TestNewUpstreamHasLatencyOfMachineType(t *testing.T) {
	r := newHarness(t, testSettings())
	r.updateEndpoints(FullUpdate, Endpoint{Name: "f0", MachineType: "fast"}, Endpoint{Name: "s0", MachineType: "slow"})
	for i := range 200 {
		id := fmt.Sprint(i)
		elapsed := map[string]time.Duration{"f0": 20 * ms, "s0": 80 * ms}[r.wantSend(r.request(id, "c", time.Second))]
		r.now += elapsed
		r.outcome(id, 0, OK, elapsed)
		r.now += 10 * time.Second
	}
	r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "f1", MachineType: "fast"}, Endpoint{Name: "s1", MachineType: "slow"})
	if f, s := r.balancer.load(r.balancer.upstreams["f1"]), r.balancer.load(r.balancer.upstreams["s1"]); s < 2*f {
		t.Errorf("load of a new upstream: %.3f s of the fast type, %.3f s of the slow type, want at least twice as much", f, s)
	}
}

// An estimate lasts until its upstream is chosen again: at a low rate it fades more slowly.
func TestLatencyDecayFollowsOfferedRate(t *testing.T) {
	for _, c := range []struct {
		rate int
		want time.Duration
	}{{2, durationFromSeconds(latencyDecayIntervals * candidateSampleInterval.Seconds())}, {200, 4 * 200 * ms}} {
		r := newHarness(t, testSettings())
		r.addUpstreams(12)
		for i := range 10 * c.rate {
			id := time.Duration(i).String()
			r.wantSend(r.request(id, "c", time.Second))
			r.outcome(id, 0, OK, 5*ms)
			r.advance(time.Second / time.Duration(c.rate))
		}
		if r.balancer.latency.decay != c.want {
			t.Errorf("%d requests per second: decay %v, want %v", c.rate, r.balancer.latency.decay, c.want)
		}
	}
}

// Samples are normalized by cost hints: a costly request does not make its upstream look slow.
func TestCostlyRequestDoesNotRaiseLatency(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(1)
	for i := range 200 { // each with a cost hint of 20 ms, answered in 20 ms
		id := fmt.Sprint(i)
		r.handle(Request{ID: id, Class: "c", Deadline: r.now + time.Second, CostHint: 20 * ms})
		r.outcome(id, 0, OK, 20*ms)
		r.now += 10 * ms
	}
	before := r.balancer.shuffled[0].latency.value
	r.handle(Request{ID: "big", Class: "c", Deadline: r.now + time.Second, CostHint: 120 * ms})
	r.now += 10 * ms
	r.outcome("big", 0, OK, 120*ms)
	if after := r.balancer.shuffled[0].latency.value; after > 1.5*before {
		t.Errorf("estimate %v rose to %v after a request with six times the work took six times as long", before, after)
	}
}
