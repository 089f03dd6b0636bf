package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/internal/clock"
)

// TestStartTimeIsConvertedOnce checks that a start time keeps its converted value when a later list repeats it. A second conversion would
// give another value after a step of the wall clock, and the balancer discards the statistics of an endpoint whose start time changes.
func TestStartTimeIsConvertedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := New(clock.New(), nil)
		version := int64(1)
		startedMs := float64(time.Now().Add(time.Hour).UnixMilli()) // in the future, so that a second conversion would give a later time
		apply := func(snapshot bool, startedMs float64, status string) time.Duration {
			l := &List{Index: &version, Snapshot: snapshot, Endpoints: []Endpoint{{Name: "a", Address: "127.0.0.2:1", StartedMs: startedMs, Status: status}}}
			return registry.Apply(l).Endpoints[0].StartedAt
		}
		first := apply(true, startedMs, StatusReady)
		time.Sleep(2 * time.Millisecond) // of virtual time
		for _, c := range []struct {
			name     string
			snapshot bool
			status   string
		}{
			{"a change", false, StatusReady},
			{"a snapshot", true, StatusReady},
			{"a drain", false, StatusTerminating},
			{"ready again", false, StatusReady},
		} {
			if got := apply(c.snapshot, startedMs, c.status); got != first {
				t.Errorf("after %s: the endpoint's start time is %v, want the unchanged %v", c.name, got, first)
			}
		}
		if next := apply(false, startedMs+5000, StatusReady); next == first {
			t.Error("an endpoint listed with a new start time still has the start time of its previous instance")
		}
	})
}
