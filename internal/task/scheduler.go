package task

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// SchedulerOptions are a Scheduler's parameters.
type SchedulerOptions struct {
	MaxRuns         int           // tasks that are claimed at once
	Spread          time.Duration // each process delays its claim of a due task at random by up to this, and by this for each run that goes on here
	RecheckInterval time.Duration // mean time until a task that another process holds is tried again: that process may be lost
}

// Scheduler decides when one process tries to acquire the lease of which task. It is not safe for concurrent use.
//
//	idle ── Due, at its next attempt ────────▶ claimed: its lease is being acquired
//	claimed ── Started ──────────────────────▶ claimed, running
//	claimed ── Waiting(at) ──────────────────▶ idle until at
//	claimed ── HeldElsewhere ────────────────▶ idle for a RecheckInterval
type Scheduler struct {
	options  SchedulerOptions
	rng      *rand.Rand
	tasks    []*scheduledTask // by falling priority
	claimed  int
	running  int
	draining bool
}

// scheduledTask is a task as a Scheduler sees it.
type scheduledTask struct {
	name        string
	priority    int
	nextAttempt time.Time // zero: never
	claimed     bool
	running     bool
}

// NewScheduler returns a Scheduler without tasks.
func NewScheduler(options SchedulerOptions, rng *rand.Rand) *Scheduler {
	return &Scheduler{options: options, rng: rng}
}

// Add adds a task. Where there is no capacity for all due tasks, a higher priority goes first.
func (s *Scheduler) Add(now time.Time, name string, priority int) {
	s.tasks = append(s.tasks, &scheduledTask{name: name, priority: priority, nextAttempt: now.Add(s.claimDelay())})
	slices.SortStableFunc(s.tasks, func(a, b *scheduledTask) int { return cmp.Compare(b.priority, a.priority) })
}

// SetDraining makes Due return nothing, or, with false, everything that is due again.
func (s *Scheduler) SetDraining(on bool) { s.draining = on }

// Due claims and returns the tasks whose leases are to be acquired now.
func (s *Scheduler) Due(now time.Time) (names []string) {
	for _, t := range s.tasks {
		if !s.hasCapacity() {
			break
		}
		if t.isPending() && !now.Before(t.nextAttempt) {
			t.claimed = true
			s.claimed++
			names = append(names, t.name)
		}
	}
	return names
}

// Next returns when Due may have something to return; false if only another event makes it so.
func (s *Scheduler) Next() (time.Time, bool) {
	var next time.Time
	if !s.hasCapacity() {
		return next, false
	}
	for _, t := range s.tasks {
		if t.isPending() && (next.IsZero() || t.nextAttempt.Before(next)) {
			next = t.nextAttempt
		}
	}
	return next, !next.IsZero()
}

// Started says that a claimed task runs here.
func (s *Scheduler) Started(name string) {
	if t := s.findClaimed(name); t != nil && !t.running {
		t.running = true
		s.running++
	}
}

// Waiting says that a claimed task is not due before at; zero: never again.
func (s *Scheduler) Waiting(name string, at time.Time) {
	if t := s.unclaim(name); t != nil {
		if t.nextAttempt = at; !at.IsZero() {
			t.nextAttempt = at.Add(s.claimDelay())
		}
	}
}

// HeldElsewhere says that another process holds a claimed task's lease, or that the group did not answer.
func (s *Scheduler) HeldElsewhere(now time.Time, name string) {
	if t := s.unclaim(name); t != nil {
		// At random around the interval, so that processes do not ask together.
		t.nextAttempt = now.Add(s.options.RecheckInterval/2 + time.Duration(s.rng.Int64N(int64(s.options.RecheckInterval))))
	}
}

// claimDelay draws how long after its due time a task is claimed here. A process that runs others comes later, so that runs spread.
func (s *Scheduler) claimDelay() time.Duration {
	delay := time.Duration(s.running) * s.options.Spread
	if s.options.Spread > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.options.Spread)))
	}
	return delay
}

// hasCapacity reports whether another task may be claimed.
func (s *Scheduler) hasCapacity() bool { return !s.draining && s.claimed < s.options.MaxRuns }

// isPending reports whether a task is to be claimed at its next attempt.
func (t *scheduledTask) isPending() bool { return !t.claimed && !t.nextAttempt.IsZero() }

// findClaimed returns a task that is claimed, nil if it is not.
func (s *Scheduler) findClaimed(name string) *scheduledTask {
	for _, t := range s.tasks {
		if t.name == name && t.claimed {
			return t
		}
	}
	return nil
}

// unclaim ends a task's claim and returns the task, nil if it was not claimed.
func (s *Scheduler) unclaim(name string) *scheduledTask {
	t := s.findClaimed(name)
	if t == nil {
		return nil
	}
	if t.running {
		t.running = false
		s.running--
	}
	t.claimed = false
	s.claimed--
	return t
}
