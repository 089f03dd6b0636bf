// Package daemon is the sidecar as a process of its own: HTTP/1.1 for the clients on one side, upstreams and their lists
// on the other. It makes no decisions; what it adds is I/O within the configured limits, and the life cycle.
//
// server.go takes clients' requests (package intake checks them and bounds the connections), routing.go holds what they
// are decided by, service.go one service's engine, list and connections; reload.go takes over another configuration.
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
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"orchiddrift/internal/bulkhead"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/config"
	"orchiddrift/internal/discovery/eureka"
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
	reservedDescriptors    = 32   // descriptors that are neither a client's nor an upstream's
	heapFraction           = 0.75 // of the limit that the heap may use
	gcBaseMB               = 32   // the memory limit at which the collector works as Go has it; see GCPercent
	maxGCPercent           = 400
	maxAnswerFraction      = 64 // an answer may have this fraction of the memory: many are in hand at once
	bodyBytesFraction      = 4  // and all bodies in hand this one, where services share it
	idleConnectionFraction = 8  // this fraction of clients' connections never carries requests in hand
	clientIdleTimeout      = 30 * time.Second

	// fileLockTimeout is how long a reload, or a successor whose predecessor lives, waits for a file that another process holds.
	fileLockTimeout = time.Second
)

// Run serves as the files say until ctx ends, then finishes what it has taken. Whenever reload brings something it reads
// them again, as followReloads tells.
func Run(ctx context.Context, files config.Sources, reload <-chan os.Signal) error {
	p, err := config.LoadPlan(files)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Limits.Cores))))
	LimitMemory(p)
	listener, from, err := inherit(p, handoverFolder())
	if err != nil {
		slog.Warn("hand-over: the address is opened beside the process that has it", "reason", err)
	}
	if listener == nil {
		if listener, err = listen(p.Listen); err != nil {
			return fmt.Errorf("listening: %w", err)
		}
	}
	return serve(ctx, p, listener, from, files, reload, func(*daemon) {})
}

// LimitMemory has the process's collector keep to the plan's limit.
func LimitMemory(p *config.Plan) {
	debug.SetMemoryLimit(int64(p.Limits.MemoryMB * heapFraction * (1 << 20)))
	debug.SetGCPercent(GCPercent(p.Limits.MemoryMB))
}

// GCPercent is how far the heap may grow over what is live, in percent, by the memory limit in MB: the live heap is a
// few MB whatever the limit, so where there is more memory the collector can work less often.
func GCPercent(memoryMB float64) int {
	return int(min(maxGCPercent, max(100, 100*memoryMB/gcBaseMB)))
}

// Serve is ServePlan for the platform's file alone, which path names.
func Serve(ctx context.Context, c *config.Config, listener net.Listener, path string, reload <-chan os.Signal,
	look func(*engine.Engine)) error {
	return ServePlan(ctx, c.Plan(), listener, config.Sources{Config: path}, reload, look)
}

// daemon is a running one.
type daemon struct {
	plan    *config.Plan // as it runs; what counts from the next start is as it was
	shared  *sharedResources
	logger  *logging.Logger // nil: the program's default
	log     *slog.Logger
	routing atomic.Pointer[routing]

	credentials      atomic.Pointer[tlscredentials.Store] // of the clients' listener; nil: not encrypted
	tlsConfig        atomic.Pointer[tls.Config]
	stopCredentials  context.CancelFunc
	retirements      sync.WaitGroup // services that only finish what they hold
	reloadMu         sync.Mutex     // of plan, leaving, the shares and ended
	ended            bool           // nothing is applied any more
	retiringServices map[*service]bool
	backgroundTasks  sync.WaitGroup
	background       context.Context // of what runs besides; ends with the daemon
	listener         net.Listener
	limits           config.Limits
	metrics          *metrics.Registry
	lifecycle        *lifecycleDriver

	upgrade *upgrade
}

// ServePlan is Run with a plan and a listener at hand; it closes the listener. Where look is not nil it is given the
// first service's engine, to look on, before the first request.
func ServePlan(ctx context.Context, p *config.Plan, listener net.Listener, files config.Sources, reload <-chan os.Signal,
	look func(*engine.Engine)) error {
	return serve(ctx, p, listener, nil, files, reload, func(d *daemon) {
		if look != nil {
			look(d.routing.Load().services[p.Services[0].Name].engine)
		}
	})
}

func serve(ctx context.Context, p *config.Plan, listener net.Listener, from *inheritance, files config.Sources, reload <-chan os.Signal,
	look func(*daemon)) error {
	defer listener.Close()
	rest, stop := context.WithCancel(context.Background())
	d := &daemon{plan: p, log: slog.Default(), background: rest, listener: listener, limits: p.Limits}
	defer d.backgroundTasks.Wait()
	defer stop()
	if p.File != nil {
		d.logger = logging.New(os.Stderr, p.Log)
		d.log = d.logger.Logger
		d.backgroundTasks.Go(func() { d.logger.Run(rest) })
	}
	if p.SeedDrawn {
		d.log.Info("seed drawn", "seed", fmt.Sprintf("%016x", p.Seed))
	}
	d.upgrade = &upgrade{identity: handover.Identity{Name: p.Name, Listen: p.Listen}}
	connections := connectionLimit(p.Limits)
	if err := d.newSharedResources(connections); err != nil {
		return err
	}
	defer d.endServices()
	if from == nil { // else the one before this process holds its files for as long as it lives
		d.shared.filesCtx, d.shared.fileLockTimeout = ctx, executor.StartTimeout
	}
	err := d.apply(p)
	if err != nil && ctx.Err() != nil {
		return nil // it was told to end before it had begun
	}
	if err != nil {
		return err
	}
	d.shared.filesCtx, d.shared.fileLockTimeout = rest, fileLockTimeout
	look(d)
	var secure *downstream.TLS
	if p.TLS.Enabled() {
		secure = &downstream.TLS{HandshakeTimeout: p.HeadTimeout, Config: &tls.Config{MinVersion: tls.VersionTLS12,
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return d.tlsConfig.Load(), nil }}}
	}
	conns := downstream.NewConnections(acceptor.New(listener, d.log), connections, secure)
	d.lifecycle = newLifecycleDriver(d.shared.clock, p.Grace, conns)
	s := &server{daemon: d, ids: newRequestIDs(p.Seed), lifecycleDriver: d.lifecycle}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: p.HeadTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: httpheader.MaxBytes, DisableGeneralOptionsHandler: true, ConnState: conns.State, ConnContext: conns.Context,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug)}
	operators := "" // where they call
	if p.Control != "" {
		c, err := control.Listen(p.Control, d.handleControl, d.log)
		if err != nil {
			return fmt.Errorf("listening for operators: %w", err)
		}
		operators = c.Addr().String()
		d.backgroundTasks.Go(c.Run)
		defer c.Close()
		if from != nil {
			d.restore(from)
		}
		d.backgroundTasks.Go(func() { d.runUpgrade(rest, from, handoverFolder(), listener) })
	}
	if p.File != nil {
		d.log.Info("listening", "clients", listener.Addr().String(), "operators", operators)
	}
	if err := d.joinFleet(rest, p); err != nil {
		return err
	}
	if err := d.runTasks(rest, p, cmp.Or(files.Beside, files.Config)); err != nil {
		return err
	}
	known, err := d.register(p)
	if err != nil {
		return err
	}
	defer known.stopAll()
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(conns) }()
	d.backgroundTasks.Go(func() { d.followReloads(rest, files, reload) })
	over := make(chan struct{}) // all that was taken is finished, or was failed
	go func() {
		defer close(over)
		d.lifecycle.run(d.abort)
	}()
	select {
	case err := <-ended:
		d.lifecycle.abandon()
		<-over
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	known.drain()
	d.lifecycle.stop(d.upgrade.hasSuccessor())
	<-over
	d.lifecycle.awaitConnections(finalWriteTimeout)
	_ = srv.Close() // of what has been closed
	return nil
}

// finalWriteTimeout is what answers that have just been failed may take to be written.
const finalWriteTimeout = 100 * time.Millisecond

// registrations are where the process is known.
type registrations struct {
	all  []*eureka.Registration
	stop context.CancelFunc
	done sync.WaitGroup
}

// register makes the process known where the operator's file says so.
func (d *daemon) register(p *config.Plan) (*registrations, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &registrations{stop: stop}
	for _, declared := range p.Registrations {
		one, err := eureka.NewRegistration(declared, p.Name, d.listener.Addr().String(), time.Second, p.Seed, d.log)
		if err != nil {
			stop()
			return nil, err
		}
		r.all = append(r.all, one)
	}
	for _, one := range r.all {
		r.done.Go(func() { one.Run(ctx) })
	}
	return r, nil
}

func (r *registrations) drain() {
	for _, one := range r.all {
		one.Drain()
	}
}

func (r *registrations) stopAll() {
	r.stop()
	r.done.Wait()
}

// newSharedResources makes what services share.
func (d *daemon) newSharedResources(connections int) error {
	p := d.plan
	d.metrics = metrics.New()
	d.shared = &sharedResources{clock: clock.New(), log: d.log, seed: p.Seed, name: p.Name, connections: connections, filesCtx: d.background, fileLockTimeout: fileLockTimeout,
		spoolSize: int64(p.Limits.MemoryMB * (1 << 20) / spoolMemoryFraction), maxAnswerBytes: int(p.Limits.MemoryMB * (1 << 20) / maxAnswerFraction)}
	d.shared.bodySpool = semaphore.NewWeighted(d.shared.spoolSize)
	var err error
	if d.shared.connectionSlots, err = bulkhead.NewSemaphore(int64(connections), p.Guaranteed, nil); err != nil {
		return err
	}
	if p.File == nil {
		return nil
	}
	if d.shared.inFlight, err = bulkhead.NewSemaphore(int64(connections-connections/idleConnectionFraction), p.Guaranteed, nil); err != nil {
		return err
	}
	d.shared.bodyBytes, err = bulkhead.NewSemaphore(int64(p.Limits.MemoryMB*(1<<20)/bodyBytesFraction), p.Guaranteed, nil)
	return err
}

// setShares sets the services' shares of all that is shared. A service that takes another's place holds with it, under
// one name.
func (d *daemon) setShares(guaranteed float64, services []config.ServicePlan) error {
	shares, named := []bulkhead.Share{}, map[string]bool{}
	add := func(s config.ServicePlan) {
		if !named[s.Name] {
			named[s.Name] = true
			shares = append(shares, bulkhead.Share{Name: s.Name, Weight: s.Weight})
		}
	}
	for _, s := range services {
		add(s)
	}
	for s := range d.retiringServices { // it still needs connections and room for answers
		add(s.plan)
	}
	for _, of := range []*bulkhead.Semaphore{d.shared.connectionSlots, d.shared.inFlight, d.shared.bodyBytes} {
		if of == nil {
			continue
		}
		if err := of.Set(guaranteed, shares); err != nil {
			return fmt.Errorf("shares: %w", err)
		}
	}
	return nil
}

// abort fails every request in hand: the process is about to be killed.
func (d *daemon) abort() {
	d.shared.abortExecutors()
	for _, s := range d.routing.Load().services {
		s.abort()
	}
}

// endServices ends the services. A reload that is under way is waited for, and none begins any more: it would start services that nobody ends.
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
}
