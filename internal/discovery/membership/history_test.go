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

// TestAnyHistory passes random inputs to a Merge and checks three properties. The returned changes add up to the merged list. An upstream
// is not ready while a source reports it as draining, out of service or down under the same name. No entry remains after all sources were
// removed.
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
			h.apply(h.RemoveSource(h.now, s))
		}
		h.advance(time.Hour)
		if n := h.entriesHeld(); n != 0 || h.readyCount != 0 || h.heldCount != 0 {
			t.Fatalf("after all sources were removed, %d table entries, %d ready and %d held-back upstreams remain", n, h.readyCount, h.heldCount)
		}
	})
}

func (h *harness) randomStep(t *rapid.T) {
	source := rapid.SampledFrom(historySources).Draw(t, "source")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		h.apply(h.Lost(h.now, source))
	case 1:
		h.apply(h.Current(h.now, source))
	case 2:
		h.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "seconds")) * time.Second)
	case 3:
		h.apply(h.RemoveSource(h.now, source))
		_ = h.AddSource(source, false)
	case 4, 5:
		h.snapshot(source, rapid.SliceOfNDistinct(historyEntry, 0, 5, func(e endpoints.Endpoint) string { return e.Name }).Draw(t, "list")...)
	default:
		h.change(source, historyEntry.Draw(t, "change"))
	}
}

// checkReady checks the ready upstreams against the records that they are merged from, and checks Merge.readyCount.
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
				t.Fatalf("upstream %s is ready although source %s reports the upstream as %v", u.name, r.source.name, r.state)
			}
		}
	}
	if count != h.readyCount {
		t.Fatalf("%d upstreams are ready, but readyCount is %d", count, h.readyCount)
	}
}

// isReplaced reports whether a record under another name at the same address may count in place of r. Such a record belongs to the same
// source, has a later start time, or is up.
func (h *harness) isReplaced(r *record) bool {
	return slices.ContainsFunc(h.recordsByAddress[r.endpoint.Address], func(o *record) bool {
		return o != r && o.endpoint.Name != r.endpoint.Name &&
			(o.source == r.source || o.endpoint.StartedMs > r.endpoint.StartedMs || o.state == Up)
	})
}
