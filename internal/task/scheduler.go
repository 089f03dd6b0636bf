package task

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// SchedulerOptions are a Scheduler's parameters.
type SchedulerOptions struct {
	MaxRuns         int           // maximum number of tasks claimed at once
	Spread          time.Duration // a claim is delayed after its due time by a random time below Spread, plus Spread for each run in this process
	RecheckInterval time.Duration // mean time after which a lease that another process holds is requested again, because that process may be lost
}

// Scheduler decides when this process tries to acquire the lease of each task. It is not safe for concurrent use.
//
//	idle ── Due, at its next attempt ────────▶ claimed: its lease is being acquired
//	claimed ── Started ──────────────────────▶ claimed, running
//	claimed ── Waiting(at) ──────────────────▶ idle until at
//	claimed ── HeldElsewhere ────────────────▶ idle for a RecheckInterval
type Scheduler struct {
	options  SchedulerOptions
	rng      *rand.Rand
	tasks    []*scheduledTask // in order of descending priority
	claimed  int
	running  int
	draining bool
}

// scheduledTask is the Scheduler's state of a task.
type scheduledTask struct {
	name        string
	priority    int
	nextAttempt time.Time // the zero time if the task is never to be claimed
	claimed     bool
	running     bool
}

// NewScheduler returns a Scheduler without tasks.
func NewScheduler(options SchedulerOptions, rng *rand.Rand) *Scheduler {
	return &Scheduler{options: options, rng: rng}
}

// Add adds a task. If there is no capacity for all due tasks, those of higher priority are claimed first.
func (s *Scheduler) Add(now time.Time, name string, priority int) {
	s.tasks = append(s.tasks, &scheduledTask{name: name, priority: priority, nextAttempt: now.Add(s.claimDelay())})
	slices.SortStableFunc(s.tasks, func(a, b *scheduledTask) int { return cmp.Compare(b.priority, a.priority) })
}

// SetDraining sets whether the process is draining. While the process is draining, Due returns no tasks.
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

// Next returns when Due may next return a task, or false if that depends on another event.
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

// Started records that the run of a claimed task has started in this process.
func (s *Scheduler) Started(name string) {
	if t := s.findClaimed(name); t != nil && !t.running {
		t.running = true
		s.running++
	}
}

// Waiting ends the claim of a task that is not due yet. The parameter at is the time before which the task is not due. If it is zero, the
// task is never due again.
func (s *Scheduler) Waiting(name string, at time.Time) {
	if t := s.unclaim(name); t != nil {
		if t.nextAttempt = at; !at.IsZero() {
			t.nextAttempt = at.Add(s.claimDelay())
		}
	}
}

// HeldElsewhere ends the claim of a task whose lease another process holds, or for which the lease group did not reply.
func (s *Scheduler) HeldElsewhere(now time.Time, name string) {
	if t := s.unclaim(name); t != nil {
		// The time is randomized around the interval, so that processes do not request the lease at the same time.
		t.nextAttempt = now.Add(s.options.RecheckInterval/2 + time.Duration(s.rng.Int64N(int64(s.options.RecheckInterval))))
	}
}

// claimDelay returns a random delay of a task's claim after its due time. A process with more runs in progress waits longer, so that the runs
// spread over the processes.
func (s *Scheduler) claimDelay() time.Duration {
	delay := time.Duration(s.running) * s.options.Spread
	if s.options.Spread > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.options.Spread)))
	}
	return delay
}

// hasCapacity reports whether another task may be claimed.
func (s *Scheduler) hasCapacity() bool { return !s.draining && s.claimed < s.options.MaxRuns }

// isPending reports whether a task is to be claimed at its nextAttempt.
func (t *scheduledTask) isPending() bool { return !t.claimed && !t.nextAttempt.IsZero() }

// findClaimed returns the task if it is claimed, or nil otherwise.
func (s *Scheduler) findClaimed(name string) *scheduledTask {
	for _, t := range s.tasks {
		if t.name == name && t.claimed {
			return t
		}
	}
	return nil
}

// unclaim ends a task's claim and returns the task. It returns nil if the task was not claimed.
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
