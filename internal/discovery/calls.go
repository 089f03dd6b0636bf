package discovery

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
)

// errEnded is the reason of a watch whose body ended without an error.
var errEnded = errors.New("discovery ended it")

// initialMessageBuffer is the buffer of a watch in bytes; it grows up to maxMessageBytes.
const initialMessageBuffer = 4 << 10

// listServer is an address that serves the list. Versions of one address mean nothing at another.
type listServer struct {
	address string
	version int64 // of the list that was last received from it
	isNew   bool  // nothing was received from it yet
}

// listCall is a call that has not ended. Its fields other than cancel belong to the call's goroutine.
type listCall struct {
	id       staleness.CallID
	request  staleness.Request
	server   *listServer
	cancel   context.CancelCauseFunc
	openedAt time.Time
	version  int64 // that it has reached
	answered bool
}

// open opens a call in a goroutine; the caller holds mu.
func (w *Watcher) open(a staleness.Action) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	c := &listCall{id: a.Call, request: a.Request, server: w.server, cancel: cancel, openedAt: time.Now(), version: w.server.version}
	w.calls[c.id] = c
	w.opened++
	w.log.Debug("list call made", "call", c.id, "request", c.request.String(), "address", c.server.address, "version", c.version, "age", w.age())
	w.running.Go(func() { w.run(ctx, c) })
}

// run carries out one call and reports its end to the machine.
func (w *Watcher) run(ctx context.Context, c *listCall) {
	err := w.receive(ctx, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c.id)
	cause := context.Cause(ctx)
	c.cancel(nil)
	if w.sink == nil || w.ctx.Err() != nil { // Run ends
		return
	}
	if cause != nil {
		err = cause
	}
	if err == nil { // a poll that was answered
		return
	}
	lasted := time.Since(c.openedAt).Round(time.Millisecond)
	if errors.Is(err, errReplaced) {
		w.log.Debug("list call replaced", "call", c.id, "request", c.request.String(), "answered", c.answered, "lasted", lasted)
		return
	}
	w.failed++
	actions := w.machine.CallEnded(w.now(), c.id)
	w.logFailure(c, err, lasted)
	w.carryOut(actions)
}

// logFailure logs that a call ended by itself, once the machine knows of it; the caller holds mu.
func (w *Watcher) logFailure(c *listCall, reason error, lasted time.Duration) {
	now := w.now()
	failures := w.machine.Failures()
	w.log.Log(context.Background(), failureLevel(failures), "watch ended", "reason", reason, "call", c.id, "request", c.request.String(),
		"answered", c.answered, "lasted", lasted, "age", w.age(), "overdue", now >= w.machine.Deadline(), "failures", failures,
		"next", max(0, w.machine.Next()-now).Round(time.Millisecond))
}

// Consecutive failures that are logged as warnings: the first ones, and then one in so many. The others are logged as debug.
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

// receive sends the request of a call and handles what arrives until it ends. It returns nil for a poll that was answered.
func (w *Watcher) receive(ctx context.Context, c *listCall) error {
	url := fmt.Sprintf("http://%s/api/targets", c.server.address)
	if c.request == staleness.FetchList {
		return w.receiveList(ctx, c, url)
	}
	return w.receiveChanges(ctx, c, fmt.Sprintf("%s?watch=1&from=%d", url, c.version))
}

// receiveChanges follows a watch to its end, which is an error.
func (w *Watcher) receiveChanges(ctx context.Context, c *listCall, url string) error {
	body, err := w.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	messages := bufio.NewScanner(body)
	messages.Buffer(make([]byte, 0, initialMessageBuffer), maxMessageBytes)
	messages.Split((&messageSplitter{}).split)
	for messages.Scan() {
		if err := w.handle(ctx, c, messages.Bytes()); err != nil {
			return err
		}
	}
	return cmp.Or(messages.Err(), errEnded)
}

// receiveList polls for the whole list.
func (w *Watcher) receiveList(ctx context.Context, c *listCall, url string) error {
	body, err := w.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return errTruncated
	}
	return w.handle(ctx, c, text)
}

// get sends a request to discovery; the caller closes the body.
func (w *Watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", response.Status)
	}
	return response.Body, nil
}

// handle applies a message of a call, unless the call was closed meanwhile; an empty one is a heartbeat. After a malformed message the
// last good list stays, and the next call continues from its version.
func (w *Watcher) handle(ctx context.Context, c *listCall, message []byte) error {
	var list *endpoints.List
	if len(message) > 0 {
		var err error
		if list, err = endpoints.ParseList(message); err != nil {
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
	isReconnect := w.machine.CurrentAt() == 0 || !w.connected
	superseded := c.server != w.server && !w.server.isNew
	withdrawn := false
	switch {
	case list == nil:
		if isReconnect || w.refreshWanted.Load() {
			w.sink.Current()
		}
	case superseded:
		withdrawn = w.applyWithdrawals(list)
	default:
		if err := w.apply(c, list); err != nil {
			return err
		}
	}
	w.refreshWanted.Store(false)
	w.logFirstAnswer(c, list != nil)
	w.carryOut(w.machine.CallActive(w.now(), c.id))
	if withdrawn {
		w.carryOut(w.machine.Recheck(w.now()))
	}
	return nil
}

// logFirstAnswer logs the first message of a call; the caller holds mu.
func (w *Watcher) logFirstAnswer(c *listCall, hasList bool) {
	if c.answered {
		return
	}
	c.answered = true
	w.log.Info("list call answered", "call", c.id, "request", c.request.String(), "address", c.server.address, "version", c.version,
		"news", hasList, "took", time.Since(c.openedAt).Round(time.Millisecond), "age", w.age())
}

// apply hands a list or a change to the sink, unless it is older than what is known; the caller holds mu.
func (w *Watcher) apply(c *listCall, l *endpoints.List) error {
	version, server := *l.Index, c.server
	startedAnew := l.Snapshot && c.version == server.version // a lower version on the call that brought the latest one
	switch {
	case server.isNew, version >= server.version, startedAnew:
		server.version, server.isNew = version, false
		w.sink.Update(l)
	case c.version == server.version:
		return fmt.Errorf("malformed list: changes of version %d, and %d is known", version, c.version)
	default: // written before what another call has brought since: it must not bring back an upstream that drains
		w.log.Info("older list passed over", "call", c.id, "request", c.request.String(), "version", version, "known", server.version)
	}
	c.version = version
	return nil
}

// applyWithdrawals applies from a superseded call's list or change only the endpoints that drain or are removed, since the present
// address's list may have been written ahead of it. It reports whether anything may have been withdrawn, so that the present address is
// to be polled again. The caller holds mu.
func (w *Watcher) applyWithdrawals(l *endpoints.List) bool {
	var withdrawn []endpoints.Endpoint
	for _, e := range l.Endpoints {
		if e.Status != endpoints.StatusReady {
			withdrawn = append(withdrawn, e)
		}
	}
	if len(withdrawn) > 0 {
		version := w.server.version
		w.sink.Update(&endpoints.List{Index: &version, Endpoints: withdrawn})
	}
	return len(withdrawn) > 0 || l.Snapshot // what a snapshot leaves out is removed there
}
