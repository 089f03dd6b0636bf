package membership

import (
	"fmt"
	"testing"
	"time"
)

// timeCases are losses, removals and flaps, by the time that has passed.
var timeCases = []struct {
	name  string
	steps func(h *harness)
}{
	{"gone outweighs up for a while", func(h *harness) {
		h.snapshot("list", fleet(10, ready)...)
		h.snapshot("eureka", fleet(10, ready)...)
		h.snapshot("list", fleet(9, ready)...)
		h.wantCounts("at once", 9, 0)
		h.pass(29 * time.Second)
		h.wantCounts("held", 9, 0)
		h.pass(2 * time.Second)
		h.wantCounts("moved to the other", 10, 0)
	}},
	{"the only source is lost", func(h *harness) {
		h.snapshot("list", fleet(10, ready)...)
		h.take(h.Lost(h.now, "list"))
		h.take(h.Lost(h.now, "eureka"))
		h.pass(5 * time.Hour)
		h.wantCounts("kept", 10, 0)
		h.snapshot("list", fleet(8, ready)...)
		h.wantCounts("back", 8, 0)
	}},
	{"one of two is lost", func(h *harness) {
		h.snapshot("list", fleet(20, ready)...)
		h.snapshot("eureka", fleet(10, ready)...)
		h.change("list", entry("n00", 0, draining, 1))
		h.take(h.Lost(h.now, "list"))
		h.pass(14 * time.Minute)
		h.wantCounts("kept, and the drain too", 19, 1)
		h.pass(2 * time.Minute)
		h.wantCounts("aged: a tenth is withdrawn, the other is believed", 18, 0)
		h.pass(20 * time.Minute)
		h.wantCounts("what the other lists", 10, 0)
		h.take(h.Current(h.now, "list"))
		h.wantCounts("back, drain and all", 19, 1)
	}},
	{"a registry that restarts empty", func(h *harness) {
		h.snapshot("eureka", fleet(10, ready)...)
		h.snapshot("list", entry("n00", 0, ready, 1))
		h.snapshot("eureka")
		h.wantCounts("doubted", 10, 0)
		h.change("list", entry("n00", 0, draining, 1))
		h.wantCounts("a drain is believed", 9, 1)
		h.snapshot("eureka", fleet(6, ready)...)
		h.pass(61 * time.Second)
		h.wantCounts("filled up again to six", 5, 1)
	}},
	{"one by one within the window", func(h *harness) {
		h.snapshot("eureka", fleet(10, ready)...)
		for n := 9; n >= 2; n-- {
			h.snapshot("eureka", fleet(n, ready)...)
			h.pass(100 * time.Millisecond)
		}
		h.wantCounts("doubted from the sixth on", 10, 0)
		h.snapshot("eureka", fleet(10, ready)...)
		h.pass(2 * time.Minute)
		h.wantCounts("nothing has happened", 10, 0)
	}},
	{"all drain at once", func(h *harness) {
		h.snapshot("eureka", fleet(10, ready)...)
		h.snapshot("eureka", fleet(10, StatusOutOfService)...)
		h.wantCounts("believed", 0, 10)
	}},
	{"another source agrees to a removal", func(h *harness) {
		h.snapshot("eureka", fleet(4, ready)...)
		h.snapshot("list", fleet(4, ready)...)
		h.change("list", entry("n00", 0, removed))
		h.snapshot("eureka")
		h.wantCounts("the one of which both say so", 3, 0)
	}},
	{"flapping", func(h *harness) {
		h.snapshot("list", fleet(10, ready)...)
		flap := func(name string, address, times int) {
			for range times {
				h.change("list", entry(name, address, draining, 1))
				h.now = h.now.Add(time.Second)
				h.change("list", entry(name, address, ready, 1))
			}
		}
		flap("n00", 0, 3)
		h.wantCounts("three times", 10, 0)
		flap("n00", 0, 1)
		h.wantCounts("held back", 9, 1)
		flap("n01", 1, 4)
		flap("n02", 2, 4)
		h.wantCounts("no more than a quarter", 8, 2)
		h.pass(11 * time.Second)
		h.wantCounts("ready again", 10, 0)
	}},
	{"many short-lived endpoints leave nothing behind", func(h *harness) {
		for i := range 200 {
			h.change("list", entry(fmt.Sprint("x", i), i, ready, 1))
			h.change("list", entry(fmt.Sprint("x", i), i, draining, 1), entry(fmt.Sprint("x", i), i, removed))
		}
		h.pass(10 * time.Minute)
		if n := h.entriesHeld() + len(h.sourcesByName["list"].records); n != 0 {
			h.t.Errorf("%d entries are held", n)
		}
	}},
}

// entriesHeld returns the size of all tables but the sources'.
func (m *Merge) entriesHeld() int {
	return len(m.recordsByName) + len(m.recordsByAddress) + len(m.upstreams) + len(m.timers)
}

// A source's loss, a registry that restarts empty and flapping upstreams do not empty the merged list, and do not hold up a drain.
func TestRulesByTime(t *testing.T) {
	for _, c := range timeCases {
		t.Run(c.name, func(t *testing.T) { c.steps(newHarness(t, Default(), "list", "eureka")) })
	}
}
