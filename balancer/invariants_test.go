package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// observedAttempt is what ruleChecker knows of an attempt. It is built from actions and events alone, independently of
// the state of the Balancer.
type observedAttempt struct {
	upstream, zone       string
	cell                 int
	sentAt, endsBy       time.Duration
	inFlight, mayHaveRun bool
}

// observedRequest is what ruleChecker knows of a request.
type observedRequest struct {
	notSent      int // attempts that ended as NotSent
	class        Class
	deadline     time.Duration
	attempts     []*observedAttempt
	answers      int
	answered     bool // an Outcome or the Balancer gave the final answer
	disconnected bool
}

// ruleChecker delivers random events that a driver may send, and checks the invariants of doc.go on the actions.
type ruleChecker struct {
	t        *testing.T
	settings Settings
	now      time.Duration
	requests map[string]*observedRequest
	order    []string
	active   map[string]Endpoint
	timers   []time.Duration
}

func (checker *ruleChecker) checkAction(a Action) {
	checker.t.Helper()
	request := checker.requests[a.ID]
	if request == nil && a.Kind <= Fail {
		checker.t.Fatalf("action for unknown request: %+v", a)
	}
	switch a.Kind {
	case Send:
		checker.checkSend(a, request)
	case Cancel:
		if !checker.settings.CancellationAllowed {
			checker.t.Fatal("an attempt was cancelled although cancellation is not allowed")
		}
		if a.Attempt < 0 || a.Attempt >= len(request.attempts) {
			checker.t.Fatalf("attempt %d was cancelled but never sent", a.Attempt)
		}
	case Reject, Fail:
		if a.Kind == Reject && !(request.class.Idempotency == Idempotent || request.class.Idempotency == IdempotentWithKey && request.class.DedupScope == ScopeAll) &&
			slices.ContainsFunc(request.attempts, func(attempt *observedAttempt) bool { return attempt.mayHaveRun }) {
			checker.t.Fatalf("request %s may have run and must not run again, but ended with Reject", a.ID)
		}
		if request.answered {
			checker.t.Fatalf("request %s got a second final answer", a.ID)
		}
		request.answers, request.answered = request.answers+1, true
	case SetTimer:
		checker.timers = append(checker.timers, a.FireAt)
	}
}

func (checker *ruleChecker) checkSend(a Action, request *observedRequest) {
	checker.t.Helper()
	endpoint, listed := checker.active[a.Upstream]
	switch {
	case request.answered:
		checker.t.Fatalf("request %s: attempt after its final answer", a.ID)
	case checker.now >= request.deadline:
		checker.t.Fatalf("request %s: attempt after its deadline", a.ID)
	case !listed:
		checker.t.Fatalf("request %s: attempt to upstream %s, which is draining or removed", a.ID, a.Upstream)
	case len(request.attempts)-min(request.notSent, checker.settings.MaxAttempts) >= checker.settings.MaxAttempts:
		checker.t.Fatalf("request %s: attempt %d with MaxAttempts of %d, %d of the earlier ones not sent",
			a.ID, len(request.attempts)+1, checker.settings.MaxAttempts, request.notSent)
	}
	for _, attempt := range request.attempts {
		if attempt.inFlight && !checker.settings.HedgingAllowed {
			checker.t.Fatalf("request %s: two attempts in flight although hedging is not allowed", a.ID)
		}
		if !attempt.mayHaveRun {
			continue
		}
		c := request.class
		if c.Idempotency == NonIdempotent {
			checker.t.Fatalf("request %s is non-idempotent and may have run, but was sent again", a.ID)
		}
		if c.Idempotency == IdempotentWithKey && (checker.now-attempt.sentAt > c.DedupWindow || c.DedupScope == ScopeZone && attempt.zone != endpoint.Zone ||
			c.DedupScope == ScopeCell && attempt.cell != endpoint.Cell) {
			checker.t.Fatalf("request %s has an idempotency key and may have run, but was sent outside its deduplication scope or window",
				a.ID)
		}
	}
	limit := request.deadline
	if a.Timeout != 0 {
		limit = min(limit, checker.now+a.Timeout)
	}
	request.attempts = append(request.attempts, &observedAttempt{a.Upstream, endpoint.Zone, endpoint.Cell, checker.now, limit, true, true})
}

func randomSettings(random *rand.Rand) Settings {
	s := testSettings()
	s.HedgingAllowed, s.CancellationAllowed, s.RetryAfterAllowed = random.IntN(2) == 0, random.IntN(2) == 0, random.IntN(2) == 0
	s.MustSubscribe = random.IntN(2) == 0
	s.MaxAttempts = 1 + random.IntN(5)
	s.CrossZonePrice = []float64{0, 0.01, 0.2}[random.IntN(3)]
	s.OverloadMultiple = float64(random.IntN(4))
	s.Tenants = []Tenant{{Name: "t", Quota: 0.5}, {Name: "v", Quota: 0.5}}[:random.IntN(3)]
	s.Classes = nil
	for idempotency := Idempotent; idempotency <= NonIdempotent; idempotency++ {
		for scope := ScopeAll; scope <= ScopeCell; scope++ {
			objective := time.Duration(50+random.IntN(400)) * ms
			s.Classes = append(s.Classes, Class{Name: fmt.Sprint(idempotency, scope), LatencyObjective: objective, Deadline: objective * 2, Idempotency: idempotency,
				DedupScope: scope, DedupWindow: time.Duration(20+random.IntN(800)) * ms, LateValueFraction: float64(random.IntN(2)) / 2,
				PriorityWeight: float64(1 + random.IntN(9)), ObjectiveStretch: float64(random.IntN(2)), Streaming: random.IntN(4) == 0})
		}
	}
	return s
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 7))
		s := randomSettings(random)
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		checker := &ruleChecker{t: t, settings: s, now: time.Hour, requests: map[string]*observedRequest{}, active: map[string]Endpoint{}}
		deliver := func(e Event) {
			for _, a := range b.Handle(checker.now, e, nil) {
				checker.checkAction(a)
			}
		}
		playRandomEvents(checker, random, deliver, 1200)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: %d requests still stored after all have ended", seed, n)
		}
	}
}

// playRandomEvents plays random events for a number of ticks, then more ticks until all requests have
// ended.
func playRandomEvents(checker *ruleChecker, random *rand.Rand, deliver func(Event), ticks int) {
	deliver(EndpointUpdate{Kind: CachedUpdate})
	for i := range ticks + 1000 {
		checker.now += checker.settings.Tick + time.Duration(random.IntN(2000))*time.Microsecond
		if i < ticks {
			checker.deliverRandomUpdate(random, deliver)
			for range random.IntN(4) {
				checker.deliverRandomRequest(random, deliver, i)
			}
			checker.deliverIrrelevantEvents(random, deliver)
		}
		checker.fireDueTimers(deliver)
		checker.deliverOutcomes(random, deliver)
	}
	for id, request := range checker.requests {
		if !request.answered {
			checker.t.Fatalf("request %s was never answered", id)
		}
	}
}

func (checker *ruleChecker) deliverRandomUpdate(random *rand.Rand, deliver func(Event)) {
	if random.IntN(20) > 0 {
		return
	}
	if random.IntN(6) == 0 {
		deliver(EndpointUpdate{Kind: UpdateFailed})
		return
	}
	var endpoints []Endpoint
	kind := IncrementalUpdate
	if random.IntN(5) == 0 {
		kind = FullUpdate
		clear(checker.active)
	}
	for range random.IntN(8) {
		n := random.IntN(10)
		endpoint := Endpoint{Name: fmt.Sprint("u", n), Zone: []string{"a", "b"}[n%2], Cell: n % 4, State: EndpointState(random.IntN(3))}
		if random.IntN(2) == 0 {
			endpoint.State = Active
		}
		if random.IntN(3) == 0 {
			endpoint.StartedAt = checker.now - time.Duration(random.IntN(12000))*ms
		}
		delete(checker.active, endpoint.Name)
		if endpoint.State == Active {
			checker.active[endpoint.Name] = endpoint
		}
		endpoints = append(endpoints, endpoint)
	}
	deliver(EndpointUpdate{Kind: kind, Endpoints: endpoints})
}

func (checker *ruleChecker) deliverRandomRequest(random *rand.Rand, deliver func(Event), tick int) {
	c := checker.settings.Classes[random.IntN(len(checker.settings.Classes))]
	id := fmt.Sprint(tick, "-", random.Uint32())
	request := &observedRequest{class: c, deadline: checker.now + time.Duration(1+random.IntN(int(c.Deadline/ms)))*ms}
	checker.requests[id], checker.order = request, append(checker.order, id)
	deliver(Request{ID: id, Class: c.Name, Tenant: []string{"t", "v", "?"}[random.IntN(3)], Deadline: request.deadline,
		CostHint: time.Duration(random.IntN(3)*random.IntN(100)) * ms})
	if random.IntN(50) == 0 && !request.answered {
		request.answered, request.disconnected = true, true
		deliver(ClientDisconnected{ID: id})
	}
}

// deliverIrrelevantEvents delivers events that must not lead to a violation: reports on unknown requests
// and attempts, timers that are not due, load probes and messages.
func (checker *ruleChecker) deliverIrrelevantEvents(random *rand.Rand, deliver func(Event)) {
	switch random.IntN(12) {
	case 0:
		deliver(Outcome{ID: "nobody", Result: OK, Final: true})
	case 1:
		if n := len(checker.order); n > 0 {
			id := checker.order[random.IntN(n)]
			deliver(Outcome{ID: id, Attempt: len(checker.requests[id].attempts) + random.IntN(3) - 1 + 1, Result: OK, Final: true})
		}
	case 2:
		deliver(TimerFired{})
	case 3:
		deliver(ClientDisconnected{ID: "nobody"})
		deliver(FirstByte{ID: "nobody"})
		deliver(ProbeResult{Upstream: "u0"})
		deliver(PeerMessage{Message: "hi"})
	}
}

func (checker *ruleChecker) fireDueTimers(deliver func(Event)) {
	due := 0
	checker.timers = slices.DeleteFunc(checker.timers, func(at time.Duration) bool {
		if at <= checker.now {
			due++
		}
		return at <= checker.now
	})
	for range due {
		deliver(TimerFired{})
	}
}

func (checker *ruleChecker) deliverOutcomes(random *rand.Rand, deliver func(Event)) {
	for _, id := range checker.order {
		request := checker.requests[id]
		for number := 0; number < len(request.attempts); number++ {
			attempt := request.attempts[number]
			if !attempt.inFlight || checker.now < attempt.endsBy && random.IntN(12) > 0 {
				continue
			}
			result := Result(random.IntN(int(NotSent) + 1))
			if checker.now >= attempt.endsBy {
				result = Timeout
			}
			attempt.inFlight = false
			attempt.mayHaveRun = result != Rejected && result != ConnectFailed && result != NotSent
			if result == NotSent {
				request.notSent++
			}
			if result == OK {
				request.answered = true
			}
			outcome := Outcome{ID: id, Attempt: number, Result: result, Elapsed: checker.now - attempt.sentAt, Final: request.answered}
			deliver(outcome)
			if random.IntN(10) == 0 {
				deliver(outcome) // a duplicate report
			}
		}
		if !request.answered && checker.now > request.deadline+20*ms {
			checker.t.Fatalf("request %s has no answer %v after its deadline", id, checker.now-request.deadline)
		}
	}
	checker.order = slices.DeleteFunc(checker.order, func(id string) bool {
		request := checker.requests[id]
		return request.answered && !slices.ContainsFunc(request.attempts, func(attempt *observedAttempt) bool { return attempt.inFlight })
	})
}
