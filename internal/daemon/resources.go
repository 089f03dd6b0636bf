package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"orchiddrift/internal/bulkhead"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/config"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/yielding"
)

// How the limits of the process are divided.
const (
	// reservedDescriptors are neither a client's nor an upstream's.
	reservedDescriptors = 32
	// heapFraction of the memory limit may be used by the heap.
	heapFraction = 0.75
	// gcBaseMB is the memory limit up to which the garbage collector runs at Go's default pace, see GCPercent.
	gcBaseMB     = 32
	maxGCPercent = 400
	// One answer may take a maxAnswerFraction-th of the memory limit, since many are in flight at once.
	maxAnswerFraction = 64
	// All bodies in flight may take a bodyBytesFraction-th, where services share the process.
	bodyBytesFraction = 4
	// An idleConnectionFraction-th of the clients' connections never carries requests in flight.
	idleConnectionFraction = 8
)

const bytesPerMB = 1 << 20

// sharedResources are what the services of a daemon have in common.
type sharedResources struct {
	clock           clock.Clock
	log             *slog.Logger
	connectionSlots *bulkhead.Semaphore // connections to upstreams
	inFlight        *bulkhead.Semaphore // requests; nil: only the clients' connections bound them
	bodyBytes       *bulkhead.Semaphore // of request and response bodies; nil: not bounded
	bodySpool       *semaphore.Weighted // bytes of request bodies beyond alwaysBufferedBytes
	spoolSize       int64
	maxAnswerBytes  int
	seed            uint64
	name            string // of the process
	connections     int    // to upstreams, at most
	yielder         yielding.Yielder

	executorsMu sync.Mutex
	executors   map[string]*executor.Executor // by service; they outlive their services

	// How long files that another process has locked are waited for. They change before the first reload only.
	filesCtx        context.Context
	fileLockTimeout time.Duration
}

// yieldAfter notes n bytes of a long transfer, and pauses it if that is due.
func (sh *sharedResources) yieldAfter(n int) {
	if d := sh.yielder.Transferred(sh.clock.Now(), n); d > 0 {
		time.Sleep(d)
	}
}

// newSharedResources makes what services share.
func (d *daemon) newSharedResources(connections int) error {
	p := d.plan
	memory := p.Limits.MemoryMB * bytesPerMB
	d.metrics = metrics.New()
	d.shared = &sharedResources{
		clock:           clock.New(),
		log:             d.log,
		seed:            p.Seed,
		name:            p.Name,
		connections:     connections,
		filesCtx:        d.background,
		fileLockTimeout: fileLockTimeout,
		spoolSize:       int64(memory / spoolMemoryFraction),
		maxAnswerBytes:  int(memory / maxAnswerFraction),
	}
	d.shared.bodySpool = semaphore.NewWeighted(d.shared.spoolSize)
	var err error
	if d.shared.connectionSlots, err = bulkhead.NewSemaphore(int64(connections), p.Guaranteed, nil); err != nil {
		return err
	}
	if p.File == nil {
		return nil
	}
	requests := int64(connections - connections/idleConnectionFraction)
	if d.shared.inFlight, err = bulkhead.NewSemaphore(requests, p.Guaranteed, nil); err != nil {
		return err
	}
	d.shared.bodyBytes, err = bulkhead.NewSemaphore(int64(memory/bodyBytesFraction), p.Guaranteed, nil)
	return err
}

// setShares sets the services' shares of everything that is shared. A service that takes another one's place uses that one's share, under
// the same name. d.reloadMu is held, or the daemon has not started.
func (d *daemon) setShares(guaranteed float64, services []config.ServicePlan) error {
	var shares []bulkhead.Share
	named := map[string]bool{}
	add := func(s config.ServicePlan) {
		if !named[s.Name] {
			named[s.Name] = true
			shares = append(shares, bulkhead.Share{Name: s.Name, Weight: s.Weight})
		}
	}
	for _, s := range services {
		add(s)
	}
	for s := range d.retiringServices { // they still need connections and memory for answers
		add(s.plan)
	}
	for _, limit := range []*bulkhead.Semaphore{d.shared.connectionSlots, d.shared.inFlight, d.shared.bodyBytes} {
		if limit == nil {
			continue
		}
		if err := limit.Set(guaranteed, shares); err != nil {
			return fmt.Errorf("shares: %w", err)
		}
	}
	return nil
}

// connectionLimit is how many connections there may be to clients, and as many to upstreams.
func connectionLimit(l config.Limits) int { return max(1, (l.Sockets-reservedDescriptors)/2) }

// LimitMemory makes the garbage collector keep to the plan's memory limit.
func LimitMemory(p *config.Plan) {
	debug.SetMemoryLimit(int64(p.Limits.MemoryMB * heapFraction * bytesPerMB))
	debug.SetGCPercent(GCPercent(p.Limits.MemoryMB))
}

// GCPercent is how far the heap may grow over the live heap, in percent, for a memory limit in MB. The live heap is a few MB whatever the
// limit, so that with more memory the collector can run less often.
func GCPercent(memoryMB float64) int {
	return int(min(maxGCPercent, max(100, 100*memoryMB/gcBaseMB)))
}
