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

// Spec says how a process is started.
type Spec struct {
	Name  string
	Args  []string          // of the program
	Env   []string          // beside the rig's own
	Files map[string]string // by name, written to the process's directory before each start
	Ready func(Event) bool  // tells a line of the process that serves; nil: it does once it runs
}

// life is one run of a Process.
type life struct {
	number int
	cmd    *exec.Cmd
	over   chan struct{} // closed once it has ended and its lines are in the history
	from   int           // where the history stood as it began
}

// Process is one of the rig's: a place in which lives follow each other. It is safe for concurrent use.
type Process struct {
	rig  *Rig
	spec Spec
	Dir  string // its working directory and, where nothing else is said, TMPDIR

	mu    sync.Mutex
	lives int
	now   *life // nil: none has begun
	all   []*life
}

// Name is the Spec's.
func (p *Process) Name() string { return p.spec.Name }

var errRuns = errors.New("it runs")

// Start begins a life, in the directory as the last one left it, and waits until it is ready. files go in place of the Spec's where they
// are not nil.
func (p *Process) Start(ctx context.Context, files map[string]string) error {
	if err := p.Launch(files); err != nil {
		return err
	}
	return p.AwaitReady(ctx)
}

// Launch is Start without the wait.
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
	p.lives++
	l := &life{number: p.lives, cmd: cmd, over: make(chan struct{}), from: len(p.rig.History.Events(0))}
	if err := start(cmd); err != nil {
		return errors.Join(fmt.Errorf("%s: %w", p.spec.Name, err), read.Close())
	}
	p.now, p.all = l, append(p.all, l)
	p.rig.did(p.spec.Name, l.number, "start", nil)
	lines := make(chan struct{})
	go func() {
		defer close(lines)
		defer read.Close()
		p.hear(l, read)
	}()
	go func() {
		defer close(l.over)
		_ = cmd.Wait()
		// What it has started may hold the pipe: that ends with it.
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		<-lines
		p.rig.History.Add(Event{Kind: Ended, Who: p.spec.Name, Life: l.number, What: cmd.ProcessState.String()})
	}()
	return nil
}

// hear puts the lines of a life into the history.
func (p *Process) hear(l *life, from io.Reader) {
	in := bufio.NewReaderSize(from, 64<<10)
	for {
		line, err := in.ReadSlice('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			e := Event{Kind: Told, Who: p.spec.Name, Life: l.number}
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

func (l *life) ended() bool {
	select {
	case <-l.over:
		return true
	default:
		return false
	}
}

func (p *Process) current() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

var errNone = errors.New("it does not run")

// AwaitReady waits until the present life is ready.
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
		mine := e.Who == p.spec.Name && e.Life == l.number
		ended = mine && e.Kind == Ended
		return ended || mine && e.Kind == Told && p.spec.Ready(e)
	})
	if err == nil && ended {
		err = errNone
	}
	if err != nil {
		return fmt.Errorf("%s is not ready: %w", p.spec.Name, err)
	}
	return nil
}

// Signal sends the present life a signal: SIGKILL, SIGSTOP, SIGCONT, SIGTERM and SIGHUP are the ones that scripts use.
func (p *Process) Signal(s syscall.Signal) error {
	l := p.current()
	if l == nil || l.ended() {
		return fmt.Errorf("%s: %w", p.spec.Name, errNone)
	}
	p.rig.did(p.spec.Name, l.number, s.String(), nil)
	return l.cmd.Process.Signal(s)
}

// Kill ends the present life, and waits for that. What the life has started ends too.
func (p *Process) Kill(ctx context.Context) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Await(ctx)
}

// Await waits for the end of the present life.
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

// Forget empties the directory of a process that does not run: its disk is lost.
func (p *Process) Forget() error {
	if l := p.current(); l != nil && !l.ended() {
		return fmt.Errorf("%s: %w", p.spec.Name, errRuns)
	}
	p.rig.did(p.spec.Name, 0, "lose the disk", nil)
	return os.RemoveAll(p.Dir)
}

// Replace starts another life beside the present one, in the same directory; once it is ready the old one gets SIGTERM and its end is
// waited for.
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

// end ends all lives, the ones that are stopped too.
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

// Resident is what the present life holds in memory, in bytes; 0: it does not run.
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

// Children are the processes that the present life has started, by pid.
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
