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

// The lines between a Command and its guard. The Command writes control lines to the guard's standard input, and the guard writes its status to
// file descriptor 3: the command's process id on the first line, 0 if it was not started.
const (
	controlUntil = "until " // and the end of the grant by BootTime, in nanoseconds
	controlEnd   = "end"    // end the command now
	statusLate   = "late"   // the command is ended, or was not started, because its grant has expired
)

// The guard looks at the clock and at the command this often: by timers alone it would not notice that the machine slept.
const (
	guardChecksPerMargin  = 8
	minGuardCheckInterval = 5 * time.Millisecond
)

// exitCodeNotStarted is the guard's exit code for a command that could not be started, as a shell's.
const exitCodeNotStarted = 127

var errGrantExpired = errors.New("the lease's term was over before its command began")

// Guard runs a command for as long as its grant lasts, and returns its exit code. The grant ends at until by BootTime; lines of control move that
// or end the command. When the grant expires, on controlEnd, or at the end of control, the command's process group gets SIGTERM, and SIGKILL
// a margin later.
func Guard(control io.Reader, status io.WriteCloser, until, margin time.Duration, argv []string) (int, error) {
	if BootTime() >= until { // a busy machine started the guard too late; the grant may have been extended meanwhile
		_, _ = fmt.Fprintf(status, "0\n%s\n", statusLate)
		return exitCodeUnknown, errors.Join(errGrantExpired, status.Close())
	}
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return exitCodeNotStarted, err
	}
	defer status.Close()
	_, _ = fmt.Fprintln(status, cmd.Process.Pid) // if nobody reads it, control ends too
	g := &guard{cmd: cmd, status: status, until: until, margin: margin, exited: make(chan struct{}), extensions: make(chan time.Duration), end: make(chan struct{})}
	go func() {
		defer close(g.exited)
		_ = cmd.Wait() // ProcessState has its exit code
	}()
	go g.readControl(control)
	return g.supervise(), nil
}

// guard supervises a command that runs.
type guard struct {
	cmd        *exec.Cmd
	status     io.Writer
	until      time.Duration // the end of the grant
	margin     time.Duration
	exited     chan struct{}      // closed when the command has exited
	extensions chan time.Duration // new ends of the grant
	end        chan struct{}      // closed when the command must end
}

// readControl reads control lines until the command must end.
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

// supervise waits for the command's end, and brings it about when its grant has expired.
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
				_, _ = fmt.Fprintln(g.status, statusLate)
				return g.terminate(ticker.C)
			}
		case <-g.end:
			return g.terminate(ticker.C)
		}
	}
}

// terminate ends the command's process group: with SIGTERM, and with SIGKILL when the margin is over or the command has left processes behind.
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
