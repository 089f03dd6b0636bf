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

// historyConnections is the maximum number of connections in the random histories. A quarter of them may be opened ahead of use.
const historyConnections = 40

// connecting is a pending connect: the upstream and its incarnation.
type connecting struct {
	name    string
	process uint64
}

// history is a Prewarmer with the connections that were opened for it.
type history struct {
	*Prewarmer
	options   Options
	now       time.Duration
	ready     map[string]uint64 // incarnation of each member
	processes uint64            // the latest incarnation of any member
	open      map[string]int
	opening   map[string]int
	pending   []connecting // connection attempts in progress, in the order in which they end
	started   []time.Duration
	failedAt  map[string]time.Duration
}

func newHistory(options Options, seed uint64) *history {
	return &history{
		Prewarmer: New(options, historyConnections, rand.New(rand.NewPCG(seed, 1))),
		options:   options,
		now:       time.Hour,
		ready:     map[string]uint64{},
		open:      map[string]int{},
		opening:   map[string]int{},
		failedAt:  map[string]time.Duration{},
	}
}

func (h *history) totalOpen() (n int) {
	for _, k := range h.open {
		n += k
	}
	return n
}

// tick calls Tick and checks its result against the bounds.
func (h *history) tick(t *rapid.T) {
	before := h.totalOpen()
	for _, name := range h.Tick(h.now, func(name string) int { return h.open[name] }, before) {
		h.opening[name]++
		h.started = append(h.started, h.now)
		h.pending = append(h.pending, connecting{name, h.Process(name)})
		_, member := h.ready[name]
		if !member || h.open[name]+h.opening[name] > h.options.ConnectionsPerUpstream || before >= historyConnections/4 {
			t.Fatalf("connect to %s exceeds a bound: member %v, %d connections open, %d being opened, %d open to all members", name, member, h.open[name], h.opening[name], before)
		}
		if at, failed := h.failedAt[name]; failed && h.now-at < minBackoff/2 {
			t.Fatalf("connect to %s %v after a failed one, within its backoff", name, h.now-at)
		}
	}
	h.started = slices.DeleteFunc(h.started, func(at time.Duration) bool { return at <= h.now-time.Second })
	rate := h.options.Rate
	if n := len(h.started); float64(n) > rate+max(1, rate*burstSeconds)+1 {
		t.Fatalf("%d connects within a second exceed the rate of %v per second", n, rate)
	}
}

// finish ends the oldest pending connect.
func (h *history) finish(ok bool) {
	ended := h.pending[0]
	h.pending = h.pending[1:]
	if h.ready[ended.name] == ended.process {
		h.opening[ended.name]--
		delete(h.failedAt, ended.name)
		if ok {
			h.open[ended.name]++
		} else {
			h.failedAt[ended.name] = h.now
		}
	}
	h.Connected(h.now, ended.name, ended.process, ok)
}

// replace removes a member or gives it a new incarnation.
func (h *history) replace(name string, removed bool) {
	if removed {
		delete(h.ready, name)
	} else {
		h.processes++
		h.ready[name] = h.processes
	}
	delete(h.open, name)
	delete(h.opening, name)
	delete(h.failedAt, name)
	h.SetMembers(h.now, h.ready)
}

// useAll uses every member and lets every connect succeed, for long enough that all connections are open.
func (h *history) useAll(t *rapid.T) {
	for range 2000 {
		h.now += 100 * time.Millisecond
		for name := range h.ready {
			h.RecordUse(h.now, name)
		}
		h.tick(t)
		for len(h.pending) > 0 {
			h.finish(true)
		}
	}
}

// TestAnyHistory guards, over random histories, against more connection attempts than Rate, MaxFraction or ConnectionsPerUpstream
// allows, against attempts to connect to a removed member, or to a failing member within its backoff. It also guards against members that
// stay without connections: in the end each member that is used has all its connections if the limits allow it.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		options := Default()
		options.ConnectionsPerUpstream = 1 + draw(3)
		options.Rate = float64(1 + draw(30))
		options.Spread = units.Duration(time.Duration(draw(3000)) * time.Millisecond)
		h := newHistory(options, uint64(draw(1000)))
		for range 120 {
			h.now += time.Duration(draw(400)) * time.Millisecond
			name := fmt.Sprint("n", draw(8))
			switch draw(6) {
			case 0:
				h.replace(name, draw(2) == 0)
			case 1:
				h.RecordUse(h.now, name)
			case 2:
				if len(h.pending) > 0 {
					h.finish(draw(3) > 0)
				}
			case 3:
				if h.open[name] > 0 { // the upstream closes a connection
					h.open[name]--
				}
			default:
				h.tick(t)
			}
		}
		if len(h.ready)*options.ConnectionsPerUpstream > historyConnections/4 {
			return
		}
		h.useAll(t)
		for name := range h.ready {
			if h.open[name] != options.ConnectionsPerUpstream {
				t.Fatalf("%s has %d open connections, want %d", name, h.open[name], options.ConnectionsPerUpstream)
			}
		}
	})
}

// Guards against connections to all new members at once instead of spread over Spread, and against new connections to members that were not used
// recently.
func TestSpreadAndRecent(t *testing.T) {
	o := Default()
	o.Rate = 1000
	prewarmer := New(o, 10_000, rand.New(rand.NewPCG(1, 1)))
	ready := map[string]uint64{}
	for i := range 200 {
		ready[fmt.Sprint(i)] = 1
	}
	now := time.Hour
	prewarmer.SetMembers(now, ready)
	open := map[string]int{}
	halves := [2]int{}
	for i := range 40 {
		now += 50 * time.Millisecond
		for _, name := range prewarmer.Tick(now, func(name string) int { return open[name] }, len(open)) {
			open[name]++
			halves[i/20]++
			prewarmer.Connected(now, name, 1, true)
		}
	}
	if halves[0] < 60 || halves[1] < 60 || halves[0]+halves[1] != 200 {
		t.Errorf("connections opened in each half of Spread: %v, want at least 60 in each and 200 in all", halves)
	}
	clear(open)
	prewarmer.RecordUse(now, "7")
	again := 0
	for range 40 {
		now += 50 * time.Millisecond
		again += len(prewarmer.Tick(now, func(name string) int { return open[name] }, 0))
	}
	if again != 1 {
		t.Errorf("%d of 200 members get another connection, want only the member that was used", again)
	}
	if at, ok := prewarmer.Next(now); !ok || at < now {
		t.Errorf("Next returned %v, %v, want a time that has not passed", at, ok)
	}
}

// Guards against different results for the same seed, which processing the members in map order would cause.
func TestSameSeedSameTimes(t *testing.T) {
	run := func() (order []string) {
		prewarmer := New(Default(), 1000, rand.New(rand.NewPCG(1, 2)))
		ready := map[string]uint64{}
		for i := range 50 {
			ready[fmt.Sprint("u", i)] = 1
		}
		prewarmer.SetMembers(0, ready)
		for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
			order = append(order, prewarmer.Tick(now, func(string) int { return 0 }, 0)...)
		}
		return order
	}
	if a, b := run(), run(); len(a) < 50 || !slices.Equal(a, b) {
		t.Errorf("two runs with the same seed opened %d and %d connections, want the same ones in the same order and at least 50", len(a), len(b))
	}
}
