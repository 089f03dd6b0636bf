package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
)

// Spec describes a program that a Rig runs as a Process.
type Spec struct {
	Name  string
	Args  []string          // command line arguments
	Env   []string          // environment variables, in addition to TMPDIR and the variables of the rig's process
	Files map[string]string // contents by file name, written to the process's directory before each start
	Ready func(Event) bool  // matches the log line that shows that the process serves; if nil, the process counts as ready once it runs
}

// processRun is one run of a Process.
type processRun struct {
	number       int
	cmd          *exec.Cmd
	done         chan struct{} // closed after the run has ended and the history has all of its log lines
	historyStart int           // number of events in the history when the run started
}

// Process is a program that a Rig starts, possibly several times in the same directory. It is safe for concurrent use.
type Process struct {
	rig  *Rig
	spec Spec
	Dir  string // working directory, which is also TMPDIR unless Spec.Env sets another one

	mu      sync.Mutex
	runs    int
	current *processRun // latest run, or nil before the first one
	allRuns []*processRun
}

// Name returns the name in the process's Spec.
func (p *Process) Name() string { return p.spec.Name }

// PID returns the process ID of the current run.
func (p *Process) PID() int { return p.currentRun().cmd.Process.Pid }

var errRunning = errors.New("the process is already running")

// Start starts the process in its directory and waits until the process is ready. Files of earlier runs stay in the directory. If files is
// not nil, it replaces Spec.Files.
func (p *Process) Start(ctx context.Context, files map[string]string) error {
	if err := p.Launch(files); err != nil {
		return err
	}
	return p.AwaitReady(ctx)
}

// Launch starts the process like Start, but does not wait until it is ready.
func (p *Process) Launch(files map[string]string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && !p.current.ended() {
		return fmt.Errorf("starting %s: %w", p.spec.Name, errRunning)
	}
	return p.launchLocked(files)
}

func (p *Process) launchLocked(files map[string]string) error {
	if files != nil {
		p.spec.Files = files
	}
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return err
	}
	for name, text := range p.spec.Files {
		if err := os.WriteFile(filepath.Join(p.Dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	defer write.Close()
	cmd := exec.Command(p.rig.program, p.spec.Args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.Dir, write, write
	cmd.Env = append(append(os.Environ(), "TMPDIR="+p.Dir), p.spec.Env...)
	// The process group allows the rig to kill the children of the process too. Because of Pdeathsig the kernel kills the process if the rig
	// dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.runs++
	run := &processRun{number: p.runs, cmd: cmd, done: make(chan struct{}), historyStart: len(p.rig.History.Events(0))}
	if err := startOnStarterThread(cmd); err != nil {
		return errors.Join(fmt.Errorf("starting %s: %w", p.spec.Name, err), read.Close())
	}
	p.current, p.allRuns = run, append(p.allRuns, run)
	p.rig.recordAction(p.spec.Name, run.number, "start", nil)
	lines := make(chan struct{})
	go func() {
		defer close(lines)
		defer read.Close()
		p.readLines(run, read)
	}()
	go func() {
		defer close(run.done)
		_ = cmd.Wait()
		// Children of the process may still have the pipe open. They are killed too, because readLines ends only when the pipe is closed.
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		<-lines
		p.rig.History.Add(Event{Kind: Ended, Who: p.spec.Name, Run: run.number, What: cmd.ProcessState.String()})
	}()
	return nil
}

// readLines adds the lines that a run logs to the history.
func (p *Process) readLines(run *processRun, from io.Reader) {
	in := bufio.NewReaderSize(from, 64<<10)
	for {
		line, err := in.ReadSlice('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			e := Event{Kind: Logged, Who: p.spec.Name, Run: run.number}
			var logLine struct {
				Msg string `json:"msg"`
			}
			if json.Unmarshal(text, &logLine) == nil {
				e.What, e.Data = logLine.Msg, bytes.Clone(text)
			} else {
				e.What = string(text)
			}
			p.rig.History.Add(e)
		}
		if err != nil && err != bufio.ErrBufferFull {
			return
		}
	}
}

func (run *processRun) ended() bool {
	select {
	case <-run.done:
		return true
	default:
		return false
	}
}

func (p *Process) currentRun() *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

var errNotRunning = errors.New("the process is not running")

// AwaitReady waits until the current run is ready.
func (p *Process) AwaitReady(ctx context.Context) error {
	run := p.currentRun()
	if run == nil {
		return errNotRunning
	}
	if p.spec.Ready == nil {
		return nil
	}
	var ended bool
	_, _, err := p.rig.History.Wait(ctx, run.historyStart, func(e Event) bool {
		ofThisRun := e.Who == p.spec.Name && e.Run == run.number
		ended = ofThisRun && e.Kind == Ended
		return ended || ofThisRun && e.Kind == Logged && p.spec.Ready(e)
	})
	if err == nil && ended {
		err = errNotRunning
	}
	if err != nil {
		return fmt.Errorf("%s is not ready: %w", p.spec.Name, err)
	}
	return nil
}

// Signal sends a signal to the current run.
func (p *Process) Signal(s syscall.Signal) error {
	run := p.currentRun()
	if run == nil || run.ended() {
		return fmt.Errorf("signaling %s: %w", p.spec.Name, errNotRunning)
	}
	p.rig.recordAction(p.spec.Name, run.number, s.String(), nil)
	return run.cmd.Process.Signal(s)
}

// Kill sends SIGKILL to the current run, and waits until the run and its children have ended.
func (p *Process) Kill(ctx context.Context) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Await(ctx)
}

// Await waits for the end of the current run.
func (p *Process) Await(ctx context.Context) error {
	run := p.currentRun()
	if run == nil {
		return nil
	}
	select {
	case <-run.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended: %w", p.spec.Name, context.Cause(ctx))
	}
}

// Forget removes the directory of a process, as if the process had lost its disk. The process must not be running.
func (p *Process) Forget() error {
	if run := p.currentRun(); run != nil && !run.ended() {
		return fmt.Errorf("removing the directory of %s: %w", p.spec.Name, errRunning)
	}
	p.rig.recordAction(p.spec.Name, 0, "lose the disk", nil)
	return os.RemoveAll(p.Dir)
}

// Replace starts another run in the same directory while the current one continues. Once the new run is ready, Replace sends SIGTERM to the
// old run and waits for its end.
func (p *Process) Replace(ctx context.Context, files map[string]string) error {
	p.mu.Lock()
	old := p.current
	err := p.launchLocked(files)
	p.mu.Unlock()
	if err == nil {
		err = p.AwaitReady(ctx)
	}
	if err != nil || old == nil || old.ended() {
		return err
	}
	p.rig.recordAction(p.spec.Name, old.number, syscall.SIGTERM.String(), nil)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-old.done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// end kills all runs, including stopped runs.
func (p *Process) end() {
	p.mu.Lock()
	allRuns := p.allRuns
	p.mu.Unlock()
	for _, run := range allRuns {
		if !run.ended() {
			_ = run.cmd.Process.Kill() // fails if the run has ended meanwhile
		}
	}
	for _, run := range allRuns {
		<-run.done
	}
}

// Resident returns the resident memory of the current run in bytes, or 0 if the process is not running.
func (p *Process) Resident() int64 {
	run := p.currentRun()
	if run == nil || run.ended() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", run.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// starterThread runs functions on one thread that lasts as long as the process that runs the rig. This is necessary because the kernel kills
// a child with Pdeathsig when the thread that started the child ends, and the Go runtime may end other threads at any time.
var starterThread = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range work {
			start()
		}
	}()
	return work
})

func startOnStarterThread(cmd *exec.Cmd) error {
	err := make(chan error, 1)
	starterThread() <- func() { err <- cmd.Start() }
	return <-err
}

// Children returns the pids of the child processes of the current run.
func (p *Process) Children() (pids []int) {
	run := p.currentRun()
	if run == nil || run.ended() {
		return nil
	}
	paths, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is constant and valid
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil { // the process has ended since the directory was listed
			continue
		}
		var pid, parent int
		var state string
		_, rest, _ := bytes.Cut(text, []byte(") ")) // the fields follow the name, which may contain spaces
		if _, err := fmt.Sscan(string(rest), &state, &parent); err != nil || parent != run.cmd.Process.Pid {
			continue
		}
		if _, err := fmt.Sscan(string(text), &pid); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids
}
