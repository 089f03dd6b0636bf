package task

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/robfig/cron/v3"
	"pgregory.net/rapid"

	"orchiddrift/internal/lease"
)

var start = time.Date(2026, 12, 2, 1, 0, 0, 0, time.UTC)

// everyMinute returns the rules of a task that is due each minute.
func everyMinute(atLeastOnce, runMissed bool) *Rules {
	return &Rules{Schedule: cron.Every(time.Minute), AtLeastOnce: atLeastOnce, MaxAttempts: 3, MaxDelay: 10 * time.Second, RunMissed: runMissed}
}

// describe returns a short text for a step. Times are relative to start.
func describe(step Step) string {
	switch step.Kind {
	case Wait:
		return fmt.Sprint("wait until ", step.At.Sub(start))
	case WriteRecord:
		return fmt.Sprint("write ", step.Record.Phase, " ", step.Record.Due.Sub(start))
	case StartRun:
		return fmt.Sprint("run ", step.Record.Due.Sub(start), " attempt ", step.Record.Attempts)
	}
	return "no step"
}

// Checks which step each stored record leads to, and that the record that a step stores can be decoded and fits in a note.
func TestDecide(t *testing.T) {
	const token, process = 7, "me"
	ended := &Record{Due: start, Phase: Ended, Token: 1}
	begun := &Record{Due: start, Phase: Begun, Token: 1, By: "lost process", Attempts: 1}
	lastAttempt := &Record{Due: start, Phase: Begun, Token: 1, Attempts: 3}
	for _, c := range []struct {
		name    string
		rules   *Rules
		minutes float64 // since start
		last    *Record
		want    string
	}{
		{"no record", everyMinute(true, true), 5, nil, "write skipped 5m0s"},
		{"not due yet", everyMinute(false, false), 0.9, ended, "wait until 1m0s"},
		{"due", everyMinute(false, false), 1.1, ended, "run 1m0s attempt 1"},
		{"late, and skipped", everyMinute(false, false), 1.5, ended, "write skipped 1m0s"},
		{"late, and run", everyMinute(false, true), 1.5, ended, "run 1m0s attempt 1"},
		{"many missed, the latest is late", everyMinute(false, false), 9.5, ended, "write skipped 9m0s"},
		{"many missed, the latest runs", everyMinute(false, true), 9.5, ended, "run 9m0s attempt 1"},
		{"many missed, the latest is not late", everyMinute(false, false), 9.1, ended, "run 9m0s attempt 1"},
		{"interrupted, at most once", everyMinute(false, false), 1.1, begun, "write lost 0s"},
		{"interrupted, at least once", everyMinute(true, false), 1.1, begun, "run 0s attempt 2"},
		{"interrupted in its last attempt", everyMinute(true, false), 1.1, lastAttempt, "write lost 0s"},
		{"the clock was set back", everyMinute(true, true), -60, ended, "wait until 1m0s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(time.Duration(c.minutes * float64(time.Minute)))
			step := c.rules.Decide(now, c.last, token, process)
			if got := describe(step); got != c.want {
				t.Errorf("next step: %s, want %s", got, c.want)
			}
			if step.Kind == StartRun && (step.Record.Token != token || step.Record.By != process || step.Record.Phase != Begun) {
				t.Errorf("the run starts with record %+v, want this process, token and phase begun", step.Record)
			}
			if step.Kind == Wait {
				return
			}
			encoded := step.Record.Encode()
			if decoded, err := DecodeRecord(encoded); err != nil || !decoded.Due.Equal(step.Record.Due) || len(encoded) > lease.MaxNoteBytes {
				t.Errorf("the stored record is decoded as %v, error %v, or is too long for a note", decoded, err)
			}
		})
	}
}

// Guards against decoding a note that does not contain a valid record as if it did.
func TestDecodeRecordRejects(t *testing.T) {
	for _, note := range []string{"{", `{"phase":"gone"}`, "null"} {
		if _, err := DecodeRecord(note); err == nil {
			t.Errorf("note %s is decoded without an error, want an error", note)
		}
	}
}

// omittedRule is a rule that fleetRuns breaks, so that a test can show that fleetRuns.check detects the violation. If it is empty, no rule is broken.
type omittedRule string

const (
	recordBeforeRun omittedRule = "a run is stored before it starts"
	endAfterRun     omittedRule = "a run is stored as ended after its end"
)

// fleetRuns simulates processes that decide on one task, one after the other. Each may be lost at any step.
type fleetRuns struct {
	rng         *rand.Rand
	omitted     omittedRule
	rules       *Rules
	note        string
	completed   map[time.Time]int // number of times each run ended, by due time
	interrupted map[time.Time]int // number of times the run's process was lost, by due time
}

// playRuns simulates a fleet's runs and returns an error if they violate their delivery guarantee.
func playRuns(rng *rand.Rand, omitted omittedRule) error {
	f := &fleetRuns{rng: rng, omitted: omitted, rules: everyMinute(rng.IntN(2) == 0, rng.IntN(2) == 0),
		completed: map[time.Time]int{}, interrupted: map[time.Time]int{}}
	f.rules.MaxAttempts = 1000
	now := start
	for token := range lease.Token(1 + rng.IntN(60)) {
		now = now.Add(time.Duration(rng.IntN(91)) * time.Second)
		if err := f.playHolder(now, token+1); err != nil {
			return err
		}
		if last, _ := DecodeRecord(f.note); omitted == endAfterRun && last != nil && last.Phase == Begun {
			last.Phase = Ended
			f.note = last.Encode()
		}
	}
	return f.check()
}

// playHolder simulates one process that holds the lease until nothing is due, a run has ended, or the process is lost.
func (f *fleetRuns) playHolder(now time.Time, token lease.Token) error {
	for steps := 0; ; steps++ {
		if steps > 3 {
			return errors.New("the process has not finished deciding after four steps")
		}
		last, err := DecodeRecord(f.note)
		if err != nil {
			return err
		}
		step := f.rules.Decide(now, last, token, "p")
		if step.Kind == Wait || f.rng.IntN(10) == 0 { // the process may be lost before the record is stored
			return nil
		}
		if last != nil && step.Record.Due.Before(last.Due) {
			return fmt.Errorf("the run due at %v was decided after the run due at %v, want runs in the order of their due times", step.Record.Due, last.Due)
		}
		if step.Kind == WriteRecord || f.omitted != recordBeforeRun {
			f.note = step.Record.Encode()
		}
		if step.Kind == StartRun {
			f.playRun(step.Record)
			return nil
		}
	}
}

// playRun simulates a run that ends, or whose process is lost.
func (f *fleetRuns) playRun(run Record) {
	if f.rng.IntN(4) == 0 {
		f.interrupted[run.Due]++
		return
	}
	f.completed[run.Due]++
	if f.rng.IntN(10) == 0 && f.omitted != endAfterRun { // the process is lost before the end is stored
		return
	}
	run.Phase = Ended
	f.note = run.Encode()
}

// check returns an error if the runs violate their delivery guarantee.
func (f *fleetRuns) check() error {
	last, err := DecodeRecord(f.note)
	if err != nil {
		return err
	}
	for due, n := range f.completed {
		if !f.rules.AtLeastOnce && n+f.interrupted[due] > 1 {
			return fmt.Errorf("the run due at %v was started %d times, although at most once is allowed", due, n+f.interrupted[due])
		}
	}
	for due := range f.interrupted {
		if f.rules.AtLeastOnce && f.completed[due] == 0 && last.Due.After(due) {
			return fmt.Errorf("the run due at %v was interrupted and never completed", due)
		}
	}
	return nil
}

// Checks that the delivery guarantees at-most-once and at-least-once hold while processes are lost at any step, and that fleetRuns.check detects each
// broken rule.
func TestRunsKeepTheirPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := playRuns(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), ""); err != nil {
			t.Fatal(err)
		}
	})
	for _, omitted := range []omittedRule{recordBeforeRun, endAfterRun} {
		found := false
		for seed := range uint64(200) {
			found = found || playRuns(rand.New(rand.NewPCG(seed, 1)), omitted) != nil
		}
		if !found {
			t.Errorf("the check reported no violation although the simulation broke this rule: %s", omitted)
		}
	}
}
