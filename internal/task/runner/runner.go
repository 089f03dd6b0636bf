// Package runner carries out the fleet's tasks in one process: it asks for their leases when package task says so, notes runs before they
// begin and after they end, and runs them: commands under a guard, calls through the daemon.
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

// Options are Run's.
type Options struct {
	Name     string // the process's
	Tasks    []task.Declaration
	Leases   raftgroup.Requester
	Drift    float64
	Guard    []string      // the guard's command line
	Listen   func() string // where the daemon's clients connect
	MaxRuns  int           // runs at once
	Seed     uint64
	Draining func() bool // looked at often: a process that drains begins nothing
	Now      func() time.Time
	Log      *slog.Logger
}

// known is a task.
type known struct {
	d     task.Declaration
	rules task.Rules
}

// LeasePrefix stands before a task's name in that of its lease.
const LeasePrefix = "task/"

func (t *known) lease() string { return LeasePrefix + t.d.Name }

type runner struct {
	o     Options
	jobs  sync.WaitGroup
	tasks map[string]*known
	wake  chan struct{}

	mu sync.Mutex
	p  *task.Scheduler
}

// Spread and look are a process's rhythm: see task.SchedulerOptions. Runs are due by the minute, or by the second at most.
const (
	spread   = 300 * time.Millisecond
	lookMost = 15 * time.Second
	glance   = 100 * time.Millisecond // between two looks at whether it drains
)

// Run takes part until ctx ends; then runs are ended, and it returns once they have.
func Run(ctx context.Context, o Options) error {
	look := lookMost
	for _, d := range o.Tasks {
		look = min(look, d.LeaseDuration.D()/2)
	}
	r := &runner{o: o, tasks: map[string]*known{}, wake: make(chan struct{}, 1),
		p: task.NewScheduler(task.SchedulerOptions{MaxRuns: o.MaxRuns, Spread: spread, RecheckInterval: look}, rand.New(rand.NewPCG(o.Seed, 0x7461736b)))}
	for _, d := range o.Tasks {
		rules, err := d.Rules()
		if err != nil {
			return err
		}
		r.tasks[d.Name] = &known{d, rules}
		r.p.Add(o.Now(), d.Name, d.Priority)
	}
	defer r.jobs.Wait()
	timer := time.NewTicker(glance)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-r.wake:
		}
		r.mu.Lock()
		r.p.Drain(o.Draining())
		names := r.p.Due(o.Now())
		r.mu.Unlock()
		for _, name := range names {
			r.jobs.Go(func() { r.wish(ctx, r.tasks[name]) })
		}
	}
}

// wish asks for a task once, and does what is due.
func (r *runner) wish(ctx context.Context, t *known) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := &job{r: r, t: t, client: raftgroup.NewClientID(), ctx: ctx, cancel: cancel}
	raftgroup.RunWhileHeld(ctx, r.o.Leases, lease.HolderOptions{Name: t.lease(), Client: j.client, Duration: t.d.LeaseDuration.D(), Drift: r.o.Drift, Margin: t.d.Margin.D(),
		RetryInterval: t.d.LeaseDuration.D() / 5}, j)
	j.mu.Lock()
	rest, err := j.rest, j.report
	j.mu.Unlock()
	if err != nil {
		r.o.Log.Warn("task", "task", t.d.Name, "reason", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rest != nil {
		r.p.Waiting(t.d.Name, *rest)
	} else {
		r.p.HeldElsewhere(r.o.Now(), t.d.Name)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *runner) began(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.p.Started(name)
}
