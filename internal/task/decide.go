package task

import (
	"time"

	"orchiddrift/internal/lease"
)

// Schedule computes when runs are due. Next returns the first due time after t, or the zero time if there is none. The schedules of
// github.com/robfig/cron implement it.
type Schedule interface {
	Next(t time.Time) time.Time
}

// Rules determine when the runs of one task start and how often a run is attempted.
type Rules struct {
	Schedule Schedule
	// If AtLeastOnce is true, a run whose process was lost is started again, up to MaxAttempts starts in all. Otherwise a run is started at most
	// once, and is recorded as lost if its process was lost.
	AtLeastOnce bool
	MaxAttempts int
	// MaxDelay is the longest time after its due time at which a run may start. A run that has not started by then is missed.
	MaxDelay time.Duration
	// If RunMissed is true, the latest of the missed runs is started late. Otherwise all missed runs are skipped.
	RunMissed bool
}

// StepKind is the kind of a Step.
type StepKind int

// The kinds of steps.
const (
	Wait        StepKind = iota // nothing is due before Step.At: release the lease
	WriteRecord                 // store Step.Record and decide again
	StartRun                    // store Step.Record, then start the run
)

// Step is the next action of the process that holds a task's lease.
type Step struct {
	Kind   StepKind
	At     time.Time // for Wait: when the next run is due, or the zero time if no run is due any more
	Record Record    // for WriteRecord and StartRun: the record to store
}

// maxMissedRuns is the largest number of missed runs through which one decision searches for the latest of them. The next decision continues from
// there.
const maxMissedRuns = 10_000

// Decide returns the next step of the process that holds the task's lease under token. The parameter by is the name of that process, and last is the
// stored record, or nil if no record is stored.
func (r *Rules) Decide(now time.Time, last *Record, token lease.Token, by string) Step {
	if last == nil { // the task is new: its first run is due after now
		return Step{Kind: WriteRecord, Record: Record{Due: now, Phase: Skipped, Token: token, By: by}}
	}
	if last.Phase == Begun {
		return r.decideOnBegun(*last, token, by)
	}
	due := r.Schedule.Next(last.Due)
	if due.IsZero() || due.After(now) {
		return Step{Kind: Wait, At: due}
	}
	due = r.latestDue(now, due)
	record := Record{Due: due, Phase: Begun, Token: token, By: by, Attempts: 1}
	if now.Sub(due) > r.MaxDelay && !r.RunMissed {
		record.Phase, record.Attempts = Skipped, 0
		return Step{Kind: WriteRecord, Record: record}
	}
	return Step{Kind: StartRun, Record: record}
}

// decideOnBegun decides on a run that is stored as begun although the lease was acquired again: the run's process was lost.
func (r *Rules) decideOnBegun(run Record, token lease.Token, by string) Step {
	switch {
	case run.Token == token: // stored under this grant, but the reply was lost: the run has not started
		return Step{Kind: StartRun, Record: run}
	case r.AtLeastOnce && run.Attempts < r.MaxAttempts:
		run.Token, run.By, run.Attempts = token, by, run.Attempts+1
		return Step{Kind: StartRun, Record: run}
	}
	run.Phase = Lost
	return Step{Kind: WriteRecord, Record: run}
}

// latestDue returns the latest due time that has been reached. The parameter now is the current time, and due is the due time at which the search
// begins.
func (r *Rules) latestDue(now, due time.Time) time.Time {
	for range maxMissedRuns {
		later := r.Schedule.Next(due)
		if later.IsZero() || later.After(now) {
			break
		}
		due = later
	}
	return due
}
