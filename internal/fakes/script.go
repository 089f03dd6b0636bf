package fakes

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ScriptedDiscovery serves whatever lines a script sends: the fake of a discovery service that breaks the protocol or
// says a thing at a stated moment. A Discovery is the one that keeps a list.
type ScriptedDiscovery struct {
	Address string

	srv   *http.Server
	stop  context.CancelFunc
	ended chan struct{}

	mu    sync.Mutex
	froms []string
}

// NewScriptedDiscovery starts one on loopback. Each call runs script with its number, from 1.
func NewScriptedDiscovery(script func(n int, send func(string), done <-chan struct{})) (*ScriptedDiscovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &ScriptedDiscovery{Address: l.Addr().String(), ended: make(chan struct{})}
	stop, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	d.srv = &http.Server{ReadHeaderTimeout: 20 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.froms = append(d.froms, r.URL.Query().Get("from"))
		n := len(d.froms)
		d.mu.Unlock()
		ctx, end := context.WithCancel(r.Context())
		defer end()
		defer context.AfterFunc(stop, end)()
		script(n, func(line string) {
			_, _ = io.WriteString(w, line+"\n") // a watcher that left
			_ = http.NewResponseController(w).Flush()
		}, ctx.Done())
	})}
	go func() {
		_ = d.srv.Serve(l) // ends with Close
		close(d.ended)
	}()
	return d, nil
}

// Calls is the version that each call asked from; empty: the full list.
func (d *ScriptedDiscovery) Calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.froms...)
}

// Close ends the calls.
func (d *ScriptedDiscovery) Close() {
	d.stop()
	d.srv.Close()
	<-d.ended
}
