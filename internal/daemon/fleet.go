package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/config"
	leases "orchiddrift/internal/lease"
	"orchiddrift/internal/lease/raftgroup"
	"orchiddrift/internal/server/acceptor"
	"orchiddrift/internal/task/runner"
)

// runTasks has the process take its part in the fleet's tasks. Requests never wait for any of it.
func (d *daemon) runTasks(ctx context.Context, p *config.Plan, file string) error {
	if p.File == nil || len(p.File.Tasks) == 0 || p.File.Fleet.MaxTasks == 0 {
		return nil
	}
	f := &p.File.Fleet
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("tasks: %w", err)
	}
	at, err := raftgroup.NewClient(f.Name, raftgroup.DeclaredPeers(f))
	if err != nil {
		return fmt.Errorf("tasks: %w", err)
	}
	d.besides.Go(func() {
		defer at.Close()
		err := runner.Run(ctx, runner.Options{Name: p.Name, Tasks: p.File.Tasks, Leases: at, Drift: f.Drift, Guard: []string{self, "lease", "--file", file, "guard"},
			Listen: func() string { return d.listening.Addr().String() }, MaxRuns: f.MaxTasks, Seed: p.Seed ^ xxhash.Sum64String("tasks"),
			Draining: func() bool { return d.course.stopping.Load() || !d.course.wanted.Load() }, Now: time.Now, Log: d.log})
		if err != nil {
			d.log.Error("tasks: this process runs none", "reason", err)
		}
	})
	return nil
}

// joinFleet has the process take its part in the fleet's group, where the operator's file gives it one. A part that breaks off later, its disk
// being torn, say, ends alone: requests are served all the same, and none waits for any of it.
func (d *daemon) joinFleet(ctx context.Context, p *config.Plan) error {
	if p.File == nil || p.File.Fleet.Member == "" {
		return nil
	}
	f := &p.File.Fleet
	address := f.Listen
	for _, m := range f.Members {
		if m.Name == f.Member {
			address = cmp.Or(address, m.Address)
		}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for the fleet: %w", err)
	}
	d.besides.Go(func() {
		if err := d.member(ctx, f, l); err != nil {
			d.log.Error("fleet: this process takes no part in the group any more", "member", f.Member, "reason", err)
		}
	})
	d.log.Info("fleet: listening", "member", f.Member, "address", l.Addr().String())
	return nil
}

func (d *daemon) member(ctx context.Context, f *leases.Declaration, l net.Listener) error {
	m, err := raftgroup.New(ctx, raftgroup.Options{Fleet: f.Name, Name: f.Member, Peers: raftgroup.DeclaredPeers(f), File: f.File, Limits: f.Limits(),
		Drift: f.Drift, Tick: f.Tick.D(), Log: d.log})
	if err != nil {
		l.Close()
		return err
	}
	return m.Run(ctx, acceptor.New(l, d.log))
}
