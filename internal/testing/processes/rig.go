package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// Rig manages processes and the links between them. It is safe for concurrent use.
type Rig struct {
	History *History

	program string
	dir     string
	seed    uint64

	mu        sync.Mutex
	processes map[string]*Process
	links     map[string]*Link
}

// buildProgram builds the program when it is first called, and returns the path of the program.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "orchiddrift-rig")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "orchiddrift")
	if out, err := exec.Command("go", "build", "-o", path, "orchiddrift/cmd/orchiddrift").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the program: %w\n%s", err, out)
	}
	return path, nil
})

// ProgramPath returns the path of the program. It builds the program if this has not been done yet. Main removes it.
func ProgramPath() (string, error) { return buildProgram() }

// Main runs the tests of a package. Afterwards it removes the program if a test has built it.
func Main(m *testing.M) int {
	code := m.Run()
	if path, err := programIfBuilt(); err == nil && path != "" {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	return code
}

// buildRequested runs one function: either that of New, which is about to use the program, or that of programIfBuilt, which thereby
// finds that no test has used it.
var buildRequested sync.Once

// programIfBuilt returns the path of the program, or "" if no test has built it.
func programIfBuilt() (string, error) {
	notBuilt := false
	buildRequested.Do(func() { notBuilt = true })
	if notBuilt {
		return "", nil
	}
	return buildProgram()
}

// New returns a rig that is closed at the end of the test. The history of the rig is written to a file in the directory of the test.
// If the test fails, the last events of the history are logged.
func New(t testing.TB, seed uint64) *Rig {
	t.Helper()
	buildRequested.Do(func() {})
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "history.jsonl")
	out, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	r := &Rig{History: NewHistory(out), program: program, dir: dir, seed: seed, processes: map[string]*Process{}, links: map[string]*Link{}}
	t.Cleanup(func() {
		r.Close()
		if err := r.History.Err(); err != nil {
			t.Errorf("writing the history: %v", err)
		}
		out.Close()
		if t.Failed() {
			t.Logf("seed %d; the last events, at most 200 of %d:", seed, len(r.History.Events(0)))
			events := r.History.Events(0)
			for _, e := range events[max(0, len(events)-200):] {
				line, _ := json.Marshal(e)
				t.Logf("%s", line)
			}
		}
	})
	return r
}

// Process adds a process to the rig without starting it.
func (r *Rig) Process(s Spec) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Process{rig: r, spec: s, Dir: filepath.Join(r.dir, s.Name)}
	r.processes[s.Name] = p
	return p
}

// StartAll starts processes concurrently and waits until all are ready.
func (r *Rig) StartAll(ctx context.Context, all ...*Process) error {
	for _, p := range all {
		if err := p.Launch(nil); err != nil {
			return err
		}
	}
	for _, p := range all {
		if err := p.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and closes all links.
func (r *Rig) Close() {
	r.mu.Lock()
	processes, links := r.processes, r.links
	r.mu.Unlock()
	var ending sync.WaitGroup
	for _, p := range processes {
		ending.Go(p.end)
	}
	for _, l := range links {
		l.close()
	}
	ending.Wait()
}

// recordAction records an action of the rig.
func (r *Rig) recordAction(who string, run int, what string, detail any) {
	e := Event{Kind: Did, Who: who, Run: run, What: what}
	if detail != nil {
		e.Data, _ = json.Marshal(detail) // cannot fail, because the callers pass plain values
	}
	r.History.Add(e)
}

// Note records an event of a test or of a rule checker.
func (r *Rig) Note(who, what string, detail any) {
	e := Event{Kind: Noted, Who: who, What: what}
	if detail != nil {
		e.Data, _ = json.Marshal(detail)
	}
	r.History.Add(e)
}

// Patience is the timeout of waits that should always succeed.
const Patience = 30 * time.Second

// Listening is a function for Spec.Ready: it matches the line in which a daemon logs its addresses.
func Listening(e Event) bool { return e.What == "listening" }

// Address returns the address at which a daemon's current run serves clients, or "" if the run does not listen yet.
func (p *Process) Address() string { return p.listeningField("clients") }

// ControlAddress returns the control address of a daemon's current run, or "" if the run does not listen yet.
func (p *Process) ControlAddress() string { return p.listeningField("operators") }

// listeningField returns a field of the line in which the current run logged that it listens, or "" if there is no such line yet.
func (p *Process) listeningField(key string) string {
	run := p.currentRun()
	if run == nil {
		return ""
	}
	for _, e := range p.rig.History.Events(run.historyStart) {
		if e.Who == p.spec.Name && e.Run == run.number && e.Kind == Logged && Listening(e) {
			var fields map[string]any
			if json.Unmarshal(e.Data, &fields) == nil {
				value, _ := fields[key].(string)
				return value
			}
		}
	}
	return ""
}
