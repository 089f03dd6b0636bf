package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/testing/processes"
)

func TestMain(m *testing.M) { os.Exit(processes.Main(m)) }

// The tasks of a fleet are named after their delivery guarantee.
const (
	atMostOnce  = "at-most-once"
	atLeastOnce = "at-least-once"
)

// fleet is a group of daemons that share two tasks, due every second, one of each delivery guarantee. Each run appends a line at its begin and at its
// end to a common file, the sink.
type fleet struct {
	t       *testing.T
	rig     *processes.Rig
	members []*processes.Process
	links   []string
	sink    string
}

// newFleet starts the daemons.
func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, rig: processes.New(t, seed), sink: filepath.Join(t.TempDir(), "sink")}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.members = append(f.members, f.rig.Process(processes.Spec{Name: name, Args: []string{"--config", "fleet.toml"},
			Ready: func(e processes.Event) bool { return e.What == "fleet: listening" }, Files: map[string]string{"fleet.toml": f.file(name, names)}}))
	}
	if err := f.rig.StartAll(testContext(t), f.members...); err != nil {
		t.Fatal(err)
	}
	return f
}

// file returns a member's configuration file. The member reaches the others over new links.
func (f *fleet) file(name string, members []string) string {
	var file strings.Builder
	fmt.Fprintf(&file, "[daemon]\nname = %q\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n[log]\nformat = \"json\"\n[[service]]\nname = \"web\"\n"+
		"addresses = [\"127.0.0.1:9\"]\n[fleet]\nname = \"f\"\ntick = \"20ms\"\nshortest = \"100ms\"\nmember = %q\nlisten = \"127.0.0.1:0\"\nfile = \"fleet.db\"\n", name, name)
	for _, member := range members {
		link, err := f.rig.Link(name, member, func() string { return f.listenAddress(member) })
		if err != nil {
			f.t.Fatal(err)
		}
		f.links = append(f.links, link.Name())
		fmt.Fprintf(&file, "[[fleet.members]]\nname = %q\naddress = %q\n", member, link.Address())
	}
	for _, delivery := range []string{atMostOnce, atLeastOnce} {
		write := func(phase string) string {
			return fmt.Sprintf(`echo "$ORCHIDDRIFT_LEASE $ORCHIDDRIFT_TASK_DUE %s %s $ORCHIDDRIFT_LEASE_TOKEN" >> %s`, phase, name, f.sink)
		}
		run := write("begin") + "; sleep 0.1; " + write("end")
		fmt.Fprintf(&file, "[[task]]\nname = %q\nschedule = \"@every 1s\"\ncommand = [\"sh\", \"-c\", %q]\npromise = %q\ntries = 100\nlate = \"10s\"\nterm = \"1s\"\nmargin = \"200ms\"\n",
			delivery, run, delivery)
	}
	return file.String()
}

// listenAddress returns the address on which a member's current process listens for the group.
func (f *fleet) listenAddress(member string) (address string) {
	for _, e := range f.rig.History.Events(0) {
		if e.Who == member && e.What == "fleet: listening" {
			var attributes struct{ Address string }
			if json.Unmarshal(e.Data, &attributes) == nil {
				address = attributes.Address
			}
		}
	}
	return address
}

// testContext returns a context that bounds each wait of a test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 4*processes.Patience)
	t.Cleanup(cancel)
	return ctx
}

// sinkLine is a line of the sink, for a run's begin or its end.
type sinkLine struct {
	task, due, phase, process string
	token                     uint64
}

// run identifies the line's run.
func (l sinkLine) run() string { return l.task + " " + l.due }

func (l sinkLine) isBegin() bool { return l.phase == "begin" }

func (l sinkLine) isOf(delivery string) bool { return l.task == LeasePrefix+delivery }

func (f *fleet) readSink() (lines []sinkLine) {
	file, err := os.Open(f.sink)
	if err != nil {
		return nil // nothing was written yet
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var line sinkLine
		if _, err := fmt.Sscan(scanner.Text(), &line.task, &line.due, &line.phase, &line.process, &line.token); err != nil {
			f.t.Errorf("malformed line in the sink: %q", scanner.Text())
		}
		lines = append(lines, line)
	}
	return lines
}

// eventually waits until ok accepts the lines of the sink. The parameter what describes the awaited lines.
func (f *fleet) eventually(what string, ok func(lines []sinkLine) bool) {
	f.t.Helper()
	for end := time.Now().Add(2 * processes.Patience); !ok(f.readSink()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// checkSink fails the test if runs violate their delivery guarantee.
func (f *fleet) checkSink() {
	f.t.Helper()
	if found := violations(f.readSink()); len(found) > 0 {
		f.t.Errorf("%d violations of the delivery guarantees, such as\n%s", len(found), strings.Join(found[:min(5, len(found))], "\n"))
	}
}

// violations returns the lines with a token lower than that of an earlier line of their task, the runs of the at-most-once task that begin twice, and
// the runs of the at-least-once task that begin and never end.
func violations(lines []sinkLine) (found []string) {
	begins, ends, highest := map[string]int{}, map[string]bool{}, map[string]uint64{}
	var repeatable []string // begun runs of the at-least-once task, in order
	for i, line := range lines {
		if line.token < highest[line.task] {
			found = append(found, fmt.Sprintf("line %d: token %d of %s follows the higher token %d", i, line.token, line.run(), highest[line.task]))
		}
		highest[line.task] = max(highest[line.task], line.token)
		if !line.isBegin() {
			ends[line.run()] = true
			continue
		}
		begins[line.run()]++
		if begins[line.run()] == 1 && line.isOf(atLeastOnce) {
			repeatable = append(repeatable, line.run())
		}
		if begins[line.run()] > 1 && line.isOf(atMostOnce) {
			found = append(found, fmt.Sprintf("line %d: %s begins for time number %d", i, line.run(), begins[line.run()]))
		}
	}
	for _, run := range repeatable[:max(0, len(repeatable)-1)] { // the last one may still be in progress
		if !ends[run] {
			found = append(found, run+" began and never ended")
		}
	}
	return found
}
