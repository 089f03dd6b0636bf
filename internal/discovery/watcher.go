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
	minConnectTimeout      = time.Second // a discovery service may take longer than an upstream to accept a connection
	jitterStream           = 0x6c697374  // selects the random number stream of the seed
)

var (
	// errReplaced is the cause with which the Watcher cancels a call that the state machine closed.
	errReplaced = errors.New("the list call was replaced by a later call")
	// errSilent is the error that the Watcher passes to Sink.Lost.
	errSilent = errors.New("the discovery service sends no messages")
)

// WatcherOptions are the parameters of a Watcher.
type WatcherOptions struct {
	Address        string
	Index          int64 // version of the list that the service starts with
	ConnectTimeout time.Duration
	Staleness      staleness.Options
	Seed           uint64       // seed of the jitter
	Log            *slog.Logger // if nil, nothing is logged
}

// Watcher is a Source that follows the list of the platform's discovery service over HTTP. Package staleness decides when a call is opened
// and closed. The Watcher executes each call in its own goroutine. Each call has its own connection, so that the HTTP client does not retry.
//
// Its methods are safe for concurrent use.
type Watcher struct {
	log              *slog.Logger
	client           *http.Client
	startedAt        time.Time   // start of Run, which is time 0 on the state machine's clock
	refreshRequested atomic.Bool // the next message must be reported to the sink, even if it is a heartbeat
	running          sync.WaitGroup

	mu        sync.Mutex
	machine   *staleness.Machine
	sink      Sink // nil while Run is not running. The sink must not call methods of the Watcher except Refresh
	timer     *time.Timer
	ctx       context.Context // context of Run
	calls     map[staleness.CallID]*listCall
	server    *listServer // server of the present address
	opened    int64       // number of opened calls
	failed    int64       // number of calls that ended by themselves, other than answered polls
	connected bool        // false from a call of Sink.Lost until a watch is connected again
	stale     bool        // a log line has reported that the list may be too old
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

// Refresh requests that the next message is reported to the sink, even if it is a heartbeat. It does not block.
func (w *Watcher) Refresh() { w.refreshRequested.Store(true) }

// Run follows the list until ctx is done.
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

// Redirect follows the list at another address. Calls to earlier addresses continue until the state machine closes them.
func (w *Watcher) Redirect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.server.address {
		return
	}
	w.log.Debug("address of the endpoint list changed", "from", w.server.address, "to", address, "age", w.age())
	w.server = &listServer{address: address, isNew: true}
	w.carryOut(w.machine.Redirect(w.now()))
}

// Age returns how long ago the list was last known to be current, and whether it is stale. The age is 0 while Run is not running.
func (w *Watcher) Age() (age time.Duration, stale bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sink == nil {
		return 0, false
	}
	now := w.now()
	return now - w.machine.CurrentAt(), now >= w.machine.Deadline()
}

// Calls returns how many calls were opened, and how many of these calls failed. A call fails if the server rejects it or ends the watch,
// or if an error ends it.
func (w *Watcher) Calls() (opened, failed int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened, w.failed
}

// now returns the time on the state machine's clock.
func (w *Watcher) now() time.Duration { return time.Since(w.startedAt) }

// age returns how long ago the list was last known to be current, rounded for the log; the caller holds mu.
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

// carryOut executes the actions of the state machine, reports its changes of connection and staleness, and sets the timer. The caller
// holds mu.
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
		next = min(next, w.machine.Deadline()) // so that staleness is reported at the deadline
	}
	w.timer.Reset(max(0, next-now))
}

// reportConnection notifies the sink once when no healthy watch is left; the caller holds mu.
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
