package discovery

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/discovery/staleness"
)

const (
	maxResponseHeaderBytes = 16 << 10
	minConnectTimeout      = time.Second // a discovery may take longer to accept a connection than an upstream may
	jitterStream           = 0x6c697374  // selects the stream of random numbers of a seed
)

var (
	// errReplaced closes a call that a later one replaced, or whose address is no longer followed.
	errReplaced = errors.New("another call has taken its place")
	// errSilent is the reason of Sink.Lost.
	errSilent = errors.New("discovery is silent")
)

// WatcherOptions are the parameters of a Watcher.
type WatcherOptions struct {
	Address        string
	Index          int64 // version of the list that is known already
	ConnectTimeout time.Duration
	Staleness      staleness.Options
	Seed           uint64       // of the jitter
	Log            *slog.Logger // nil: nothing is logged
}

// Watcher is a Source that follows the platform's discovery over HTTP. Package staleness decides when a call is opened and closed;
// the Watcher carries the calls out, each on a connection and in a goroutine of its own, so that the HTTP client does not retry.
//
// Its methods are safe for concurrent use.
type Watcher struct {
	log           *slog.Logger
	client        *http.Client
	startedAt     time.Time   // zero of the machine's clock
	refreshWanted atomic.Bool // the sink is notified of the next sign of life
	running       sync.WaitGroup

	mu        sync.Mutex
	machine   *staleness.Machine
	sink      Sink // of Run; nil: it does not run. It must not call the Watcher, other than Refresh
	timer     *time.Timer
	ctx       context.Context // of Run
	calls     map[staleness.CallID]*listCall
	server    *listServer // that is followed now
	opened    int64       // calls
	failed    int64       // calls that ended or failed by themselves
	connected bool        // Sink.Lost was not called since a watch delivered
	stale     bool        // it was logged that the list may be too old
}

var _ Source = (*Watcher)(nil)

// NewWatcher returns a Watcher, which does nothing until Run is called.
func NewWatcher(o WatcherOptions) *Watcher {
	return &Watcher{
		log:       cmp.Or(o.Log, slog.New(slog.DiscardHandler)),
		client:    newClient(o.ConnectTimeout),
		startedAt: time.Now(),
		machine:   staleness.New(o.Staleness, rand.New(rand.NewPCG(o.Seed, jitterStream))),
		calls:     map[staleness.CallID]*listCall{},
		server:    &listServer{address: o.Address, version: o.Index},
		connected: true,
	}
}

func newClient(connectTimeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: max(connectTimeout, minConnectTimeout)}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Refresh has the sink notified of the next sign of life, also where there is no change. It does not block.
func (w *Watcher) Refresh() { w.refreshWanted.Store(true) }

// Run follows the list until ctx ends.
func (w *Watcher) Run(ctx context.Context, sink Sink) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.ctx, w.sink, w.startedAt = ctx, sink, time.Now()
	w.timer = time.AfterFunc(time.Hour, w.tick)
	w.carryOut(w.machine.Start(0))
	w.mu.Unlock()
	<-ctx.Done()
	w.mu.Lock()
	w.sink = nil
	w.timer.Stop()
	w.mu.Unlock()
	w.running.Wait()
}

// Redirect follows the list at another address. The calls to earlier addresses go on as long as the machine wants.
func (w *Watcher) Redirect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.server.address {
		return
	}
	w.log.Debug("list address changed", "from", w.server.address, "to", address, "age", w.age())
	w.server = &listServer{address: address, isNew: true}
	w.carryOut(w.machine.Redirect(w.now()))
}

// Age returns how long ago the list was last known to be current, and whether it is stale. Before Run it is 0.
func (w *Watcher) Age() (age time.Duration, stale bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sink == nil {
		return 0, false
	}
	now := w.now()
	return now - w.machine.CurrentAt(), now >= w.machine.Deadline()
}

// Calls returns how many calls were opened, and how many of these were rejected, failed or ended other than by the Watcher itself.
func (w *Watcher) Calls() (opened, failed int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened, w.failed
}

// now returns the time on the machine's clock.
func (w *Watcher) now() time.Duration { return time.Since(w.startedAt) }

// age returns how long ago the list was last known to be current, for the log; the caller holds mu.
func (w *Watcher) age() time.Duration {
	return (w.now() - w.machine.CurrentAt()).Round(time.Millisecond)
}

func (w *Watcher) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sink != nil {
		w.carryOut(w.machine.Tick(w.now()))
	}
}

// carryOut does what the machine wants, reports what follows from its state and sets the timer; the caller holds mu.
func (w *Watcher) carryOut(actions []staleness.Action) {
	if w.sink == nil {
		return
	}
	for _, a := range actions {
		switch a.Kind {
		case staleness.OpenCall:
			w.open(a)
		case staleness.CloseCall:
			if c := w.calls[a.Call]; c != nil {
				c.cancel(errReplaced)
			}
		}
	}
	now := w.now()
	next := w.machine.Next()
	w.reportConnection(now)
	w.reportStaleness(now)
	if !w.stale {
		next = min(next, w.machine.Deadline()) // to report it then
	}
	w.timer.Reset(max(0, next-now))
}

// reportConnection notifies the sink once when no watch delivers any more; the caller holds mu.
func (w *Watcher) reportConnection(now time.Duration) {
	connected := w.machine.Connected(now)
	switch {
	case connected:
		w.connected = true
	case w.connected && w.machine.CurrentAt() > 0:
		w.log.Warn("the list is not heard of: asking again", "age", (now - w.machine.CurrentAt()).Round(time.Millisecond))
		w.sink.Lost(errSilent, true)
		w.connected = false
	}
}

// reportStaleness logs once when the list becomes stale, and once when it is current again; the caller holds mu.
func (w *Watcher) reportStaleness(now time.Duration) {
	stale := now >= w.machine.Deadline()
	if stale == w.stale {
		return
	}
	w.stale = stale
	if stale {
		w.log.Warn("the list may be too old", "age", (now - w.machine.CurrentAt()).Round(time.Millisecond))
		return
	}
	w.log.Info("the list is current again")
}
