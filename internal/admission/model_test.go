package admission

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/balancer"
)

var testClasses = []balancer.Class{
	{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3},
	{Name: "pay", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 5},
}

// harness is a Door with everything that is known of its requests from outside.
type harness struct {
	queue      *Queue
	now        time.Duration
	state      map[Ticket]entryState
	bytes      map[Ticket]int64
	admittedAt map[Ticket]time.Duration
	admitted   []Ticket // that went on
	retryAfter map[Ticket]time.Duration
}

func newHarness(o Options) *harness {
	return &harness{queue: New(o, testClasses, 1), now: time.Hour, state: map[Ticket]entryState{}, bytes: map[Ticket]int64{},
		admittedAt: map[Ticket]time.Duration{}, retryAfter: map[Ticket]time.Duration{}}
}

// apply holds actions against what may be: each request goes on once or is refused once.
func (r *harness) apply(t Ticket, acts []Action) error {
	for _, x := range acts {
		if r.state[x.Ticket] != entryQueued {
			return fmt.Errorf("%v for ticket %x, which is %v", x.Kind, x.Ticket, r.state[x.Ticket])
		}
		if x.Kind == Reject {
			if x.RetryAfter < 0 || x.RetryAfter > r.queue.options.maxRetryAfter() {
				return fmt.Errorf("told to stay away for %v", x.RetryAfter)
			}
			r.state[x.Ticket], r.retryAfter[x.Ticket] = entryFree, x.RetryAfter
			continue
		}
		r.state[x.Ticket], r.admittedAt[x.Ticket] = entryAdmitted, r.now
		r.admitted = append(r.admitted, x.Ticket)
	}
	return r.checkInvariants()
}

func (r *harness) arrive(a Arrival) (Ticket, error) {
	if a.Class == "" {
		a.Class = "search"
	}
	if a.ArrivedAt == 0 {
		a.ArrivedAt = r.now
	}
	if a.Deadline == 0 {
		a.Deadline = r.now + time.Second
	}
	// The ticket is known once the call returns; before, its actions may name it.
	t, acts := r.queue.Arrive(r.now, a, nil)
	r.state[t], r.bytes[t] = entryQueued, a.Bytes
	return t, r.apply(t, acts)
}

func (r *harness) complete(t Ticket, how Outcome) error {
	if r.state[t] == entryAdmitted {
		r.state[t] = entryFree
	}
	return r.apply(t, r.queue.Done(r.now, t, how, nil))
}

func (r *harness) cancel(t Ticket) error {
	if r.state[t] == entryQueued {
		r.state[t] = entryFree
	}
	return r.apply(t, r.queue.Cancel(r.now, t, nil))
}

func (r *harness) wake() error { return r.apply(0, r.queue.Wake(r.now, nil)) }

// checkInvariants holds the whole Door against its bounds and its own counts.
func (r *harness) checkInvariants() error {
	d, waiting, inHand, held := r.queue, 0, 0, int64(0)
	for t, s := range r.state {
		switch s {
		case entryQueued:
			waiting++
			held += r.bytes[t]
		case entryAdmitted:
			inHand++
		case entryFree:
			delete(r.state, t)
			delete(r.bytes, t)
		}
	}
	v := d.Stats()
	switch {
	case v.Queued != waiting || v.InFlight != inHand || v.QueuedBytes != held:
		return fmt.Errorf("view %+v, and %d wait with %d bytes, %d are in hand", v, waiting, held, inHand)
	case v.Queued > d.options.MaxQueued || v.QueuedBytes > int64(d.options.MaxQueuedBytes) || v.Principals > d.options.MaxPrincipals || v.Reservations > d.options.MaxReservations:
		return fmt.Errorf("over a bound: %+v", v)
	case v.Queued > 0 && v.InFlight < v.Limit:
		return fmt.Errorf("%d wait while only %d of %d are in hand", v.Queued, v.InFlight, v.Limit)
	case v.Limit < d.options.MinLimit || v.Limit > d.options.MaxLimit:
		return fmt.Errorf("limit %d", v.Limit)
	}
	known, promises, within := 0, 0, 0
	for name, g := range d.groups {
		if !g.overflow {
			known++
		}
		within += g.queued + g.inFlight
		if len(g.flows) > max(1, d.options.MaxPrincipals/groupFlowDivisor) {
			return fmt.Errorf("%q has %d flows", name, len(g.flows))
		}
		known += len(g.flows)
		wait, pass, actives := 0, 0, 0
		flows := []*flow{&g.sharedFlow}
		for _, f := range g.flows {
			flows = append(flows, f)
		}
		for _, f := range flows {
			n := 0
			for _, run := range f.lists {
				for e := run.first; e != nil; e = e.next {
					if e.flow != f || e.state != entryQueued || e.next == nil && run.last != e {
						return fmt.Errorf("a request of %q is not linked rightly", name)
					}
					n++
				}
			}
			if n != f.queued || (f.queued > 0) != (f.readyIndex >= 0) || (f.queued > 0) != (f.loadIndex >= 0) || len(f.reservations) > maxFlowReservations {
				return fmt.Errorf("flow %q of %q: %d in runs, %+v", f.name, name, n, f.member)
			}
			wait, pass, promises = wait+f.queued, pass+f.inFlight, promises+len(f.reservations)
			if f.active() {
				actives++
			}
			if (len(f.reservations) > 0) != (f.expiryIndex >= 0) || math.IsNaN(f.finishTag) || f.readyIndex >= 0 && f.indebtedIndex >= 0 {
				return fmt.Errorf("flow %q of %q: %+v", f.name, name, f)
			}
		}
		if wait != g.queued || pass != g.inFlight || actives != g.flowLevel.activeMembers || (g.queued > 0) != (g.readyIndex >= 0) {
			return fmt.Errorf("group %q: %d wait, %d in hand, %d active; %+v", name, wait, pass, actives, g.member)
		}
		if !g.active() && len(g.flows) == 0 && len(g.sharedFlow.reservations) == 0 && !d.groupLevel.schedulerOf(&g.member).isAhead(&g.member) {
			return fmt.Errorf("group %q is kept for nothing", name)
		}
	}
	if within != v.Queued+v.InFlight {
		return fmt.Errorf("%d requests are of known groups, and the view has %+v", within, v)
	}
	if known != v.Principals || promises != v.Reservations {
		return fmt.Errorf("%d known, %d promises, and the view has %+v", known, promises, v)
	}
	return nil
}

// runScript has a rig go through what draw says, and then everything end: nothing may be left.
func runScript(r *harness, steps int, draw func(n int) int) error {
	var open []Ticket
	step := func() error {
		if draw(8) == 0 { // else the clock stands
			r.now += time.Duration(draw(300)) * time.Millisecond
		} else {
			r.now += time.Duration(draw(3)) * time.Millisecond
		}
		switch kind := draw(10); {
		case kind < 5:
			a := Arrival{Group: fmt.Sprint("g", draw(6)), Class: []string{"search", "pay", "unknown"}[draw(3)],
				CostHint: time.Duration(draw(50)) * time.Millisecond, Bytes: int64(draw(200)), Retry: draw(4) == 0}
			if draw(2) == 0 {
				a.Flow = fmt.Sprint("f", draw(40))
			}
			if draw(8) == 0 {
				a.Group = fmt.Sprint("once", draw(1<<16))
			}
			if draw(10) == 0 {
				a.ArrivedAt = r.now - time.Duration(draw(2000))*time.Millisecond
			}
			a.Deadline = r.now + time.Duration(draw(1500))*time.Millisecond
			t, err := r.arrive(a)
			open = append(open, t)
			return err
		case kind < 8 && len(open) > 0:
			i := draw(len(open))
			t := open[i]
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
			if draw(4) == 0 {
				return r.cancel(t)
			}
			return r.complete(t, Outcome(draw(3)))
		case kind == 8:
			return r.wake()
		default:
			o := r.queue.options
			o.Weights = []Weight{{"g1", float64(draw(4))}, {"g2", float64(draw(4)) / 2}, {"g3", 0}}
			o.MinLimit = 1 + draw(4)
			r.queue.Configure(r.now, o)
			return r.wake()
		}
	}
	for i := range steps {
		if err := step(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	for r.queue.Stats().InFlight+r.queue.Stats().Queued > 0 {
		r.now += 10 * time.Millisecond
		for t, s := range r.state {
			if s == entryAdmitted {
				if err := r.complete(t, Completed); err != nil {
					return err
				}
			}
		}
		if err := r.wake(); err != nil {
			return err
		}
	}
	r.now += r.queue.options.maxRetryAfter() + maxGrace + time.Second
	if err := r.wake(); err != nil {
		return err
	}
	if v := r.queue.Stats(); v.Principals != 0 || v.Reservations != 0 || len(r.queue.groups) != 0 {
		return fmt.Errorf("at the end %+v and %d groups are left", v, len(r.queue.groups))
	}
	return nil
}

func smallOptions() Options {
	o := Default()
	o.MaxQueued, o.MaxQueuedBytes, o.MaxPrincipals, o.MaxReservations, o.MinLimit, o.MaxLimit = 20, 1500, 32, 12, 2, 6
	return o
}

// Every order of events keeps the bounds, the counts and one fate for each request, wastes no place, and leaves nothing.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(smallOptions())
		if err := runScript(r, 150, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDoor(f *testing.F) {
	f.Add([]byte("a flood of names that come once, and a clock that stands"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 8192 {
			return
		}
		r := newHarness(smallOptions())
		err := runScript(r, len(data)/6, func(n int) int {
			if len(data) < 2 {
				return 0
			}
			v := binary.LittleEndian.Uint16(data)
			data = data[2:]
			return int(v) % n
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

// Among members that always have something waiting, what was really taken differs from the shares by no more than SFQ(D)
// allows (Jin et al. 2004, theorem 1): (D+1) of the largest requests of both, and what estimates were off by. The reference
// is nothing but the sum of what each took.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		places := rapid.IntRange(1, 6).Draw(t, "places")
		o.MinLimit, o.MaxLimit, o.MaxQueued = places, places, 1000
		n := rapid.IntRange(2, 5).Draw(t, "principals")
		weights := make([]float64, n)
		for i := range n {
			weights[i] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			o.Weights = append(o.Weights, Weight{fmt.Sprint(i), weights[i]})
		}
		r := newHarness(o)
		who := map[Ticket]int{}
		feed := func(i int) {
			ticket, err := r.arrive(Arrival{Group: fmt.Sprint(i), Deadline: r.now + 100*time.Hour, ArrivedAt: r.now + time.Hour})
			if err != nil {
				t.Fatal(err)
			}
			who[ticket] = i
		}
		for i := range n {
			for range 12 {
				feed(i)
			}
		}
		took, most := make([]float64, n), 0.0
		type running struct {
			t    Ticket
			ends time.Duration
		}
		var run []running
		seen := 0
		for range 300 {
			for ; seen < len(r.admitted); seen++ {
				cost := time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond
				run = append(run, running{r.admitted[seen], r.now + cost})
			}
			next := 0
			for i := range run {
				if run[i].ends < run[next].ends {
					next = i
				}
			}
			x := run[next]
			run = append(run[:next], run[next+1:]...)
			cost := (x.ends - r.admittedAt[x.t]).Seconds()
			r.now = x.ends
			if err := r.complete(x.t, Completed); err != nil {
				t.Fatal(err)
			}
			took[who[x.t]] += cost
			most = max(most, cost)
			feed(who[x.t])
		}
		for i := range n {
			for j := range i {
				apart := math.Abs(took[i]/weights[i] - took[j]/weights[j])
				bound := float64(places+2) * 2 * most * (1/weights[i] + 1/weights[j])
				if apart > bound {
					t.Fatalf("%d and %d: %.3f and %.3f s at weights %v and %v, %.3f apart, bound %.3f", i, j, took[i], took[j],
						weights[i], weights[j], apart, bound)
				}
			}
		}
	})
}
