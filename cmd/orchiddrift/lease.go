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
	tasks "orchiddrift/internal/task"
	"orchiddrift/internal/task/runner"
)

// Exit codes of the lease commands, beside 1 for what is wrong with the call.
const (
	exitUnreached = 69 // nobody answers for the group
	exitHeld      = 75 // somebody else holds the lease
	exitLost      = 76 // the lease was lost while its command ran, or is not what was said
)

type leaseCmd struct {
	File   string         `name:"file" env:"ORCHIDDRIFT_FILE" required:"" type:"existingfile" help:"The operator's file, whose [fleet] names the group."`
	Run    leaseRunCmd    `cmd:"" help:"Run a command while a lease is held. It is ended before the lease is."`
	List   leaseListCmd   `cmd:"" help:"Print the leases that are held, and by whom."`
	Show   leaseShowCmd   `cmd:"" help:"Print one lease, and the group's members."`
	Tasks  leaseTasksCmd  `cmd:"" help:"Print the fleet's tasks, each with its latest run."`
	Revoke leaseRevokeCmd `cmd:"" help:"Have the holder of a lease get no other term."`
	Guard  leaseGuardCmd  `cmd:"" hidden:""`
}

// exit is an error with an exit code.
type exit struct {
	code int
	err  error
}

func (e exit) Error() string { return e.err.Error() }

// group is the client of the group that the file names.
func (c *leaseCmd) group() (*raftgroup.Client, error) {
	d, err := config.LoadFleet(c.File)
	if err != nil {
		return nil, err
	}
	return raftgroup.NewClient(d.Name, raftgroup.DeclaredPeers(d))
}

type leaseRunCmd struct {
	Name   string        `arg:"" help:"The lease."`
	Argv   []string      `arg:"" passthrough:"" help:"The command and its arguments."`
	Term   time.Duration `default:"10s" help:"How long the lease outlasts a holder that nobody hears of."`
	Margin time.Duration `default:"1s" help:"What the command may take to end after SIGTERM; then it gets SIGKILL."`
	Wait   bool          `help:"Wait in the queue while somebody else holds it."`
	Again  bool          `help:"Where the lease was lost, wait for it and run the command anew."`
}

// Run is kong's.
func (c *leaseRunCmd) Run(l *leaseCmd) error {
	if len(c.Argv) > 0 && c.Argv[0] == "--" {
		c.Argv = c.Argv[1:]
	}
	if len(c.Argv) == 0 {
		return errors.New("no command")
	}
	d, err := config.LoadFleet(l.File)
	if err != nil {
		return err
	}
	if c.Margin <= 0 || c.Term < 4*c.Margin {
		return fmt.Errorf("a term of %v is under four times the margin, %v", c.Term, c.Margin)
	}
	at, err := l.group()
	if err != nil {
		return err
	}
	defer at.Close()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r := &leaseRun{again: c.Again, stop: stop}
	r.Command = raftgroup.Command{Guard: []string{self, "lease", "--file", l.File, "guard"}, Name: c.Name, Argv: c.Argv, Margin: c.Margin,
		OnExit: r.over, Log: func(text string) { fmt.Fprintln(os.Stderr, "orchiddrift: lease:", text) }}
	if !c.Wait && !c.Again {
		r.tries = 3
	}
	raftgroup.RunWhileHeld(ctx, at, lease.HolderOptions{Name: c.Name, Client: raftgroup.NewClientID(), Duration: c.Term, Wait: c.Wait || c.Again,
		Drift: d.Drift, Margin: c.Margin, RetryInterval: c.Term / 5}, r)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err.code != 0 {
		return r.err
	}
	return nil
}

// leaseRun is a command with the word that its end comes to.
type leaseRun struct {
	raftgroup.Command
	again bool
	tries int // of reaching the group before it is given up; 0: for ever
	stop  func()

	mu  sync.Mutex
	err exit
}

func (r *leaseRun) end(code int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err.code == 0 && code != 0 {
		r.err = exit{code, err}
	}
	r.stop()
}

func (r *leaseRun) over(code int, why lease.Reason) {
	switch {
	case why == 0:
		r.end(code, fmt.Errorf("the command ended with %d", code))
	case why == lease.ReasonReleased:
	case r.again:
	default:
		r.end(exitLost, errors.New("the lease was lost, and its command was ended"))
	}
}

// Rejected is Task's.
func (r *leaseRun) Rejected(why lease.Reason) {
	r.Command.Rejected(why)
	r.end(exitHeld, errors.New("the lease is held elsewhere, or there is no room for it"))
}

// Unreachable is Task's.
func (r *leaseRun) Unreachable(err error) {
	r.Command.Unreachable(err)
	if r.tries > 0 {
		if r.tries--; r.tries == 0 {
			r.end(exitUnreached, err)
		}
	}
}

type leaseGuardCmd struct {
	Until  int64         `required:""`
	Margin time.Duration `required:""`
	Argv   []string      `arg:"" passthrough:""`
}

// Run is kong's.
func (c *leaseGuardCmd) Run() error {
	if len(c.Argv) > 0 && c.Argv[0] == "--" {
		c.Argv = c.Argv[1:]
	}
	// They are for who holds the lease, and it says what is to be. Not by Ignore: the command would be started with them ignored.
	signal.Notify(make(chan os.Signal, 1), os.Interrupt, syscall.SIGTERM)
	syscall.CloseOnExec(3)
	code, err := raftgroup.Guard(os.Stdin, os.NewFile(3, "pid"), time.Duration(c.Until), c.Margin, c.Argv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "orchiddrift: lease:", err)
	}
	if code < 0 {
		code = 128 + int(syscall.SIGKILL)
	}
	os.Exit(code)
	return nil
}

// leader is what the one who leads says; nil: nobody does.
func (c *leaseCmd) leader(wait time.Duration) (*raftgroup.Info, []*raftgroup.Info, error) {
	at, err := c.group()
	if err != nil {
		return nil, nil, err
	}
	defer at.Close()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	all := at.Info(ctx)
	for _, i := range all {
		if i != nil && i.IsLeader {
			return i, all, nil
		}
	}
	return nil, all, exit{exitUnreached, errors.New("nobody leads the group: are most of its members up?")}
}

// infoPatience is how long members may take to say what they know.
const infoPatience = 2 * time.Second

type leaseListCmd struct{}

// Run is kong's.
func (*leaseListCmd) Run(l *leaseCmd) error {
	i, _, err := l.leader(infoPatience)
	if err != nil {
		return err
	}
	return printLeases(i, func(lease.Entry) bool { return true })
}

func printLeases(i *raftgroup.Info, want func(lease.Entry) bool) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tTOKEN\tLEFT\tTERM\tWAITING\tHOLDER")
	for n, e := range i.Leases {
		if want(e) {
			fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%d\t%s\n", e.Name, e.Token, time.Duration(i.RemainingMs[n])*time.Millisecond, e.Duration, len(e.Waiters), e.Holder)
		}
	}
	return w.Flush()
}

type leaseShowCmd struct {
	Name string `arg:"" optional:"" help:"The lease. Absent: the group's members alone."`
}

// Run is kong's.
func (c *leaseShowCmd) Run(l *leaseCmd) error {
	i, all, err := l.leader(infoPatience)
	d, bad := config.LoadFleet(l.File)
	if bad != nil {
		return bad
	}
	for n, m := range d.Members {
		state := "does not answer"
		if one := all[n]; one != nil {
			switch state = "follows " + one.Leader; {
			case one.IsLeader:
				state = "leads"
			case !one.Bootstrapped:
				state = "is not in the group yet"
			case one.Leader == "":
				state = "knows of no leader"
			}
		}
		fmt.Printf("member %s at %s: %s\n", m.Name, m.Address, state)
	}
	if err != nil || c.Name == "" {
		return err
	}
	found := false
	err = printLeases(i, func(e lease.Entry) bool {
		found = found || e.Name == c.Name
		return e.Name == c.Name
	})
	if err == nil && !found {
		return exit{exitLost, fmt.Errorf("nobody holds %q", c.Name)}
	}
	return err
}

type leaseTasksCmd struct{}

// Run is kong's.
func (*leaseTasksCmd) Run(l *leaseCmd) error {
	i, _, err := l.leader(infoPatience)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tDUE\tPHASE\tCODE\tTRIES\tTOKEN\tBY")
	for _, name := range slices.Sorted(maps.Keys(i.Notes)) {
		task, is := strings.CutPrefix(name, runner.LeasePrefix)
		if !is {
			continue
		}
		r, err := tasks.DecodeRecord(i.Notes[name])
		if err != nil {
			fmt.Fprintf(w, "%s\t%v\n", task, err)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", task, r.Due.Local().Format(time.RFC3339), r.Phase, r.ExitCode, r.Attempts, r.Token, r.By)
	}
	return w.Flush()
}

type leaseRevokeCmd struct {
	Name string `arg:"" help:"The lease."`
}

// Run is kong's.
func (c *leaseRevokeCmd) Run(l *leaseCmd) error {
	at, err := l.group()
	if err != nil {
		return err
	}
	defer at.Close()
	r, err := raftgroup.Revoke(context.Background(), at, c.Name, infoPatience)
	switch {
	case err != nil:
		return exit{exitUnreached, err}
	case r.Status != lease.Done:
		return exit{exitLost, fmt.Errorf("nobody holds %q", c.Name)}
	}
	fmt.Printf("%s is revoked from %s: it goes to the next when that one has stopped, or its term is over\n", c.Name, r.Holder)
	return nil
}
