package daemon

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/handover"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/acceptor"
	"orchiddrift/internal/server/control"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/tlscredentials"
)

const (
	// clientIdleTimeout is how long a client's connection may be idle.
	clientIdleTimeout = 30 * time.Second
	// fileLockTimeout is how long a reload, or a successor whose predecessor runs, waits for a file that another process has locked.
	fileLockTimeout = time.Second
	// finalWriteTimeout is how long a process that ends waits for its last answers to be written.
	finalWriteTimeout = 100 * time.Millisecond
)

// daemon is a running sidecar process.
type daemon struct {
	plan      *config.Plan // the running plan; settings that need a restart have the values of the start
	limits    config.Limits
	listener  net.Listener
	logger    *logging.Logger // nil if log is the default logger of the process
	log       *slog.Logger
	shared    *sharedResources
	routing   atomic.Pointer[routing]
	metrics   *metrics.Registry
	lifecycle *lifecycleDriver
	upgrade   *upgrade

	credentials     atomic.Pointer[tlscredentials.Store] // of the clients' listener; nil if TLS is off
	tlsConfig       atomic.Pointer[tls.Config]
	stopCredentials context.CancelFunc

	background      context.Context // of backgroundTasks; ends with the daemon
	backgroundTasks sync.WaitGroup

	reloadMu         sync.Mutex // guards plan, ended and the services' shares of the limits (see setShares)
	ended            bool       // if true, no further plan is applied
	retiringServices retiringServices
	retirements      sync.WaitGroup // waits until the retiring services are closed
}

// Run serves according to the configuration files until ctx ends, and then finishes the requests that it has accepted. At each signal on
// the channel reload it reads the files again, see followReloads.
func Run(ctx context.Context, files config.Sources, reload <-chan os.Signal) error {
	p, err := config.LoadPlan(files)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Limits.Cores))))
	LimitMemory(p)
	listener, received, err := takeOver(p, handoverFolder())
	if err != nil {
		slog.Warn("hand-over: the address is opened beside the process that has it", "reason", err)
	}
	if listener == nil {
		if listener, err = listen(p.Listen); err != nil {
			return fmt.Errorf("listening for clients: %w", err)
		}
	}
	return serve(ctx, p, listener, received, files, reload, func(*daemon) {})
}

// Serve is ServePlan for the platform's configuration c. A reload reads the configuration from the file at path.
func Serve(ctx context.Context, c *config.Config, listener net.Listener, path string, reload <-chan os.Signal,
	observe func(*engine.Engine)) error {
	return ServePlan(ctx, c.Plan(), listener, config.Sources{Config: path}, reload, observe)
}

// ServePlan is Run for a plan that has been loaded and a listener that is open. It closes the listener. If observe is not nil, ServePlan
// calls it with the first service's engine before the first request.
func ServePlan(ctx context.Context, p *config.Plan, listener net.Listener, files config.Sources, reload <-chan os.Signal,
	observe func(*engine.Engine)) error {
	return serve(ctx, p, listener, nil, files, reload, func(d *daemon) {
		if observe != nil {
			observe(d.routing.Load().services[p.Services[0].Name].engine)
		}
	})
}

// serve runs a daemon until the process ends. received is the hand-over from a predecessor, or nil if there is no predecessor. serve calls
// started once the services have been started.
func serve(ctx context.Context, p *config.Plan, listener net.Listener, received *receivedHandover, files config.Sources,
	reload <-chan os.Signal, started func(*daemon)) error {
	defer listener.Close()
	background, stop := context.WithCancel(context.Background())
	d := &daemon{plan: p, limits: p.Limits, listener: listener, log: slog.Default(), background: background,
		upgrade: &upgrade{identity: handover.Identity{Name: p.Name, Listen: p.Listen}}}
	defer d.backgroundTasks.Wait()
	defer stop()
	d.startLogging()
	if err := d.newSharedResources(connectionLimit(p.Limits)); err != nil {
		return err
	}
	defer d.endServices()
	if err := d.startServices(ctx, received != nil); err != nil {
		if ctx.Err() != nil {
			return nil // ended during the start
		}
		return err
	}
	started(d)
	server, connections := d.newServer(p)
	closeControl, err := d.startControl(p, received)
	if err != nil {
		return err
	}
	defer closeControl()
	if err := d.joinFleet(background, p); err != nil {
		return err
	}
	if err := d.runTasks(background, p, cmp.Or(files.Beside, files.Config)); err != nil {
		return err
	}
	registered, err := d.register(p)
	if err != nil {
		return err
	}
	defer registered.stopAll()
	served := make(chan error, 1)
	go func() { served <- server.Serve(connections) }()
	d.backgroundTasks.Go(func() { d.followReloads(background, files, reload) })
	d.backgroundTasks.Go(func() { d.logEvictions(connections) })
	d.backgroundTasks.Go(d.keepWithinMemory)
	return d.runUntilEnd(ctx, server, served, registered)
}

// startLogging starts the logger that the operator's file configures, if the plan has such a file.
func (d *daemon) startLogging() {
	if d.plan.File != nil {
		d.logger = logging.New(os.Stderr, d.plan.Log)
		d.log = d.logger.Logger
		d.backgroundTasks.Go(func() { d.logger.Run(d.background) })
	}
	if d.plan.SeedDrawn {
		d.log.Info("seed drawn", "seed", fmt.Sprintf("%016x", d.plan.Seed))
	}
}

// startServices applies the first plan. Without a predecessor it waits for locked files for up to executor.StartLockTimeout, or until ctx
// ends. With a predecessor it waits for fileLockTimeout only, since the predecessor keeps its files locked for as long as it runs.
func (d *daemon) startServices(ctx context.Context, hasPredecessor bool) error {
	if !hasPredecessor {
		d.shared.filesCtx, d.shared.fileLockTimeout = ctx, executor.StartLockTimeout
	}
	if err := d.apply(d.plan); err != nil {
		return err
	}
	d.shared.filesCtx, d.shared.fileLockTimeout = d.background, fileLockTimeout
	return nil
}

// newServer creates the HTTP server and its listener from the first plan p. It does not use d.plan, which a reload may replace meanwhile.
func (d *daemon) newServer(p *config.Plan) (*http.Server, *downstream.Connections) {
	var secure *downstream.TLS
	if p.TLS.Enabled() {
		secure = &downstream.TLS{HandshakeTimeout: p.HeadTimeout, Config: &tls.Config{MinVersion: tls.VersionTLS12,
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return d.tlsConfig.Load(), nil }}}
	}
	connections := downstream.NewConnections(acceptor.New(d.listener, d.log), connectionLimit(p.Limits), secure)
	connections.BoundReadAhead(int64(p.Limits.MemoryMB * bytesPerMB / readAheadMemoryFraction))
	d.lifecycle = newLifecycleDriver(d.shared.clock, p.Grace, connections)
	return &http.Server{
		Handler:                      &server{daemon: d, ids: newRequestIDs(p.Seed), lifecycleDriver: d.lifecycle},
		ReadHeaderTimeout:            p.HeadTimeout,
		IdleTimeout:                  clientIdleTimeout,
		MaxHeaderBytes:               httpheader.MaxBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    connections.State,
		ConnContext:                  connections.Context,
		ErrorLog:                     slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}, connections
}

// startControl listens on the operators' address, if the first plan p has one, and starts the hand-over protocol. It does not use d.plan,
// which a reload may replace meanwhile.
func (d *daemon) startControl(p *config.Plan, received *receivedHandover) (closeControl func(), err error) {
	operators := ""
	closeControl = func() {}
	if p.Control != "" {
		c, err := control.Listen(p.Control, d.handleControl, d.log)
		if err != nil {
			return nil, fmt.Errorf("listening for operators: %w", err)
		}
		closeControl, operators = c.Close, c.Addr().String()
		d.backgroundTasks.Go(c.Run)
		if received != nil {
			d.lifecycle.connections.SetShared(true)
			received.exchange = d.exchangeWith(received.link, true)
			d.restore(received)
		}
		d.backgroundTasks.Go(func() { d.runUpgrade(d.background, received, handoverFolder(), d.listener) })
	}
	if p.File != nil {
		d.log.Info("listening", "clients", d.listener.Addr().String(), "operators", operators)
	}
	return closeControl, nil
}

// runUntilEnd serves until ctx ends, and then until every accepted request has been answered or aborted.
func (d *daemon) runUntilEnd(ctx context.Context, server *http.Server, served <-chan error, registered *registrations) error {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		d.lifecycle.run(d.abort)
	}()
	select {
	case err := <-served:
		d.lifecycle.abandon()
		<-finished
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	registered.drain()
	d.lifecycle.stop(d.upgrade.hasSuccessor())
	<-finished
	d.lifecycle.awaitConnections(finalWriteTimeout)
	_ = server.Close() // returns an error if the listener has been closed before
	return nil
}

// abort ends the unanswered requests when the grace period is over: requests in an admission queue are rejected (503), and requests in
// flight fail (502).
func (d *daemon) abort() {
	d.shared.abortExecutors()
	for _, s := range d.routing.Load().services {
		s.abort()
	}
	for _, s := range d.retiringServices.all() {
		s.abort()
	}
}

// endServices closes all services. It waits for a reload in progress and prevents further reloads, since the services that a later reload
// starts would never be closed.
func (d *daemon) endServices() {
	d.reloadMu.Lock()
	d.ended = true
	d.reloadMu.Unlock()
	if r := d.routing.Load(); r != nil {
		for _, s := range r.services {
			s.close()
		}
	}
	if d.stopCredentials != nil {
		d.stopCredentials()
	}
	d.retirements.Wait()
	d.shared.closeExecutors()
	d.shared.awaitKeyExchange()
	d.shared.awaitIDExchange()
}

// ready reports whether at least one service has an upstream that is ready.
func (d *daemon) ready() bool {
	for _, s := range d.routing.Load().services {
		if s.registry.ReadyCount() > 0 {
			return true
		}
	}
	return false
}
