// Package task decides on a fleet's background work: which run of a task is due, what becomes of one whose process was lost, and when a
// process asks for one. It is free of I/O and clocks.
//
// A task's lease (package lease) lets one process at a time decide on it; the note that the record keeps with the lease is the task's
// Record: the run that was begun last, and whether it has ended. It is written before the run begins and after its end, each time under
// the lease's token, so that a process that has lost the lease writes nothing any more.
package task

import (
	"encoding/json"
	"fmt"
	"time"

	"orchiddrift/internal/lease"
)

// Schedule tells when runs are due: the first moment after t; the zero time: never again. github.com/robfig/cron's are such.
type Schedule interface {
	Next(t time.Time) time.Time
}

// Rules are one task's.
type Rules struct {
	Schedule Schedule
	// Again has a run that was cut off by the loss of its process begin anew, up to Tries times: it is done at least once. Else it is done at
	// most once, and one that was cut off counts as lost.
	AtLeastOnce bool
	MaxAttempts int
	// Late is how long after it was due a run may begin; later it was missed. Missed has the latest one that was missed run all the same.
	MaxDelay  time.Duration
	RunMissed bool
}

// Phase is where a run stands.
type Phase string

// The phases.
const (
	Begun   Phase = "begun"
	Ended   Phase = "ended"   // by itself, or by its limit: Code tells
	Lost    Phase = "lost"    // its process went before it ended
	Skipped Phase = "skipped" // nobody was there when it was due
)

// Record is the word on a task's latest run.
type Record struct {
	Due      time.Time   `json:"due"`
	Phase    Phase       `json:"phase"`
	Token    lease.Token `json:"token"` // under which it was begun
	By       string      `json:"by,omitempty"`
	Attempts int         `json:"tries,omitempty"`
	ExitCode int         `json:"code,omitempty"` // a command's exit code
}

// Encode is a Record as it is kept.
func (r Record) Encode() string {
	text, err := json.Marshal(r)
	if err != nil { // plain values
		panic(err)
	}
	return string(text)
}

// DecodeRecord is Note's counterpart; "": there has been no run.
func DecodeRecord(note string) (*Record, error) {
	if note == "" {
		return nil, nil
	}
	var r Record
	if err := json.Unmarshal([]byte(note), &r); err != nil {
		return nil, fmt.Errorf("the record of the task: %w", err)
	}
	switch r.Phase {
	case Begun, Ended, Lost, Skipped:
		return &r, nil
	}
	return nil, fmt.Errorf("the record of the task: %q is no phase", r.Phase)
}

// StepKind is what whoever holds the lease is to do.
type StepKind int

// What is to be done.
const (
	Wait        StepKind = iota // nothing before Step.At: the lease is given back
	WriteRecord                 // Step.Record is to be noted, and decided on again
	StartRun                    // Step.Record is to be noted, and once it is the run begins
)

// Step is a decision.
type Step struct {
	Kind   StepKind
	At     time.Time // Rest; zero: never again
	Record Record    // Write, Run
}

// mostDues bounds how many dues are gone through to find the latest; beyond, the count begins anew from the moment itself.
const mostDues = 10_000

// Decide is for the holder of a task's lease under token; last is what the note says, nil: nothing.
func (r *Rules) Decide(now time.Time, last *Record, token lease.Token, by string) Step {
	if last == nil { // runs count from now on
		return Step{Kind: WriteRecord, Record: Record{Due: now, Phase: Skipped, Token: token, By: by}}
	}
	if last.Phase == Begun {
		next := *last
		switch {
		case last.Token == token: // it is this one's own: the answer to its note was lost
			return Step{Kind: StartRun, Record: next}
		case r.AtLeastOnce && last.Attempts < r.MaxAttempts:
			next.Token, next.By, next.Attempts = token, by, last.Attempts+1
			return Step{Kind: StartRun, Record: next}
		}
		next.Phase = Lost
		return Step{Kind: WriteRecord, Record: next}
	}
	due := r.Schedule.Next(last.Due)
	if due.IsZero() || due.After(now) {
		return Step{Kind: Wait, At: due}
	}
	for range mostDues {
		later := r.Schedule.Next(due)
		if later.IsZero() || later.After(now) {
			break
		}
		due = later
	}
	begin := Record{Due: due, Phase: Begun, Token: token, By: by, Attempts: 1}
	if now.Sub(due) > r.MaxDelay && !r.RunMissed {
		begin.Phase, begin.Attempts = Skipped, 0
		return Step{Kind: WriteRecord, Record: begin}
	}
	return Step{Kind: StartRun, Record: begin}
}
