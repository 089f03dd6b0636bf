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

// retireSlack is how long a retired service may take beyond the longest deadline of its requests.
const retireSlack = time.Second

var (
	errEnding      = errors.New("the process is ending")
	errStartNeeded = errors.New("a change between the platform's file and the operator's, or of tls between on and off, needs a new start")
)

// followReloads reads the files again each time reload delivers a signal. What can change while the process runs is applied together; a file
// that cannot be used, or asks for what cannot be had, changes nothing. It blocks until ctx ends.
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

// reload applies what the files say now. When it returns, nothing more is sent by a route or to a service that they no longer have in the
// same form.
func (d *daemon) reload(files config.Sources) error {
	next, err := config.LoadPlan(files)
	if err != nil {
		return err
	}
	current := d.plan
	if current.File != nil && next.File != nil {
		d.logStartOnly(current.File, next.File)
	}
	if current.File == nil && next.File == nil {
		d.log.Info("reload", "discovery", next.Services[0].Discovery)
		d.keepPlatformSettings(current, next)
	}
	if (current.File == nil) != (next.File == nil) || current.TLS.Enabled() != next.TLS.Enabled() {
		return errStartNeeded
	}
	keepStartOnly(current, next)
	if err := d.apply(next); err != nil {
		return err
	}
	if d.logger != nil {
		d.logger.Set(next.Log)
	}
	d.log.Info("reloaded", "services", len(next.Services), "routes", len(next.Table.Routes()))
	return nil
}

// logStartOnly logs the keys whose changes take effect at the next start.
func (d *daemon) logStartOnly(current, next *config.File) {
	for _, change := range tomlfile.Diff(current, next) {
		if change.Start {
			d.log.Warn("reload: counts from the next start", "key", change.Key)
		}
	}
}

// keepPlatformSettings keeps what the platform's file may change at the next start only: everything but discovery.
func (d *daemon) keepPlatformSettings(current, next *config.Plan) {
	sameProcess := next.Name == current.Name && next.Listen == current.Listen && next.Limits == current.Limits
	if sameProcess && reflect.DeepEqual(next.Services[0].Settings, current.Services[0].Settings) {
		return
	}
	d.log.Warn("reload: a change of name, listen, limits or settings counts from the next start")
	next.Services[0].Settings, next.Table = current.Services[0].Settings, current.Table
}

// keepStartOnly keeps what takes effect at the next start.
func keepStartOnly(current, next *config.Plan) {
	next.Name, next.Listen, next.Control = current.Name, current.Listen, current.Control
	next.Seed, next.SeedDrawn = current.Seed, current.SeedDrawn
	next.Limits, next.HeadTimeout, next.Grace = current.Limits, current.HeadTimeout, current.Grace
}

// planChange is the transition from the running plan to another. Everything that can fail is done by prepare; commit cannot fail.
type planChange struct {
	daemon   *daemon
	next     *config.Plan
	current  *routing            // nil: the first plan
	services map[string]*service // of the next plan, by name
	started  []*service          // for the next plan
	moves    []func()            // changes of services that stay
	takeKeys func()              // uses the listener's next credentials
}

// apply makes a plan the running one, all of it or nothing.
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

// prepare moves or starts the services of the next plan.
func (c *planChange) prepare() error {
	var fresh []config.ServicePlan
	for _, plan := range c.next.Services {
		moved, err := c.prepareMove(plan)
		if err != nil {
			return err
		}
		if !moved {
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
	c.takeKeys, err = c.daemon.prepareCredentials(c.next)
	return err
}

// prepareMove keeps the running service of a plan, if it can be changed to it.
func (c *planChange) prepareMove(plan config.ServicePlan) (moved bool, err error) {
	if c.current == nil {
		return false, nil
	}
	s := c.current.services[plan.Name]
	if s == nil || !s.plan.Same(&plan) {
		return false, nil
	}
	move, err := s.prepareMove(plan)
	if err != nil {
		if s.plan.ListFile == plan.ListFile || plan.Discovery == "" { // the next list cannot be had
			return false, err
		}
		return false, nil // a new service can have it
	}
	c.services[plan.Name] = s
	if move != nil {
		c.moves = append(c.moves, move)
	}
	c.moves = append(c.moves, func() { c.daemon.reconfigure(s, plan) })
	return true, nil
}

// reconfigure changes the admission and the idempotency store of a service that stays.
func (d *daemon) reconfigure(s *service, plan config.ServicePlan) {
	if err := s.setAdmission(plan); err != nil { // the check of the file has tried it
		d.log.Error("reload", "service", plan.Name, "reason", err)
	}
	if err := s.setExecutor(plan); err != nil {
		d.log.Error("reload", "service", plan.Name, "reason", err)
	}
	s.plan.Admission, s.plan.Idempotency = plan.Admission, plan.Idempotency
}

// servicesOfBoth are the services of the next plan and those that it removes: they go on until the routing is replaced.
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

// undo ends what prepare has started, and restores the shares.
func (c *planChange) undo() {
	for _, s := range c.started {
		s.close()
	}
	if c.current == nil {
		return
	}
	_ = c.daemon.setShares(c.daemon.plan.Guaranteed, c.daemon.plan.Services) // they have been set before
	for _, s := range c.current.services {
		s.pool.EvictOnContention()
	}
}

// commit makes the next plan the running one, and retires the services that it does not have.
func (c *planChange) commit() {
	d := c.daemon
	for _, plan := range c.next.Services {
		for _, class := range plan.Settings.Classes {
			d.metrics.Add(class.Name)
		}
	}
	next, closing := c.current.next(c.next.Table, c.services, c.next.Endpoints, c.next.BodyTimeout)
	for _, move := range c.moves {
		move()
	}
	c.takeKeys()
	d.routing.Store(next)
	closeGates(closing)
	if c.current != nil {
		for name, s := range c.current.services {
			if c.services[name] != s {
				d.retireService(s)
			}
		}
	}
	d.plan = c.next
}

// retireService lets a removed service finish what it has in flight. It keeps its share until then. d.reloadMu is held.
func (d *daemon) retireService(s *service) {
	if d.retiringServices == nil {
		d.retiringServices = map[*service]bool{}
	}
	d.retiringServices[s] = true
	timeout := longestDeadline(d.plan) + retireSlack
	d.retirements.Go(func() {
		s.retire(timeout)
		d.reloadMu.Lock()
		defer d.reloadMu.Unlock()
		delete(d.retiringServices, s)
		if d.routing.Load().services[s.name] == nil {
			d.shared.connectionSlots.OnContention(s.name, nil)
		}
		_ = d.setShares(d.plan.Guaranteed, d.plan.Services) // it cannot fail: there are fewer services than before
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

// prepareCredentials reads the credentials of the clients' listener, if they are others; the returned function uses them from then on.
func (d *daemon) prepareCredentials(p *config.Plan) (use func(), err error) {
	if !p.TLS.Enabled() || d.credentials.Load() != nil && reflect.DeepEqual(p.TLS, d.plan.TLS) {
		return func() {}, nil
	}
	files := tlscredentials.Files{Certificate: p.TLS.Certificate, Key: p.TLS.Key, CA: p.TLS.ClientCA}
	store, err := tlscredentials.Open(files, p.TLS.WarnBefore.D(), d.log)
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
		d.tlsConfig.Store(tlscredentials.ServerConfig(store, p.TLS))
	}, nil
}
