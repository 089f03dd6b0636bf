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

func minutely(again bool, missed bool) *Rules {
	return &Rules{Schedule: cron.Every(time.Minute), AtLeastOnce: again, MaxAttempts: 3, MaxDelay: 10 * time.Second, RunMissed: missed}
}

// Guards against a run that is done twice, or not at all, by what the record says as its lease is granted.
func TestDecide(t *testing.T) {
	at := func(minutes float64) time.Time { return start.Add(time.Duration(minutes * float64(time.Minute))) }
	ended := &Record{Due: start, Phase: Ended, Token: 1}
	begun := &Record{Due: start, Phase: Begun, Token: 1, By: "gone", Attempts: 1}
	worn := &Record{Due: start, Phase: Begun, Token: 1, Attempts: 3}
	for _, c := range []struct {
		name  string
		rules *Rules
		now   float64
		last  *Record
		want  string
	}{
		{"nothing is known", minutely(true, true), 5, nil, "write skipped 5m0s"},
		{"not due yet", minutely(false, false), 0.9, ended, "rest 1m0s"},
		{"due", minutely(false, false), 1.1, ended, "run 1m0s try 1"},
		{"late, and skipped", minutely(false, false), 1.5, ended, "write skipped 1m0s"},
		{"late, and run all the same", minutely(false, true), 1.5, ended, "run 1m0s try 1"},
		{"many missed, the latest is late", minutely(false, false), 9.5, ended, "write skipped 9m0s"},
		{"many missed, the latest runs", minutely(false, true), 9.5, ended, "run 9m0s try 1"},
		{"many missed, the latest is not late", minutely(false, false), 9.1, ended, "run 9m0s try 1"},
		{"cut off, at most once", minutely(false, false), 1.1, begun, "write lost 0s"},
		{"cut off, at least once", minutely(true, false), 1.1, begun, "run 0s try 2"},
		{"cut off for the last time", minutely(true, false), 1.1, worn, "write lost 0s"},
		{"the clock was set back", minutely(true, true), -60, ended, "rest 1m0s"},
	} {
		s := c.rules.Decide(at(c.now), c.last, 7, "me")
		got := ""
		switch s.Kind {
		case Wait:
			got = fmt.Sprint("rest ", s.At.Sub(start))
		case WriteRecord:
			got = fmt.Sprint("write ", s.Record.Phase, " ", s.Record.Due.Sub(start))
		case StartRun:
			got = fmt.Sprint("run ", s.Record.Due.Sub(start), " try ", s.Record.Attempts)
			if s.Record.Token != 7 || s.Record.By != "me" || s.Record.Phase != Begun {
				t.Errorf("%s: %+v", c.name, s.Record)
			}
		}
		if got != c.want {
			t.Errorf("%s: %s, not %s", c.name, got, c.want)
		}
		if back, err := DecodeRecord(s.Record.Encode()); s.Kind != Wait && (err != nil || !back.Due.Equal(s.Record.Due) || len(s.Record.Encode()) > lease.MaxNoteBytes) {
			t.Errorf("%s: %v, %v", c.name, back, err)
		}
	}
	for _, bad := range []string{"{", `{"phase":"gone"}`, "null"} {
		if _, err := DecodeRecord(bad); err == nil {
			t.Errorf("%s is read", bad)
		}
	}
}

// played has processes decide on one task, each of which may be lost at any step, over a record that only a token's holder writes. It returns what
// is against the promise. broken is a rule that is left out, to see that this is found.
func played(rng *rand.Rand, broken string) error {
	r := minutely(rng.IntN(2) == 0, rng.IntN(2) == 0)
	r.MaxAttempts = 1000
	note, now, token := "", start, lease.Token(0)
	done, cut := map[time.Time]int{}, map[time.Time]int{}
	for range 1 + rng.IntN(60) {
		token++
		now = now.Add(time.Duration(rng.IntN(91)) * time.Second)
		for steps := 0; ; steps++ {
			if steps > 3 {
				return errors.New("it does not come to an end")
			}
			last, err := DecodeRecord(note)
			if err != nil {
				return err
			}
			s := r.Decide(now, last, token, "p")
			if s.Kind == Wait || rng.IntN(10) == 0 { // or it is lost before the note
				break
			}
			if last != nil && s.Record.Due.Before(last.Due) {
				return fmt.Errorf("a run of %v after one of %v", s.Record.Due, last.Due)
			}
			if s.Kind == WriteRecord || broken != "noted after the run" {
				note = s.Record.Encode()
			}
			if s.Kind == WriteRecord {
				continue
			}
			if rng.IntN(4) == 0 { // in the run
				cut[s.Record.Due]++
				break
			}
			done[s.Record.Due]++
			if rng.IntN(10) == 0 && broken != "ended as it begins" { // before its end is noted
				break
			}
			s.Record.Phase = Ended
			note = s.Record.Encode()
			break
		}
		if last, _ := DecodeRecord(note); broken == "ended as it begins" && last != nil && last.Phase == Begun {
			last.Phase = Ended
			note = last.Encode()
		}
	}
	last, err := DecodeRecord(note)
	if err != nil {
		return err
	}
	for due, n := range done {
		if !r.AtLeastOnce && n+cut[due] > 1 {
			return fmt.Errorf("%v was begun %d times", due, n+cut[due])
		}
	}
	for due := range cut {
		if r.AtLeastOnce && done[due] == 0 && last.Due.After(due) {
			return fmt.Errorf("%v was cut off and never done", due)
		}
	}
	return nil
}

// Guards against a run that is done twice against its promise, or lost against it, as processes are lost at any step. Records that are written
// after the run, and runs noted as ended while they go on, are found.
func TestRunsKeepTheirPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := played(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), ""); err != nil {
			t.Fatal(err)
		}
	})
	for _, broken := range []string{"noted after the run", "ended as it begins"} {
		found := false
		for seed := range uint64(200) {
			found = found || played(rand.New(rand.NewPCG(seed, 1)), broken) != nil
		}
		if !found {
			t.Errorf("%s: it is not found", broken)
		}
	}
}

// Guards against a process that takes more than it has room for, asks while it drains, forgets a task, or lets an urgent one wait.
func TestProcess(t *testing.T) {
	p := NewScheduler(SchedulerOptions{MaxRuns: 2, Spread: 100 * time.Millisecond, RecheckInterval: time.Second}, rand.New(rand.NewPCG(1, 1)))
	for i, name := range []string{"low", "high", "middle"} {
		p.Add(start, name, []int{1, 3, 2}[i])
	}
	now := start.Add(200 * time.Millisecond)
	p.Drain(true)
	if got := p.Due(now); len(got) != 0 {
		t.Errorf("it drains, and asks for %v", got)
	}
	p.Drain(false)
	if got := fmt.Sprint(p.Due(now)); got != "[high middle]" {
		t.Errorf("asks for %s", got)
	}
	if _, ok := p.Next(); ok || len(p.Due(now)) != 0 {
		t.Error("there is room for two")
	}
	p.Started("high")
	p.Waiting("middle", now.Add(time.Minute))
	if got := fmt.Sprint(p.Due(now)); got != "[low]" {
		t.Errorf("asks for %s", got)
	}
	p.HeldElsewhere(now, "low")
	next, ok := p.Next()
	if !ok || next.Before(now.Add(500*time.Millisecond)) || next.After(now.Add(1500*time.Millisecond)) {
		t.Errorf("it looks again at %v", next.Sub(now))
	}
	p.Waiting("high", time.Time{}) // never again
	for range 2 {
		p.Waiting("high", now) // it is out no more
	}
	if got := fmt.Sprint(p.Due(now.Add(time.Hour))); got != "[middle low]" {
		t.Errorf("asks for %s", got)
	}
}
