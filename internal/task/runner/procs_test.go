package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/testing/processes"
)

func TestMain(m *testing.M) { os.Exit(processes.Main(m)) }

var long = flag.Duration("for", 8*time.Second, "how long faults go on in TestRunsThroughFaults")

// fleet is a group of daemons that share two tasks, due every second, one for each promise; each run writes its begin and its end into a sink.
type fleet struct {
	t       *testing.T
	rig     *processes.Rig
	members []*processes.Process
	links   []string
	sink    string
}

// wrote is a line of the sink.
type wrote struct {
	task, due, what, who string
	token                uint64
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, rig: processes.New(t, seed), sink: filepath.Join(t.TempDir(), "sink")}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		text := fmt.Sprintf("[daemon]\nname = %q\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n[log]\nformat = \"json\"\n[[service]]\nname = \"web\"\n"+
			"addresses = [\"127.0.0.1:9\"]\n[fleet]\nname = \"f\"\ntick = \"20ms\"\nshortest = \"100ms\"\nmember = %q\nlisten = \"127.0.0.1:0\"\nfile = \"fleet.db\"\n", name, name)
		for _, m := range names {
			l, err := f.rig.Link(name, m, func() string { return f.listens(m) })
			if err != nil {
				t.Fatal(err)
			}
			f.links = append(f.links, l.Name())
			text += fmt.Sprintf("[[fleet.members]]\nname = %q\naddress = %q\n", m, l.Address())
		}
		for _, promise := range []string{"at-most-once", "at-least-once"} {
			run := fmt.Sprintf(`echo "$ORCHIDDRIFT_LEASE $ORCHIDDRIFT_TASK_DUE begin %[1]s $ORCHIDDRIFT_LEASE_TOKEN" >> %[2]s; sleep 0.1; echo "$ORCHIDDRIFT_LEASE $ORCHIDDRIFT_TASK_DUE end %[1]s $ORCHIDDRIFT_LEASE_TOKEN" >> %[2]s`, name, f.sink)
			text += fmt.Sprintf("[[task]]\nname = %q\nschedule = \"@every 1s\"\ncommand = [\"sh\", \"-c\", %q]\npromise = %q\ntries = 100\nlate = \"10s\"\nterm = \"1s\"\nmargin = \"200ms\"\n",
				promise, run, promise)
		}
		f.members = append(f.members, f.rig.Process(processes.Spec{Name: name, Args: []string{"--config", "fleet.toml"},
			Ready: func(e processes.Event) bool { return e.What == "fleet: listening" }, Files: map[string]string{"fleet.toml": text}}))
	}
	if err := f.rig.StartAll(within(t), f.members...); err != nil {
		t.Fatal(err)
	}
	return f
}

// listens is where a member's present life listens for the group.
func (f *fleet) listens(name string) (address string) {
	for _, e := range f.rig.History.Events(0) {
		if e.Who == name && e.What == "fleet: listening" {
			var words struct{ Address string }
			if json.Unmarshal(e.Data, &words) == nil {
				address = words.Address
			}
		}
	}
	return address
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 4*processes.Patience)
	t.Cleanup(cancel)
	return ctx
}

func (f *fleet) read() (out []wrote) {
	file, err := os.Open(f.sink)
	if err != nil {
		return nil
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var w wrote
		if _, err := fmt.Sscan(lines.Text(), &w.task, &w.due, &w.what, &w.who, &w.token); err != nil {
			f.t.Errorf("the sink has %q", lines.Text())
		}
		out = append(out, w)
	}
	return out
}

func (f *fleet) eventually(what string, ok func(all []wrote) bool) {
	f.t.Helper()
	for end := time.Now().Add(2 * processes.Patience); !ok(f.read()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("waited in vain: %s", what)
		}
	}
}

// broken is what of a sink's lines is against a promise. most is how often a due run of an at-most-once task may begin.
func broken(all []wrote, most int) (out []string) {
	begins, ends, last := map[string]int{}, map[string]bool{}, map[string]uint64{}
	dues := map[string][]string{}
	for i, w := range all {
		id := w.task + " " + w.due
		if w.token < last[w.task] {
			out = append(out, fmt.Sprintf("line %d: token %d of %s after %d", i, w.token, id, last[w.task]))
		}
		last[w.task] = max(last[w.task], w.token)
		if w.what == "begin" {
			if begins[id]++; begins[id] == 1 {
				dues[w.task] = append(dues[w.task], w.due)
			}
			if strings.HasSuffix(w.task, "at-most-once") && begins[id] > most {
				out = append(out, fmt.Sprintf("line %d: %s begins for the %d. time", i, id, begins[id]))
			}
		} else {
			ends[id] = true
		}
	}
	for task, all := range dues {
		if !strings.HasSuffix(task, "at-least-once") {
			continue
		}
		for _, due := range all[:len(all)-1] { // the last may go on yet
			if !ends[task+" "+due] {
				out = append(out, fmt.Sprintf("%s %s was begun and never done", task, due))
			}
		}
	}
	return out
}

// Guards against a run that two processes do, that is lost, or that is begun again against its promise, while members are killed, stopped for
// longer and shorter than a term, cut off one way and both, and hung. Once all is well runs go on. The check is held against a log in which
// a run begins twice.
func TestRunsThroughFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed)
			f.eventually("the first runs", func(all []wrote) bool { return len(all) >= 6 })
			script := processes.Draw(seed, processes.Mix{Processes: []string{"a", "b", "c"}, Links: f.links, Length: *long, Every: 200 * time.Millisecond,
				Shortest: 50 * time.Millisecond, Longest: 2500 * time.Millisecond, Down: 1, Weights: map[processes.Deed]float64{processes.Kill: 4, processes.Pause: 4,
					processes.DropBoth: 1, processes.DropOut: 1, processes.DropBack: 1, processes.Slow: 1, processes.Hang: 1, processes.CutOut: 1}})
			if err := f.rig.Play(within(t), script); err != nil {
				t.Fatal(err)
			}
			before := map[string]int{}
			for _, w := range f.read() {
				before[w.task]++
			}
			f.eventually("runs of both after the last fault", func(all []wrote) bool {
				n := map[string]int{}
				for _, w := range all {
					n[w.task]++
				}
				return n["task/at-most-once"] >= before["task/at-most-once"]+6 && n["task/at-least-once"] >= before["task/at-least-once"]+6
			})
			all := f.read()
			if bad := broken(all, 1); len(bad) > 0 {
				t.Errorf("%d lines against the promises, such as\n%s", len(bad), strings.Join(bad[:min(5, len(bad))], "\n"))
			}
			again := 0
			begins := map[string]int{}
			for _, w := range all {
				if w.what == "begin" {
					if begins[w.task+w.due]++; begins[w.task+w.due] > 1 {
						again++
					}
				}
			}
			t.Logf("%d steps, %d runs, %d begun again", len(script), len(begins), again)
			if i := slices.IndexFunc(all, func(w wrote) bool { return w.task == "task/at-most-once" }); len(broken(append(all, all[i]), 1)) == 0 {
				t.Error("a run that begins twice is not found")
			}
		})
	}
}

// Guards against work that stays with a process that is to end, or on one process alone: runs are spread, the ones of a process that drains or
// ends are done by the others, and a run that was cut off by a kill is done again within two terms.
func TestRunsMoveAway(t *testing.T) {
	f := newFleet(t, 3)
	f.eventually("runs by all", func(all []wrote) bool {
		who := map[string]bool{}
		for _, w := range all {
			who[w.who] = true
		}
		return len(who) == 3
	})
	ends := f.members[0]
	if err := errors.Join(ends.Signal(syscall.SIGTERM), ends.Await(within(t))); err != nil {
		t.Fatal(err)
	}
	n := len(f.read())
	f.eventually("runs by the others", func(all []wrote) bool { return len(all) > n+8 })
	for _, w := range f.read()[n:] {
		if w.who == ends.Name() {
			t.Errorf("%+v after its process has ended", w)
		}
	}
	f.eventually("a run that goes on", func(all []wrote) bool {
		last := all[len(all)-1]
		return last.task == "task/at-least-once" && last.what == "begin"
	})
	all := f.read()
	last := all[len(all)-1]
	for _, p := range f.members[1:] {
		if p.Name() == last.who {
			if err := p.Kill(within(t)); err != nil {
				t.Fatal(err)
			}
			if err := p.Start(within(t), nil); err != nil { // two of three decide
				t.Fatal(err)
			}
		}
	}
	begun := time.Now()
	f.eventually("its end, by whomever", func(all []wrote) bool {
		return slices.ContainsFunc(all, func(w wrote) bool { return w.task == last.task && w.due == last.due && w.what == "end" })
	})
	t.Logf("the run was done %v after its process was killed", time.Since(begun).Round(time.Millisecond))
	if bad := broken(f.read(), 1); len(bad) > 0 {
		t.Error(bad[0])
	}
}
