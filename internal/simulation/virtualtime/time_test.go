package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// TestEventsRunInOrder checks that events run in the order of their times, and then of their scheduling. It also checks
// that an event scheduled for the past runs at the current time, and that an event beyond the end of Run waits for the
// next Run.
func TestEventsRunInOrder(t *testing.T) {
	clock := New()
	var ran []string
	event := func(name string, at time.Duration) func() {
		return func() {
			if clock.Since() != at {
				t.Errorf("event %s ran at %v, want %v", name, clock.Since(), at)
			}
			ran = append(ran, name)
		}
	}
	clock.At(Origin+2*time.Second, event("second", 2*time.Second))
	clock.After(time.Second, func() {
		event("first", time.Second)()
		clock.At(Origin, event("past", time.Second))
		clock.After(time.Second, event("after second", 2*time.Second))
	})
	clock.At(Origin+2*time.Second, event("beside second", 2*time.Second))
	clock.At(Origin+3*time.Second+1, event("beyond", 3*time.Second+1))
	clock.Run(3 * time.Second)
	if want := []string{"first", "past", "second", "beside second", "after second"}; !slices.Equal(ran, want) {
		t.Errorf("events ran in the order %q, want %q", ran, want)
	}
	if clock.Since() != 3*time.Second {
		t.Errorf("the first Run ended at %v, want 3s", clock.Since())
	}
	clock.Run(4 * time.Second)
	if ran[len(ran)-1] != "beyond" || clock.Now() != Origin+4*time.Second {
		t.Errorf("the last event of the second Run was %q and it ended at %v, want \"beyond\" and 4s", ran[len(ran)-1], clock.Since())
	}
}
