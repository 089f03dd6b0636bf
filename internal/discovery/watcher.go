// Package discovery follows lists of upstreams. source.go says what any list's Source is and where its news goes; a
// Watcher follows the platform's over HTTP, with as many calls as package staleness wants.
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
	maxHeader    = 16 << 10
	connectLeast = time.Second // discovery may be slower to take a connection than upstreams may be
)

// errReplaced ends a call that a later one has taken the place of, or whose address is no longer asked.
var errReplaced = errors.New("another call has taken its place")

// Options are a Watcher's parameters.
type Options struct {
	Address        string
	Index          int64 // version of the list as last held
	ConnectTimeout time.Duration
	Staleness      staleness.Options
	Seed           uint64
	Log            *slog.Logger // nil: lines are dropped
}

// Watcher follows discovery. Each call is on a connection of its own, so that no library sends one again by itself.
type Watcher struct {
	log    *slog.Logger
	client *http.Client
	start  time.Time
	asked  atomic.Bool // the module is to know of the next sign of life
	calls  sync.WaitGroup

	mu      sync.Mutex
	machine *staleness.Machine
	sink    Sink // of Run; nil: it does not run. It must not call the Watcher, other than Ask
	timer   *time.Timer
	ctx     context.Context
	open    map[staleness.CallID]*openCall
	at      *location
	made    int64 // calls, and how many of them ended or failed by themselves
	failed  int64
	stands  bool // the sink was not told that the list is lost
	overdue bool // it was logged that the list may be too old
}

// New returns a Watcher; Run makes it work.
func New(o Options) *Watcher {
	w := &Watcher{at: &location{address: o.Address, index: o.Index}, log: cmp.Or(o.Log, slog.New(slog.DiscardHandler)), start: time.Now(), stands: true,
		machine: staleness.New(o.Staleness, rand.New(rand.NewPCG(o.Seed, 0x6c697374))), open: map[staleness.CallID]*openCall{}}
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: max(o.ConnectTimeout, connectLeast)}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}}
	return w
}

// Refresh wants the next sign of life told, also where there is no news. It does not block.
func (w *Watcher) Refresh() { w.asked.Store(true) }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context, sink Sink) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.ctx, w.sink, w.start = ctx, sink, time.Now()
	w.timer = time.AfterFunc(time.Hour, w.tick)
	w.do(w.machine.Start(0))
	w.mu.Unlock()
	<-ctx.Done()
	w.mu.Lock()
	w.sink = nil
	w.timer.Stop()
	w.mu.Unlock()
	w.calls.Wait()
}

// Redirect makes a call at another address, and ends the open ones as the machine says: one may go on until the new address has answered.
func (w *Watcher) Redirect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.at.address {
		return
	}
	w.log.Debug("list address changed", "from", w.at.address, "to", address, "age", w.age())
	w.at = &location{address: address, untold: true}
	w.do(w.machine.Redirect(w.now()))
}

// Age is how long ago the list was last known to be current, and whether it may be too old. Before Run it is 0.
func (w *Watcher) Age() (age time.Duration, overdue bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sink == nil {
		return 0, false
	}
	now := w.now()
	return now - w.machine.CurrentAt(), now >= w.machine.Deadline()
}

// Calls is how many calls were made, and how many of these were refused, failed or ended other than by the Watcher itself.
func (w *Watcher) Calls() (made, failed int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.made, w.failed
}

func (w *Watcher) now() time.Duration { return time.Since(w.start) }

func (w *Watcher) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sink != nil {
		w.do(w.machine.Tick(w.now()))
	}
}

// do carries out what the machine wants; the caller holds mu.
func (w *Watcher) do(acts []staleness.Action) {
	if w.sink == nil {
		return
	}
	for _, a := range acts {
		switch a.Kind {
		case staleness.OpenCall:
			w.begin(a)
		case staleness.CloseCall:
			if c := w.open[a.Call]; c != nil {
				c.end(errReplaced)
			}
		}
	}
	now := w.now()
	next := w.machine.Next()
	if stands := w.machine.Connected(now); stands != w.stands && !stands && w.machine.CurrentAt() > 0 {
		w.log.Warn("the list is not heard of: asking again", "age", (now - w.machine.CurrentAt()).Round(time.Millisecond))
		w.sink.Lost(errors.New("discovery is silent"), true)
		w.stands = false
	} else if stands {
		w.stands = true
	}
	overdue := now >= w.machine.Deadline()
	if overdue != w.overdue {
		if w.overdue = overdue; overdue {
			w.log.Warn("the list may be too old", "age", (now - w.machine.CurrentAt()).Round(time.Millisecond))
		} else {
			w.log.Info("the list is current again")
		}
	}
	if due := w.machine.Deadline(); !overdue {
		next = min(next, due) // to say so
	}
	w.timer.Reset(max(0, next-now))
}
