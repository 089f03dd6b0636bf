package staleness

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model below is a fleet of Machines that share one discovery, in virtual time. Discovery serves calls one after another and turns a
// call away at once when it would wait for longer than its limit. A call that the sidecar has given up keeps its place in the queue. An
// address that was replaced ends its calls some time after the reload.

// crowdedDay is what befalls a fleet.
type crowdedDay struct {
	sidecars int
	service  time.Duration // discovery's work for a call
	limit    time.Duration // the longest that a call may wait in its queue
	down     [2]time.Duration
	change   time.Duration     // when the list changes
	reloads  [][]time.Duration // of each sidecar: when another address is named
	cut      float64           // share of answers, and of watches told of a change, that end in place of telling
}

type crowdEvent struct {
	at    time.Duration
	order int
	do    func()
}

type crowdEvents []crowdEvent

func (e crowdEvents) Len() int { return len(e) }
func (e crowdEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e crowdEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *crowdEvents) Push(x any)   { *e = append(*e, x.(crowdEvent)) }
func (e *crowdEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// crowdCall is a call of one sidecar.
type crowdCall struct {
	request  Request
	watching bool
}

type crowdSidecar struct {
	machine *Machine
	calls   map[CallID]*crowdCall
	heard   time.Duration // when it first had the change; below 0: it has not
	wake    int           // number of the timer that is set
	made    []time.Duration
}

// open is its calls in the order in which they were made.
func (s *crowdSidecar) open() []CallID {
	return slices.Sorted(maps.Keys(s.calls))
}

type crowd struct {
	day      crowdedDay
	rng      *rand.Rand
	now      time.Duration
	events   crowdEvents
	order    int
	free     time.Duration // when discovery has worked through its queue
	sidecars []*crowdSidecar
}

const (
	crowdTrip = 3 * ms    // one way between a sidecar and discovery
	crowdMove = 1500 * ms // from a reload until the address before ends its calls
)

func playCrowd(day crowdedDay, seed uint64, until time.Duration) *crowd {
	c := &crowd{day: day, rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range day.sidecars {
		s := &crowdSidecar{machine: New(Options{FleetSize: day.sidecars}, rng(seed*1000+uint64(i))), calls: map[CallID]*crowdCall{}, heard: -1}
		c.sidecars = append(c.sidecars, s)
		c.at(time.Duration(i)*ms, func() { c.do(s, s.machine.Start(c.now)) })
		if i < len(day.reloads) {
			for _, at := range day.reloads[i] {
				c.at(at, func() { c.reload(s) })
			}
		}
	}
	c.at(day.down[0], func() {
		for _, s := range c.sidecars {
			for _, id := range s.open() {
				c.end(s, id)
			}
		}
	})
	c.at(day.change, c.tell)
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(crowdEvent)
		c.now = e.at
		e.do()
	}
	return c
}

func (c *crowd) at(t time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, crowdEvent{max(t, c.now), c.order, do})
}

func (c *crowd) isDown() bool { return c.now >= c.day.down[0] && c.now < c.day.down[1] }

func (c *crowd) do(s *crowdSidecar, actions []Action) {
	for _, a := range actions {
		if a.Kind == CloseCall {
			delete(s.calls, a.Call)
			continue
		}
		call := &crowdCall{request: a.Request}
		s.calls[a.Call] = call
		s.made = append(s.made, c.now)
		c.ask(s, a.Call, call)
	}
	s.wake++
	wake := s.wake
	if next := s.machine.Next(); next < never {
		c.at(next, func() {
			if wake == s.wake {
				c.do(s, s.machine.Tick(c.now))
			}
		})
	}
}

// ask puts a request of a call into discovery's queue.
func (c *crowd) ask(s *crowdSidecar, id CallID, call *crowdCall) {
	c.at(c.now+crowdTrip, func() {
		begin := max(c.free, c.now)
		if c.isDown() || begin-c.now > c.day.limit {
			c.at(c.now+crowdTrip, func() { c.end(s, id) })
			return
		}
		c.free = begin + c.day.service
		c.at(c.free, func() { c.answer(s, id, call) })
	})
}

func (c *crowd) answer(s *crowdSidecar, id CallID, call *crowdCall) {
	if s.calls[id] != call {
		return
	}
	if c.isDown() || c.rng.Float64() < c.day.cut {
		c.end(s, id)
		return
	}
	c.learn(s)
	if call.request == FetchList {
		delete(s.calls, id)
		c.do(s, s.machine.CallActive(c.now, id))
		return
	}
	call.watching = true
	c.do(s, s.machine.CallActive(c.now, id))
	c.beat(s, id, call)
}

func (c *crowd) learn(s *crowdSidecar) {
	if c.now >= c.day.change && s.heard < 0 {
		s.heard = c.now
	}
}

func (c *crowd) beat(s *crowdSidecar, id CallID, call *crowdCall) {
	c.at(c.now+beat, func() {
		if s.calls[id] == call && !c.isDown() {
			c.do(s, s.machine.CallActive(c.now, id))
			c.beat(s, id, call)
		}
	})
}

// tell writes the change to the watches that there are; some end in place of it.
func (c *crowd) tell() {
	for _, s := range c.sidecars {
		for _, id := range s.open() {
			if call := s.calls[id]; call == nil || !call.watching {
				continue
			}
			if c.rng.Float64() < c.day.cut {
				c.end(s, id)
				continue
			}
			c.learn(s)
			c.do(s, s.machine.CallActive(c.now, id))
		}
	}
}

func (c *crowd) end(s *crowdSidecar, id CallID) {
	if s.calls[id] != nil {
		delete(s.calls, id)
		c.do(s, s.machine.CallEnded(c.now, id))
	}
}

func (c *crowd) reload(s *crowdSidecar) {
	for _, id := range s.open() {
		c.at(c.now+crowdMove, func() { c.end(s, id) })
	}
	c.do(s, s.machine.Redirect(c.now))
}

// latest is how long after the change the last sidecar had it.
func (c *crowd) latest(until time.Duration) time.Duration {
	worst := time.Duration(0)
	for _, s := range c.sidecars {
		heard := s.heard
		if heard < 0 {
			heard = until
		}
		worst = max(worst, heard-c.day.change)
	}
	return worst
}

// reloadsInSeries has each sidecar reload four times, as it was seen in service: n sidecars one after another, each 0.3, 0.7 and 1.6 s after its first.
func reloadsInSeries(sidecars int, from, apart time.Duration) [][]time.Duration {
	var all [][]time.Duration
	for i := range sidecars {
		first := from + time.Duration(i)*apart
		all = append(all, []time.Duration{first, first + 300*ms, first + 700*ms, first + 1600*ms})
	}
	return all
}

// Guards against a fleet whose sidecars take discovery's places from each other while one of them has no list: discovery was down, works
// through the calls of the whole fleet in some time from then on, and turns away what would wait for longer than 1 s. The list changes, and
// each sidecar is reloaded four times. One answer in seven is lost. Before this was mended, 6 sidecars were late on 59 of 200 days where
// discovery needs 1.5 s for a call of each, and 80 sidecars on 199 of 200 where it needs 2 s.
func TestACrowdedFleetHasTheNewsInTime(t *testing.T) {
	const (
		days = 200
		end  = 60 * time.Second
	)
	for _, load := range []struct {
		callOfEach time.Duration // discovery's work
		mostLate   int
	}{
		{1500 * ms, 0},
		{2 * time.Second, days / 100}, // two answers in a row are lost
	} {
		for _, sidecars := range []int{6, 12, 30, 80} {
			late, worst, calls := 0, time.Duration(0), 0
			for seed := range uint64(days) {
				day := crowdedDay{sidecars: sidecars, service: load.callOfEach / time.Duration(sidecars), limit: time.Second,
					down: [2]time.Duration{10 * time.Second, 23 * time.Second}, change: 26800 * ms, cut: 0.15,
					reloads: reloadsInSeries(sidecars, 26400*ms, 2400*ms/time.Duration(sidecars))}
				c := playCrowd(day, seed, end)
				after := c.latest(end)
				if after > toldSilent+grace-50*ms {
					late++
				}
				worst = max(worst, after)
				for _, s := range c.sidecars {
					calls += len(s.made)
				}
			}
			t.Logf("%d sidecars, %v for a call of each: %d of %d days late, the news %v old at worst, %.1f calls a sidecar", sidecars, load.callOfEach,
				late, days, worst, float64(calls)/days/float64(sidecars))
			if late > load.mostLate {
				t.Errorf("%d sidecars, %v for a call of each: one has no news when they count as told, on %d of %d days", sidecars, load.callOfEach, late, days)
			}
		}
	}
}
