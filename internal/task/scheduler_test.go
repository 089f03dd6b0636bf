package task

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A process claims no more than it has capacity for, the most urgent first, and nothing while it is draining; it forgets no task.
func TestScheduler(t *testing.T) {
	s := NewScheduler(SchedulerOptions{MaxRuns: 2, Spread: 100 * time.Millisecond, RecheckInterval: time.Second}, rand.New(rand.NewPCG(1, 1)))
	for i, name := range []string{"low", "high", "middle"} {
		s.Add(start, name, []int{1, 3, 2}[i])
	}
	now := start.Add(200 * time.Millisecond)
	s.SetDraining(true)
	if names := s.Due(now); len(names) != 0 {
		t.Errorf("it is draining and claims %v", names)
	}
	s.SetDraining(false)
	if names := fmt.Sprint(s.Due(now)); names != "[high middle]" {
		t.Errorf("claims %s", names)
	}
	if _, ok := s.Next(); ok || len(s.Due(now)) != 0 {
		t.Error("it claims more than its capacity")
	}
	s.Started("high")
	s.Waiting("middle", now.Add(time.Minute))
	if names := fmt.Sprint(s.Due(now)); names != "[low]" {
		t.Errorf("claims %s", names)
	}
	s.HeldElsewhere(now, "low")
	next, ok := s.Next()
	if !ok || next.Before(now.Add(500*time.Millisecond)) || next.After(now.Add(1500*time.Millisecond)) {
		t.Errorf("it tries again after %v", next.Sub(now))
	}
	s.Waiting("high", time.Time{}) // never again
	for range 2 {
		s.Waiting("high", now) // it is not claimed any more
	}
	if names := fmt.Sprint(s.Due(now.Add(time.Hour))); names != "[middle low]" {
		t.Errorf("claims %s", names)
	}
}
