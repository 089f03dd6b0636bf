package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"granitehinge/balancer"
)

const (
	watchSilence   = 3500 * time.Millisecond // an empty line comes every 2 s: after this the watch is dead
	answerPatience = 5 * time.Second         // for the first line: discovery works through calls in turn
	maxLine        = 4 << 20
	rewatchFirst   = 250 * time.Millisecond // where lists are pushed: the wait before the agent is watched again
	rewatchMost    = 4 * time.Second
)

// watcher follows discovery: one watch at a time, each on a connection of its own so that no library sends
// a call again by itself.
type watcher struct {
	address string
	dir     *directory
	client  *http.Client
	index   int64
	silence time.Duration // after this without a line a watch is dead
	report  func(balancer.Members)
	asked   chan struct{} // holds one: the module asked for a watch
}

func newWatcher(c *Config, dir *directory, report func(balancer.Members)) *watcher {
	w := &watcher{address: c.Discovery, dir: dir, silence: watchSilence, report: report,
		asked: make(chan struct{}, 1)}
	if c.Known != nil {
		w.index = *c.Known.Index
	}
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: c.Settings.ConnectTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}}
	return w
}

// ask starts a watch. It does not block: the module asks again only once it has been told of a failure.
func (w *watcher) ask() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// run watches until ctx ends. Where the module asks for the list, it also decides when to ask again; where
// lists are pushed, the agent's watch is opened again with a growing wait.
func (w *watcher) run(ctx context.Context, moduleAsks bool) {
	wait := rewatchFirst
	for ctx.Err() == nil {
		if moduleAsks {
			select {
			case <-w.asked:
			case <-ctx.Done():
				return
			}
		}
		told, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if moduleAsks {
			log.Printf("watch ended: %v", err)
			w.report(balancer.Members{Kind: balancer.Failed})
			continue
		}
		if told {
			wait = rewatchFirst
		}
		log.Printf("watch ended, next in %v: %v", wait, err)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		wait = min(2*wait, rewatchMost)
	}
}

// watch follows one watch to its end, and tells whether it brought anything.
func (w *watcher) watch(ctx context.Context) (told bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause // says more than that the connection was closed
		}
	}()
	// A dead network is silent, so whatever is waited for has a limit.
	silence := time.AfterFunc(answerPatience, func() { cancel(errors.New("discovery is silent")) })
	defer silence.Stop()
	url := fmt.Sprintf("http://%s/api/targets?watch=1&from=%d", w.address, w.index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for lines.Scan() {
		silence.Reset(w.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			if !told { // the watch stands, and there is no news since the version asked from
				w.report(balancer.Members{Kind: balancer.Change})
				told = true
			}
			continue
		}
		l, err := parseListing(line)
		if err != nil { // the last good list stays, and is asked for again from its version on
			return told, fmt.Errorf("malformed list: %w", err)
		}
		w.index = *l.Index
		w.report(w.dir.apply(l))
		told = true
	}
	if err := lines.Err(); err != nil {
		return told, err
	}
	return told, errors.New("discovery ended it")
}
