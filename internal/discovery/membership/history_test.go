package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/endpoints"
)

var (
	historySources  = []string{"a", "b", "c"}
	historyStatuses = []string{ready, ready, ready, draining, removed, StatusDown, StatusOutOfService, StatusStarting, StatusUnknown}
	historyEntry    = rapid.Custom(func(t *rapid.T) endpoints.Endpoint {
		return entry(fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "name")), rapid.IntRange(0, 4).Draw(t, "address"),
			rapid.SampledFrom(historyStatuses).Draw(t, "status"), rapid.IntRange(0, 3).Draw(t, "start"))
	})
)

// After any history the changes come to the list, nothing is ready that a source of its own name wants drained, and nothing is left
// behind at the end.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		o.MaxFlaps = rapid.IntRange(0, 4).Draw(t, "flaps")
		h := &harness{t: t, Merge: New(o), now: time.UnixMilli(epochMs), list: map[string]Change{}}
		for _, s := range historySources {
			_ = h.AddSource(s, false)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.randomStep(t)
			h.checkReady(t)
		}
		for _, s := range historySources {
			h.take(h.RemoveSource(h.now, s))
		}
		h.pass(time.Hour)
		if n := h.entriesHeld(); n != 0 || h.readyCount != 0 || h.heldCount != 0 {
			t.Fatalf("%d entries are held, %d ready, %d held back", n, h.readyCount, h.heldCount)
		}
	})
}

func (h *harness) randomStep(t *rapid.T) {
	source := rapid.SampledFrom(historySources).Draw(t, "source")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		h.take(h.Lost(h.now, source))
	case 1:
		h.take(h.Current(h.now, source))
	case 2:
		h.pass(time.Duration(rapid.IntRange(1, 2000).Draw(t, "seconds")) * time.Second)
	case 3:
		h.take(h.RemoveSource(h.now, source))
		_ = h.AddSource(source, false)
	case 4, 5:
		h.snapshot(source, rapid.SliceOfNDistinct(historyEntry, 0, 5, func(e endpoints.Endpoint) string { return e.Name }).Draw(t, "list")...)
	default:
		h.change(source, historyEntry.Draw(t, "change"))
	}
}

// checkReady checks the ready upstreams against the records that they are merged from, and their count.
func (h *harness) checkReady(t *rapid.T) {
	count := 0
	for _, u := range h.upstreams {
		if !u.listed || u.endpoint.Status != ready {
			continue
		}
		count++
		for _, r := range h.recordsByName[u.name] {
			wantsDrain := r.state == Draining || r.state == OutOfService || r.state == Down
			if wantsDrain && r.endpoint.Address == u.endpoint.Address && !h.isAged(r.source) && u.records[r] && !h.isReplaced(r) {
				t.Fatalf("%s is ready, and %s says %v", u.name, r.source.name, r.state)
			}
		}
	}
	if count != h.readyCount {
		t.Fatalf("%d are ready, %d counted", count, h.readyCount)
	}
}

// isReplaced reports whether a later instance at a record's address, in the same list or by another name, counts in its place.
func (h *harness) isReplaced(r *record) bool {
	return slices.ContainsFunc(h.recordsByAddress[r.endpoint.Address], func(o *record) bool {
		return o != r && o.endpoint.Name != r.endpoint.Name &&
			(o.source == r.source || o.endpoint.StartedMs > r.endpoint.StartedMs || o.state == Up)
	})
}
