package prewarm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/units"
)

// Any history of members, uses, ends and time keeps the bounds: no more a second than Rate, none beyond Part, no more of a
// member than Each, nobody who is no member, none to a failing one sooner than its wait. In the end, with time and room, each
// member that is used has what it is to have.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		o := Default()
		o.ConnectionsPerUpstream, o.Rate, o.Spread = 1+draw(3), float64(1+draw(30)), units.Duration(time.Duration(draw(3000))*time.Millisecond)
		const connections = 40
		w := New(o, connections, rand.New(rand.NewPCG(uint64(draw(1000)), 1)))
		now := time.Hour
		open, opening := map[string]int{}, map[string]int{}
		var named []time.Duration
		ready, processes := map[string]uint64{}, uint64(0)
		total := func() (n int) {
			for _, k := range open {
				n += k
			}
			return n
		}
		type end struct {
			name    string
			process uint64
		}
		var ends []end
		failed := map[string]time.Duration{}
		tick := func() {
			before := total()
			for _, name := range w.Tick(now, func(name string) int { return open[name] }, before) {
				opening[name]++
				named = append(named, now)
				ends = append(ends, end{name, w.Process(name)})
				if _, is := ready[name]; !is || open[name]+opening[name] > o.ConnectionsPerUpstream || before >= connections/4 {
					t.Fatalf("%s: %v, %d open and %d opening, %d in all", name, is, open[name], opening[name], before)
				}
				if at, was := failed[name]; was && now-at < minBackoff/2 {
					t.Fatalf("%s again after %v", name, now-at)
				}
			}
			from := 0
			for from < len(named) && named[from] <= now-time.Second {
				from++
			}
			if named = named[from:]; float64(len(named)) > o.Rate+max(1, o.Rate*burstSeconds)+1 {
				t.Fatalf("%d within a second, at %v", len(named), o.Rate)
			}
		}
		finish := func(ok bool) {
			e := ends[0]
			ends = ends[1:]
			if ready[e.name] == e.process {
				opening[e.name]--
				if delete(failed, e.name); ok {
					open[e.name]++
				} else {
					failed[e.name] = now
				}
			}
			w.Connected(now, e.name, e.process, ok)
		}
		for range 120 {
			now += time.Duration(draw(400)) * time.Millisecond
			name := fmt.Sprint("n", draw(8))
			switch draw(6) {
			case 0:
				if draw(2) == 0 {
					delete(ready, name)
				} else {
					processes++ // no two are the same: they are told by when they began
					ready[name] = processes
				}
				delete(open, name)
				delete(opening, name)
				delete(failed, name)
				w.SetMembers(now, ready)
			case 1:
				w.RecordUse(now, name)
			case 2:
				if len(ends) > 0 {
					finish(draw(3) > 0)
				}
			case 3:
				if open[name] > 0 { // the upstream closes it
					open[name]--
				}
			default:
				tick()
			}
		}
		if len(ready)*o.ConnectionsPerUpstream > connections/4 {
			return
		}
		for range 2000 {
			now += 100 * time.Millisecond
			for name := range ready {
				w.RecordUse(now, name)
			}
			tick()
			for len(ends) > 0 {
				finish(true)
			}
		}
		for name := range ready {
			if open[name] != o.ConnectionsPerUpstream {
				t.Fatalf("%s has %d open of %d", name, open[name], o.ConnectionsPerUpstream)
			}
		}
	})
}

// What was not used of late is not opened to again, and what is new is opened to over Spread and not at once.
func TestSpreadAndRecent(t *testing.T) {
	o := Default()
	o.Rate = 1000
	w := New(o, 10_000, rand.New(rand.NewPCG(1, 1)))
	ready := map[string]uint64{}
	for i := range 200 {
		ready[fmt.Sprint(i)] = 1
	}
	now := time.Hour
	w.SetMembers(now, ready)
	open := map[string]int{}
	halves := [2]int{}
	for i := range 40 {
		now += 50 * time.Millisecond
		for _, name := range w.Tick(now, func(name string) int { return open[name] }, len(open)) {
			open[name]++
			halves[i/20]++
			w.Connected(now, name, 1, true)
		}
	}
	if halves[0] < 60 || halves[1] < 60 || halves[0]+halves[1] != 200 {
		t.Errorf("opened by halves of the spread: %v", halves)
	}
	clear(open)
	w.RecordUse(now, "7")
	again := 0
	for range 40 {
		now += 50 * time.Millisecond
		again += len(w.Tick(now, func(name string) int { return open[name] }, 0))
	}
	if again != 1 {
		t.Errorf("%d of 200 are opened to again, one was used", again)
	}
	if at, ok := w.Next(now); !ok || at < now {
		t.Errorf("next at %v, %v", at, ok)
	}
}

// Guards against plays of one seed that differ, since members came in a map's order.
func TestSameSeedSameTimes(t *testing.T) {
	play := func() (order []string) {
		w := New(Default(), 1000, rand.New(rand.NewPCG(1, 2)))
		ready := map[string]uint64{}
		for i := range 50 {
			ready[fmt.Sprint("u", i)] = 1
		}
		w.SetMembers(0, ready)
		for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
			order = append(order, w.Tick(now, func(string) int { return 0 }, 0)...)
		}
		return order
	}
	if a, b := play(), play(); len(a) < 50 || !slices.Equal(a, b) {
		t.Errorf("%d and %d opened, in another order", len(a), len(b))
	}
}
