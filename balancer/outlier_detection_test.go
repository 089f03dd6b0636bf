package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Faulty upstreams cost a sidecar with little traffic only a bounded number of attempts at them, and few of
// its requests are not served.
func TestLowTrafficSidecarWithFaultyUpstreams(t *testing.T) {
	g := rand.New(rand.NewPCG(5, 7))
	answer := func() time.Duration { return time.Duration(5+g.IntN(40)) * ms }
	faulty := func(u string, n int) bool { // only the first n of the 60 upstreams are faulty
		var i int
		if _, err := fmt.Sscanf(u[1:], "%d", &i); err != nil {
			t.Fatal(err)
		}
		return i < n
	}
	for _, c := range []struct {
		name     string
		faulty   int // number of faulty upstreams
		reply    func(u string) (Result, time.Duration)
		attempts float64 // largest number of attempts at faulty upstreams, as a share of the requests
		served   float64 // smallest share of the requests that is served
	}{
		{"twenty answer four of five with errors", 20, func(u string) (Result, time.Duration) {
			if faulty(u, 20) && g.Float64() < 0.8 {
				return ServerError, 5 * ms
			}
			return OK, answer()
		}, 0.15, 0.97},
		{"stale list, six in ten are gone", 36, func(u string) (Result, time.Duration) {
			if faulty(u, 36) {
				return ConnectFailed, ms
			}
			return OK, answer()
		}, 0.35, 0.97},
		{"one refuses connections", 1, func(u string) (Result, time.Duration) {
			if faulty(u, 1) {
				return ConnectFailed, ms
			}
			return OK, answer()
		}, 0.02, 0.99},
		{"three hang", 3, func(u string) (Result, time.Duration) {
			if faulty(u, 3) {
				return OK, -1
			}
			return OK, answer()
		}, 0.05, 0.95},
	} {
		w := newZonedFleet(t, 20, func(u string) (Result, time.Duration) { return c.reply(u) })
		w.run(60*time.Second, 20)
		faultyAttempts := 0
		for u, n := range w.attemptsAt {
			if faulty(u, c.faulty) {
				faultyAttempts += n
			}
		}
		t.Logf("%s: %d attempts at faulty upstreams, %d of %d requests served", c.name, faultyAttempts, w.succeeded, w.requests)
		if float64(faultyAttempts) > c.attempts*float64(w.requests) || float64(w.succeeded) < c.served*float64(w.requests) {
			t.Errorf("%s: too many attempts at faulty upstreams, %d, or too few requests served, %d of %d", c.name, faultyAttempts, w.succeeded, w.requests)
		}
	}
}

// A crashed upstream refuses connections at once and therefore looks fast. It is ejected, and returns after
// trials of one request each.
func TestCrashedUpstreamIsEjected(t *testing.T) {
	down := true
	w := newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" && down {
			return ConnectFailed, 0
		}
		return OK, 20 * ms
	})
	w.addUpstreams(5)
	w.run(10*time.Second, 100)
	if w.attemptsAt["u0"] > 10 {
		t.Errorf("%d attempts at the crashed upstream, want at most 10", w.attemptsAt["u0"])
	}
	if w.finalAnswers[Reject]+w.finalAnswers[Fail] > 0 {
		t.Errorf("requests ended without an answer although four upstreams are healthy: %v", w.finalAnswers)
	}
	down = false
	w.run(10*time.Second, 100)
	if w.attemptsAt["u0"] < 50 || !w.logged("eject u0") || !w.logged("return u0") {
		t.Errorf("upstream not ejected and returned: %d attempts, want at least 50; log %q", w.attemptsAt["u0"], w.logs)
	}
}

func TestOccasionalFailuresDoNotEject(t *testing.T) {
	for _, res := range []Result{Reset, Malformed} {
		n := 0
		w := newScriptedFleet(t, testSettings(), func(string) (Result, time.Duration) {
			if n++; n%20 == 0 {
				return res, 5 * ms
			}
			return OK, 20 * ms
		})
		w.addUpstreams(5)
		w.run(10*time.Second, 100)
		if w.logged("eject") {
			t.Errorf("result %d of every 20th attempt ejected an upstream: log %q", res, w.logs)
		}
	}
}

// An upstream that does not answer is recognized by the age of its attempts, and ejected.
func TestHungUpstreamIsEjected(t *testing.T) {
	for _, hedging := range []bool{true, false} {
		s := testSettings()
		s.HedgingAllowed = hedging
		w := newScriptedFleet(t, s, func(u string) (Result, time.Duration) {
			if u == "u0" {
				return OK, -1
			}
			return OK, 20 * ms
		})
		w.addUpstreams(5)
		w.run(10*time.Second, 100)
		if w.attemptsAt["u0"] > 60 || w.succeeded < 950 {
			t.Errorf("hedging %v: %d attempts at the hung upstream, want at most 60; %d of %d requests served, want at least 950", hedging, w.attemptsAt["u0"], w.succeeded, w.requests)
		}
	}
}

// An upstream that answers errors at once is ejected, although its load is below that of others with long
// queues.
func TestFastErrorsEject(t *testing.T) {
	broken := true
	s := testSettings()
	s.Classes[0].LatencyObjective = 400 * ms
	w := newScriptedFleet(t, s, func(u string) (Result, time.Duration) {
		if u == "u0" && broken {
			return ServerError, time.Millisecond
		}
		return OK, 150 * ms // ten or more in flight at each: a load far above the penalty for errors
	})
	w.addUpstreams(4)
	w.run(10*time.Second, 250)
	if w.attemptsAt["u0"] > 40 {
		t.Errorf("%d attempts at an upstream that answers only errors, want at most 40", w.attemptsAt["u0"])
	}
	broken = false
	w.run(15*time.Second, 250) // long enough for an ejection of up to 10 s and two good answers
	if w.attemptsAt["u0"] < 200 || !w.logged("return u0") {
		t.Errorf("upstream has not returned: %d attempts, want at least 200; log %q", w.attemptsAt["u0"], w.logs)
	}
}

// Any upstream's answers may be damaged on their way: one malformed answer in ten ejects no upstream.
func TestMalformedAnswersDoNotEject(t *testing.T) {
	n := 0
	w := newZonedFleet(t, 6, func(string) (Result, time.Duration) {
		if n++; n%10 < 2 && n%20 < 10 {
			return Malformed, 5 * ms
		}
		return OK, 20 * ms
	})
	w.run(60*time.Second, 40)
	if w.logged("eject") {
		t.Errorf("one malformed answer in ten ejected an upstream: log %q", w.logs)
	}
}
