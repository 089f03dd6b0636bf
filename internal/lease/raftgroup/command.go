package raftgroup

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"orchiddrift/internal/lease"
)

// TokenVariable is the environment variable in which a command finds the token of its lease, NameVariable the lease's name.
const (
	TokenVariable = "ORCHIDDRIFT_LEASE_TOKEN"
	NameVariable  = "ORCHIDDRIFT_LEASE"
)

// Command is a Task that runs a command while the lease is held. The command runs under a guard, a process of its own, which ends it as the
// term ends though this process is stopped, and as this process dies. This process in turn ends the command where the guard is stopped, and the
// kernel where the guard is killed. What is left: both stopped, and the command not.
type Command struct {
	Guard  []string // the guard's command line, to which the margin and the command are added
	Name   string
	Argv   []string
	Margin time.Duration
	Env    []string                         // beside this process's own
	OnExit func(code int, why lease.Reason) // the command has ended: by itself where why is 0
	Log    func(text string)                // what is worth a line

	mu    sync.Mutex
	run   *commandRun
	token lease.Token
	until time.Duration
	ended lease.Reason // why it was to end; 0: it was not
}

// commandRun is one run.
type commandRun struct {
	cmd  *exec.Cmd
	to   io.WriteCloser
	over chan struct{}
	pid  int  // of the command, once the guard has said so
	late bool // the guard has ended it, since its time was over by what it had been told; read once told is closed
	told chan struct{}
}

// Start is Task's.
func (c *Command) Start(token lease.Token, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.until, c.ended, c.run = token, until, 0, nil
	if err := c.launchLocked(); err != nil {
		c.Log(err.Error())
		go c.OnExit(1, 0)
	}
}

func (c *Command) launchLocked() error {
	argv := append(append([]string{}, c.Guard...), "--margin", c.Margin.String(), "--until", strconv.FormatInt(int64(c.until), 10), "--")
	cmd := exec.Command(c.Guard[0], append(argv[1:], c.Argv...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.Env = append(append(os.Environ(), c.Env...), TokenVariable+"="+strconv.FormatUint(uint64(c.token), 10), NameVariable+"="+c.Name)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	read, write, err := os.Pipe() // the guard says there what it does
	if err != nil {
		return err
	}
	cmd.ExtraFiles = []*os.File{write}
	to, err := cmd.StdinPipe()
	if err == nil {
		err = cmd.Start()
	}
	write.Close()
	if err != nil {
		read.Close()
		return err
	}
	g := &commandRun{cmd: cmd, to: to, over: make(chan struct{}), told: make(chan struct{})}
	c.run = g
	go func() {
		defer close(g.told)
		defer read.Close()
		var pid int
		if _, err := fmt.Fscan(read, &pid); err == nil {
			c.mu.Lock()
			g.pid = pid
			c.mu.Unlock()
			var word string
			_, err = fmt.Fscan(read, &word)
			g.late = err == nil && word == guardLate
		}
	}()
	go func() {
		_ = cmd.Wait() // its exit code tells
		<-g.told
		c.over(g)
	}()
	return nil
}

// over is a run's end. One that the guard has ended while the lease is held after all, since the word that it goes on came too late, begins anew:
// this process still is the only one.
func (c *Command) over(g *commandRun) {
	c.mu.Lock()
	close(g.over)
	code, why := g.cmd.ProcessState.ExitCode(), c.ended
	if code < 0 {
		code = 1
	}
	if why == 0 && g.late {
		if BootTime() < c.until && c.launchLocked() == nil {
			c.mu.Unlock()
			return
		}
		why = lease.ReasonExpired
	}
	c.mu.Unlock()
	c.OnExit(code, why)
}

// Extend is Task's.
func (c *Command) Extend(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = until
	c.sayLocked("until " + strconv.FormatInt(int64(until), 10))
}

func (c *Command) sayLocked(line string) {
	if c.run != nil {
		_, _ = io.WriteString(c.run.to, line+"\n") // it may have ended; a pipe holds more than anybody says
	}
}

// Stop is Task's.
func (c *Command) Stop(why lease.Reason) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.run
	c.ended = why
	if g == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	c.sayLocked("end")
	time.AfterFunc(c.Margin, func() { // a guard that is stopped does not end it
		c.mu.Lock()
		pid := g.pid
		c.mu.Unlock()
		select {
		case <-g.over:
			return
		default:
		}
		if pid > 0 {
			_ = syscall.Kill(-pid, syscall.SIGKILL)
		}
		_ = g.cmd.Process.Kill()
	})
	return g.over
}

// Rejected is Task's.
func (c *Command) Rejected(why lease.Reason) {
	if why == lease.ReasonNoCapacity {
		c.Log("the record of leases is full")
	}
}

// Unreachable is Task's.
func (c *Command) Unreachable(err error) { c.Log(err.Error()) }

// guardLate is what a guard says as it ends a command at its moment.
const guardLate = "late"

// Guard runs a command until a moment by Boottime that what comes on in moves on ("until N", "end"). At the moment, at "end", or at the end of in
// it gets SIGTERM, and margin later SIGKILL, with all of its group. It returns the command's exit code.
func Guard(in io.Reader, pid io.WriteCloser, until, margin time.Duration, argv []string) (int, error) {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if BootTime() >= until { // a busy machine began the guard too late: not the command's end, and who asked may have another term by now
		_, _ = fmt.Fprintf(pid, "0\n%s\n", guardLate)
		return 1, errors.Join(errors.New("the lease's term was over before its command began"), pid.Close())
	}
	if err := cmd.Start(); err != nil {
		return 127, err
	}
	defer pid.Close()
	_, _ = fmt.Fprintln(pid, cmd.Process.Pid) // who asked may be gone: in says so
	over := make(chan struct{})
	go func() {
		defer close(over)
		_ = cmd.Wait()
	}()
	moments, end := make(chan time.Duration), make(chan struct{})
	go func() {
		defer close(end)
		for lines := bufio.NewScanner(in); lines.Scan(); {
			text, ok := strings.CutPrefix(lines.Text(), "until ")
			n, err := strconv.ParseInt(text, 10, 64)
			if !ok || err != nil {
				return
			}
			select {
			case moments <- time.Duration(n):
			case <-over:
				return
			}
		}
	}()
	// Boottime and the timer's clock differ by sleep alone; a machine that slept is looked after by looking often.
	look := time.NewTicker(max(margin/8, 5*time.Millisecond))
	defer look.Stop()
	group := -cmd.Process.Pid
	for {
		select {
		case <-over:
			return cmd.ProcessState.ExitCode(), nil
		case at := <-moments:
			until = max(until, at)
			continue
		case <-look.C:
			if BootTime() < until {
				continue
			}
			_, _ = fmt.Fprintln(pid, guardLate)
		case <-end:
		}
		_ = syscall.Kill(group, syscall.SIGTERM)
		last := min(BootTime(), until) + margin
		for BootTime() < last {
			select {
			case <-over:
				_ = syscall.Kill(group, syscall.SIGKILL) // what it has left behind
				return cmd.ProcessState.ExitCode(), nil
			case <-look.C:
			}
		}
		_ = syscall.Kill(group, syscall.SIGKILL)
		<-over
		return cmd.ProcessState.ExitCode(), nil
	}
}

var _ Work = (*Command)(nil)

// Revoke has the holder of a lease get no other term.
func Revoke(ctx context.Context, at Requester, name string, patience time.Duration) (lease.Reply, error) {
	return at.Request(ctx, lease.Request{Kind: lease.Revoke, Name: name, Client: NewClientID(), SendNumber: 1}, 0, patience)
}
