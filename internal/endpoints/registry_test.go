package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/internal/clock"
)

// Guards against a process that is taken for another one: when it started stays as it was first understood, whatever the wall clock says as
// the next list comes. The decision module forgets what it knows of an upstream whose start changes.
func TestAStartIsUnderstoodOnce(t *testing.T) { synctest.Test(t, startIsUnderstoodOnce) }

func startIsUnderstoodOnce(t *testing.T) {
	d := New(clock.New(), nil)
	index := int64(1)
	start := float64(time.Now().Add(time.Hour).UnixMilli()) // ahead: by the wall clock alone it would move
	list := func(snapshot bool, since float64, status string) time.Duration {
		l := &List{Index: &index, Snapshot: snapshot, Endpoints: []Endpoint{{Name: "a", Address: "127.0.0.2:1", StartedMs: since, Status: status}}}
		return d.Apply(l).Endpoints[0].StartedAt
	}
	first := list(true, start, StatusReady)
	time.Sleep(2 * time.Millisecond) // of the test's own time
	for _, again := range []time.Duration{list(false, start, StatusReady), list(true, start, StatusReady), list(false, start, StatusTerminating),
		list(false, start, StatusReady)} {
		if again != first {
			t.Errorf("it started at %v, and then at %v", first, again)
		}
	}
	if next := list(false, start+5000, StatusReady); next == first {
		t.Error("another process has the same start")
	}
}
