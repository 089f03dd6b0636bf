// Package discovery follows lists of upstreams. source.go says what any list's Source is and where its news goes; a
// Watcher follows the platform's over HTTP: one watch at a time, asked for again when it breaks.
package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"orchiddrift/internal/directory"
)

const (
	watchSilence   = 3500 * time.Millisecond // an empty line comes every 2 s: after this the watch is dead
	answerPatience = 5 * time.Second         // for the first line: discovery works through calls in turn
	maxLine        = 4 << 20
	maxHeader      = 16 << 10
	rewatchFirst   = 250 * time.Millisecond // where lists are pushed: the wait before the agent is watched again
	rewatchMost    = 4 * time.Second
)

// errRedirected ends a watch whose address was replaced.
var errRedirected = errors.New("discovery has another address")

// Options are a Watcher's parameters.
type Options struct {
	Address        string
	Index          int64 // version of the list as last held
	ConnectTimeout time.Duration
	ModuleAsks     bool         // the module asks for the list, and asks again when it is lost; else the Watcher does
	Log            *slog.Logger // nil: lines are dropped
}

// Watcher follows discovery: one watch at a time, each on a connection of its own so that no library sends
// a call again by itself.
type Watcher struct {
	log        *slog.Logger
	client     *http.Client
	silence    time.Duration // after this without a line a watch is dead
	moduleAsks bool
	asked      chan struct{} // holds one: a watch is wanted
	sink       Sink          // of Run. It must not call the Watcher, other than Ask

	mu      sync.Mutex
	address string
	index   int64 // of the list as last told at this address
	untold  bool  // nothing came from this address yet, and another's versions mean nothing here
	end     context.CancelCauseFunc
}

// New returns a Watcher; Run makes it work.
func New(o Options) *Watcher {
	w := &Watcher{address: o.Address, index: o.Index, silence: watchSilence, moduleAsks: o.ModuleAsks,
		log: cmp.Or(o.Log, slog.New(slog.DiscardHandler)), asked: make(chan struct{}, 1), end: func(error) {}}
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}}
	return w
}

// Ask starts a watch. It does not block: the module asks again only once it has been told of a failure.
func (w *Watcher) Ask() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// Redirect ends the watch that runs and starts one at another address at once.
func (w *Watcher) Redirect(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address, w.index, w.untold = address, 0, true
	w.end(errRedirected)
	w.Ask()
}

// Run watches until ctx ends. Where the module asks for the list, it also decides when to ask again. Where lists
// are pushed, or a new address has told nothing yet, the watch is opened again with a growing wait.
func (w *Watcher) Run(ctx context.Context, sink Sink) {
	w.sink = sink
	wait, again := rewatchFirst, time.NewTimer(0)
	defer again.Stop()
	if w.moduleAsks {
		again.Stop()
	}
	for {
		select {
		case <-w.asked:
			again.Stop()
		case <-again.C:
		case <-ctx.Done():
			return
		}
		told, err := w.watch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRedirected):
			w.log.Warn("watch ended", "reason", err)
			wait = rewatchFirst
			w.Ask()
			continue
		}
		w.mu.Lock()
		untold := w.untold
		w.mu.Unlock()
		if w.moduleAsks && !untold {
			w.log.Warn("watch ended", "reason", err)
			sink.Lost(err, false)
			continue
		}
		if told {
			wait = rewatchFirst
		}
		w.log.Warn("watch ended", "next", wait, "reason", err)
		sink.Lost(err, true)
		again.Reset(wait)
		wait = min(2*wait, rewatchMost)
	}
}

// take applies what was read under ctx, unless that was ended meanwhile.
func (w *Watcher) take(ctx context.Context, text []byte) error {
	l, err := directory.ParseListing(text)
	if err != nil { // the last good list stays, and is asked for again from its version on
		return fmt.Errorf("malformed list: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock() // once Redirect has returned, nothing of the old address is taken
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	w.index, w.untold = *l.Index, false
	w.sink.Update(l)
	return nil
}

// watch follows one watch to its end, and tells whether it brought anything. At a new address it first asks for
// the whole list: what changed after a version of another address would say nothing.
func (w *Watcher) watch(ctx context.Context) (told bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	w.end = cancel
	targets, whole := fmt.Sprintf("http://%s/api/targets", w.address), w.untold
	w.mu.Unlock()
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause // says more than that the connection was closed
		}
	}()
	// A dead network is silent, so whatever is waited for has a limit.
	silence := time.AfterFunc(answerPatience, func() { cancel(errors.New("discovery is silent")) })
	defer silence.Stop()
	if whole {
		body, err := w.call(ctx, targets)
		if err != nil {
			return false, err
		}
		text, err := io.ReadAll(io.LimitReader(body, maxLine+1))
		body.Close()
		if err == nil {
			err = w.take(ctx, text)
		}
		if err != nil {
			return false, err
		}
		told = true
		silence.Reset(answerPatience)
	}
	w.mu.Lock()
	index := w.index
	w.mu.Unlock()
	body, err := w.call(ctx, fmt.Sprintf("%s?watch=1&from=%d", targets, index))
	if err != nil {
		return told, err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for lines.Scan() {
		silence.Reset(w.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) > 0 {
			if err := w.take(ctx, line); err != nil {
				return told, err
			}
		} else if !told { // the watch stands, and there is no news since the version asked from
			w.sink.Heard()
		}
		told = true
		select {
		case <-w.asked: // when this one stood already: the module is to know
			w.sink.Heard()
		default:
		}
	}
	if err := lines.Err(); err != nil {
		return told, err
	}
	return told, errors.New("discovery ended it")
}

// call asks discovery; the caller closes the body.
func (w *Watcher) call(ctx context.Context, url string) (io.ReadCloser, error) {
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
