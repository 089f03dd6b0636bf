package discovery

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/endpoints"
)

// scriptedSource is a Source whose reports the test makes, through its sink.
type scriptedSource struct {
	running   chan struct{} // closed by Run
	sink      Sink          // the sink that was passed to Run
	refreshes int
}

func newScriptedSource() *scriptedSource { return &scriptedSource{running: make(chan struct{})} }

func (s *scriptedSource) Run(ctx context.Context, sink Sink) {
	s.sink = sink
	close(s.running)
	<-ctx.Done()
}

func (s *scriptedSource) Refresh() { s.refreshes++ }

// snapshotOf returns a snapshot of entries such as "n1 Ready".
func snapshotOf(entries ...string) *endpoints.List {
	l := &endpoints.List{Index: new(int64), Snapshot: true}
	for _, e := range entries {
		name, status, _ := strings.Cut(e, " ")
		l.Endpoints = append(l.Endpoints, endpoints.Endpoint{Name: name, Address: "127.0.0.2:" + name[1:], Status: status})
	}
	return l
}

// mergedHarness is a MergedSource that runs in virtual time. Its primary source "list" starts with n1, and its other source is "eureka".
type mergedHarness struct {
	*MergedSource
	primary, eureka *scriptedSource
	registry        *endpoints.Registry
	stop            func() // ends Run and waits for it

	mu       sync.Mutex
	failures int // number of UpdateFailed reports to the balancer
}

func startMerged(t *testing.T) *mergedHarness {
	t.Helper()
	h := &mergedHarness{primary: newScriptedSource(), eureka: newScriptedSource(), registry: endpoints.New(clock.New(), nil)}
	var err error
	h.MergedSource, err = NewMergedSource(membership.Default(), nil,
		NamedSource{Name: "list", Source: h.primary, Initial: snapshotOf("n1 Ready"), Primary: true}, NamedSource{Name: "eureka", Source: h.eureka})
	if err != nil {
		t.Fatal(err)
	}
	sink := NewRegistrySink(h.registry, func(u balancer.EndpointUpdate) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if u.Kind == balancer.UpdateFailed {
			h.failures++
		}
	})
	sink.Apply(h.Load())
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { h.Run(ctx, sink) })
	h.stop = func() {
		cancel()
		running.Wait()
	}
	<-h.primary.running
	<-h.eureka.running
	return h
}

// wantReady checks which endpoints are ready after a step.
func (h *mergedHarness) wantReady(t *testing.T, step string, want ...string) {
	t.Helper()
	synctest.Wait()
	var got []string
	for name := range h.registry.Instances() {
		got = append(got, name)
	}
	if slices.Sort(got); !slices.Equal(got, want) {
		t.Errorf("step %q: %v are ready, want %v", step, got, want)
	}
}

// TestMergedSourceThroughOutage guards against endpoints that disappear from the merged list when the Eureka registry is unreachable for a
// long time, removes all its endpoints at once, or is replaced or removed. It also guards against due changes that no timer reports.
func TestMergedSourceThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startMerged(t)
		h.wantReady(t, "initial list", "n1")
		h.eureka.sink.Update(snapshotOf("n1 Ready", "n2 Ready", "n3 Ready", "n4 Ready"))
		h.wantReady(t, "both sources report", "n1", "n2", "n3", "n4")
		outageOfRegistry(t, h)
		massRemovalByRegistry(t, h)
		next := replaceRegistry(t, h)
		h.Refresh()
		h.primary.sink.Lost(errors.New("broken"), false)
		synctest.Wait()
		if h.primary.refreshes != 1 || next.refreshes != 0 || h.failures != 1 {
			t.Errorf("%d refreshes of the primary source, %d of the Eureka source, %d failures reported; want 1, 0, 1", h.primary.refreshes, next.refreshes, h.failures)
		}
		h.Update("list", snapshotOf("n5 Ready"))
		h.wantReady(t, "list of the primary source updated by Update", "n4", "n5")
		h.Remove("eureka")
		h.wantReady(t, "Eureka registry removed", "n5")
		h.stop()
		h.Update("list", snapshotOf("n6 Ready"))
		h.wantReady(t, "update after Run returned", "n5")
	})
}

// outageOfRegistry reports the Eureka registry as lost for longer than SilentSourceHold. The registry's endpoints must stay until then, and
// be withdrawn one at a time afterwards.
func outageOfRegistry(t *testing.T, h *mergedHarness) {
	t.Helper()
	for range 60 { // ten minutes
		h.eureka.sink.Lost(errors.New("unreachable"), true)
		h.primary.sink.Current()
		time.Sleep(10 * time.Second)
	}
	h.wantReady(t, "Eureka registry lost for ten minutes", "n1", "n2", "n3", "n4")
	h.primary.sink.Update(snapshotOf("n1 Terminating"))
	h.wantReady(t, "n1 draining during the outage", "n2", "n3", "n4")
	time.Sleep(6 * time.Minute)
	h.wantReady(t, "hold expired, and no other source lists a ready endpoint", "n2", "n3", "n4")
	h.primary.sink.Update(snapshotOf("n1 Terminating", "n5 Ready"))
	time.Sleep(100 * time.Second)
	h.wantReady(t, "hold expired: one endpoint withdrawn at a time", "n3", "n4", "n5")
}

// massRemovalByRegistry checks that removals of all endpoints at once take effect only after MassRemovalHold, which is a minute.
func massRemovalByRegistry(t *testing.T, h *mergedHarness) {
	t.Helper()
	h.primary.sink.Update(snapshotOf("n1 Terminating"))
	time.Sleep(2 * time.Minute) // longer than MassRemovalHold, since the list no longer has n5, its only ready endpoint
	h.eureka.sink.Update(snapshotOf("n2 Ready", "n3 Ready", "n4 Ready"))
	h.wantReady(t, "Eureka registry reports again, without n1", "n2", "n3", "n4")
	h.eureka.sink.Update(snapshotOf())
	time.Sleep(59 * time.Second)
	h.wantReady(t, "empty list of the Eureka registry within MassRemovalHold", "n2", "n3", "n4")
}

// replaceRegistry replaces the source of the Eureka registry and returns the new one.
func replaceRegistry(t *testing.T, h *mergedHarness) *scriptedSource {
	t.Helper()
	next := newScriptedSource()
	h.Replace("eureka", next)
	<-next.running
	h.wantReady(t, "source replaced, and the new one has not reported yet", "n2", "n3", "n4")
	time.Sleep(2 * time.Second)
	h.wantReady(t, "empty list after MassRemovalHold")
	next.sink.Update(snapshotOf("n4 Ready"))
	h.wantReady(t, "list of the new source", "n4")
	return next
}
