package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"sync"

	"orchiddrift/internal/config"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/tomlfile"
)

var (
	errEnding        = errors.New("configuration not applied: the process is ending")
	errRestartNeeded = errors.New("changing between the platform's file and the operator's file, or switching tls on or off, needs a restart")
)

// followReloads reads the files again at each signal on the channel reload, until ctx ends. It applies all changes that need no restart
// together. If a file is invalid or a change is impossible, it applies none of them.
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

// reload reads the files and applies their content. Once it has returned, no request is sent by a route, or to a service, that the files
// have removed or changed.
func (d *daemon) reload(files config.Sources) error {
	next, err := config.LoadPlan(files)
	if err != nil {
		return err
	}
	current := d.plan
	if current.File != nil && next.File != nil {
		d.logRestartOnly(current.File, next.File)
	}
	if current.File == nil && next.File == nil {
		d.log.Info("reload: read the platform's file", "discovery", next.Services[0].Discovery)
		d.keepPlatformSettings(current, next)
	}
	if (current.File == nil) != (next.File == nil) || current.TLS.Enabled() != next.TLS.Enabled() {
		return errRestartNeeded
	}
	keepRestartOnly(current, next)
	if err := d.apply(next); err != nil {
		return err
	}
	if d.logger != nil {
		d.logger.Set(next.Log)
	}
	d.log.Info("reloaded", "services", len(next.Services), "routes", len(next.Table.Routes()))
	return nil
}

// logRestartOnly logs the keys whose changes take effect at the next start.
func (d *daemon) logRestartOnly(current, next *config.File) {
	for _, change := range tomlfile.Diff(current, next) {
		if change.NeedsRestart {
			d.log.Warn("reload: counts from the next start", "key", change.Key)
		}
	}
}

// keepPlatformSettings keeps the running values of the settings in the platform's file that change at a restart only: all but discovery.
func (d *daemon) keepPlatformSettings(current, next *config.Plan) {
	sameProcess := next.Name == current.Name && next.Listen == current.Listen && next.Limits == current.Limits
	if sameProcess && reflect.DeepEqual(next.Services[0].Settings, current.Services[0].Settings) {
		return
	}
	d.log.Warn("reload: changes of name, listen, limits and settings take effect at the next start")
	next.Services[0].Settings, next.Table = current.Services[0].Settings, current.Table
}

// keepRestartOnly keeps the running values of the settings that take effect at the next start.
func keepRestartOnly(current, next *config.Plan) {
	next.Name, next.Listen, next.Control = current.Name, current.Listen, current.Control
	next.Seed, next.SeedDrawn = current.Seed, current.SeedDrawn
	next.Limits, next.HeadTimeout, next.Grace = current.Limits, current.HeadTimeout, current.Grace
}

// planChange replaces the running plan by another one. prepare does everything that can fail; commit cannot fail.
type planChange struct {
	daemon         *daemon
	next           *config.Plan
	current        *routing            // nil for the first plan
	services       map[string]*service // the services of the next plan, by name
	started        []*service          // the services that were started for the next plan
	updates        []func()            // changes to services that stay
	useCredentials func()              // makes the listener use its next credentials
}

// apply makes a plan the running one, completely or not at all.
func (d *daemon) apply(p *config.Plan) error {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	if d.ended {
		return errEnding
	}
	change := &planChange{daemon: d, next: p, current: d.routing.Load(), services: make(map[string]*service, len(p.Services))}
	if err := change.prepare(); err != nil {
		change.undo()
		return err
	}
	change.commit()
	return nil
}

// prepare prepares the changes to services that stay, starts the other services of the next plan, and opens the listener's credentials.
func (c *planChange) prepare() error {
	var fresh []config.ServicePlan
	for _, plan := range c.next.Services {
		reused, err := c.prepareSourceChange(plan)
		if err != nil {
			return err
		}
		if !reused {
			fresh = append(fresh, plan)
		}
	}
	if err := c.daemon.setShares(c.next.Guaranteed, c.servicesOfBoth()); err != nil {
		return err
	}
	for _, plan := range fresh {
		s, err := startService(plan, c.daemon.shared, nil)
		if err != nil {
			return err
		}
		c.started = append(c.started, s)
		c.services[plan.Name] = s
	}
	var err error
	c.useCredentials, err = c.daemon.prepareCredentials(c.next)
	return err
}

// prepareSourceChange prepares the running service of the plan's name to follow the plan, and reports whether it can be reused.
func (c *planChange) prepareSourceChange(plan config.ServicePlan) (reused bool, err error) {
	if c.current == nil {
		return false, nil
	}
	s := c.current.services[plan.Name]
	if s == nil || !s.plan.Same(&plan) {
		return false, nil
	}
	update, err := s.prepareSourceChange(plan)
	if err != nil {
		if s.plan.ListFile == plan.ListFile || plan.Discovery == "" { // the next list cannot be opened
			return false, err
		}
		return false, nil // a new service can open the next list
	}
	c.services[plan.Name] = s
	if update != nil {
		c.updates = append(c.updates, update)
	}
	c.updates = append(c.updates, func() { c.daemon.reconfigure(s, plan) })
	return true, nil
}

// reconfigure changes the admission and the idempotency store of a service that stays.
func (d *daemon) reconfigure(s *service, plan config.ServicePlan) {
	if err := s.setAdmission(plan); err != nil { // cannot happen: the check of the file has validated the settings
		d.log.Error("reload: applying the admission settings failed; the old ones stay", "service", plan.Name, "reason", err)
	}
	if err := s.setExecutor(plan); err != nil {
		d.log.Error("reload: applying the idempotency settings failed; the old ones stay", "service", plan.Name, "reason", err)
	}
	s.plan.Admission, s.plan.Idempotency = plan.Admission, plan.Idempotency
}

// servicesOfBoth returns the services of the next plan, and the services that this plan removes, which serve until the routing is replaced.
func (c *planChange) servicesOfBoth() []config.ServicePlan {
	both := slices.Clone(c.next.Services)
	if c.current == nil {
		return both
	}
	for _, old := range c.daemon.plan.Services {
		if !slices.ContainsFunc(c.next.Services, func(s config.ServicePlan) bool { return s.Name == old.Name }) {
			both = append(both, old)
		}
	}
	return both
}

// undo closes the services that prepare has started, and restores the running services' shares of the limits.
func (c *planChange) undo() {
	for _, s := range c.started {
		s.close()
	}
	if c.current == nil {
		return
	}
	_ = c.daemon.setShares(c.daemon.plan.Guaranteed, c.daemon.plan.Services) // cannot fail: these shares have been set before
	for _, s := range c.current.services {
		s.pool.EvictOnContention()
	}
}

// commit makes the next plan the running one, and retires the services that are not part of it.
func (c *planChange) commit() {
	d := c.daemon
	for _, plan := range c.next.Services {
		for _, class := range plan.Settings.Classes {
			d.metrics.Add(class.Name)
		}
	}
	next, closing := c.current.next(c.next.Table, c.services, c.next.Endpoints, c.next.BodyTimeout)
	for _, update := range c.updates {
		update()
	}
	c.useCredentials()
	replaced := c.replacedServices()
	for _, s := range replaced { // before the routing is replaced, so that abort finds each service in one of the two
		d.retiringServices.add(s)
	}
	d.routing.Store(next)
	closeGates(closing)
	for _, s := range replaced {
		d.retireService(s)
	}
	d.plan = c.next
}

// replacedServices returns the running services that are not part of the next plan.
func (c *planChange) replacedServices() (replaced []*service) {
	if c.current == nil {
		return nil
	}
	for name, s := range c.current.services {
		if c.services[name] != s {
			replaced = append(replaced, s)
		}
	}
	return replaced
}

// retireService closes a service of d.retiringServices once its requests in flight have ended. Until then the service keeps its share of the
// limits. The caller holds d.reloadMu.
func (d *daemon) retireService(s *service) {
	d.retirements.Go(func() {
		s.retire()
		d.reloadMu.Lock()
		defer d.reloadMu.Unlock()
		d.retiringServices.remove(s)
		if d.routing.Load().services[s.name] == nil {
			d.shared.connectionSlots.OnContention(s.name, nil)
		}
		_ = d.setShares(d.plan.Guaranteed, d.plan.Services) // cannot fail: there are fewer services than before
	})
}

// retiringServices are the services that a new configuration has replaced or removed, until their last requests have ended. It has a mutex of
// its own, since the end of the process must not wait for a reload. It is safe for concurrent use.
type retiringServices struct {
	mu       sync.Mutex
	services map[*service]bool
}

func (r *retiringServices) add(s *service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[*service]bool{}
	}
	r.services[s] = true
}

func (r *retiringServices) remove(s *service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.services, s)
}

// all returns the services in no particular order.
func (r *retiringServices) all() []*service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.services))
}

// prepareCredentials opens the credentials of the clients' listener, if the listener's TLS settings have changed. The returned function
// makes the listener use them.
func (d *daemon) prepareCredentials(p *config.Plan) (use func(), err error) {
	if !p.TLS.Enabled() || d.credentials.Load() != nil && reflect.DeepEqual(p.TLS, d.plan.TLS) {
		return func() {}, nil
	}
	files := tlscredentials.Files{Certificate: p.TLS.Certificate, Key: p.TLS.Key, CA: p.TLS.ClientCA}
	store, err := tlscredentials.Open(files, p.TLS.WarnBefore.D(), d.log)
	if err != nil {
		return nil, fmt.Errorf("opening the tls credentials of the clients' listener: %w", err)
	}
	return func() {
		if d.stopCredentials != nil {
			d.stopCredentials()
		}
		ctx, stop := context.WithCancel(d.background)
		d.stopCredentials = stop
		d.backgroundTasks.Go(func() { store.Run(ctx) })
		d.credentials.Store(store)
		d.tlsConfig.Store(tlscredentials.ServerConfig(store, p.TLS))
	}, nil
}
