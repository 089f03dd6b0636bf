package membership

import (
	"testing"
	"time"
)

// identityCases are lists of one upstream, or several, by names, addresses and starts.
var identityCases = []struct {
	name  string
	steps func(h *harness)
}{
	{"by id here, by address there", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready))
		h.snapshot("eureka", entry("host:app:1", 1, ready))
		h.want("one", "n1@1 Ready")
		h.change("eureka", entry("host:app:1", 1, StatusOutOfService))
		h.want("out of service", "n1@1 Terminating")
	}},
	{"a new instance at the old address, registered anew", func(h *harness) {
		h.snapshot("eureka", entry("i1", 1, ready, 1))
		h.change("eureka", entry("i2", 1, ready, 90))
		h.want("the later one", "i2@1 Ready")
		h.change("eureka", entry("i1", 1, removed))
		h.want("the old lease ends", "i2@1 Ready")
	}},
	{"the old list drains the instance before", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1))
		h.change("list", entry("n1", 1, draining, 1))
		h.change("eureka", entry("i1", 1, ready, 1))
		h.want("the same instance", "n1@1 Terminating")
		h.now = h.now.Add(90 * time.Minute)
		h.change("eureka", entry("i1", 1, removed), entry("i2", 1, ready, 88))
		h.want("another", "n1@1 Ready")
		if e := h.List()[0]; e.StartedMs != epochMs+88*60_000 {
			h.t.Errorf("started at %v", e.StartedMs)
		}
	}},
	{"an address that moves, in one list first", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1), entry("n2", 2, ready, 1))
		h.snapshot("eureka", entry("n1", 1, ready, 1), entry("n2", 2, ready, 1))
		h.change("eureka", entry("n1", 3, ready, 90))
		h.want("moved", "n1@3 Ready, n2@2 Ready")
		h.change("eureka", entry("n3", 1, ready, 95))
		h.want("another at the old address", "n1@3 Ready, n2@2 Ready, n3@1 Ready")
		h.change("list", entry("n1", 3, ready, 90))
		h.want("agreed", "n1@3 Ready, n2@2 Ready, n3@1 Ready")
	}},
	{"a name kept when its source is removed, and given back", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1))
		h.snapshot("eureka", entry("i1", 1, ready, 1))
		h.take(h.RemoveSource(h.now, "list"))
		h.want("kept", "n1@1 Ready")
		_ = h.AddSource("other", false)
		h.snapshot("other", entry("n1", 2, ready, 5))
		h.want("claimed", "i1@1 Ready, n1@2 Ready")
	}},
	{"duplicates in one list", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1), entry("n2", 1, draining, 2))
		h.want("the later start counts", "n2@1 Terminating")
	}},
	{"a start that sources see differently", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1))
		late := entry("n1", 1, ready, 1)
		late.StartedMs += 30_000
		h.snapshot("eureka", late)
		if len(h.notes) > 0 || h.List()[0].StartedMs != epochMs+60_000 {
			h.t.Errorf("%+v", h.List())
		}
	}},
}

// One upstream is not taken for two nor two for one, and the end of an instance does not bind the next one.
func TestIdentity(t *testing.T) {
	for _, c := range identityCases {
		t.Run(c.name, func(t *testing.T) { c.steps(newHarness(t, Default(), "list", "eureka")) })
	}
}
