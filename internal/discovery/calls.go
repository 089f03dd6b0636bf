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

// errEnded is the error of a watch that the discovery service ended by closing the response body.
var errEnded = errors.New("discovery ended it")

// initialMessageBuffer is the initial buffer size of a watch in bytes. The buffer grows up to maxMessageBytes.
const initialMessageBuffer = 4 << 10

// listServer is an address that serves the list. Versions from different addresses cannot be compared.
type listServer struct {
	address string
	version int64 // version of the list that was last received from the address
	isNew   bool  // no list has been received from the address yet
}

// listCall is a call to the discovery service that has not ended. Only the call's goroutine uses its fields, except cancel.
type listCall struct {
	id       staleness.CallID
	request  staleness.Request
	server   *listServer
	cancel   context.CancelCauseFunc
	openedAt time.Time
	version  int64 // version of the list after the last message of the call
	answered bool  // the call has received a message
}

// open starts a call in a goroutine; the caller holds mu.
func (w *Watcher) open(a staleness.Action) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	c := &listCall{id: a.Call, request: a.Request, server: w.server, cancel: cancel, openedAt: time.Now(), version: w.server.version}
	w.calls[c.id] = c
	w.opened++
	w.log.Debug("list call made", "call", c.id, "request", c.request.String(), "address", c.server.address, "version", c.version, "age", w.age())
	w.running.Go(func() { w.run(ctx, c) })
}

// run executes one call and reports to the state machine if the call ended by itself.
func (w *Watcher) run(ctx context.Context, c *listCall) {
	err := w.receive(ctx, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c.id)
	cause := context.Cause(ctx)
	c.cancel(nil)
	if w.sink == nil || w.ctx.Err() != nil { // Run is returning
		return
	}
	if cause != nil {
		err = cause
	}
	if err == nil { // the call was a poll and received its answer
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

// logFailure logs that a call ended by itself. It is called after CallEnded, so that the logged failure count includes the call. The caller
// holds mu.
func (w *Watcher) logFailure(c *listCall, reason error, lasted time.Duration) {
	now := w.now()
	failures := w.machine.Failures()
	w.log.Log(context.Background(), failureLevel(failures), "watch ended", "reason", reason, "call", c.id, "request", c.request.String(),
		"answered", c.answered, "lasted", lasted, "age", w.age(), "overdue", now >= w.machine.Deadline(), "failures", failures,
		"next", max(0, w.machine.Next()-now).Round(time.Millisecond))
}

// The first warnedFailures of consecutive failures are logged as warnings. After them, every warningInterval-th failure is logged as a
// warning and the others at debug level.
const (
	warnedFailures  = 8
	warningInterval = 16
)

func failureLevel(failures int) slog.Level {
	if failures <= warnedFailures || failures%warningInterval == 0 {
		return slog.LevelWarn
	}
	return slog.LevelDebug
}

// receive sends the request of a call and handles the messages until the call ends. It returns nil if the call is a poll that was answered.
func (w *Watcher) receive(ctx context.Context, c *listCall) error {
	url := fmt.Sprintf("http://%s/api/targets", c.server.address)
	if c.request == staleness.FetchList {
		return w.receiveList(ctx, c, url)
	}
	return w.receiveChanges(ctx, c, fmt.Sprintf("%s?watch=1&from=%d", url, c.version))
}

// receiveChanges handles the messages of a watch until it ends. It never returns nil, since the end of a watch is an error.
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

// receiveList polls for the complete list.
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

// get sends a request to the discovery service. The caller closes the returned body.
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

// handle applies a message of a call, unless the call was closed in the meantime. An empty message is a heartbeat. For a malformed message
// it returns an error, which ends the call. The last valid list then stays in use, and the next call continues from that list's version.
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
		if isReconnect || w.refreshRequested.Load() {
			w.sink.Current()
		}
	case superseded:
		withdrawn = w.applyWithdrawals(list)
	default:
		if err := w.apply(c, list); err != nil {
			return err
		}
	}
	w.refreshRequested.Store(false)
	w.logFirstAnswer(c, list != nil)
	w.carryOut(w.machine.CallActive(w.now(), c.id))
	if withdrawn {
		w.carryOut(w.machine.Recheck(w.now()))
	}
	return nil
}

// logFirstAnswer logs the first message of a call and ignores later messages. The caller holds mu.
func (w *Watcher) logFirstAnswer(c *listCall, hasList bool) {
	if c.answered {
		return
	}
	c.answered = true
	w.log.Info("list call answered", "call", c.id, "request", c.request.String(), "address", c.server.address, "version", c.version,
		"news", hasList, "took", time.Since(c.openedAt).Round(time.Millisecond), "age", w.age())
}

// apply passes a snapshot or an incremental change to the sink, unless it is older than the known list. The caller holds mu.
func (w *Watcher) apply(c *listCall, l *endpoints.List) error {
	version, server := *l.Index, c.server
	versionsRestarted := l.Snapshot && c.version == server.version // versions may restart on the call that delivered the latest list
	switch {
	case server.isNew, version >= server.version, versionsRestarted:
		server.version, server.isNew = version, false
		w.sink.Update(l)
	case c.version == server.version:
		return fmt.Errorf("malformed list: changes have version %d, which is older than the known version %d", version, c.version)
	default: // the list is older than one that another call delivered, and could make a draining upstream ready again
		w.log.Info("older list passed over", "call", c.id, "request", c.request.String(), "version", version, "known", server.version)
	}
	c.version = version
	return nil
}

// applyWithdrawals applies a list of a superseded call, which is a call to an earlier address. It applies only the draining and removed
// endpoints, since the list of the present address may be newer. It reports whether endpoints may have been withdrawn, in which case the
// present address must be polled again. The caller holds mu.
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
	return len(withdrawn) > 0 || l.Snapshot // endpoints that a snapshot lacks were removed at the superseded address
}
