package raftgroup

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"orchiddrift/internal/lease"
)

// Environment variables that a Command sets for the command that it runs.
const (
	TokenVariable = "ORCHIDDRIFT_LEASE_TOKEN" // the fencing token of the lease
	NameVariable  = "ORCHIDDRIFT_LEASE"       // the name of the lease
)

// exitCodeUnknown is the exit code of a command that could not be started or was killed.
const exitCodeUnknown = 1

// Command is a Work that runs a command while the lease is held.
//
// The command runs under a guard (see Guard), a separate process whose parent is this process and whose child is the command. The table shows how
// the command ends when this process or the guard fails or is stopped by a signal:
//
//	this process is stopped               the guard ends the command when the grant expires
//	this process dies                     the guard reads the end of its standard input and ends the command
//	the guard is stopped                  this process kills the command's process group
//	the guard is killed                   the kernel kills the command
//	this process and guard are stopped    nothing ends the command; only a check of its fencing token rejects its writes
type Command struct {
	Guard  []string                            // command line of the guard, to which the margin and the command are added
	Name   string                              // name of the lease
	Argv   []string                            // command line of the command
	Margin time.Duration                       // how long the command may take to end after SIGTERM
	Env    []string                            // environment variables of the command, added to those of this process
	OnExit func(code int, reason lease.Reason) // called when the command has ended; reason is 0 if it ended by itself
	Log    func(text string)

	mu         sync.Mutex
	run        *commandRun // the current run; nil if no command was started
	token      lease.Token
	until      time.Duration // time by BootTime at which the grant ends
	stopReason lease.Reason  // the reason given to Stop; 0 if Stop was not called
}

// commandRun is one run of the command under its guard.
type commandRun struct {
	guard   *exec.Cmd
	control io.WriteCloser // the guard's standard input
	ended   chan struct{}  // closed when the guard and the command have ended

	pid        int           // process id of the command, 0 until the guard has written it; protected by Command.mu
	statusRead chan struct{} // closed when readStatus has returned
	expired    bool          // the guard ended the command because its grant had expired; read after statusRead is closed
}

var _ Work = (*Command)(nil)

// Start implements Work.
func (c *Command) Start(token lease.Token, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.until, c.stopReason, c.run = token, until, 0, nil
	if err := c.launchLocked(); err != nil {
		c.Log(err.Error())
		go c.OnExit(exitCodeUnknown, 0)
	}
}

// Extend implements Work.
func (c *Command) Extend(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = until
	c.controlLocked(controlUntil + strconv.FormatInt(int64(until), 10))
}

// Stop implements Work.
func (c *Command) Stop(reason lease.Reason) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReason = reason
	run := c.run
	if run == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	c.controlLocked(controlEnd)
	time.AfterFunc(c.Margin, func() { c.kill(run) }) // ends the command also if a signal has stopped the guard
	return run.ended
}

// Rejected implements Work.
func (c *Command) Rejected(reason lease.Reason) {
	if reason == lease.ReasonNoCapacity {
		c.Log("the lease table is full")
	}
}

// Unreachable implements Work.
func (c *Command) Unreachable(err error) { c.Log(err.Error()) }

// launchLocked starts the guard, which starts the command. The caller holds c.mu.
func (c *Command) launchLocked() error {
	statusReader, statusWriter, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("creating the guard's status pipe: %w", err)
	}
	guard := c.guardCommand()
	guard.ExtraFiles = []*os.File{statusWriter}
	control, err := guard.StdinPipe()
	if err == nil {
		err = guard.Start()
	}
	statusWriter.Close()
	if err != nil {
		statusReader.Close()
		return fmt.Errorf("starting the guard: %w", err)
	}
	run := &commandRun{guard: guard, control: control, ended: make(chan struct{}), statusRead: make(chan struct{})}
	c.run = run
	go c.readStatus(run, statusReader)
	go func() {
		_ = guard.Wait() // ProcessState has its exit code
		<-run.statusRead
		c.runEnded(run)
	}()
	return nil
}

// guardCommand returns the guard's command line and environment. The guard gets its own process group.
func (c *Command) guardCommand() *exec.Cmd {
	argv := append([]string{}, c.Guard...)
	argv = append(argv, "--margin", c.Margin.String(), "--until", strconv.FormatInt(int64(c.until), 10), "--")
	argv = append(argv, c.Argv...)
	guard := exec.Command(argv[0], argv[1:]...)
	guard.Stdout, guard.Stderr = os.Stdout, os.Stderr
	guard.Env = append(append(os.Environ(), c.Env...), TokenVariable+"="+strconv.FormatUint(uint64(c.token), 10), NameVariable+"="+c.Name)
	guard.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return guard
}

// readStatus reads the guard's status: the command's process id and, if the guard ends the command because its grant has expired, statusExpired.
func (c *Command) readStatus(run *commandRun, status io.ReadCloser) {
	defer close(run.statusRead)
	defer status.Close()
	var pid int
	if _, err := fmt.Fscan(status, &pid); err != nil {
		return
	}
	c.mu.Lock()
	run.pid = pid
	c.mu.Unlock()
	var text string
	_, err := fmt.Fscan(status, &text)
	run.expired = err == nil && text == statusExpired
}

// runEnded handles the end of a run. The guard may have ended the command because an extension of the grant reached the guard too late. If the
// lease is still held then, the command is started again, since no other client can have the lease.
func (c *Command) runEnded(run *commandRun) {
	c.mu.Lock()
	close(run.ended)
	code, reason := run.guard.ProcessState.ExitCode(), c.stopReason
	if code < 0 {
		code = exitCodeUnknown
	}
	if reason == 0 && run.expired {
		if BootTime() < c.until && c.launchLocked() == nil {
			c.mu.Unlock()
			return
		}
		reason = lease.ReasonExpired
	}
	c.mu.Unlock()
	c.OnExit(code, reason)
}

// kill kills the command's process group and the guard, if the run has not ended.
func (c *Command) kill(run *commandRun) {
	c.mu.Lock()
	pid := run.pid
	c.mu.Unlock()
	select {
	case <-run.ended:
		return
	default:
	}
	if pid > 0 {
		_ = syscall.Kill(-pid, syscall.SIGKILL)
	}
	_ = run.guard.Process.Kill()
}

// controlLocked writes a control line to the guard. A write error is ignored: it means that the guard has ended. The write does not block, because
// the pipe's buffer is larger than all lines of a run. The caller holds c.mu.
func (c *Command) controlLocked(line string) {
	if c.run != nil {
		_, _ = io.WriteString(c.run.control, line+"\n")
	}
}
