package raftgroup

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Lines that a Command and its guard exchange. The Command writes control lines to the guard's standard input. The guard writes its status to
// file descriptor 3; the first line is the command's process id, or 0 if the command was not started.
const (
	controlUntil  = "until " // prefix of the new end of the grant by BootTime, in nanoseconds
	controlEnd    = "end"    // end the command now
	statusExpired = "late"   // the grant expired: the guard ends the command, or did not start it
)

// The guard compares the clock with the end of the grant guardChecksPerMargin times within a margin, but not more often than once in
// minGuardCheckInterval. A single timer would not notice that the machine slept.
const (
	guardChecksPerMargin  = 8
	minGuardCheckInterval = 5 * time.Millisecond
)

// exitCodeNotStarted is the guard's exit code for a command that could not be started. Shells use the same code.
const exitCodeNotStarted = 127

var errGrantExpired = errors.New("the lease's grant expired before its command was started")

// Guard runs a command for as long as its grant lasts, and returns the command's exit code. The parameter until is the BootTime at which the grant
// ends. Lines read from control extend the grant or end the command. When the grant expires, on controlEnd, or at the end of control, the command's
// process group gets SIGTERM, and SIGKILL a margin later.
func Guard(control io.Reader, status io.WriteCloser, until, margin time.Duration, argv []string) (int, error) {
	if BootTime() >= until { // the guard started too late, as on a busy machine; the grant may have been extended meanwhile
		_, _ = fmt.Fprintf(status, "0\n%s\n", statusExpired)
		return exitCodeUnknown, errors.Join(errGrantExpired, status.Close())
	}
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return exitCodeNotStarted, err
	}
	defer status.Close()
	_, _ = fmt.Fprintln(status, cmd.Process.Pid) // an error is ignored: if the reader of status has ended, control ends too
	g := &guard{cmd: cmd, status: status, until: until, margin: margin, exited: make(chan struct{}), extensions: make(chan time.Duration), end: make(chan struct{})}
	go func() {
		defer close(g.exited)
		_ = cmd.Wait() // ProcessState has its exit code
	}()
	go g.readControl(control)
	return g.supervise(), nil
}

// guard supervises a running command.
type guard struct {
	cmd        *exec.Cmd
	status     io.Writer
	until      time.Duration // the end of the grant
	margin     time.Duration
	exited     chan struct{}      // closed when the command has exited
	extensions chan time.Duration // new end times of the grant
	end        chan struct{}      // closed when the command must end
}

// readControl reads control lines and sends extensions to supervise. It returns when the command must end or has exited.
func (g *guard) readControl(control io.Reader) {
	defer close(g.end)
	for lines := bufio.NewScanner(control); lines.Scan(); {
		text, ok := strings.CutPrefix(lines.Text(), controlUntil)
		until, err := strconv.ParseInt(text, 10, 64)
		if !ok || err != nil {
			return
		}
		select {
		case g.extensions <- time.Duration(until):
		case <-g.exited:
			return
		}
	}
}

// supervise waits until the command has exited. It terminates the command when the grant has expired or the command must end.
func (g *guard) supervise() (exitCode int) {
	ticker := time.NewTicker(max(g.margin/guardChecksPerMargin, minGuardCheckInterval))
	defer ticker.Stop()
	for {
		select {
		case <-g.exited:
			return g.cmd.ProcessState.ExitCode()
		case until := <-g.extensions:
			g.until = max(g.until, until)
		case <-ticker.C:
			if BootTime() >= g.until {
				_, _ = fmt.Fprintln(g.status, statusExpired)
				return g.terminate(ticker.C)
			}
		case <-g.end:
			return g.terminate(ticker.C)
		}
	}
}

// terminate ends the command's process group with SIGTERM, and waits until the command has exited or the margin is over. Then SIGKILL ends
// the processes that are left.
func (g *guard) terminate(tick <-chan time.Time) (exitCode int) {
	group := -g.cmd.Process.Pid
	_ = syscall.Kill(group, syscall.SIGTERM)
	deadline := min(BootTime(), g.until) + g.margin
	for exited := false; !exited && BootTime() < deadline; {
		select {
		case <-g.exited:
			exited = true
		case <-tick:
		}
	}
	_ = syscall.Kill(group, syscall.SIGKILL)
	<-g.exited
	return g.cmd.ProcessState.ExitCode()
}
