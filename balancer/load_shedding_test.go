package balancer

import (
	"fmt"
	"testing"
	"time"
)

// While every answer is late, most requests must be rejected early, also if one upstream is slower than the
// others. Load shedding must end with the overload.
func TestOverloadIsShedEarlyAndEnds(t *testing.T) {
	latency := 20 * ms
	w := newScriptedFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return OK, 2 * latency
		}
		return OK, latency
	})
	w.addUpstreams(4)
	w.run(5*time.Second, 200)
	if w.finalAnswers[Reject] > 10 {
		t.Errorf("%d requests rejected without an overload, want at most 10", w.finalAnswers[Reject])
	}
	latency = 250 * ms
	w.run(2*time.Second, 200)
	attemptsBefore, requestsBefore := w.attempts(), w.requests
	w.run(3*time.Second, 200)
	if got := w.attempts() - attemptsBefore; got > (w.requests-requestsBefore)*3/10 {
		t.Errorf("%d attempts for %d requests that cannot be answered in time, want at most three tenths", got, w.requests-requestsBefore)
	}
	latency = 20 * ms
	w.run(3*time.Second, 200)
	succeededBefore, requestsBefore := w.succeeded, w.requests
	w.run(3*time.Second, 200)
	if got := w.succeeded - succeededBefore; float64(got) < 0.95*float64(w.requests-requestsBefore) {
		t.Errorf("only %d of %d requests succeeded after the overload", got, w.requests-requestsBefore)
	}
	if !w.logged("shedding begins") || !w.logged("shedding ended") {
		t.Errorf("the beginning or the end of load shedding is missing in the log %q", w.logs)
	}
}

func TestLowestPriorityIsRejectedFirst(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
		{Name: "important", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 9}}
	r := newHarness(t, s)
	r.addUpstreams(4)
	rejected := map[string]int{}
	var open []string // IDs in order of arrival; each is answered after 155 ms, so that a few more wait than the limit allows
	for i := range 600 {
		id, class := fmt.Sprint(i), []string{"c", "important"}[i%2]
		if len(ofKind(r.request(id, class, time.Second), Send)) == 0 {
			rejected[class]++
			id = ""
		}
		if open = append(open, id); len(open) > 31 {
			if open[0] != "" {
				r.outcome(open[0], 0, OK, 155*ms)
			}
			open = open[1:]
		}
		r.now += 5 * ms
	}
	if rejected["c"] < 10 || rejected["important"] > rejected["c"]/2 {
		t.Errorf("rejected requests by class: %v, want at least 10 of c and at most half as many of important", rejected)
	}
}

// The part of a tenant's requests that is over its quota must get a lower priority.
func TestOverQuotaLowersPriority(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "big", Quota: 0.5}, {Name: "small", Quota: 0.5}}
	s.OverQuotaWeight = 0.1
	r := newHarness(t, s)
	low := map[int]int{}
	for i := range 1000 {
		r.balancer.now += ms
		q := &request{class: r.balancer.classes["c"], cost: 1, tenantIndex: min(i%10/9, 1)} // nine of ten are of tenant big
		if r.balancer.priority(q) < 1 {
			low[q.tenantIndex]++
		}
	}
	if low[1] != 0 || low[0] < 300 || low[0] > 500 { // about (0.9-0.5)/0.9 of the 900 requests of tenant big are over its quota
		t.Errorf("requests with lowered priority by tenant index: %v, want 300 to 500 of the first and none of the second", low)
	}
}

// The sums over waiting requests must stay exact in a process that runs for a long time.
func TestWaitingSumsDoNotDrift(t *testing.T) {
	r := newHarness(t, testSettings())
	r.now = 400 * 24 * time.Hour
	r.addUpstreams(4)
	r.request("stays", "c", time.Second)
	for i := range 20000 {
		id := fmt.Sprint(i)
		r.request(id, "c", time.Second)
		r.outcome(id, 0, OK, ms)
	}
	if b := r.balancer; b.waiting.count != 1 || b.waiting.startSum != r.now || b.waiting.requiredRate < 4.999 || b.waiting.requiredRate > 5.001 {
		t.Errorf("with one request waiting, the sums are: count %d, start times %v, required rate %v",
			b.waiting.count, b.waiting.startSum, b.waiting.requiredRate)
	}
}

// Late answers of upstreams that go on answering lower the queueing limit to its minimum, and answers in
// time raise it again. Requests that wait at a hung upstream must not lower it.
func TestQueueingLimitFollowsLateAnswers(t *testing.T) {
	answers, overloaded := 0, true
	s := testSettings()
	s.HedgingAllowed = false
	reply := func(string) (Result, time.Duration) {
		if answers++; overloaded && answers%2 == 0 {
			return OK, 230 * ms
		}
		return OK, 90 * ms
	}
	w := newScriptedFleet(t, s, reply)
	w.addUpstreams(4)
	w.run(5*time.Second, 400)
	if w.balancer.shedding.queueingLimit > queueingLimitMin*1.2 {
		t.Errorf("queueing limit is %.2f with half of all answers late, want almost its minimum", w.balancer.shedding.queueingLimit)
	}
	overloaded = false
	w.run(10*time.Second, 100)
	if w.balancer.shedding.queueingLimit < queueingLimitMax {
		t.Errorf("queueing limit is %.2f long after the overload, want its maximum", w.balancer.shedding.queueingLimit)
	}
	w = newScriptedFleet(t, s, func(u string) (Result, time.Duration) {
		if u < "u2" {
			return OK, -1
		}
		return OK, 90 * ms
	})
	w.addUpstreams(4)
	w.run(2*time.Second, 400)
	if w.finalAnswers[Reject] == 0 || w.balancer.shedding.queueingLimit < queueingLimitMax*0.9 {
		t.Errorf("with half of the upstreams hung: %d requests rejected, want some; queueing limit %.2f, want almost its maximum",
			w.finalAnswers[Reject], w.balancer.shedding.queueingLimit)
	}
}

// The load pressure rises with the age of the waiting requests: a burst after a time of little traffic is
// admitted, and more requests than can be served are not.
func TestLoadPressureRisesWithAge(t *testing.T) {
	for _, c := range []struct {
		name              string
		waiting, answered int
		age               time.Duration
		over              bool // the load pressure is above 1
	}{
		{name: "burst", waiting: 100, answered: 400, age: 10 * ms},
		{name: "too many, older", waiting: 100, answered: 400, age: 35 * ms, over: true},
		{name: "too many, old", waiting: 100, answered: 400, age: 100 * ms, over: true},
		{name: "few enough", waiting: 20, answered: 400, age: 35 * ms},
		{name: "burst after little traffic", waiting: 20, answered: 1, age: 15 * ms},
		{name: "no answers", waiting: 20, answered: 0, age: 150 * ms, over: true},
	} {
		r := newHarness(t, testSettings())
		r.addUpstreams(4)
		for i := range c.answered { // the answers are spread over 2 s
			r.balancer.servedRate.add(1, r.now+2*time.Second*time.Duration(i)/time.Duration(c.answered))
		}
		r.now += 2 * time.Second
		r.handle(TimerFired{})
		for range c.waiting {
			r.balancer.setWaiting(&request{timing: requestTiming{startedAt: r.now, objectiveAt: r.now + 200*ms}}, true)
		}
		r.now += c.age
		r.handle(TimerFired{})
		if pressure := r.balancer.loadPressure(); pressure > 1 != c.over {
			t.Errorf("%s: %d requests waiting for %v, %d answered in 2 s: load pressure %.2f is on the wrong side of 1",
				c.name, c.waiting, c.age, c.answered, pressure)
		}
	}
}

// Two or three waiting requests must not count as an overload, however few answers there have been.
func TestFewWaitingRequestsAreNoOverload(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(10)
	for i := range 60 { // three requests at once every second, each answered in half its latency objective
		for j := range 3 {
			r.wantSend(r.request(fmt.Sprint(i, "-", j), "c", time.Second))
			r.advance(25 * ms)
		}
		for j := range 3 {
			r.outcome(fmt.Sprint(i, "-", j), 0, OK, 100*ms)
		}
		r.advance(900 * ms)
	}
	if len(r.logs) > 0 {
		t.Errorf("want no load shedding with at most three requests waiting, got the log %q", r.logs)
	}
}

// A sidecar that never has more than one request waiting must shed load while attempts take their latency
// objective or longer, and must admit requests again soon after.
func TestLowTrafficSidecarShedsInOverload(t *testing.T) {
	latency := 240 * ms
	w := newScriptedFleet(t, testSettings(), func(string) (Result, time.Duration) { return OK, latency })
	w.addUpstreams(10)
	w.run(20*time.Second, 3)
	if w.finalAnswers[Reject] < 20 {
		t.Errorf("only %d of %d requests rejected while all attempts took longer than their latency objective",
			w.finalAnswers[Reject], w.requests)
	}
	latency = 20 * ms
	w.run(10*time.Second, 3)
	rejected := w.finalAnswers[Reject]
	w.run(10*time.Second, 3)
	if w.finalAnswers[Reject] != rejected {
		t.Error("requests are still rejected long after the overload has ended")
	}
}

// A rejected client gets the longest Retry-After that is allowed. If that ends before the client's deadline
// and a late answer has a value, the client gets a shorter one, with which it can retry within its latency
// objective.
func TestRetryAfterOfRejection(t *testing.T) {
	for _, c := range []struct {
		name      string
		longest   time.Duration
		lateValue float64
		want      time.Duration
	}{
		{"longest reaches the deadline", time.Second, 0.5, time.Second},
		{"late answers have no value", 800 * ms, 0, 800 * ms},
		{"back in time", 800 * ms, 0.5, 100 * ms},
		{"longest is in time", 50 * ms, 0.5, 50 * ms},
	} {
		s := testSettings() // objective 200 ms, deadline 1 s
		s.MaxRetryAfter, s.Classes[0].LateValueFraction = c.longest, c.lateValue
		r := newHarness(t, s)
		r.addUpstreams(4)
		r.balancer.shedding.objectiveUse, r.balancer.shedding.objectiveUseAt = 10, r.now // four fifths of the requests are rejected
		var actions []Action
		for i := 0; i < 40 && len(finalAnswers(actions)) == 0; i++ {
			actions = r.request(fmt.Sprint(i), "c", time.Second)
		}
		r.wantFinal(actions, Reject)
		if got := finalAnswers(actions)[0].RetryAfter; got != c.want {
			t.Errorf("%s: Retry-After is %v, want %v", c.name, got, c.want)
		}
	}
}

// With few waiting requests, a burst or a few late answers must not cause rejections. A lasting overload
// must reject the lowest priority first, in proportion to the overload, and never all requests.
func TestLowTrafficSidecarShedsInProportion(t *testing.T) {
	for _, c := range []struct {
		name                     string
		answerTime               float64 // time until each answer, as a share of the latency objective
		answers                  int
		minRejected, maxRejected float64 // bounds of the share of the low-priority requests that is rejected
		maxHighRejected          float64 // largest share of the high-priority requests that is rejected
	}{
		{"a burst", 0.3, 100, 0, 0, 0},
		{"a few late answers", 0.95, 4, 0, 0.02, 0},
		{"slightly overloaded", 0.4, 200, 0.2, 0.6, 0.02},
		{"overloaded", 1.5, 200, 0.98, 1, 0.7},
	} {
		s := testSettings()
		s.FleetSize = 80
		s.Classes = append(s.Classes, Class{Name: "high", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 3})
		r := newHarness(t, s)
		r.addUpstreams(60)
		r.balancer.shedding.objectiveUse = 0.2
		for i := range priorityWindow { // half of the recent arrivals have the higher priority
			r.balancer.shedding.recentPriorities[i] = float64(1 + i%2*2)
		}
		r.balancer.shedding.priorityCount = priorityWindow
		for range c.answers {
			r.balancer.shedding.objectiveUse += objectiveUseWeight * (c.answerTime - r.balancer.shedding.objectiveUse)
			r.balancer.shedding.objectiveUseAt = r.now
		}
		for i := range 5 { // five times as many requests wait as is usual at ten requests a second
			r.balancer.setWaiting(&request{id: fmt.Sprint(i), timing: requestTiming{startedAt: r.now - 60*ms, objectiveAt: r.now + 140*ms}}, true)
		}
		const requests = 200
		rejected := map[string]int{}
		for i := range 2 * requests {
			class := s.Classes[i%2].Name
			id := fmt.Sprint(class, i)
			if len(finalAnswers(r.request(id, class, time.Second))) > 0 {
				rejected[class]++
			} else {
				r.handle(ClientDisconnected{ID: id})
			}
			r.balancer.shedding.objectiveUseAt = r.now
		}
		if share := float64(rejected["c"]) / requests; share < c.minRejected || share > c.maxRejected || float64(rejected["high"]) > c.maxHighRejected*requests {
			t.Errorf("%s: wrong number of rejections: share %.2f of the low-priority requests, and %d of %d high-priority ones",
				c.name, share, rejected["high"], requests)
		}
	}
}
