package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The four rules, checked on the stream of actions under random legal events. This knows nothing of the
// module.

type sent struct {
	upstream, zone string
	cell           int
	at, limit      time.Duration
	out, mayRun    bool
}

type owed struct {
	moot     int // of attempts: never sent
	class    Class
	expires  time.Duration
	attempts []*sent
	answers  int
	ended    bool // an end was reported or given
	gone     bool
}

type referee struct {
	t      *testing.T
	s      Settings
	now    time.Duration
	reqs   map[string]*owed
	order  []string
	active map[string]Endpoint
	timers []time.Duration
}

func (f *referee) action(a Action) {
	f.t.Helper()
	q := f.reqs[a.ID]
	if q == nil && a.Kind <= Fail {
		f.t.Fatalf("action for unknown request: %+v", a)
	}
	switch a.Kind {
	case Send:
		f.send(a, q)
	case Cancel:
		if !f.s.CancellationAllowed {
			f.t.Fatal("cancel is not allowed")
		}
		if a.Attempt < 0 || a.Attempt >= len(q.attempts) {
			f.t.Fatalf("cancel of attempt %d, never made", a.Attempt)
		}
	case Reject, Fail:
		if a.Kind == Reject && !(q.class.Idempotency == Idempotent || q.class.Idempotency == IdempotentWithKey && q.class.DedupScope == ScopeAll) &&
			slices.ContainsFunc(q.attempts, func(x *sent) bool { return x.mayRun }) {
			f.t.Fatalf("refused %s, which may have run", a.ID)
		}
		if q.ended {
			f.t.Fatalf("second answer to %s", a.ID)
		}
		q.answers, q.ended = q.answers+1, true
	case SetTimer:
		f.timers = append(f.timers, a.FireAt)
	}
}

func (f *referee) send(a Action, q *owed) {
	f.t.Helper()
	m, listed := f.active[a.Upstream]
	switch {
	case q.ended:
		f.t.Fatalf("%s: attempt after its end", a.ID)
	case f.now >= q.expires:
		f.t.Fatalf("%s: attempt after its time", a.ID)
	case !listed:
		f.t.Fatalf("%s: attempt to %s, which drains or is gone", a.ID, a.Upstream)
	case len(q.attempts)-min(q.moot, f.s.MaxAttempts) >= f.s.MaxAttempts:
		f.t.Fatalf("%s: attempt %d of %d, %d of them moot", a.ID, len(q.attempts)+1, f.s.MaxAttempts, q.moot)
	}
	for _, x := range q.attempts {
		if x.out && !f.s.HedgingAllowed {
			f.t.Fatalf("%s: two attempts out", a.ID)
		}
		if !x.mayRun {
			continue
		}
		c := q.class
		if c.Idempotency == NonIdempotent {
			f.t.Fatalf("%s: unsafe, and sent again", a.ID)
		}
		if c.Idempotency == IdempotentWithKey && (f.now-x.at > c.DedupWindow || c.DedupScope == ScopeZone && x.zone != m.Zone ||
			c.DedupScope == ScopeCell && x.cell != m.Cell) {
			f.t.Fatalf("%s: keyed, and sent outside its group or window", a.ID)
		}
	}
	limit := q.expires
	if a.Timeout != 0 {
		limit = min(limit, f.now+a.Timeout)
	}
	q.attempts = append(q.attempts, &sent{a.Upstream, m.Zone, m.Cell, f.now, limit, true, true})
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
			aim := time.Duration(50+g.IntN(400)) * ms
			s.Classes = append(s.Classes, Class{Name: fmt.Sprint(e, group), LatencyObjective: aim, Deadline: aim * 2, Idempotency: e,
				DedupScope: group, DedupWindow: time.Duration(20+g.IntN(800)) * ms, LateValueFraction: float64(g.IntN(2)) / 2,
				PriorityWeight: float64(1 + g.IntN(9)), ObjectiveStretch: float64(g.IntN(2)), Streaming: g.IntN(4) == 0})
		}
	}
	return s
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		g := rand.New(rand.NewPCG(seed, 7))
		s := randomSettings(g)
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		f := &referee{t: t, s: s, now: time.Hour, reqs: map[string]*owed{}, active: map[string]Endpoint{}}
		deal := func(e Event) {
			for _, a := range b.Handle(f.now, e, nil) {
				f.action(a)
			}
		}
		run(f, g, deal, 1200)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: %d requests kept after all have ended", seed, n)
		}
	}
}

// run plays ticks with random events, then lets all that is open end.
func run(f *referee, g *rand.Rand, deal func(Event), ticks int) {
	deal(EndpointUpdate{Kind: CachedUpdate})
	for i := range ticks + 1000 {
		f.now += f.s.Tick + time.Duration(g.IntN(2000))*time.Microsecond
		if i < ticks {
			f.randomList(g, deal)
			for range g.IntN(4) {
				f.randomRequest(g, deal, i)
			}
			f.noise(g, deal)
		}
		f.timersDue(deal)
		f.outcomes(g, deal)
	}
	for id, q := range f.reqs {
		if !q.ended {
			f.t.Fatalf("%s never answered", id)
		}
	}
}

func (f *referee) randomList(g *rand.Rand, deal func(Event)) {
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

func (f *referee) randomRequest(g *rand.Rand, deal func(Event), i int) {
	c := f.s.Classes[g.IntN(len(f.s.Classes))]
	id := fmt.Sprint(i, "-", g.Uint32())
	q := &owed{class: c, expires: f.now + time.Duration(1+g.IntN(int(c.Deadline/ms)))*ms}
	f.reqs[id], f.order = q, append(f.order, id)
	deal(Request{ID: id, Class: c.Name, Tenant: []string{"t", "v", "?"}[g.IntN(3)], Deadline: q.expires,
		CostHint: time.Duration(g.IntN(3)*g.IntN(100)) * ms})
	if g.IntN(50) == 0 && !q.ended {
		q.ended, q.gone = true, true
		deal(ClientDisconnected{ID: id})
	}
}

// noise is what must change nothing: strangers, repeats, stale timers, messages.
func (f *referee) noise(g *rand.Rand, deal func(Event)) {
	switch g.IntN(12) {
	case 0:
		deal(Outcome{ID: "nobody", Result: OK, Final: true})
	case 1:
		if n := len(f.order); n > 0 {
			id := f.order[g.IntN(n)]
			deal(Outcome{ID: id, Attempt: len(f.reqs[id].attempts) + g.IntN(3) - 1 + 1, Result: OK, Final: true})
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

func (f *referee) timersDue(deal func(Event)) {
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

func (f *referee) outcomes(g *rand.Rand, deal func(Event)) {
	for _, id := range f.order {
		q := f.reqs[id]
		for n := 0; n < len(q.attempts); n++ {
			x := q.attempts[n]
			if !x.out || f.now < x.limit && g.IntN(12) > 0 {
				continue
			}
			res := Result(g.IntN(int(NotSent) + 1))
			if f.now >= x.limit {
				res = Timeout
			}
			x.out = false
			x.mayRun = res != Rejected && res != ConnectFailed && res != NotSent
			if res == NotSent {
				q.moot++
			}
			if res == OK {
				q.ended = true
			}
			e := Outcome{ID: id, Attempt: n, Result: res, Elapsed: f.now - x.at, Final: q.ended}
			deal(e)
			if g.IntN(10) == 0 {
				deal(e) // the same again
			}
		}
		if !q.ended && f.now > q.expires+20*ms {
			f.t.Fatalf("%s: no answer %v after its time", id, f.now-q.expires)
		}
	}
	f.order = slices.DeleteFunc(f.order, func(id string) bool {
		q := f.reqs[id]
		return q.ended && !slices.ContainsFunc(q.attempts, func(x *sent) bool { return x.out })
	})
}
