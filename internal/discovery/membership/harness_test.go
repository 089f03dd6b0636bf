package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
)

const (
	ready    = endpoints.StatusReady
	draining = endpoints.StatusTerminating
	removed  = endpoints.StatusGone
)

// epochMs is the time at which a test begins, as Unix time in milliseconds. The start times of its endpoints are relative to epochMs.
const epochMs = 1e12

// harness passes inputs to a Merge, and builds a copy of the merged list only from the changes that the Merge returns.
type harness struct {
	t interface {
		Helper()
		Errorf(string, ...any)
		Fatalf(string, ...any)
	}
	*Merge
	now   time.Time
	list  map[string]Change
	notes []string
}

func newHarness(t testing.TB, o Options, sources ...string) *harness {
	h := &harness{t: t, Merge: New(o), now: time.UnixMilli(epochMs), list: map[string]Change{}}
	for _, s := range sources {
		if err := h.AddSource(s, false); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// apply applies the changes of an output to the harness's list, and checks that this list equals the merged list.
func (h *harness) apply(o Output) {
	h.t.Helper()
	h.notes = append(h.notes, o.Notes...)
	for _, c := range o.Changes {
		if c.Reason == "" {
			h.t.Errorf("change of upstream %s to status %s has no reason", c.Name, c.Status)
		}
		if c.Status == endpoints.StatusGone {
			delete(h.list, c.Name)
		} else {
			h.list[c.Name] = c
		}
	}
	list := h.List()
	if len(list) != len(h.list) {
		h.t.Fatalf("the changes add up to the list %v, but List returns %v", h.list, list)
	}
	for _, e := range list {
		if h.list[e.Name].Endpoint != e {
			h.t.Fatalf("the changes add up to the endpoint %+v, but List returns %+v", h.list[e.Name].Endpoint, e)
		}
	}
}

func (h *harness) snapshot(source string, entries ...endpoints.Endpoint) {
	h.t.Helper()
	h.apply(h.Update(h.now, source, &endpoints.List{Snapshot: true, Endpoints: entries}))
}

func (h *harness) change(source string, entries ...endpoints.Endpoint) {
	h.t.Helper()
	h.apply(h.Update(h.now, source, &endpoints.List{Endpoints: entries}))
}

// advance advances the time by d, and calls Tick at the time of each timer.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	end := h.now.Add(d)
	for next := h.Next(); !next.IsZero() && !next.After(end); next = h.Next() {
		if next.After(h.now) {
			h.now = next
		}
		h.apply(h.Tick(h.now))
	}
	h.now = end
	h.apply(h.Tick(h.now))
}

// listText returns the merged list as "name@address status", sorted by name. The address is without its prefix 10.0.0.
func (h *harness) listText() string {
	var out []string
	for _, e := range h.List() {
		out = append(out, fmt.Sprintf("%s@%s %s", e.Name, strings.TrimPrefix(e.Address, "10.0.0."), e.Status))
	}
	return strings.Join(out, ", ")
}

func (h *harness) want(step, list string) {
	h.t.Helper()
	if got := h.listText(); got != list {
		h.t.Errorf("%s: merged list is %q, want %q", step, got, list)
	}
}

// wantCounts checks how many upstreams of the merged list are ready and how many are draining.
func (h *harness) wantCounts(step string, wantReady, wantDraining int) {
	h.t.Helper()
	if gotReady, gotDraining := h.count(ready), h.count(draining); gotReady != wantReady || gotDraining != wantDraining {
		h.t.Errorf("%s: %d upstreams ready and %d draining, want %d and %d; notes %q", step, gotReady, gotDraining, wantReady, wantDraining, h.notes)
	}
}

func (h *harness) count(status string) (n int) {
	for _, e := range h.List() {
		if e.Status == status {
			n++
		}
	}
	return n
}

// entry returns an endpoint with a name, an address in 10.0.0.0/24 and a status. startMinutes, if given, is its start in minutes after
// epochMs.
func entry(name string, address int, status string, startMinutes ...int) endpoints.Endpoint {
	e := endpoints.Endpoint{Name: name, Address: fmt.Sprintf("10.0.0.%d", address), Status: status}
	if len(startMinutes) > 0 {
		e.StartedMs = epochMs + float64(startMinutes[0])*60_000
	}
	return e
}

// fleet returns count endpoints named n00, n01, ..., all with the given status.
func fleet(count int, status string) (all []endpoints.Endpoint) {
	for i := range count {
		all = append(all, entry(fmt.Sprintf("n%02d", i), i, status, 1))
	}
	return all
}
