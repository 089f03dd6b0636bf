package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/lease"
	"orchiddrift/internal/lease/raftgroup"
	"orchiddrift/internal/task"
	"orchiddrift/internal/task/runner"
)

// Exit codes of the lease commands, besides 1 for wrong arguments or a wrong file and the exit code of the command that is run.
const (
	exitUnreachable = 69 // no leader of the group answers
	exitHeld        = 75 // another client holds the lease, or the group has reached its limit of leases
	exitLost        = 76 // the lease was lost while its command ran, or nobody holds the named lease
)

const (
	// infoTimeout is how long the members may take to respond.
	infoTimeout = 2 * time.Second
	// marginsPerLease is the minimum ratio of the lease duration to the margin.
	marginsPerLease = 4
	// requestsPerLease is how many requests for the lease are sent within a lease duration while no reply arrives.
	requestsPerLease = 5
	// maxUnreachable is the number of successive requests without a reply after which a command that does not wait gives up.
	maxUnreachable = 3
)

// leaseCmd is the command line of `orchiddrift lease`.
type leaseCmd struct {
	File   string         `name:"file" env:"ORCHIDDRIFT_FILE" required:"" type:"existingfile" help:"The operator's file, whose [fleet] names the group."`
	Run    leaseRunCmd    `cmd:"" help:"Run a command while holding a lease. The command is ended before the lease expires."`
	List   leaseListCmd   `cmd:"" help:"Print the held leases and their holders."`
	Show   leaseShowCmd   `cmd:"" help:"Print one lease and the group's members."`
	Tasks  leaseTasksCmd  `cmd:"" help:"Print the fleet's tasks with the latest run of each."`
	Revoke leaseRevokeCmd `cmd:"" help:"Revoke a lease, so that its holder cannot renew it."`
	Guard  leaseGuardCmd  `cmd:"" hidden:""`
}

// exit is an error with an exit code. The zero value is no error.
type exit struct {
	code int
	err  error
}

func (e exit) Error() string { return e.err.Error() }

func (e exit) Unwrap() error { return e.err }

// client returns a client of the group that the file names.
func (c *leaseCmd) client() (*raftgroup.Client, error) {
	declaration, err := config.LoadFleet(c.File)
	if err != nil {
		return nil, err
	}
	return raftgroup.NewClient(declaration.Name, raftgroup.DeclaredPeers(declaration))
}

// queryMembers returns the reports of the leader and of each member. The report of a member that does not answer is nil. Without a leader it
// returns the members together with an error.
func (c *leaseCmd) queryMembers() (leader *raftgroup.Info, members []*raftgroup.Info, err error) {
	client, err := c.client()
	if err != nil {
		return nil, nil, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), infoTimeout)
	defer cancel()
	members = client.Info(ctx)
	for _, info := range members {
		if info != nil && info.IsLeader {
			return info, members, nil
		}
	}
	return nil, members, exit{exitUnreachable, errors.New("the group has no leader: are most of its members running?")}
}

// leaseRunCmd is `orchiddrift lease run`.
type leaseRunCmd struct {
	Name     string        `arg:"" help:"The lease."`
	Argv     []string      `arg:"" passthrough:"" help:"The command and its arguments."`
	Duration time.Duration `name:"term" default:"10s" help:"How long the lease remains held after its holder stops responding."`
	Margin   time.Duration `default:"1s" help:"How long the command may take to end after SIGTERM before it gets SIGKILL."`
	Wait     bool          `help:"Wait in the queue while another client holds the lease."`
	Again    bool          `help:"If the lease is lost, wait for it and run the command again."`
}

// Run implements the command.
func (c *leaseRunCmd) Run(parent *leaseCmd) error {
	argv := withoutSeparator(c.Argv)
	if len(argv) == 0 {
		return errors.New("lease run: no command to run is given")
	}
	declaration, err := config.LoadFleet(parent.File)
	if err != nil {
		return err
	}
	if c.Margin <= 0 || c.Duration < marginsPerLease*c.Margin {
		return fmt.Errorf("a term of %v is less than four times the margin of %v", c.Duration, c.Margin)
	}
	client, err := parent.client()
	if err != nil {
		return err
	}
	defer client.Close()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &leasedCommand{restart: c.Again, stop: stop}
	command.Command = raftgroup.Command{Guard: []string{executable, "lease", "--file", parent.File, "guard"}, Name: c.Name, Argv: argv, Margin: c.Margin,
		OnExit: command.exited, Log: func(text string) { fmt.Fprintln(os.Stderr, "orchiddrift: lease:", text) }}
	wait := c.Wait || c.Again
	if !wait {
		command.requestsLeft = maxUnreachable
	}
	raftgroup.RunWhileHeld(ctx, client, lease.HolderOptions{Name: c.Name, Client: raftgroup.NewClientID(), Duration: c.Duration, Wait: wait,
		Drift: declaration.Drift, Margin: c.Margin, RetryInterval: c.Duration / requestsPerLease}, command)
	return command.result()
}

// withoutSeparator returns a command line without the "--" before it.
func withoutSeparator(argv []string) []string {
	if len(argv) > 0 && argv[0] == "--" {
		return argv[1:]
	}
	return argv
}

// leasedCommand is the raftgroup.Work of `lease run`: a command, and the failure that determines the exit code of the process.
type leasedCommand struct {
	raftgroup.Command
	restart      bool   // run the command again after the lease was lost
	requestsLeft int    // number of requests without a reply after which the command line gives up; 0 if it never gives up
	stop         func() // makes RunWhileHeld release the lease and return

	mu     sync.Mutex
	failed exit // the first failure
}

// result returns the first failure, or nil if there was none.
func (c *leasedCommand) result() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed.code != 0 {
		return c.failed
	}
	return nil
}

// finish records a failure, unless the code is 0, and ends the run.
func (c *leasedCommand) finish(code int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed.code == 0 && code != 0 {
		c.failed = exit{code, err}
	}
	c.stop()
}

// exited handles the end of the command. reason is 0 if the command ended by itself.
func (c *leasedCommand) exited(code int, reason lease.Reason) {
	switch {
	case reason == 0:
		c.finish(code, fmt.Errorf("the command ended with exit code %d", code))
	case reason == lease.ReasonReleased || c.restart:
	default:
		c.finish(exitLost, errors.New("the lease was lost, and its command was ended"))
	}
}

// Rejected implements raftgroup.Work.
func (c *leasedCommand) Rejected(reason lease.Reason) {
	c.Command.Rejected(reason)
	c.finish(exitHeld, errors.New("the lease is held by another client, or the group has reached its limit of leases"))
}

// Unreachable implements raftgroup.Work.
func (c *leasedCommand) Unreachable(err error) {
	c.Command.Unreachable(err)
	if c.requestsLeft > 0 {
		if c.requestsLeft--; c.requestsLeft == 0 {
			c.finish(exitUnreachable, err)
		}
	}
}

// leaseGuardCmd is `orchiddrift lease guard`, which `lease run` and tasks start: see raftgroup.Guard.
type leaseGuardCmd struct {
	Until  int64         `required:""` // in nanoseconds of raftgroup.BootTime
	Margin time.Duration `required:""`
	Argv   []string      `arg:"" passthrough:""`
}

// guardStatusFD is the file descriptor to which the guard writes its status.
const guardStatusFD = 3

// Run implements the command. It does not return.
func (c *leaseGuardCmd) Run() error {
	// SIGINT and SIGTERM are meant for the lease's holder, which controls the guard. They are caught and dropped instead of ignored, because the
	// command would inherit ignored signals.
	signal.Notify(make(chan os.Signal, 1), os.Interrupt, syscall.SIGTERM)
	syscall.CloseOnExec(guardStatusFD)
	code, err := raftgroup.Guard(os.Stdin, os.NewFile(guardStatusFD, "status"), time.Duration(c.Until), c.Margin, withoutSeparator(c.Argv))
	if err != nil {
		fmt.Fprintln(os.Stderr, "orchiddrift: lease:", err)
	}
	if code < 0 { // killed by a signal, usually sent by the guard itself
		const shellSignalBase = 128
		code = shellSignalBase + int(syscall.SIGKILL)
	}
	os.Exit(code)
	return nil
}

// leaseListCmd is `orchiddrift lease list`.
type leaseListCmd struct{}

// Run implements the command.
func (*leaseListCmd) Run(parent *leaseCmd) error {
	leader, _, err := parent.queryMembers()
	if err != nil {
		return err
	}
	return printLeases(leader, func(lease.Entry) bool { return true })
}

// newTable returns a writer of a table with aligned columns.
func newTable() *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 8, 2
	return tabwriter.NewWriter(os.Stdout, minWidth, tabWidth, padding, ' ', 0)
}

// printLeases prints the leases that a filter accepts.
func printLeases(leader *raftgroup.Info, accept func(lease.Entry) bool) error {
	table := newTable()
	fmt.Fprintln(table, "NAME\tTOKEN\tLEFT\tTERM\tWAITING\tHOLDER")
	for i, entry := range leader.Leases {
		if accept(entry) {
			remaining := time.Duration(leader.RemainingMs[i]) * time.Millisecond
			fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%d\t%s\n", entry.Name, entry.Token, remaining, entry.Duration, len(entry.Waiters), entry.Holder)
		}
	}
	return table.Flush()
}

// leaseShowCmd is `orchiddrift lease show`.
type leaseShowCmd struct {
	Name string `arg:"" optional:"" help:"The lease. Absent: print only the group's members."`
}

// Run implements the command. The members are printed even without a leader.
func (c *leaseShowCmd) Run(parent *leaseCmd) error {
	declaration, err := config.LoadFleet(parent.File)
	if err != nil {
		return err
	}
	leader, members, err := parent.queryMembers()
	for i, member := range declaration.Members {
		if members == nil { // the client could not be created
			break
		}
		fmt.Printf("member %s at %s: %s\n", member.Name, member.Address, memberState(members[i]))
	}
	if err != nil || c.Name == "" {
		return err
	}
	found := false
	err = printLeases(leader, func(entry lease.Entry) bool {
		found = found || entry.Name == c.Name
		return entry.Name == c.Name
	})
	if err == nil && !found {
		return exit{exitLost, fmt.Errorf("nobody holds the lease %q", c.Name)}
	}
	return err
}

// memberState describes the state that a member reports. info is nil if the member does not answer.
func memberState(info *raftgroup.Info) string {
	switch {
	case info == nil:
		return "does not answer"
	case info.IsLeader:
		return "leads"
	case !info.Bootstrapped:
		return "is not in the group yet"
	case info.Leader == "":
		return "knows of no leader"
	}
	return "follows " + info.Leader
}

// leaseTasksCmd is `orchiddrift lease tasks`.
type leaseTasksCmd struct{}

// Run implements the command.
func (*leaseTasksCmd) Run(parent *leaseCmd) error {
	leader, _, err := parent.queryMembers()
	if err != nil {
		return err
	}
	table := newTable()
	fmt.Fprintln(table, "TASK\tDUE\tPHASE\tCODE\tTRIES\tTOKEN\tBY")
	for _, leaseName := range slices.Sorted(maps.Keys(leader.Notes)) {
		name, isTask := strings.CutPrefix(leaseName, runner.LeasePrefix)
		if !isTask {
			continue
		}
		record, err := task.DecodeRecord(leader.Notes[leaseName])
		if err != nil {
			fmt.Fprintf(table, "%s\t%v\n", name, err)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", name, record.Due.Local().Format(time.RFC3339), record.Phase, record.ExitCode, record.Attempts,
			record.Token, record.By)
	}
	return table.Flush()
}

// leaseRevokeCmd is `orchiddrift lease revoke`.
type leaseRevokeCmd struct {
	Name string `arg:"" help:"The lease."`
}

// Run implements the command.
func (c *leaseRevokeCmd) Run(parent *leaseCmd) error {
	client, err := parent.client()
	if err != nil {
		return err
	}
	defer client.Close()
	reply, err := raftgroup.Revoke(context.Background(), client, c.Name, infoTimeout)
	switch {
	case err != nil:
		return exit{exitUnreachable, err}
	case reply.Status != lease.Done:
		return exit{exitLost, fmt.Errorf("cannot revoke the lease: nobody holds %q", c.Name)}
	}
	fmt.Printf("%s is revoked from %s: it goes to the next when that one has stopped, or its term is over\n", c.Name, reply.Holder)
	return nil
}
