package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
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
	// reservedDescriptors are file descriptors for anything but connections to clients and upstreams.
	reservedDescriptors = 32
	// connectionBytes is the memory that a client's connection may take with its request and the connection to the upstream, beside what
	// the spool and the answers have. It bounds the connections where memory is short, beside processBytes for everything else.
	connectionBytes = 128 << 10
	processBytes    = 16 << 20
	// minPlaces is the number of connections to clients that are allowed however short memory is.
	minPlaces = 32
	// heapFraction is the part of the memory limit that the Go runtime may use, unless the program's pages need more than the rest.
	heapFraction = 0.75
	// programBytes is the memory for pages of the program's file, see keepWithinMemory.
	programBytes = 11 << 20
	// gcBaseMB is the memory limit up to which the garbage collector runs at Go's default pace, see GCPercent.
	gcBaseMB     = 32
	maxGCPercent = 400
	// An answer may take at most 1/maxAnswerFraction of the memory limit, since many are in flight at once.
	maxAnswerFraction = 64
	// The bytes that are read ahead of the clients' requests may take 1/readAheadMemoryFraction of the memory limit.
	readAheadMemoryFraction = 16
	// With an operator's file, all bodies in flight together may take 1/bodyBytesFraction of the memory limit.
	bodyBytesFraction = 4
	// The limit of requests in flight is smaller than the limit of clients' connections by 1/idleConnectionFraction of the latter.
	idleConnectionFraction = 8
)

const bytesPerMB = 1 << 20

// sharedResources holds the resources and limits that the services of a daemon share.
type sharedResources struct {
	clock           clock.Clock
	log             *slog.Logger
	connectionSlots *bulkhead.Semaphore // connections to upstreams
	inFlight        *bulkhead.Semaphore // requests in flight; nil if only the number of clients' connections limits them
	bodyBytes       *bulkhead.Semaphore // bytes of request and response bodies; nil if they are not limited
	bodySpool       *semaphore.Weighted // bytes of request bodies beyond alwaysBufferedBytes
	spoolSize       int64
	maxAnswerBytes  int
	seed            uint64
	name            string // name of the process
	connections     int    // largest number of connections to upstreams
	yielder         yielding.Yielder

	executorsMu sync.Mutex
	executors   map[string]*executor.Executor // by the service's name; an executor outlives its service
	idHistories idHistories
	idPeer      atomic.Pointer[idExchange] // nil unless the process is being replaced, or has just replaced another one
	keyExchange *keyExchange               // nil unless the process is being replaced, or has just replaced another one

	// filesCtx and fileLockTimeout limit the wait for a file that another process has locked. They do not change after the process's start.
	filesCtx        context.Context
	fileLockTimeout time.Duration
}

// yieldAfter counts n bytes of a long transfer, and pauses the transfer if package yielding requires it.
func (sh *sharedResources) yieldAfter(n int) {
	if d := sh.yielder.Transferred(sh.clock.Now(), n); d > 0 {
		time.Sleep(d)
	}
}

// newSharedResources creates the resources that services share.
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

// setShares divides the limits of upstream connections, requests in flight and body bytes among the services: the fraction guaranteed of
// each limit is reserved for the services by weight, and all services compete for the rest. A service that replaces another service of the
// same name uses the same share. The caller holds d.reloadMu, or the daemon has not started.
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
	for _, s := range d.retiringServices.all() { // these services still need connections, and memory for answers
		add(s.plan)
	}
	for _, limit := range []*bulkhead.Semaphore{d.shared.connectionSlots, d.shared.inFlight, d.shared.bodyBytes} {
		if limit == nil {
			continue
		}
		if err := limit.Set(guaranteed, shares); err != nil {
			return fmt.Errorf("setting the services' shares: %w", err)
		}
	}
	return nil
}

// connectionLimit returns the largest number of connections to clients, which is also the largest number of connections to upstreams.
func connectionLimit(l config.Limits) int {
	byDescriptors := (l.Sockets - reservedDescriptors) / 2
	byMemory := max(minPlaces, int((l.MemoryMB*bytesPerMB-processBytes)/connectionBytes))
	return max(1, min(byDescriptors, byMemory))
}

// LimitMemory makes the garbage collector keep to the plan's memory limit.
func LimitMemory(p *config.Plan) {
	limit := p.Limits.MemoryMB * bytesPerMB
	debug.SetMemoryLimit(int64(max(limit/2, min(limit*heapFraction, limit-programBytes))))
	debug.SetGCPercent(GCPercent(p.Limits.MemoryMB))
}

// GCPercent returns by how many percent the heap may exceed the live heap before the garbage collector runs, for a memory limit in MB. The
// live heap is a few MB whatever the limit is, so that with more memory the collector can run less often.
func GCPercent(memoryMB float64) int {
	return int(min(maxGCPercent, max(100, 100*memoryMB/gcBaseMB)))
}
