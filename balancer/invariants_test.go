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
	answered     bool // by an Outcome or by the Balancer
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

func (f *ruleChecker) checkAction(a Action) {
	f.t.Helper()
	q := f.requests[a.ID]
	if q == nil && a.Kind <= Fail {
		f.t.Fatalf("action for unknown request: %+v", a)
	}
	switch a.Kind {
	case Send:
		f.checkSend(a, q)
	case Cancel:
		if !f.settings.CancellationAllowed {
			f.t.Fatal("cancellation is not allowed")
		}
		if a.Attempt < 0 || a.Attempt >= len(q.attempts) {
			f.t.Fatalf("cancel of attempt %d, never made", a.Attempt)
		}
	case Reject, Fail:
		if a.Kind == Reject && !(q.class.Idempotency == Idempotent || q.class.Idempotency == IdempotentWithKey && q.class.DedupScope == ScopeAll) &&
			slices.ContainsFunc(q.attempts, func(x *observedAttempt) bool { return x.mayHaveRun }) {
			f.t.Fatalf("rejected %s, which may have run", a.ID)
		}
		if q.answered {
			f.t.Fatalf("second answer to %s", a.ID)
		}
		q.answers, q.answered = q.answers+1, true
	case SetTimer:
		f.timers = append(f.timers, a.FireAt)
	}
}

func (f *ruleChecker) checkSend(a Action, q *observedRequest) {
	f.t.Helper()
	m, listed := f.active[a.Upstream]
	switch {
	case q.answered:
		f.t.Fatalf("%s: attempt after its end", a.ID)
	case f.now >= q.deadline:
		f.t.Fatalf("%s: attempt after its time", a.ID)
	case !listed:
		f.t.Fatalf("%s: attempt to %s, which is draining or removed", a.ID, a.Upstream)
	case len(q.attempts)-min(q.notSent, f.settings.MaxAttempts) >= f.settings.MaxAttempts:
		f.t.Fatalf("%s: attempt %d of %d, %d of them not sent", a.ID, len(q.attempts)+1, f.settings.MaxAttempts, q.notSent)
	}
	for _, x := range q.attempts {
		if x.inFlight && !f.settings.HedgingAllowed {
			f.t.Fatalf("%s: two attempts in flight", a.ID)
		}
		if !x.mayHaveRun {
			continue
		}
		c := q.class
		if c.Idempotency == NonIdempotent {
			f.t.Fatalf("%s: non-idempotent, and sent again", a.ID)
		}
		if c.Idempotency == IdempotentWithKey && (f.now-x.sentAt > c.DedupWindow || c.DedupScope == ScopeZone && x.zone != m.Zone ||
			c.DedupScope == ScopeCell && x.cell != m.Cell) {
			f.t.Fatalf("%s: with an idempotency key, and sent outside its scope or window", a.ID)
		}
	}
	limit := q.deadline
	if a.Timeout != 0 {
		limit = min(limit, f.now+a.Timeout)
	}
	q.attempts = append(q.attempts, &observedAttempt{a.Upstream, m.Zone, m.Cell, f.now, limit, true, true})
}

func randomSettings(g *rand.Rand) Settings {
	s := testSettings()
	s.HedgingAllowed, s.CancellationAllowed, s.RetryAfterAllowed = g.IntN(2) == 0, g.IntN(2) == 0, g.IntN(2) == 0
	s.MustSubscribe = g.IntN(2) == 0
	s.MaxAttempts = 1 + g.IntN(5)
	s.CrossZonePrice = []float64{0, 0.01, 0.2}[g.IntN(3)]
	s.OverloadMultiple = float64(g.IntN(4))
	s.Tenants = []Tenant{{Name: "t", Quota: 0.5}, {Name: "v", Quota: 0.5}}[:g.IntN(3)]
	s.Classes = nil
	for e := Idempotent; e <= NonIdempotent; e++ {
		for group := ScopeAll; group <= ScopeCell; group++ {
			objective := time.Duration(50+g.IntN(400)) * ms
			s.Classes = append(s.Classes, Class{Name: fmt.Sprint(e, group), LatencyObjective: objective, Deadline: objective * 2, Idempotency: e,
				DedupScope: group, DedupWindow: time.Duration(20+g.IntN(800)) * ms, LateValueFraction: float64(g.IntN(2)) / 2,
				PriorityWeight: float64(1 + g.IntN(9)), ObjectiveStretch: float64(g.IntN(2)), Streaming: g.IntN(4) == 0})
		}
	}
	return s
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		g := rand.New(rand.NewPCG(seed, 7))
		s := randomSettings(g)
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		f := &ruleChecker{t: t, settings: s, now: time.Hour, requests: map[string]*observedRequest{}, active: map[string]Endpoint{}}
		deal := func(e Event) {
			for _, a := range b.Handle(f.now, e, nil) {
				f.checkAction(a)
			}
		}
		playRandomEvents(f, g, deal, 1200)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: %d requests kept after all have ended", seed, n)
		}
	}
}

// playRandomEvents plays ticks with random events, then lets all that is open end.
func playRandomEvents(f *ruleChecker, g *rand.Rand, deal func(Event), ticks int) {
	deal(EndpointUpdate{Kind: CachedUpdate})
	for i := range ticks + 1000 {
		f.now += f.settings.Tick + time.Duration(g.IntN(2000))*time.Microsecond
		if i < ticks {
			f.deliverRandomUpdate(g, deal)
			for range g.IntN(4) {
				f.deliverRandomRequest(g, deal, i)
			}
			f.deliverNoise(g, deal)
		}
		f.fireDueTimers(deal)
		f.deliverOutcomes(g, deal)
	}
	for id, q := range f.requests {
		if !q.answered {
			f.t.Fatalf("%s never answered", id)
		}
	}
}

func (f *ruleChecker) deliverRandomUpdate(g *rand.Rand, deal func(Event)) {
	if g.IntN(20) > 0 {
		return
	}
	if g.IntN(6) == 0 {
		deal(EndpointUpdate{Kind: UpdateFailed})
		return
	}
	var entries []Endpoint
	kind := IncrementalUpdate
	if g.IntN(5) == 0 {
		kind = FullUpdate
		clear(f.active)
	}
	for range g.IntN(8) {
		n := g.IntN(10)
		m := Endpoint{Name: fmt.Sprint("u", n), Zone: []string{"a", "b"}[n%2], Cell: n % 4, State: EndpointState(g.IntN(3))}
		if g.IntN(2) == 0 {
			m.State = Active
		}
		if g.IntN(3) == 0 {
			m.StartedAt = f.now - time.Duration(g.IntN(12000))*ms
		}
		delete(f.active, m.Name)
		if m.State == Active {
			f.active[m.Name] = m
		}
		entries = append(entries, m)
	}
	deal(EndpointUpdate{Kind: kind, Endpoints: entries})
}

func (f *ruleChecker) deliverRandomRequest(g *rand.Rand, deal func(Event), i int) {
	c := f.settings.Classes[g.IntN(len(f.settings.Classes))]
	id := fmt.Sprint(i, "-", g.Uint32())
	q := &observedRequest{class: c, deadline: f.now + time.Duration(1+g.IntN(int(c.Deadline/ms)))*ms}
	f.requests[id], f.order = q, append(f.order, id)
	deal(Request{ID: id, Class: c.Name, Tenant: []string{"t", "v", "?"}[g.IntN(3)], Deadline: q.deadline,
		CostHint: time.Duration(g.IntN(3)*g.IntN(100)) * ms})
	if g.IntN(50) == 0 && !q.answered {
		q.answered, q.disconnected = true, true
		deal(ClientDisconnected{ID: id})
	}
}

// deliverNoise is what must change nothing: strangers, repeats, stale timers, messages.
func (f *ruleChecker) deliverNoise(g *rand.Rand, deal func(Event)) {
	switch g.IntN(12) {
	case 0:
		deal(Outcome{ID: "nobody", Result: OK, Final: true})
	case 1:
		if n := len(f.order); n > 0 {
			id := f.order[g.IntN(n)]
			deal(Outcome{ID: id, Attempt: len(f.requests[id].attempts) + g.IntN(3) - 1 + 1, Result: OK, Final: true})
		}
	case 2:
		deal(TimerFired{})
	case 3:
		deal(ClientDisconnected{ID: "nobody"})
		deal(FirstByte{ID: "nobody"})
		deal(ProbeResult{Upstream: "u0"})
		deal(PeerMessage{Message: "hi"})
	}
}

func (f *ruleChecker) fireDueTimers(deal func(Event)) {
	due := 0
	f.timers = slices.DeleteFunc(f.timers, func(at time.Duration) bool {
		if at <= f.now {
			due++
		}
		return at <= f.now
	})
	for range due {
		deal(TimerFired{})
	}
}

func (f *ruleChecker) deliverOutcomes(g *rand.Rand, deal func(Event)) {
	for _, id := range f.order {
		q := f.requests[id]
		for n := 0; n < len(q.attempts); n++ {
			x := q.attempts[n]
			if !x.inFlight || f.now < x.endsBy && g.IntN(12) > 0 {
				continue
			}
			res := Result(g.IntN(int(NotSent) + 1))
			if f.now >= x.endsBy {
				res = Timeout
			}
			x.inFlight = false
			x.mayHaveRun = res != Rejected && res != ConnectFailed && res != NotSent
			if res == NotSent {
				q.notSent++
			}
			if res == OK {
				q.answered = true
			}
			e := Outcome{ID: id, Attempt: n, Result: res, Elapsed: f.now - x.sentAt, Final: q.answered}
			deal(e)
			if g.IntN(10) == 0 {
				deal(e) // the same again
			}
		}
		if !q.answered && f.now > q.deadline+20*ms {
			f.t.Fatalf("%s: no answer %v after its time", id, f.now-q.deadline)
		}
	}
	f.order = slices.DeleteFunc(f.order, func(id string) bool {
		q := f.requests[id]
		return q.answered && !slices.ContainsFunc(q.attempts, func(x *observedAttempt) bool { return x.inFlight })
	})
}
