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

// everyMinute are the rules of a task that is due each minute.
func everyMinute(atLeastOnce, runMissed bool) *Rules {
	return &Rules{Schedule: cron.Every(time.Minute), AtLeastOnce: atLeastOnce, MaxAttempts: 3, MaxDelay: 10 * time.Second, RunMissed: runMissed}
}

// describe is a step in short, with times since start.
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

// Each record leads to one step; what the step stores can be read again and fits in a note.
func TestDecide(t *testing.T) {
	const token, process = 7, "me"
	ended := &Record{Due: start, Phase: Ended, Token: 1}
	begun := &Record{Due: start, Phase: Begun, Token: 1, By: "gone", Attempts: 1}
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
		{"late, and run all the same", everyMinute(false, true), 1.5, ended, "run 1m0s attempt 1"},
		{"many missed, the latest is late", everyMinute(false, false), 9.5, ended, "write skipped 9m0s"},
		{"many missed, the latest runs", everyMinute(false, true), 9.5, ended, "run 9m0s attempt 1"},
		{"many missed, the latest is not late", everyMinute(false, false), 9.1, ended, "run 9m0s attempt 1"},
		{"cut off, at most once", everyMinute(false, false), 1.1, begun, "write lost 0s"},
		{"cut off, at least once", everyMinute(true, false), 1.1, begun, "run 0s attempt 2"},
		{"cut off in its last attempt", everyMinute(true, false), 1.1, lastAttempt, "write lost 0s"},
		{"the clock was set back", everyMinute(true, true), -60, ended, "wait until 1m0s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(time.Duration(c.minutes * float64(time.Minute)))
			step := c.rules.Decide(now, c.last, token, process)
			if got := describe(step); got != c.want {
				t.Errorf("%s, not %s", got, c.want)
			}
			if step.Kind == StartRun && (step.Record.Token != token || step.Record.By != process || step.Record.Phase != Begun) {
				t.Errorf("%+v", step.Record)
			}
			if step.Kind == Wait {
				return
			}
			encoded := step.Record.Encode()
			if decoded, err := DecodeRecord(encoded); err != nil || !decoded.Due.Equal(step.Record.Due) || len(encoded) > lease.MaxNoteBytes {
				t.Errorf("%v, %v", decoded, err)
			}
		})
	}
}

// What is no record is an error.
func TestDecodeRecordRejects(t *testing.T) {
	for _, note := range []string{"{", `{"phase":"gone"}`, "null"} {
		if _, err := DecodeRecord(note); err == nil {
			t.Errorf("%s is decoded", note)
		}
	}
}

// omittedRule is a rule that fleetRuns leaves out, to show that its check finds the fault; empty: none is left out.
type omittedRule string

const (
	recordBeforeRun omittedRule = "a run is stored before it starts"
	endAfterRun     omittedRule = "a run is stored as ended after its end"
)

// fleetRuns has processes decide on one task, one after the other. Each may be lost at any step.
type fleetRuns struct {
	rng     *rand.Rand
	omitted omittedRule
	rules   *Rules
	note    string
	done    map[time.Time]int // runs that ended, by due time
	cutOff  map[time.Time]int // runs whose process was lost
}

// playRuns plays a fleet's runs and returns how they break their promise.
func playRuns(rng *rand.Rand, omitted omittedRule) error {
	f := &fleetRuns{rng: rng, omitted: omitted, rules: everyMinute(rng.IntN(2) == 0, rng.IntN(2) == 0), done: map[time.Time]int{}, cutOff: map[time.Time]int{}}
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

// playHolder has one process hold the lease until it waits, has run, or is lost.
func (f *fleetRuns) playHolder(now time.Time, token lease.Token) error {
	for steps := 0; ; steps++ {
		if steps > 3 {
			return errors.New("it does not come to an end")
		}
		last, err := DecodeRecord(f.note)
		if err != nil {
			return err
		}
		step := f.rules.Decide(now, last, token, "p")
		if step.Kind == Wait || f.rng.IntN(10) == 0 { // lost before the record is stored
			return nil
		}
		if last != nil && step.Record.Due.Before(last.Due) {
			return fmt.Errorf("a run of %v after one of %v", step.Record.Due, last.Due)
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

// playRun has a run end, or its process be lost.
func (f *fleetRuns) playRun(run Record) {
	if f.rng.IntN(4) == 0 {
		f.cutOff[run.Due]++
		return
	}
	f.done[run.Due]++
	if f.rng.IntN(10) == 0 && f.omitted != endAfterRun { // lost before the end is stored
		return
	}
	run.Phase = Ended
	f.note = run.Encode()
}

// check returns how the runs break their promise.
func (f *fleetRuns) check() error {
	last, err := DecodeRecord(f.note)
	if err != nil {
		return err
	}
	for due, n := range f.done {
		if !f.rules.AtLeastOnce && n+f.cutOff[due] > 1 {
			return fmt.Errorf("%v was begun %d times", due, n+f.cutOff[due])
		}
	}
	for due := range f.cutOff {
		if f.rules.AtLeastOnce && f.done[due] == 0 && last.Due.After(due) {
			return fmt.Errorf("%v was cut off and never done", due)
		}
	}
	return nil
}

// Runs keep their promise while processes are lost at any step. Rules that are left out are found.
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
			t.Errorf("left out: %s: it is not found", omitted)
		}
	}
}
