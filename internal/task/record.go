package task

import (
	"encoding/json"
	"fmt"
	"time"

	"orchiddrift/internal/lease"
)

// Phase is the phase of a run. Its text is stored.
type Phase string

// The phases of a run.
const (
	Begun   Phase = "begun"
	Ended   Phase = "ended"   // the run ended by itself or by its timeout
	Lost    Phase = "lost"    // the process of the run was lost before the run ended
	Skipped Phase = "skipped" // no process started the run in time
)

// Record describes a task's latest run. It is stored with the task's lease.
type Record struct {
	Due      time.Time   `json:"due"`
	Phase    Phase       `json:"phase"`
	Token    lease.Token `json:"token"`           // fencing token of the grant under which the run was started
	By       string      `json:"by,omitempty"`    // the process that started the run
	Attempts int         `json:"tries,omitempty"` // number of times that the run was started
	ExitCode int         `json:"code,omitempty"`  // exit code of the command, or 1 for a call that failed
}

// Encode returns the record as it is stored in the note of the task's lease.
func (r Record) Encode() string {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: every field can be encoded
	}
	return string(text)
}

// DecodeRecord decodes a note. It returns nil for an empty note, which means that the task has never run.
func DecodeRecord(note string) (*Record, error) {
	if note == "" {
		return nil, nil
	}
	var r Record
	if err := json.Unmarshal([]byte(note), &r); err != nil {
		return nil, fmt.Errorf("decode task record: %w", err)
	}
	switch r.Phase {
	case Begun, Ended, Lost, Skipped:
		return &r, nil
	}
	return nil, fmt.Errorf("decode task record: unknown phase %q", r.Phase)
}
