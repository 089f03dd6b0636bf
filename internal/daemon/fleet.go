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
	"orchiddrift/internal/lease"
	"orchiddrift/internal/lease/raftgroup"
	"orchiddrift/internal/server/acceptor"
	"orchiddrift/internal/task/runner"
)

// taskStream separates the random numbers of tasks from those that other parts derive from the same seed.
const taskStream = "tasks"

// runTasks starts the runner of the fleet's tasks, if the operator's file lets this process run tasks. Requests never wait for the runner.
func (d *daemon) runTasks(ctx context.Context, p *config.Plan, file string) error {
	if p.File == nil || len(p.File.Tasks) == 0 || p.File.Fleet.MaxTasks == 0 {
		return nil
	}
	fleet := &p.File.Fleet
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("tasks: determining the path of this process's executable: %w", err)
	}
	leases, err := raftgroup.NewClient(fleet.Name, raftgroup.DeclaredPeers(fleet))
	if err != nil {
		return fmt.Errorf("tasks: creating the client for leases: %w", err)
	}
	d.backgroundTasks.Go(func() {
		defer leases.Close()
		err := runner.Run(ctx, runner.Options{
			Name:          p.Name,
			Tasks:         p.File.Tasks,
			Leases:        leases,
			Drift:         fleet.Drift,
			Guard:         []string{executable, "lease", "--file", file, "guard"},
			ListenAddress: func() string { return d.listener.Addr().String() },
			MaxRuns:       fleet.MaxTasks,
			Seed:          p.Seed ^ xxhash.Sum64String(taskStream),
			Draining:      func() bool { return d.lifecycle.stopping.Load() || !d.lifecycle.ready.Load() },
			Now:           time.Now,
			Log:           d.log,
		})
		if err != nil {
			d.log.Error("tasks: this process runs no tasks", "reason", err)
		}
	})
	return nil
}

// joinFleet starts this process's member of the fleet's raft group, if the operator's file declares a member. If the member fails later,
// for example because its file is corrupt, the process continues to serve requests without the member. Requests never wait for the member.
func (d *daemon) joinFleet(ctx context.Context, p *config.Plan) error {
	if p.File == nil || p.File.Fleet.Member == "" {
		return nil
	}
	fleet := &p.File.Fleet
	listener, err := net.Listen("tcp", memberAddress(fleet))
	if err != nil {
		return fmt.Errorf("fleet: listening for the members of the raft group: %w", err)
	}
	d.backgroundTasks.Go(func() {
		if err := d.runFleetMember(ctx, fleet, listener); err != nil {
			d.log.Error("fleet: this process takes no part in the group any more", "member", fleet.Member, "reason", err)
		}
	})
	d.log.Info("fleet: listening", "member", fleet.Member, "address", listener.Addr().String())
	return nil
}

// memberAddress returns the address on which this process listens for the other members of its raft group: the listen setting of the fleet
// or, if that is empty, the address that the list of members has for this process.
func memberAddress(fleet *lease.Declaration) string {
	address := fleet.Listen
	for _, m := range fleet.Members {
		if m.Name == fleet.Member {
			address = cmp.Or(address, m.Address)
		}
	}
	return address
}

func (d *daemon) runFleetMember(ctx context.Context, fleet *lease.Declaration, listener net.Listener) error {
	member, err := raftgroup.New(ctx, raftgroup.Options{Fleet: fleet.Name, Name: fleet.Member, Peers: raftgroup.DeclaredPeers(fleet), File: fleet.File,
		Limits: fleet.Limits(), Drift: fleet.Drift, Tick: fleet.Tick.D(), Log: d.log})
	if err != nil {
		listener.Close()
		return err
	}
	return member.Run(ctx, acceptor.New(listener, d.log))
}
