package staleness

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// follower is what is tried in the world below: a Machine, or the waits that were before it.
type follower interface {
	Start(now time.Duration) []Action
	CallActive(now time.Duration, id CallID) []Action
	CallEnded(now time.Duration, id CallID) []Action
	Tick(now time.Duration) []Action
	Next() time.Duration
}

const (
	ms    = time.Millisecond
	grace = 250 * ms
)

// fault is something that befalls a list.
type fault struct {
	at   time.Duration
	what string        // silent, reset, down, refuse, late, cut: calls made then end after 1 s, and those open fall silent
	len  time.Duration // of down, refuse and cut: how long; of late: how late the calls made until at+5 s are
}

// world is a discovery, and what the rules say of one sidecar that follows it. It is told by the platform's protocol: what is
// written to a call that stands is told; what a silent call misses counts 6 s after it fell silent; without a call the list holds
// for askWithin. Where lists are pushed, a change counts at once, but for silence.
type world struct {
	f       follower
	pushed  bool
	faults  []fault
	changes []time.Duration // when each was made; change i is version i+1
	now     time.Duration
	events  []worldEvent
	calls   map[CallID]*worldCall
	known   int           // version that the sidecar has
	silent  time.Duration // when what it has last heard from fell silent, -1: it has not
	ended   time.Duration // when its last watch ended, or its last call failed; -1: it has one
	heldFor time.Duration // from then
	made    int           // calls
	most    int           // calls in one second
	seconds map[time.Duration]int
	worst   time.Duration // latest that a change was heard of after it counted as told
	heardAt []time.Duration
	dueAt   []time.Duration
}

type worldCall struct {
	answered bool
	silent   bool
}

type worldEvent struct {
	at time.Duration
	do func()
}

func (w *world) at(t time.Duration, do func()) { w.events = append(w.events, worldEvent{t, do}) }

func (w *world) down(t time.Duration, what string) (bool, fault) {
	for _, f := range w.faults {
		if f.what == what && t >= f.at && t < f.at+f.len {
			return true, f
		}
	}
	return false, fault{}
}

func (w *world) late(t time.Duration) time.Duration {
	for _, f := range w.faults {
		if f.what == "late" && t >= f.at && t < f.at+5*time.Second {
			return f.len
		}
	}
	return 5 * ms
}

func (w *world) do(acts []Action) {
	for _, a := range acts {
		if a.Kind == CloseCall {
			delete(w.calls, a.Call)
			continue
		}
		id, c := a.Call, &worldCall{}
		w.calls[id] = c
		w.made++
		w.seconds[w.now/time.Second]++
		w.most = max(w.most, w.seconds[w.now/time.Second])
		refused, _ := w.down(w.now, "refuse")
		if off, _ := w.down(w.now, "down"); refused || off && !w.pushed {
			w.at(w.now+2*ms, func() { w.end(id, true) })
			continue
		}
		if cut, _ := w.down(w.now, "cut"); cut {
			w.at(w.now+time.Second, func() { w.end(id, true) })
			continue
		}
		w.at(w.now+w.late(w.now), func() { w.answer(id) })
	}
}

// answer is a call's first line; while an agent's discovery is down it says nothing.
func (w *world) answer(id CallID) {
	c := w.calls[id]
	if off, f := w.down(w.now, "down"); off {
		if w.pushed {
			w.at(f.at+f.len, func() { w.answer(id) })
		} else {
			w.end(id, true)
		}
		return
	}
	if c == nil || c.silent {
		return
	}
	c.answered = true
	w.say(id)
	w.beat(id)
}

// say writes all that is new to a call.
func (w *world) say(id CallID) {
	c := w.calls[id]
	if c == nil || c.silent || !c.answered {
		return
	}
	w.silent, w.ended = -1, -1
	for i, at := range w.changes {
		if at <= w.now && i >= w.known {
			w.known = i + 1
			w.heardAt[i] = w.now
		}
	}
	w.do(w.f.CallActive(w.now, id))
}

func (w *world) beat(id CallID) {
	w.at(w.now+beat, func() {
		if off, _ := w.down(w.now, "down"); w.calls[id] == nil || w.calls[id].silent || off && !w.pushed {
			return
		} else if !off {
			w.say(id)
		}
		w.beat(id)
	})
}

func (w *world) end(id CallID, failed bool) {
	c := w.calls[id]
	if c == nil {
		return
	}
	delete(w.calls, id)
	if !slices.ContainsFunc(w.open(), func(c *worldCall) bool { return c.answered && !c.silent }) {
		if w.ended = w.now; failed {
			w.heldFor = 4 * askUntold
		} else {
			w.heldFor = askUntold
		}
	}
	w.do(w.f.CallEnded(w.now, id))
}

func (w *world) open() []*worldCall {
	var all []*worldCall
	for _, c := range w.calls {
		all = append(all, c)
	}
	return all
}

// reached is when a call made from then on is answered: discovery has the change, and can be reached.
func (w *world) reached(t time.Duration) time.Duration {
	for range len(w.faults) + 1 {
		for _, f := range w.faults {
			if (f.what == "down" || f.what == "refuse" || f.what == "cut") && t >= f.at && t < f.at+f.len {
				t = f.at + f.len
			}
		}
	}
	return t
}

// rule sets, for each change that has not been heard of, when it counts as told. Whatever is allowed after calls that failed, were
// refused or given up, that is 6 s after discovery had it and could be reached.
func (w *world) rule() {
	stands := slices.ContainsFunc(w.open(), func(c *worldCall) bool { return c.answered && !c.silent })
	if stands {
		return
	}
	for i := w.known; i < len(w.changes) && w.changes[i] <= w.now; i++ {
		made, due := w.changes[i], time.Duration(-1)
		off, f := w.down(made, "down")
		if gone, g := w.down(made, "refuse"); gone && w.pushed { // the agent itself
			off, f = true, g
		}
		switch {
		case w.silent >= 0:
			missed := w.silent + 6*time.Second
			for _, f := range w.faults { // it could not be reached
				if f.what == "cut" && f.at <= missed && f.at+f.len > w.silent {
					missed = max(missed, f.at+f.len+6*time.Second)
				}
			}
			due = max(made, missed)
		case w.pushed && off:
			due = f.at + f.len
		case w.pushed:
			due = made
		case w.ended >= 0 && off:
			due = w.reached(made) + askUntold
		case w.ended >= 0:
			due = made + w.heldFor
		}
		if strict := w.reached(made) + 6*time.Second; due < 0 || strict < due {
			due = strict
		}
		if due >= 0 && (w.dueAt[i] < 0 || due < w.dueAt[i]) {
			w.dueAt[i] = due
		}
	}
}

// run plays until end, and sets worst.
func (w *world) run(end time.Duration) {
	w.calls, w.seconds, w.silent, w.ended = map[CallID]*worldCall{}, map[time.Duration]int{}, -1, -1
	w.heardAt, w.dueAt = make([]time.Duration, len(w.changes)), make([]time.Duration, len(w.changes))
	for i := range w.changes {
		w.heardAt[i], w.dueAt[i] = -1, -1
	}
	for _, f := range w.faults {
		switch f.what {
		case "silent", "cut":
			w.at(f.at, func() {
				for _, id := range w.ids() {
					if w.calls[id].silent = true; w.silent < 0 {
						w.silent = w.now
					}
				}
			})
		case "refuse", "reset", "down":
			if f.what == "refuse" && !w.pushed {
				continue
			}
			w.at(f.at, func() {
				for _, id := range w.ids() {
					if f.what != "down" || !w.pushed {
						w.end(id, f.what == "down")
					}
				}
			})
			if f.what == "down" && w.pushed { // the agent gets it all at the return
				w.at(f.at+f.len, func() {
					for _, id := range w.ids() {
						w.say(id)
					}
				})
			}
		}
	}
	w.do(w.f.Start(0))
	for change := 0; w.now < end; {
		i, next := -1, w.f.Next()
		if change < len(w.changes) && w.changes[change] <= next {
			next = w.changes[change]
		}
		for j, e := range w.events {
			if e.at <= next && (i < 0 || e.at < w.events[i].at) {
				i = j
			}
		}
		if i < 0 {
			if w.now = max(w.now, next); w.now >= end {
				break
			}
			if change < len(w.changes) && w.changes[change] <= w.now {
				change++
				for _, id := range w.ids() {
					w.say(id)
				}
			} else {
				w.do(w.f.Tick(w.now))
			}
		} else {
			e := w.events[i]
			w.events = slices.Delete(w.events, i, i+1)
			w.now = max(w.now, e.at)
			e.do()
		}
		w.rule()
	}
	for i := range w.changes {
		if w.dueAt[i] >= 0 && w.dueAt[i] < end {
			heard := w.heardAt[i]
			if heard < 0 {
				heard = end
			}
			w.worst = max(w.worst, heard-w.dueAt[i])
		}
	}
}

func (w *world) ids() []CallID {
	var all []CallID
	for id := range w.calls {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// before is what was there before this package: 3.5 s of silence, 5 s for a first word, and the module's growing wait.
type before struct {
	rng    *rand.Rand
	id     CallID
	limit  time.Duration
	next   time.Duration
	fails  int
	pushed bool
	wait   time.Duration
}

func (b *before) open(now time.Duration) []Action {
	b.id++
	b.limit, b.next = now+5*time.Second, never
	return []Action{{Kind: OpenCall, Call: b.id}}
}
func (b *before) Start(now time.Duration) []Action { b.wait = 250 * ms; return b.open(now) }
func (b *before) CallActive(now time.Duration, _ CallID) []Action {
	b.limit, b.fails, b.wait = now+3500*ms, 0, 250*ms
	return nil
}
func (b *before) CallEnded(now time.Duration, _ CallID) []Action {
	b.limit = never
	if b.pushed {
		b.next = now + b.wait
		b.wait = min(2*b.wait, 4*time.Second)
		return nil
	}
	b.fails++
	d := min(time.Second<<min(b.fails-1, 10), 8*time.Second)
	b.next = now + time.Duration(float64(d)*(0.5+b.rng.Float64()))
	return nil
}
func (b *before) Tick(now time.Duration) []Action {
	switch {
	case now >= b.limit:
		b.CallEnded(now, b.id)
		return []Action{{Kind: CloseCall, Call: b.id}}
	case now >= b.next:
		return b.open(now)
	}
	return nil
}
func (b *before) Next() time.Duration { return min(b.limit, b.next) }

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// cases are lists that go wrong in each way that the protocol names. A change is made every 37 ms, so that each moment is tried.
var cases = []struct {
	name   string
	pushed bool
	faults []fault
}{
	{"a watch falls silent", false, []fault{{7 * time.Second, "silent", 0}}},
	{"a call falls silent before its first word", false, []fault{{0, "late", time.Second}, {500 * ms, "silent", 0}}},
	{"silent, and the call made then is late", false, []fault{{7 * time.Second, "silent", 0}, {8 * time.Second, "late", 900 * ms}}},
	{"silent, and the call made then falls silent too", false, []fault{{7 * time.Second, "silent", 0}, {8 * time.Second, "late", 900 * ms}, {10 * time.Second, "silent", 0}}},
	{"silent, and calls are refused", false, []fault{{7 * time.Second, "silent", 0}, {9 * time.Second, "refuse", 3 * time.Second}}},
	{"refused, then silent before its first word", false, []fault{{0, "refuse", 10 * ms}, {20 * ms, "late", time.Second}, {1600 * ms, "silent", 0}}},
	{"reset", false, []fault{{7 * time.Second, "reset", 0}}},
	{"reset, and calls are refused", false, []fault{{7 * time.Second, "reset", 0}, {7 * time.Second, "refuse", 3 * time.Second}}},
	{"down", false, []fault{{7 * time.Second, "down", 8 * time.Second}}},
	{"down for long", false, []fault{{7 * time.Second, "down", 2 * time.Minute}}},
	{"down, and calls at its return are late", false, []fault{{7 * time.Second, "down", 33 * time.Second}, {40 * time.Second, "late", time.Second}}},
	{"cut off", false, []fault{{7 * time.Second, "cut", 20 * time.Second}, {27 * time.Second, "late", time.Second}}},
	{"down, then refused", false, []fault{{7 * time.Second, "down", 5 * time.Second}, {12 * time.Second, "refuse", 20 * time.Second}, {32 * time.Second, "late", time.Second}}},
	{"pushed: a watch falls silent", true, []fault{{7 * time.Second, "silent", 0}}},
	{"pushed: silent twice", true, []fault{{7 * time.Second, "silent", 0}, {9600 * ms, "silent", 0}}},
	{"pushed: reset", true, []fault{{7 * time.Second, "reset", 0}}},
	{"pushed: reset again and again", true, []fault{{7 * time.Second, "reset", 0}, {7020 * ms, "reset", 0}, {7100 * ms, "reset", 0}, {7300 * ms, "reset", 0}}},
	{"pushed: the agent is gone for a while", true, []fault{{7 * time.Second, "refuse", 3100 * ms}}},
	{"pushed: down", true, []fault{{7 * time.Second, "down", 8 * time.Second}}},
	{"pushed: down, then reset", true, []fault{{7 * time.Second, "down", 20 * time.Second}, {27050 * ms, "reset", 0}}},
}

func changesEvery(step, until time.Duration) []time.Duration {
	var all []time.Duration
	for t := time.Duration(0); t < until; t += step {
		all = append(all, t)
	}
	return all
}

const worldEnd = 160 * time.Second

// Guards against sends to an upstream that has been announced as leaving: no change of the list is heard of later than it counts
// as told, whatever befalls the list. The waits that were before break that in some of the cases, so the check can fail.
func TestNoChangeIsHeardTooLate(t *testing.T) {
	var broken atomic.Int32
	t.Cleanup(func() {
		if n := broken.Load(); n < 3 {
			t.Errorf("the waits before break %d cases: the check does not bite", n)
		}
	})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worst := map[string]time.Duration{}
			for seed := range uint64(40) {
				for name, f := range map[string]follower{
					"now":    New(Options{Pushed: c.pushed, FleetSize: 1 + int(seed)*50}, rng(seed)),
					"before": &before{rng: rng(seed), pushed: c.pushed},
				} {
					w := &world{f: f, pushed: c.pushed, faults: c.faults, changes: changesEvery(37*ms, 60*time.Second)}
					w.run(worldEnd)
					worst[name] = max(worst[name], w.worst)
				}
			}
			t.Logf("latest %v after it counted as told; with the waits before %v", worst["now"], worst["before"])
			if worst["now"] > grace-50*ms {
				t.Errorf("a change is heard of %v after it counts as told", worst["now"])
			}
			if worst["before"] > grace {
				broken.Add(1)
			}
		})
	}
}

// The same for settings that give less grace: the waits are of the grace, and no deployment's.
func TestLessGraceIsKept(t *testing.T) {
	for _, grace := range []time.Duration{80 * ms, 120 * ms, 200 * ms, 400 * ms} {
		worst := time.Duration(0)
		for _, c := range cases {
			for seed := range uint64(8) {
				w := &world{f: New(Options{Pushed: c.pushed, FleetSize: 300, DrainGrace: grace}, rng(seed)), pushed: c.pushed, faults: c.faults,
					changes: changesEvery(37*ms, 60*time.Second)}
				if w.run(worldEnd); c.pushed {
					worst = max(worst, w.worst)
				}
			}
		}
		if worst > grace {
			t.Errorf("of a grace of %v a change is heard of after %v", grace, worst)
		}
	}
}

// The same in random orders, with calls that are late or refused. A list can't be had where all calls fail until it is due, so no
// more befalls it than one silence or one outage at a time, with calls late by up to 1 s.
func TestNoChangeIsHeardTooLateInRandomOrders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		pushed := rapid.Bool().Draw(t, "pushed")
		var faults []fault
		for at := time.Second; at < 100*time.Second; {
			at += time.Duration(rapid.IntRange(0, 12000).Draw(t, "after")) * ms
			kind := rapid.SampledFrom([]string{"silent", "reset", "down", "late silent", "refused", "cut"}).Draw(t, "fault")
			length := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * ms
			switch kind {
			case "silent", "reset":
				faults = append(faults, fault{at, kind, 0})
				at += 6 * time.Second
			case "late silent":
				faults = append(faults, fault{at, "late", length}, fault{at + length, "silent", 0})
				at += 6*time.Second + length
			case "refused":
				faults = append(faults, fault{at, "silent", 0}, fault{at, "refuse", 3 * length})
				at += 6 * time.Second
			case "down", "cut":
				faults = append(faults, fault{at, kind, 10 * length})
				at += 10*length + 6*time.Second
			}
		}
		if pushed { // an agent is at hand, and answers at once
			faults = slices.DeleteFunc(faults, func(f fault) bool { return f.what == "late" || f.what == "cut" })
		}
		w := &world{f: New(Options{Pushed: pushed, FleetSize: rapid.IntRange(1, 400).Draw(t, "sidecars")}, rng(rapid.Uint64().Draw(t, "seed"))),
			pushed: pushed, faults: faults, changes: changesEvery(151*ms, worldEnd-40*time.Second)}
		w.run(worldEnd)
		if w.worst > grace-50*ms {
			t.Fatalf("a change is heard of %v after it counts as told: %v", w.worst, faults)
		}
	})
}

// Guards against a list that is dear: one call as long as all is well, few while discovery is down, no more than two open.
func TestCallsAreFew(t *testing.T) {
	for _, c := range []struct {
		name         string
		pushed       bool
		faults       []fault
		made, second int
	}{
		{"all is well", false, nil, 1, 1},
		{"pushed, all is well", true, nil, 1, 1},
		{"a watch falls silent", false, []fault{{7 * time.Second, "silent", 0}}, 2, 1},
		{"reset", false, []fault{{7 * time.Second, "reset", 0}}, 2, 1},
		{"silent, and calls are refused", false, []fault{{7 * time.Second, "silent", 0}, {9 * time.Second, "refuse", 3 * time.Second}}, 12, 6},
		{"silent, and calls are refused for long", false, []fault{{7 * time.Second, "silent", 0}, {9 * time.Second, "refuse", 2 * time.Minute}}, 70, 6},
		{"down for two minutes", false, []fault{{7 * time.Second, "down", 2 * time.Minute}}, 66, 2}, // one in 2.2 s: what is changed is told 6 s after its return
		{"cut off for two minutes", false, []fault{{7 * time.Second, "cut", 2 * time.Minute}}, 66, 2},
		{"first answers take 1 s", false, []fault{{0, "late", time.Second}}, 1, 1},
		{"pushed, down for two minutes", true, []fault{{7 * time.Second, "down", 2 * time.Minute}}, 260, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := &world{f: New(Options{Pushed: c.pushed, FleetSize: 300}, rng(seed)), pushed: c.pushed, faults: c.faults}
				w.run(worldEnd)
				if w.made > c.made || w.most > c.second || len(w.calls) > mostCalls {
					t.Fatalf("%d calls, %d in a second, %d open; at most %d and %d are wanted", w.made, w.most, len(w.calls), c.made, c.second)
				}
			}
		})
	}
}

// Guards against a small fleet that waits for no reason once its watches have ended: what they did not tell any more is wanted soon, and
// discovery works through the calls of a few in no time. A large fleet spreads them.
func TestACallIsMadeSoonAfterAWatchEnds(t *testing.T) {
	for sidecars, most := range map[int]time.Duration{0: 600 * ms, 1: 600 * ms, 6: 600 * ms, 50: 600 * ms, 100: 750 * ms, 300: 2250 * ms} {
		for seed := range uint64(100) {
			m := New(Options{FleetSize: sidecars}, rng(seed))
			m.Start(0)
			m.CallActive(10*ms, 1)
			m.CallEnded(time.Second, 1)
			if wait := m.Next() - time.Second; wait > most || wait < most/3 {
				t.Errorf("%d sidecars: the next call %v after the end, %v at most", sidecars, wait, most)
			}
		}
	}
}

// Guards against the machine's words being wrong: when the list was last current, and when it may be too old.
func TestDue(t *testing.T) {
	m := New(Options{MaxPollAge: 3 * time.Second}, rng(1))
	m.Start(0)
	steps := []struct {
		what     string
		do       func()
		due      time.Duration
		standing bool
	}{
		{"started", func() {}, 6 * time.Second, false},
		{"heard at 1 s", func() { m.CallActive(time.Second, 1) }, 7 * time.Second, true},
		{"silent at 3.5 s", func() { m.Tick(3500 * ms) }, 7 * time.Second, false},
		{"the call made then fails", func() { m.CallEnded(4*time.Second, 2) }, 7 * time.Second, false},
		{"and the silent one speaks", func() { m.CallActive(5*time.Second, 1) }, 11 * time.Second, true},
		{"it ends", func() { m.CallEnded(6*time.Second, 1) }, 11 * time.Second, false},
		{"another address", func() { m.Redirect(6100 * ms) }, 10100 * ms, false},
	}
	for _, s := range steps {
		s.do()
		now := cmp.Or(m.CurrentAt(), 1)
		if m.Deadline() != s.due {
			t.Errorf("%s: due at %v, not %v", s.what, m.Deadline(), s.due)
		}
		if got := m.Connected(max(now, s.due-toldSilent+silence-ms)); s.standing && !got {
			t.Errorf("%s: does not stand", s.what)
		}
	}
	if got := fmt.Sprint(m.CallActive(7*time.Second, 1)); got != "[]" || m.Accepts(1) {
		t.Errorf("a call to the old address counts: %v", got)
	}
}
