package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"

	"orchiddrift/internal/config"
	leases "orchiddrift/internal/lease"
	"orchiddrift/internal/leasegroup"
)

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
	m, err := leasegroup.New(leasegroup.Options{Fleet: f.Name, Name: f.Member, Peers: leasegroup.PeersOf(f), File: f.File, Limits: f.Limits(),
		Drift: f.Drift, Tick: f.Tick.D(), Log: d.log})
	if err != nil {
		l.Close()
		return err
	}
	return m.Run(ctx, l)
}
