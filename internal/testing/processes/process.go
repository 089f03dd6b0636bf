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

// Spec holds the parameters of a process.
type Spec struct {
	Name  string
	Args  []string          // of the program
	Env   []string          // beside the rig's own
	Files map[string]string // by name, written to the process's directory before each start
	Ready func(Event) bool  // matches the line that a process logs once it serves; nil: it is ready when it runs
}

// processRun is one run of a Process.
type processRun struct {
	number int
	cmd    *exec.Cmd
	over   chan struct{} // closed after its end, when all its lines are in the history
	from   int           // length of the history at its start
}

// Process is a program that a Rig starts, possibly several times in the same directory. It is safe for concurrent use.
type Process struct {
	rig  *Rig
	spec Spec
	Dir  string // its working directory and, where nothing else is said, TMPDIR

	mu   sync.Mutex
	runs int
	now  *processRun // nil: none has begun
	all  []*processRun
}

// Name returns the name of the Spec.
func (p *Process) Name() string { return p.spec.Name }

var errRuns = errors.New("it runs")

// Start starts the process in its directory as the last run left it, and waits until it is ready. files replace those of the Spec if they are
// not nil.
func (p *Process) Start(ctx context.Context, files map[string]string) error {
	if err := p.Launch(files); err != nil {
		return err
	}
	return p.AwaitReady(ctx)
}

// Launch starts the process without waiting.
func (p *Process) Launch(files map[string]string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now != nil && !p.now.ended() {
		return fmt.Errorf("%s: %w", p.spec.Name, errRuns)
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
	// A group of its own, so that what it has started can be ended too; and the kernel ends it with the rig.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.runs++
	l := &processRun{number: p.runs, cmd: cmd, over: make(chan struct{}), from: len(p.rig.History.Events(0))}
	if err := start(cmd); err != nil {
		return errors.Join(fmt.Errorf("%s: %w", p.spec.Name, err), read.Close())
	}
	p.now, p.all = l, append(p.all, l)
	p.rig.did(p.spec.Name, l.number, "start", nil)
	lines := make(chan struct{})
	go func() {
		defer close(lines)
		defer read.Close()
		p.readLines(l, read)
	}()
	go func() {
		defer close(l.over)
		_ = cmd.Wait()
		// What it has started may hold the pipe: that ends with it.
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		<-lines
		p.rig.History.Add(Event{Kind: Ended, Who: p.spec.Name, Run: l.number, What: cmd.ProcessState.String()})
	}()
	return nil
}

// readLines adds the lines of a run to the history.
func (p *Process) readLines(l *processRun, from io.Reader) {
	in := bufio.NewReaderSize(from, 64<<10)
	for {
		line, err := in.ReadSlice('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			e := Event{Kind: Logged, Who: p.spec.Name, Run: l.number}
			var said struct {
				Msg string `json:"msg"`
			}
			if json.Unmarshal(text, &said) == nil {
				e.What, e.Data = said.Msg, bytes.Clone(text)
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

func (l *processRun) ended() bool {
	select {
	case <-l.over:
		return true
	default:
		return false
	}
}

func (p *Process) current() *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

var errNone = errors.New("it does not run")

// AwaitReady waits until the current run is ready.
func (p *Process) AwaitReady(ctx context.Context) error {
	l := p.current()
	if l == nil {
		return errNone
	}
	if p.spec.Ready == nil {
		return nil
	}
	var ended bool
	_, _, err := p.rig.History.Wait(ctx, l.from, func(e Event) bool {
		mine := e.Who == p.spec.Name && e.Run == l.number
		ended = mine && e.Kind == Ended
		return ended || mine && e.Kind == Logged && p.spec.Ready(e)
	})
	if err == nil && ended {
		err = errNone
	}
	if err != nil {
		return fmt.Errorf("%s is not ready: %w", p.spec.Name, err)
	}
	return nil
}

// Signal sends a signal to the current run.
func (p *Process) Signal(s syscall.Signal) error {
	l := p.current()
	if l == nil || l.ended() {
		return fmt.Errorf("%s: %w", p.spec.Name, errNone)
	}
	p.rig.did(p.spec.Name, l.number, s.String(), nil)
	return l.cmd.Process.Signal(s)
}

// Kill ends the current run and its children by SIGKILL, and waits for the end.
func (p *Process) Kill(ctx context.Context) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Await(ctx)
}

// Await waits for the end of the current run.
func (p *Process) Await(ctx context.Context) error {
	l := p.current()
	if l == nil {
		return nil
	}
	select {
	case <-l.over:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s goes on: %w", p.spec.Name, context.Cause(ctx))
	}
}

// Forget removes the directory of a process that does not run, as if it had lost its disk.
func (p *Process) Forget() error {
	if l := p.current(); l != nil && !l.ended() {
		return fmt.Errorf("%s: %w", p.spec.Name, errRuns)
	}
	p.rig.did(p.spec.Name, 0, "lose the disk", nil)
	return os.RemoveAll(p.Dir)
}

// Replace starts another run in the same directory beside the current one. Once it is ready, Replace sends SIGTERM to the old run and waits
// for its end.
func (p *Process) Replace(ctx context.Context, files map[string]string) error {
	p.mu.Lock()
	old := p.now
	err := p.launchLocked(files)
	p.mu.Unlock()
	if err == nil {
		err = p.AwaitReady(ctx)
	}
	if err != nil || old == nil || old.ended() {
		return err
	}
	p.rig.did(p.spec.Name, old.number, syscall.SIGTERM.String(), nil)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-old.over:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// end kills all runs, paused ones included.
func (p *Process) end() {
	p.mu.Lock()
	all := p.all
	p.mu.Unlock()
	for _, l := range all {
		if !l.ended() {
			_ = l.cmd.Process.Kill() // it may have ended meanwhile
		}
	}
	for _, l := range all {
		<-l.over
	}
}

// Resident returns the resident memory of the current run in bytes; 0 if there is none.
func (p *Process) Resident() int64 {
	l := p.current()
	if l == nil || l.ended() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", l.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// starts are carried out by one thread that lasts as long as the rig's process: the kernel ends a child that asked for that with the
// thread that started it, and Go ends threads as it likes.
var starts = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func start(cmd *exec.Cmd) error {
	err := make(chan error, 1)
	starts() <- func() { err <- cmd.Start() }
	return <-err
}

// Children returns the pids of the processes that the current run has started.
func (p *Process) Children() (out []int) {
	l := p.current()
	if l == nil || l.ended() {
		return nil
	}
	all, _ := filepath.Glob("/proc/[0-9]*/stat") // a fixed pattern
	for _, path := range all {
		text, err := os.ReadFile(path)
		if err != nil { // it has ended
			continue
		}
		var pid, parent int
		var state string
		_, rest, _ := bytes.Cut(text, []byte(") ")) // behind its name, which may hold anything
		if _, err := fmt.Sscan(string(rest), &state, &parent); err != nil || parent != l.cmd.Process.Pid {
			continue
		}
		if _, err := fmt.Sscan(string(text), &pid); err == nil {
			out = append(out, pid)
		}
	}
	return out
}
