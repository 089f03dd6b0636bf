package discovery

// The calls of a Watcher: how one is made, followed to its end, and what it brings.

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
)

// location is an address that tells the list, with what is known of its versions: those of another one mean nothing there.
type location struct {
	address string
	index   int64 // of the list as last told there
	untold  bool  // nothing came from there yet
}

// openCall is a call that has not ended. Its fields other than end belong to the goroutine that makes it.
type openCall struct {
	id       staleness.CallID
	end      context.CancelCauseFunc
	begun    time.Time
	at       *location
	request  staleness.Request
	version  int64 // that it has reached
	answered bool
}

// begin makes a call; the caller holds mu.
func (w *Watcher) begin(a staleness.Action) {
	ctx, end := context.WithCancelCause(w.ctx)
	c := &openCall{id: a.Call, end: end, begun: time.Now(), at: w.at, request: a.Request, version: w.at.index}
	w.open[c.id] = c
	w.made++
	w.log.Debug("list call made", "call", c.id, "request", c.request.String(), "address", c.at.address, "version", c.version, "age", w.age())
	w.calls.Go(func() { w.call(ctx, c) })
}

// age is how long ago the list was last known to be current, for the log; the caller holds mu.
func (w *Watcher) age() time.Duration {
	return (w.now() - w.machine.CurrentAt()).Round(time.Millisecond)
}

// call follows one call to its end and tells the machine of it.
func (w *Watcher) call(ctx context.Context, c *openCall) {
	err := w.follow(ctx, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, c.id)
	cause := context.Cause(ctx)
	c.end(nil)
	if w.sink == nil || w.ctx.Err() != nil { // Run ends
		return
	}
	if cause != nil {
		err = cause
	}
	if err == nil { // it has brought the whole list
		return
	}
	lasted := time.Since(c.begun).Round(time.Millisecond)
	if errors.Is(err, errReplaced) {
		w.log.Debug("list call replaced", "call", c.id, "request", c.request.String(), "answered", c.answered, "lasted", lasted)
		return
	}
	w.failed++
	acts := w.machine.CallEnded(w.now(), c.id)
	now := w.now()
	failures := w.machine.Failures()
	w.log.Log(context.Background(), failureLevel(failures), "watch ended", "reason", err, "call", c.id, "request", c.request.String(), "answered", c.answered,
		"lasted", lasted, "age", w.age(), "overdue", now >= w.machine.Deadline(), "failures", failures, "next", max(0, w.machine.Next()-now).Round(time.Millisecond))
	w.do(acts)
}

// The failures in a row that are logged as warnings: the first ones, and then one in so many. The others are there for who debugs.
const (
	warnedFailures = 8
	warnedOneIn    = 16
)

func failureLevel(failures int) slog.Level {
	if failures <= warnedFailures || failures%warnedOneIn == 0 {
		return slog.LevelWarn
	}
	return slog.LevelDebug
}

// follow asks for what a call is to ask for, and takes all that comes until it ends. A whole list ends it without an error.
func (w *Watcher) follow(ctx context.Context, c *openCall) error {
	targets := fmt.Sprintf("http://%s/api/targets", c.at.address)
	if c.request == staleness.FetchList {
		return w.fetch(ctx, c, targets)
	}
	body, err := w.get(ctx, fmt.Sprintf("%s?watch=1&from=%d", targets, c.version))
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxMessage)
	lines.Split(messages())
	for lines.Scan() {
		if err := w.take(ctx, c, lines.Bytes()); err != nil {
			return err
		}
	}
	return cmp.Or(lines.Err(), errors.New("discovery ended it"))
}

// fetch asks for the whole list.
func (w *Watcher) fetch(ctx context.Context, c *openCall, url string) error {
	body, err := w.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxMessage+1))
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return errCut
	}
	return w.take(ctx, c, text)
}

// take applies what a call brought, unless that has been ended meanwhile; empty text is a sign of life.
func (w *Watcher) take(ctx context.Context, c *openCall, text []byte) error {
	var l *endpoints.List
	if len(text) > 0 {
		var err error
		if l, err = endpoints.ParseList(text); err != nil { // the last good list stays, and is asked for again from its version on
			return fmt.Errorf("malformed list: %w", err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if w.sink == nil || !w.machine.Accepts(c.id) {
		return errReplaced
	}
	first := w.machine.CurrentAt() == 0 || !w.stands
	withdrawn := false
	switch {
	case l != nil && c.at != w.at && !w.at.untold:
		withdrawn = w.applyWithdrawals(l)
	case l != nil:
		if err := w.apply(c, l); err != nil {
			return err
		}
	}
	if l == nil && (first || w.asked.Load()) {
		w.sink.Current()
	}
	w.asked.Store(false)
	if !c.answered {
		c.answered = true
		w.log.Info("list call answered", "call", c.id, "request", c.request.String(), "address", c.at.address, "version", c.version, "news", l != nil,
			"took", time.Since(c.begun).Round(time.Millisecond), "age", w.age())
	}
	w.do(w.machine.CallActive(w.now(), c.id))
	if withdrawn {
		w.do(w.machine.Recheck(w.now()))
	}
	return nil
}

// applyWithdrawals takes of what an address before tells what drains or is gone: the present address's list may have been written
// ahead of it. What that list says comes back when it is asked for again. The caller holds mu.
func (w *Watcher) applyWithdrawals(l *endpoints.List) bool {
	withdrawn := slices.DeleteFunc(slices.Clone(l.Endpoints), func(e endpoints.Endpoint) bool { return e.Status == endpoints.StatusReady })
	if len(withdrawn) > 0 {
		index := w.at.index
		w.sink.Update(&endpoints.List{Index: &index, Endpoints: withdrawn})
	}
	return len(withdrawn) > 0 || l.Snapshot // what a whole list leaves out is gone there
}

// apply hands a list or a change to the sink, unless it is older than what is known; the caller holds mu.
func (w *Watcher) apply(c *openCall, l *endpoints.List) error {
	index, at := *l.Index, c.at
	beganAnew := l.Snapshot && c.version == at.index // on the call that brought the newest
	switch {
	case at.untold, index >= at.index, beganAnew:
		at.index, at.untold = index, false
		w.sink.Update(l)
	case c.version == at.index:
		return fmt.Errorf("malformed list: changes of version %d, and %d is known", index, c.version)
	default: // it was written before what another call has brought since: an upstream that drains must not come back by it
		w.log.Info("older list passed over", "call", c.id, "request", c.request.String(), "version", index, "known", at.index)
	}
	c.version = index
	return nil
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
