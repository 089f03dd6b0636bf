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
		t.Errorf("%d refused in calm", w.finalAnswers[Reject])
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
		{Name: "dear", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 9}}
	r := newHarness(t, s)
	r.addUpstreams(4)
	refused := map[string]int{}
	var open []string // answered in order, each 155 ms after it came: a little more than may wait
	for i := range 600 {
		id, class := fmt.Sprint(i), []string{"c", "dear"}[i%2]
		if len(ofKind(r.request(id, class, time.Second), Send)) == 0 {
			refused[class]++
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
	if refused["c"] < 10 || refused["dear"] > refused["c"]/2 {
		t.Errorf("refused %v", refused)
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
		t.Errorf("in hand %d, %v, %v", b.waiting.count, b.waiting.startSum, b.waiting.requiredRate)
	}
}

// Late answers of upstreams that go on answering lower the queueing limit to its minimum, and answers in
// time raise it again. What waits at a hung upstream does not lower it.
func TestQueueingLimitFollowsLateAnswers(t *testing.T) {
	n, crowded := 0, true
	s := testSettings()
	s.HedgingAllowed = false
	reply := func(string) (Result, time.Duration) {
		if n++; crowded && n%2 == 0 {
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
	crowded = false
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
		t.Errorf("%d refused; limit %.2f with upstreams hung, not crowded", w.finalAnswers[Reject], w.balancer.shedding.queueingLimit)
	}
}

// Load pressure rises with the age of the waiting requests: a burst after a lull is admitted, more than can
// be served is not.
func TestLoadPressureRisesWithAge(t *testing.T) {
	for _, c := range []struct {
		n, answered int
		age         time.Duration
		over        bool
	}{
		{n: 100, answered: 400, age: 10 * ms},
		{n: 100, answered: 400, age: 35 * ms, over: true},
		{n: 100, answered: 400, age: 100 * ms, over: true},
		{n: 20, answered: 400, age: 35 * ms},
		{n: 20, answered: 1, age: 15 * ms}, // a lull
		{n: 20, answered: 0, age: 150 * ms, over: true},
	} {
		r := newHarness(t, testSettings())
		r.addUpstreams(4)
		for i := range c.answered { // over 2 s
			r.balancer.servedRate.add(1, r.now+2*time.Second*time.Duration(i)/time.Duration(c.answered))
		}
		r.now += 2 * time.Second
		r.handle(TimerFired{})
		for range c.n {
			r.balancer.setWaiting(&request{timing: requestTiming{startedAt: r.now, objectiveAt: r.now + 200*ms}}, true)
		}
		r.now += c.age
		r.handle(TimerFired{})
		if p := r.balancer.loadPressure(); p > 1 != c.over {
			t.Errorf("%d in hand for %v, %d answered: pressure %.2f", c.n, c.age, c.answered, p)
		}
	}
}

// Two or three waiting requests are no overload, however few answers there have been.
func TestFewWaitingRequestsAreNoOverload(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(10)
	for i := range 60 { // three at once every second, each answered in half its aim
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
		t.Errorf("%d of %d refused while all took longer than their aim", w.finalAnswers[Reject], w.requests)
	}
	latency = 20 * ms
	w.run(10*time.Second, 3)
	refused := w.finalAnswers[Reject]
	w.run(10*time.Second, 3)
	if w.finalAnswers[Reject] != refused {
		t.Error("still shedding long after")
	}
}

// A rejected client is advised to stay away as long as possible. Where that ends before its deadline and a
// late answer has a value, it is advised to be back in time.
func TestRetryAfterOfRejection(t *testing.T) {
	for _, c := range []struct {
		longest   time.Duration
		lateShare float64
		want      time.Duration
	}{{time.Second, 0.5, time.Second}, {800 * ms, 0, 800 * ms}, {800 * ms, 0.5, 100 * ms}, {50 * ms, 0.5, 50 * ms}} {
		s := testSettings() // aim 200 ms, deadline 1 s
		s.MaxRetryAfter, s.Classes[0].LateValueFraction = c.longest, c.lateShare
		r := newHarness(t, s)
		r.addUpstreams(4)
		r.balancer.shedding.objectiveUse, r.balancer.shedding.objectiveUseAt = 10, r.now // half is refused
		var acts []Action
		for i := 0; i < 40 && len(finalAnswers(acts)) == 0; i++ {
			acts = r.request(fmt.Sprint(i), "c", time.Second)
		}
		r.wantFinal(acts, Reject)
		if got := finalAnswers(acts)[0].RetryAfter; got != c.want {
			t.Errorf("%+v: advised %v", c, got)
		}
	}
}

// With few waiting requests, a burst or a few late answers reject nothing. A lasting overload rejects the
// lowest priority first, in proportion, and never all requests.
func TestLowTrafficSidecarShedsInProportion(t *testing.T) {
	for _, c := range []struct {
		name        string
		took        float64 // share of their aim that answers take
		answers     int
		least, most float64 // share of what is worth least that is refused
		better      float64 // most of what is worth more
	}{{"a burst", 0.3, 100, 0, 0, 0}, {"a few long ones", 0.95, 4, 0, 0.02, 0}, {"crowded a little", 0.4, 200, 0.2, 0.6, 0.02},
		{"crowded", 1.5, 200, 0.98, 1, 0.7}} {
		s := testSettings()
		s.FleetSize = 80
		s.Classes = append(s.Classes, Class{Name: "better", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 3})
		r := newHarness(t, s)
		r.addUpstreams(60)
		r.balancer.shedding.objectiveUse = 0.2
		for i := range priorityWindow { // half is worth more
			r.balancer.shedding.recentPriorities[i] = float64(1 + i%2*2)
		}
		r.balancer.shedding.priorityCount = priorityWindow
		for range c.answers {
			r.balancer.shedding.objectiveUse += objectiveUseWeight * (c.took - r.balancer.shedding.objectiveUse)
			r.balancer.shedding.objectiveUseAt = r.now
		}
		for i := range 5 { // in hand, five times what is usual at ten a second
			r.balancer.setWaiting(&request{id: fmt.Sprint(i), timing: requestTiming{startedAt: r.now - 60*ms, objectiveAt: r.now + 140*ms}}, true)
		}
		const asked = 200
		refused := map[string]int{}
		for i := range 2 * asked {
			class := s.Classes[i%2].Name
			id := fmt.Sprint(class, i)
			if len(finalAnswers(r.request(id, class, time.Second))) > 0 {
				refused[class]++
			} else {
				r.handle(ClientDisconnected{ID: id})
			}
			r.balancer.shedding.objectiveUseAt = r.now
		}
		if share := float64(refused["c"]) / asked; share < c.least || share > c.most || float64(refused["better"]) > c.better*asked {
			t.Errorf("%s: %.2f of those worth least refused, %d of %d better ones", c.name, share, refused["better"], asked)
		}
	}
}
