package task

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a process that claims more tasks than it has capacity for, claims them in another order than by priority, claims a task while it
// is draining, or never claims a task again.
func TestScheduler(t *testing.T) {
	s := NewScheduler(SchedulerOptions{MaxRuns: 2, Spread: 100 * time.Millisecond, RecheckInterval: time.Second}, rand.New(rand.NewPCG(1, 1)))
	for i, name := range []string{"low", "high", "middle"} {
		s.Add(start, name, []int{1, 3, 2}[i])
	}
	now := start.Add(200 * time.Millisecond)
	s.SetDraining(true)
	if names := s.Due(now); len(names) != 0 {
		t.Errorf("the draining process claims %v, want none", names)
	}
	s.SetDraining(false)
	if names := fmt.Sprint(s.Due(now)); names != "[high middle]" {
		t.Errorf("the first two claims are %s, want [high middle]", names)
	}
	if _, ok := s.Next(); ok || len(s.Due(now)) != 0 {
		t.Error("the process claims more tasks than its capacity of 2")
	}
	s.Started("high")
	s.Waiting("middle", now.Add(time.Minute))
	if names := fmt.Sprint(s.Due(now)); names != "[low]" {
		t.Errorf("after one claim has ended, the process claims %s, want [low]", names)
	}
	s.HeldElsewhere(now, "low")
	next, ok := s.Next()
	if !ok || next.Before(now.Add(500*time.Millisecond)) || next.After(now.Add(1500*time.Millisecond)) {
		t.Errorf("a lease held elsewhere is requested again after %v, want 0.5 s to 1.5 s", next.Sub(now))
	}
	s.Waiting("high", time.Time{}) // never due again
	for range 2 {
		s.Waiting("high", now) // has no effect: the task is not claimed any more
	}
	if names := fmt.Sprint(s.Due(now.Add(time.Hour))); names != "[middle low]" {
		t.Errorf("one hour later, the process claims %s, want [middle low]", names)
	}
}
