package membership

import (
	"testing"
	"time"
)

// identityCases are lists in which names, addresses and start times decide whether entries describe one upstream or several.
var identityCases = []struct {
	name  string
	steps func(h *harness)
}{
	{"one upstream under two names at the same address", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready))
		h.snapshot("eureka", entry("host:app:1", 1, ready))
		h.want("two entries at one address", "n1@1 Ready")
		h.change("eureka", entry("host:app:1", 1, StatusOutOfService))
		h.want("one source takes it out of service", "n1@1 Terminating")
	}},
	{"a new instance registers at the address of an old one", func(h *harness) {
		h.snapshot("eureka", entry("i1", 1, ready, 1))
		h.change("eureka", entry("i2", 1, ready, 90))
		h.want("the instance with the later start counts", "i2@1 Ready")
		h.change("eureka", entry("i1", 1, removed))
		h.want("the old instance is removed", "i2@1 Ready")
	}},
	{"a drain of the previous instance does not apply to the next", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1))
		h.change("list", entry("n1", 1, draining, 1))
		h.change("eureka", entry("i1", 1, ready, 1))
		h.want("the drained instance is up in the other source", "n1@1 Terminating")
		h.now = h.now.Add(90 * time.Minute)
		h.change("eureka", entry("i1", 1, removed), entry("i2", 1, ready, 88))
		h.want("a new instance starts at the address", "n1@1 Ready")
		if e := h.List()[0]; e.StartedMs != epochMs+88*60_000 {
			h.t.Errorf("start time of the upstream is %v, want the start time of the new instance", e.StartedMs)
		}
	}},
	{"an instance that changes its address in one source first", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1), entry("n2", 2, ready, 1))
		h.snapshot("eureka", entry("n1", 1, ready, 1), entry("n2", 2, ready, 1))
		h.change("eureka", entry("n1", 3, ready, 90))
		h.want("one source lists the new address", "n1@3 Ready, n2@2 Ready")
		h.change("eureka", entry("n3", 1, ready, 95))
		h.want("another instance starts at the old address", "n1@3 Ready, n2@2 Ready, n3@1 Ready")
		h.change("list", entry("n1", 3, ready, 90))
		h.want("both sources list the new address", "n1@3 Ready, n2@2 Ready, n3@1 Ready")
	}},
	{"a name is kept when its source is removed, until another source uses it", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1))
		h.snapshot("eureka", entry("i1", 1, ready, 1))
		h.apply(h.RemoveSource(h.now, "list"))
		h.want("the source of the name is removed", "n1@1 Ready")
		_ = h.AddSource("other", false)
		h.snapshot("other", entry("n1", 2, ready, 5))
		h.want("another source uses the name", "i1@1 Ready, n1@2 Ready")
	}},
	{"two entries of one list at the same address", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1), entry("n2", 1, draining, 2))
		h.want("the entry with the later start counts", "n2@1 Terminating")
	}},
	{"sources report slightly different start times", func(h *harness) {
		h.snapshot("list", entry("n1", 1, ready, 1))
		late := entry("n1", 1, ready, 1)
		late.StartedMs += 30_000
		h.snapshot("eureka", late)
		if len(h.notes) > 0 || h.List()[0].StartedMs != epochMs+60_000 {
			h.t.Errorf("a start time within the tolerance changed the list or left notes: %+v", h.List())
		}
	}},
}

// TestIdentity checks that entries of one upstream are merged, that entries of different upstreams are not merged, and that the end of an
// instance does not affect the next instance at its address.
func TestIdentity(t *testing.T) {
	for _, c := range identityCases {
		t.Run(c.name, func(t *testing.T) { c.steps(newHarness(t, Default(), "list", "eureka")) })
	}
}
