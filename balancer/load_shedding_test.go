package balancer

import (
	"fmt"
	"testing"
	"time"
)

// While every answer is late, most requests are rejected early, also beside a slow upstream. Load shedding
// ends with its cause.
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
		t.Errorf("%d rejected without load", w.finalAnswers[Reject])
	}
	latency = 250 * ms
	w.run(2*time.Second, 200)
	sent, n := w.attempts(), w.requests
	w.run(3*time.Second, 200)
	if got := w.attempts() - sent; got > (w.requests-n)*3/10 {
		t.Errorf("%d attempts for %d requests that cannot be served", got, w.requests-n)
	}
	latency = 20 * ms
	w.run(3*time.Second, 200)
	ok, n := w.succeeded, w.requests
	w.run(3*time.Second, 200)
	if got := w.succeeded - ok; float64(got) < 0.95*float64(w.requests-n) {
		t.Errorf("%d of %d served after the overload", got, w.requests-n)
	}
	if !w.logged("shedding begins") || !w.logged("shedding ended") {
		t.Errorf("log %q", w.logs)
	}
}

func TestLowestPriorityIsRejectedFirst(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
		{Name: "important", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 9}}
	r := newHarness(t, s)
	r.addUpstreams(4)
	rejected := map[string]int{}
	var open []string // answered in order, each 155 ms after it came: a little more than may wait
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
		t.Errorf("rejected %v", rejected)
	}
}

// The part of a tenant's requests that is beyond its quota has a lower priority.
func TestOverQuotaLowersPriority(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "big", Quota: 0.5}, {Name: "small", Quota: 0.5}}
	s.OverQuotaWeight = 0.1
	r := newHarness(t, s)
	low := map[int]int{}
	for i := range 1000 {
		r.balancer.now += ms
		q := &request{class: r.balancer.classes["c"], cost: 1, tenantIndex: min(i%10/9, 1)} // nine of ten are the first's
		if r.balancer.priority(q) < 1 {
			low[q.tenantIndex]++
		}
	}
	if low[1] != 0 || low[0] < 300 || low[0] > 500 { // (0.9-0.5)/0.9 of 900
		t.Errorf("counted low: %v", low)
	}
}

// The sums over waiting requests stay exact in a process that runs for long.
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
		t.Errorf("waiting %d, %v, %v", b.waiting.count, b.waiting.startSum, b.waiting.requiredRate)
	}
}

// Late answers of upstreams that go on answering lower the queueing limit to its minimum, and answers in
// time raise it again. What waits at a hung upstream does not lower it.
func TestQueueingLimitFollowsLateAnswers(t *testing.T) {
	n, overloaded := 0, true
	s := testSettings()
	s.HedgingAllowed = false
	reply := func(string) (Result, time.Duration) {
		if n++; overloaded && n%2 == 0 {
			return OK, 230 * ms
		}
		return OK, 90 * ms
	}
	w := newScriptedFleet(t, s, reply)
	w.addUpstreams(4)
	w.run(5*time.Second, 400)
	if w.balancer.shedding.queueingLimit > queueingLimitMin*1.2 {
		t.Errorf("limit %.2f with half of all answers late", w.balancer.shedding.queueingLimit)
	}
	overloaded = false
	w.run(10*time.Second, 100)
	if w.balancer.shedding.queueingLimit < queueingLimitMax {
		t.Errorf("limit %.2f long after", w.balancer.shedding.queueingLimit)
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
		t.Errorf("%d rejected; limit %.2f with upstreams hung, not overloaded", w.finalAnswers[Reject], w.balancer.shedding.queueingLimit)
	}
}

// Load pressure rises with the age of the waiting requests: a burst after a lull is admitted, more than can
// be served is not.
func TestLoadPressureRisesWithAge(t *testing.T) {
	for _, c := range []struct {
		name              string
		waiting, answered int
		age               time.Duration
		over              bool
	}{
		{name: "burst", waiting: 100, answered: 400, age: 10 * ms},
		{name: "too many, older", waiting: 100, answered: 400, age: 35 * ms, over: true},
		{name: "too many, old", waiting: 100, answered: 400, age: 100 * ms, over: true},
		{name: "few enough", waiting: 20, answered: 400, age: 35 * ms},
		{name: "burst after a lull", waiting: 20, answered: 1, age: 15 * ms},
		{name: "no answers", waiting: 20, answered: 0, age: 150 * ms, over: true},
	} {
		r := newHarness(t, testSettings())
		r.addUpstreams(4)
		for i := range c.answered { // over 2 s
			r.balancer.servedRate.add(1, r.now+2*time.Second*time.Duration(i)/time.Duration(c.answered))
		}
		r.now += 2 * time.Second
		r.handle(TimerFired{})
		for range c.waiting {
			r.balancer.setWaiting(&request{timing: requestTiming{startedAt: r.now, objectiveAt: r.now + 200*ms}}, true)
		}
		r.now += c.age
		r.handle(TimerFired{})
		if p := r.balancer.loadPressure(); p > 1 != c.over {
			t.Errorf("%s: %d waiting for %v, %d answered: pressure %.2f", c.name, c.waiting, c.age, c.answered, p)
		}
	}
}

// Two or three waiting requests are no overload, however few answers there have been.
func TestFewWaitingRequestsAreNoOverload(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(10)
	for i := range 60 { // three at once every second, each answered in half its objective
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
		t.Errorf("log %q", r.logs)
	}
}

// A sidecar that never has more than one request waiting sheds load while attempts take their latency
// objective or longer, and admits again soon after.
func TestLowTrafficSidecarShedsInOverload(t *testing.T) {
	latency := 240 * ms
	w := newScriptedFleet(t, testSettings(), func(string) (Result, time.Duration) { return OK, latency })
	w.addUpstreams(10)
	w.run(20*time.Second, 3)
	if w.finalAnswers[Reject] < 20 {
		t.Errorf("%d of %d rejected while all took longer than their objective", w.finalAnswers[Reject], w.requests)
	}
	latency = 20 * ms
	w.run(10*time.Second, 3)
	rejected := w.finalAnswers[Reject]
	w.run(10*time.Second, 3)
	if w.finalAnswers[Reject] != rejected {
		t.Error("still shedding long after")
	}
}

// A rejected client is advised to stay away as long as possible. Where that ends before its deadline and a
// late answer has a value, it is advised to be back in time.
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
		r.balancer.shedding.objectiveUse, r.balancer.shedding.objectiveUseAt = 10, r.now // half is rejected
		var acts []Action
		for i := 0; i < 40 && len(finalAnswers(acts)) == 0; i++ {
			acts = r.request(fmt.Sprint(i), "c", time.Second)
		}
		r.wantFinal(acts, Reject)
		if got := finalAnswers(acts)[0].RetryAfter; got != c.want {
			t.Errorf("%s: advised %v, want %v", c.name, got, c.want)
		}
	}
}

// With few waiting requests, a burst or a few late answers reject nothing. A lasting overload rejects the
// lowest priority first, in proportion, and never all requests.
func TestLowTrafficSidecarShedsInProportion(t *testing.T) {
	for _, c := range []struct {
		name        string
		use         float64 // share of their objective that answers take
		answers     int
		least, most float64 // share of the lowest priority that is rejected
		better      float64 // most of the higher priority
	}{
		{"a burst", 0.3, 100, 0, 0, 0},
		{"a few late answers", 0.95, 4, 0, 0.02, 0},
		{"slightly overloaded", 0.4, 200, 0.2, 0.6, 0.02},
		{"overloaded", 1.5, 200, 0.98, 1, 0.7},
	} {
		s := testSettings()
		s.FleetSize = 80
		s.Classes = append(s.Classes, Class{Name: "better", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 3})
		r := newHarness(t, s)
		r.addUpstreams(60)
		r.balancer.shedding.objectiveUse = 0.2
		for i := range priorityWindow { // half has the higher priority
			r.balancer.shedding.recentPriorities[i] = float64(1 + i%2*2)
		}
		r.balancer.shedding.priorityCount = priorityWindow
		for range c.answers {
			r.balancer.shedding.objectiveUse += objectiveUseWeight * (c.use - r.balancer.shedding.objectiveUse)
			r.balancer.shedding.objectiveUseAt = r.now
		}
		for i := range 5 { // waiting, five times what is usual at ten a second
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
		if share := float64(rejected["c"]) / requests; share < c.least || share > c.most || float64(rejected["better"]) > c.better*requests {
			t.Errorf("%s: %.2f of the lowest priority rejected, %d of %d of the higher", c.name, share, rejected["better"], requests)
		}
	}
}
