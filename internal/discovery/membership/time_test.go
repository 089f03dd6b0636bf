package membership

import (
	"fmt"
	"testing"
	"time"
)

// timeCases are losses, removals and flaps whose effect depends on the time that has passed.
var timeCases = []struct {
	name  string
	steps func(h *harness)
}{
	{"a removal outweighs up for RemovalHold", func(h *harness) {
		h.snapshot("list", fleet(10, ready)...)
		h.snapshot("eureka", fleet(10, ready)...)
		h.snapshot("list", fleet(9, ready)...)
		h.wantCounts("immediately after the removal", 9, 0)
		h.advance(29 * time.Second)
		h.wantCounts("within RemovalHold", 9, 0)
		h.advance(2 * time.Second)
		h.wantCounts("after RemovalHold the other source counts", 10, 0)
	}},
	{"the only source is lost", func(h *harness) {
		h.snapshot("list", fleet(10, ready)...)
		h.apply(h.Lost(h.now, "list"))
		h.apply(h.Lost(h.now, "eureka"))
		h.advance(5 * time.Hour)
		h.wantCounts("the last list stays", 10, 0)
		h.snapshot("list", fleet(8, ready)...)
		h.wantCounts("the source has recovered with a shorter list", 8, 0)
	}},
	{"one of two is lost", func(h *harness) {
		h.snapshot("list", fleet(20, ready)...)
		h.snapshot("eureka", fleet(10, ready)...)
		h.change("list", entry("n00", 0, draining, 1))
		h.apply(h.Lost(h.now, "list"))
		h.advance(14 * time.Minute)
		h.wantCounts("the last list stays, including the drain", 19, 1)
		h.advance(2 * time.Minute)
		h.wantCounts("aged: a tenth is withdrawn, and the other source takes precedence", 18, 0)
		h.advance(20 * time.Minute)
		h.wantCounts("only the other source's upstreams remain", 10, 0)
		h.apply(h.Current(h.now, "list"))
		h.wantCounts("the source has recovered, including the drain", 19, 1)
	}},
	{"a registry that restarts empty", func(h *harness) {
		h.snapshot("eureka", fleet(10, ready)...)
		h.snapshot("list", entry("n00", 0, ready, 1))
		h.snapshot("eureka")
		h.wantCounts("the removal of all is doubted", 10, 0)
		h.change("list", entry("n00", 0, draining, 1))
		h.wantCounts("a drain takes effect", 9, 1)
		h.snapshot("eureka", fleet(6, ready)...)
		h.advance(61 * time.Second)
		h.wantCounts("six instances have registered again", 5, 1)
	}},
	{"removals one by one within MassRemovalWindow", func(h *harness) {
		h.snapshot("eureka", fleet(10, ready)...)
		for n := 9; n >= 2; n-- {
			h.snapshot("eureka", fleet(n, ready)...)
			h.advance(100 * time.Millisecond)
		}
		h.wantCounts("all removals are doubted once they are more than half", 10, 0)
		h.snapshot("eureka", fleet(10, ready)...)
		h.advance(2 * time.Minute)
		h.wantCounts("all are listed again", 10, 0)
	}},
	{"all drain at once", func(h *harness) {
		h.snapshot("eureka", fleet(10, ready)...)
		h.snapshot("eureka", fleet(10, StatusOutOfService)...)
		h.wantCounts("all drains take effect", 0, 10)
	}},
	{"another source agrees to a removal", func(h *harness) {
		h.snapshot("eureka", fleet(4, ready)...)
		h.snapshot("list", fleet(4, ready)...)
		h.change("list", entry("n00", 0, removed))
		h.snapshot("eureka")
		h.wantCounts("the one upstream that both sources removed is removed", 3, 0)
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
		h.wantCounts("after three flaps", 10, 0)
		flap("n00", 0, 1)
		h.wantCounts("held back after the fourth flap", 9, 1)
		flap("n01", 1, 4)
		flap("n02", 2, 4)
		h.wantCounts("no more than a quarter is held back", 8, 2)
		h.advance(11 * time.Second)
		h.wantCounts("ready again after FlapHold", 10, 0)
	}},
	{"many short-lived endpoints leave nothing behind", func(h *harness) {
		for i := range 200 {
			h.change("list", entry(fmt.Sprint("x", i), i, ready, 1))
			h.change("list", entry(fmt.Sprint("x", i), i, draining, 1), entry(fmt.Sprint("x", i), i, removed))
		}
		h.advance(10 * time.Minute)
		if n := h.entriesHeld() + len(h.sourcesByName["list"].records); n != 0 {
			h.t.Errorf("%d table entries remain after all endpoints were removed", n)
		}
	}},
}

// entriesHeld returns the number of entries in all tables of the Merge except the tables of its sources.
func (m *Merge) entriesHeld() int {
	return len(m.recordsByName) + len(m.recordsByAddress) + len(m.upstreams) + len(m.timers)
}

// TestRulesByTime checks that the loss of a source, a registry that restarts empty, and flapping upstreams neither empty the merged list
// nor delay a drain.
func TestRulesByTime(t *testing.T) {
	for _, c := range timeCases {
		t.Run(c.name, func(t *testing.T) { c.steps(newHarness(t, Default(), "list", "eureka")) })
	}
}
