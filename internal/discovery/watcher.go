// Package discovery follows lists of upstreams. source.go says what any list's Source is and where its news goes; a
// Watcher follows the platform's over HTTP, with as many calls as package freshness wants.
package discovery

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/directory"
	"orchiddrift/internal/freshness"
)

const (
	maxHeader    = 16 << 10
	connectLeast = time.Second // discovery may be slower to take a connection than upstreams may be
)

// errRedirected ends a call to an address that was replaced, errReplaced one that a later call has taken the place of.
var (
	errRedirected = errors.New("discovery has another address")
	errReplaced   = errors.New("another call has taken its place")
)

// Options are a Watcher's parameters.
type Options struct {
	Address        string
	Index          int64 // version of the list as last held
	ConnectTimeout time.Duration
	Freshness      freshness.Options
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
	machine *freshness.Machine
	sink    Sink // of Run; nil: it does not run. It must not call the Watcher, other than Ask
	timer   *time.Timer
	ctx     context.Context
	ends    map[freshness.CallID]context.CancelCauseFunc
	address string
	index   int64 // of the list as last told at this address
	untold  bool  // nothing came from this address yet, and another's versions mean nothing here
	stands  bool  // the sink was not told that the list is lost
	overdue bool  // it was logged that the list may be too old
}

// New returns a Watcher; Run makes it work.
func New(o Options) *Watcher {
	w := &Watcher{address: o.Address, index: o.Index, log: cmp.Or(o.Log, slog.New(slog.DiscardHandler)), start: time.Now(), stands: true,
		machine: freshness.New(o.Freshness, rand.New(rand.NewPCG(o.Seed, 0x6c697374))), ends: map[freshness.CallID]context.CancelCauseFunc{}}
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: max(o.ConnectTimeout, connectLeast)}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}}
	return w
}

// Ask wants the next sign of life told, also where there is no news. It does not block.
func (w *Watcher) Ask() { w.asked.Store(true) }

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

// Redirect ends the calls that are open and makes one at another address at once.
func (w *Watcher) Redirect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address, w.index, w.untold = address, 0, true
	for _, end := range w.ends {
		end(errRedirected)
	}
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
	return now - w.machine.Told(), now >= w.machine.Due()
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
func (w *Watcher) do(acts []freshness.Action) {
	if w.sink == nil {
		return
	}
	for _, a := range acts {
		switch a.Kind {
		case freshness.Open:
			ctx, end := context.WithCancelCause(w.ctx)
			w.ends[a.Call] = end
			from := w.index
			w.calls.Go(func() { w.call(ctx, a.Call, from) })
		case freshness.Close:
			if end := w.ends[a.Call]; end != nil {
				end(errReplaced)
			}
		}
	}
	now := w.now()
	next := w.machine.Next()
	if stands := w.machine.Standing(now); stands != w.stands && !stands && w.machine.Told() > 0 {
		w.log.Warn("the list is not heard of: asking again", "age", (now - w.machine.Told()).Round(time.Millisecond))
		w.sink.Lost(errors.New("discovery is silent"), true)
		w.stands = false
	} else if stands {
		w.stands = true
	}
	overdue := now >= w.machine.Due()
	if overdue != w.overdue {
		if w.overdue = overdue; overdue {
			w.log.Warn("the list may be too old", "age", (now - w.machine.Told()).Round(time.Millisecond))
		} else {
			w.log.Info("the list is current again")
		}
	}
	if due := w.machine.Due(); !overdue {
		next = min(next, due) // to say so
	}
	w.timer.Reset(max(0, next-now))
}

// call makes one call and tells the machine how it goes.
func (w *Watcher) call(ctx context.Context, id freshness.CallID, from int64) {
	err := w.watch(ctx, id, from)
	w.mu.Lock()
	defer w.mu.Unlock()
	end := w.ends[id]
	delete(w.ends, id)
	cause := context.Cause(ctx)
	end(nil)
	if w.sink == nil {
		return
	}
	if cause != nil {
		err = cause
	}
	if errors.Is(err, errReplaced) {
		return
	}
	acts := w.machine.Ended(w.now(), id)
	w.log.Warn("watch ended", "reason", err)
	w.do(acts)
}

// watch follows one call to its end. At a new address it first asks for the whole list: what changed after a version of
// another address would say nothing.
func (w *Watcher) watch(ctx context.Context, id freshness.CallID, from int64) error {
	w.mu.Lock()
	targets, whole := fmt.Sprintf("http://%s/api/targets", w.address), w.untold
	w.mu.Unlock()
	if whole {
		body, err := w.get(ctx, targets)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(io.LimitReader(body, maxMessage+1))
		body.Close()
		if err == nil && len(text) == 0 {
			err = errCut
		}
		if err != nil {
			return err
		}
		if from, err = w.take(ctx, id, from, text); err != nil {
			return err
		}
	}
	body, err := w.get(ctx, fmt.Sprintf("%s?watch=1&from=%d", targets, from))
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxMessage)
	lines.Split(messages())
	for lines.Scan() {
		if from, err = w.take(ctx, id, from, lines.Bytes()); err != nil {
			return err
		}
	}
	return cmp.Or(lines.Err(), errors.New("discovery ended it"))
}

// take applies what a call brought, unless that has been ended meanwhile; empty text is a sign of life. from is the version that
// the call had reached, and what it has reached now is returned.
func (w *Watcher) take(ctx context.Context, id freshness.CallID, from int64, text []byte) (int64, error) {
	var l *directory.Listing
	if len(text) > 0 {
		var err error
		if l, err = directory.ParseListing(text); err != nil { // the last good list stays, and is asked for again from its version on
			return from, fmt.Errorf("malformed list: %w", err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock() // once Redirect has returned, nothing of the old address is taken
	if ctx.Err() != nil {
		return from, context.Cause(ctx)
	}
	if w.sink == nil || !w.machine.Takes(id) {
		return from, errReplaced
	}
	first := w.machine.Told() == 0 || !w.stands
	if l != nil {
		index := *l.Index
		switch {
		case w.untold, index >= w.index, l.Snapshot && from == w.index: // the last: it began to count anew
			w.index, w.untold = index, false
			w.sink.Update(l)
		case from == w.index:
			return from, fmt.Errorf("malformed list: changes of version %d, and %d is known", index, from)
		} // else it was written before what another call has brought since: an upstream that drains must not come back by it
		from = index
	}
	if l == nil && (first || w.asked.Load()) {
		w.sink.Heard()
	}
	w.asked.Store(false)
	w.do(w.machine.Heard(w.now(), id))
	return from, nil
}

// get asks discovery; the caller closes the body.
func (w *Watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}
