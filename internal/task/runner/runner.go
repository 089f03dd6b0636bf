// Package runner runs the fleet's tasks in one process. It carries out the decisions of package task: when the Scheduler claims a task, it acquires
// the task's lease, stores the run's record before the run starts and after it ends, and executes the run. A run is a command under a guard process,
// or a call through the daemon.
//
// The goroutine that calls Run polls the Scheduler. Each claim of a task has a goroutine that runs raftgroup.RunWhileHeld, and further goroutines
// while it reads and stores records. Run waits for all of these goroutines.
package runner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/lease/raftgroup"
	"orchiddrift/internal/task"
)

// LeasePrefix is the prefix of the name of a task's lease, before the task's name.
const LeasePrefix = "task/"

// Intervals of a process. Runs are due once a second at most, and usually by the minute.
const (
	claimSpread        = 300 * time.Millisecond // see task.SchedulerOptions.Spread
	maxRecheckInterval = 15 * time.Second       // see task.SchedulerOptions.RecheckInterval; the interval is shorter if half of the shortest lease duration is shorter
	pollInterval       = 100 * time.Millisecond // between two polls of the Scheduler and of Options.Draining
)

// Numbers of intervals in a lease duration.
const (
	rechecksPerLease = 2  // requests for a lease that another process holds
	requestsPerLease = 5  // retries of a lease request without a reply; a request times out after one such interval
	recordsPerLease  = 20 // retries of reading or storing the record without a reply
)

// seedStream separates the Scheduler's random numbers from those of other users of the same seed. Its bytes are the word task in ASCII.
const seedStream = 0x7461736b

// Options are Run's parameters.
type Options struct {
	Name          string // name of the process
	Tasks         []task.Declaration
	Leases        raftgroup.Requester
	Drift         float64       // largest relative error of a process's clock rate
	Guard         []string      // command line of the guard
	ListenAddress func() string // address of the daemon's listener, for calls
	MaxRuns       int           // maximum number of runs at once
	Seed          uint64
	Draining      func() bool // reports whether the process is draining; a draining process starts no run
	Now           func() time.Time
	Log           *slog.Logger
}

// declaredTask is a task with its rules.
type declaredTask struct {
	declaration task.Declaration
	rules       task.Rules
}

func (t *declaredTask) name() string { return t.declaration.Name }

func (t *declaredTask) leaseName() string { return LeasePrefix + t.declaration.Name }

func (t *declaredTask) leaseDuration() time.Duration { return t.declaration.LeaseDuration.D() }

// runner is the state of Run.
type runner struct {
	options Options
	tasks   map[string]*declaredTask
	work    sync.WaitGroup
	wake    chan struct{} // has a buffer of one; signals that the Scheduler may have a task due

	mu        sync.Mutex
	scheduler *task.Scheduler
}

// Run executes the fleet's tasks in this process until ctx ends. Then it stops the runs in progress and returns when they have ended. It returns an
// error only if a task's schedule is invalid.
func Run(ctx context.Context, options Options) error {
	r, err := newRunner(options)
	if err != nil {
		return err
	}
	defer r.work.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.wake:
		}
		for _, name := range r.due() {
			r.work.Go(func() { r.claimTask(ctx, r.tasks[name]) })
		}
	}
}

func newRunner(options Options) (*runner, error) {
	recheckInterval := maxRecheckInterval
	for _, declaration := range options.Tasks {
		recheckInterval = min(recheckInterval, declaration.LeaseDuration.D()/rechecksPerLease)
	}
	r := &runner{options: options, tasks: map[string]*declaredTask{}, wake: make(chan struct{}, 1),
		scheduler: task.NewScheduler(task.SchedulerOptions{MaxRuns: options.MaxRuns, Spread: claimSpread, RecheckInterval: recheckInterval},
			rand.New(rand.NewPCG(options.Seed, seedStream)))}
	for _, declaration := range options.Tasks {
		rules, err := declaration.Rules()
		if err != nil {
			return nil, err
		}
		r.tasks[declaration.Name] = &declaredTask{declaration, rules}
		r.scheduler.Add(options.Now(), declaration.Name, declaration.Priority)
	}
	return r, nil
}

// due returns the names of the tasks to claim now.
func (r *runner) due() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.SetDraining(r.options.Draining())
	return r.scheduler.Due(r.options.Now())
}

// claimTask makes one attempt to acquire a task's lease, does what is due under it, and reports to the Scheduler when to try again.
func (r *runner) claimTask(ctx context.Context, t *declaredTask) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &claim{runner: r, task: t, client: raftgroup.NewClientID(), ctx: ctx, cancel: cancel}
	raftgroup.RunWhileHeld(ctx, r.options.Leases, lease.HolderOptions{Name: t.leaseName(), Client: c.client, Duration: t.leaseDuration(),
		Drift: r.options.Drift, Margin: t.declaration.Margin.D(), RetryInterval: t.leaseDuration() / requestsPerLease}, c)
	nextDue, err := c.result()
	if err != nil {
		r.options.Log.Warn("task: failed to acquire the task's lease or to carry out its run", "task", t.name(), "reason", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if nextDue != nil {
		r.scheduler.Waiting(t.name(), *nextDue)
	} else {
		r.scheduler.HeldElsewhere(r.options.Now(), t.name())
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// started reports to the Scheduler that a task's run has started in this process.
func (r *runner) started(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.Started(name)
}
