package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/tomlfile"
)

// followReloads reads the files again each time that reload brings something. What can change under way is applied all
// at once; a file that can't be used, or asks for what can't be had, changes nothing.
func (d *daemon) followReloads(ctx context.Context, files config.Sources, reload <-chan os.Signal) {
	for {
		select {
		case <-reload:
		case <-ctx.Done():
			return
		}
		err := d.reload(files)
		d.metrics.ConfigReloaded(err == nil)
		if err != nil {
			d.log.Error("reload: the old configuration stays", "reason", err)
		}
	}
}

// reload takes over what the files say now. When it returns, nothing more is sent by a route or to a service that they
// no longer have as it was.
func (d *daemon) reload(files config.Sources) error {
	next, err := config.LoadPlan(files)
	if err != nil {
		return err
	}
	was := d.plan
	if was.File != nil && next.File != nil {
		for _, c := range tomlfile.Diff(was.File, next.File) {
			if c.Start {
				d.log.Warn("reload: counts from the next start", "key", c.Key)
			}
		}
	}
	if was.File == nil && next.File == nil {
		d.log.Info("reload", "discovery", next.Services[0].Discovery)
		if next.Name != was.Name || next.Listen != was.Listen || next.Limits != was.Limits ||
			!reflect.DeepEqual(next.Services[0].Settings, was.Services[0].Settings) {
			d.log.Warn("reload: a change of name, listen, limits or settings counts from the next start")
			next.Services[0].Settings, next.Table = was.Services[0].Settings, was.Table
		}
	}
	if (was.File == nil) != (next.File == nil) || was.TLS.Enabled() != next.TLS.Enabled() {
		return errors.New("a change between the platform's file and the operator's, or of tls between on and off, needs a new start")
	}
	// What counts from the next start stays as it is.
	next.Name, next.Listen, next.Seed, next.SeedDrawn = was.Name, was.Listen, was.Seed, was.SeedDrawn
	next.Control = was.Control
	next.Limits, next.HeadTimeout, next.Grace = was.Limits, was.HeadTimeout, was.Grace
	if err := d.apply(next); err != nil {
		return err
	}
	if d.logger != nil {
		d.logger.Set(next.Log)
	}
	d.log.Info("reloaded", "services", len(next.Services), "routes", len(next.Table.Routes()))
	return nil
}

// apply makes a plan the one that runs, all of it or nothing.
func (d *daemon) apply(p *config.Plan) (err error) {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	if d.ended {
		return errors.New("the process is ending")
	}
	now := d.routing.Load()
	services := make(map[string]*service, len(p.Services)) // by the plan's names
	both := slices.Clone(p.Services)                       // and those that end: they go on until the routes are others
	var fresh []config.ServicePlan
	var moves []func()
	for _, plan := range p.Services {
		if now != nil {
			if s := now.services[plan.Name]; s != nil && s.plan.Same(&plan) {
				move, err := s.prepareMove(plan)
				if err == nil {
					services[plan.Name] = s
					if move != nil {
						moves = append(moves, move)
					}
					moves = append(moves, func() {
						if err := s.setAdmission(plan); err != nil { // the file's check has tried it
							d.log.Error("reload", "service", plan.Name, "reason", err)
						}
						if err := s.setExecutor(plan); err != nil {
							d.log.Error("reload", "service", plan.Name, "reason", err)
						}
						s.plan.Admission, s.plan.Idempotency = plan.Admission, plan.Idempotency
					})
					continue
				}
				if s.plan.ListFile == plan.ListFile || plan.Discovery == "" { // the new list can't be had
					return err
				}
			}
		}
		fresh = append(fresh, plan)
	}
	var started []*service
	defer func() {
		if err == nil {
			return
		}
		for _, s := range started {
			s.close()
		}
		if now != nil { // all is as it was
			_ = d.setShares(d.plan.Guaranteed, d.plan.Services) // they have been set before
			for _, s := range now.services {
				s.pool.EvictOnContention()
			}
		}
	}()
	if now != nil {
		for _, old := range d.plan.Services {
			if !slices.ContainsFunc(p.Services, func(s config.ServicePlan) bool { return s.Name == old.Name }) {
				both = append(both, old)
			}
		}
	}
	if err := d.setShares(p.Guaranteed, both); err != nil {
		return err
	}
	for _, plan := range fresh {
		s, err := startService(plan, d.shared, nil)
		if err != nil {
			return err
		}
		started = append(started, s)
		services[plan.Name] = s
	}
	takeKeys, err := d.prepareCredentials(p)
	if err != nil {
		return err
	}

	// From here on nothing fails.
	for _, plan := range p.Services {
		for _, class := range plan.Settings.Classes {
			d.metrics.Add(class.Name)
		}
	}
	next, ended := now.next(p.Table, services, p.Endpoints, p.BodyTimeout)
	for _, move := range moves {
		move()
	}
	takeKeys()
	d.routing.Store(next)
	closeGates(ended)
	if now != nil {
		for name, s := range now.services {
			if services[name] != s {
				d.retireService(s)
			}
		}
	}
	d.plan = p
	return nil
}

// retireService lets a service that has been taken away finish what it holds, with its share until then.
func (d *daemon) retireService(s *service) {
	if d.retiringServices == nil {
		d.retiringServices = map[*service]bool{}
	}
	d.retiringServices[s] = true
	patience := longestDeadline(d.plan) + time.Second
	d.retirements.Go(func() {
		s.retire(patience)
		d.reloadMu.Lock()
		defer d.reloadMu.Unlock()
		delete(d.retiringServices, s)
		if d.routing.Load().services[s.name] == nil {
			d.shared.connectionSlots.OnContention(s.name, nil)
		}
		_ = d.setShares(d.plan.Guaranteed, d.plan.Services) // fewer than there were
	})
}

func longestDeadline(p *config.Plan) (longest time.Duration) {
	for _, s := range p.Services {
		for _, class := range s.Settings.Classes {
			longest = max(longest, class.Deadline)
		}
	}
	return longest
}

// prepareCredentials reads what the clients' listener is to show, where that is another one; the returned function takes it
// over.
func (d *daemon) prepareCredentials(p *config.Plan) (func(), error) {
	if !p.TLS.Enabled() || d.credentials.Load() != nil && reflect.DeepEqual(p.TLS, d.plan.TLS) {
		return func() {}, nil
	}
	store, err := tlscredentials.Open(tlscredentials.Files{Certificate: p.TLS.Certificate, Key: p.TLS.Key, CA: p.TLS.ClientCA},
		p.TLS.WarnBefore.D(), d.log)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return func() {
		if d.stopCredentials != nil {
			d.stopCredentials()
		}
		ctx, stop := context.WithCancel(d.background)
		d.stopCredentials = stop
		d.backgroundTasks.Go(func() { store.Run(ctx) })
		d.credentials.Store(store)
		d.tlsConfig.Store(tlscredentials.Server(store, p.TLS))
	}, nil
}
