package fakes

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ScriptedDiscovery serves the lines that a script sends. It fakes a discovery service that violates the protocol or
// sends a line at a chosen moment, whereas a Discovery keeps an endpoint list.
type ScriptedDiscovery struct {
	Address string

	srv   *http.Server
	stop  context.CancelFunc
	ended chan struct{}

	mu           sync.Mutex
	fromVersions []string // version that each call requested changes from
}

// NewScriptedDiscovery starts a service on loopback. Each call runs script with the call's number, from 1.
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
		d.fromVersions = append(d.fromVersions, r.URL.Query().Get("from"))
		n := len(d.fromVersions)
		d.mu.Unlock()
		ctx, end := context.WithCancel(r.Context())
		defer end()
		defer context.AfterFunc(stop, end)()
		script(n, func(line string) {
			_, _ = io.WriteString(w, line+"\n") // the client may have closed the connection
			_ = http.NewResponseController(w).Flush()
		}, ctx.Done())
	})}
	go func() {
		_ = d.srv.Serve(l) // ends with Close
		close(d.ended)
	}()
	return d, nil
}

// Calls returns, for each call, the version from which it requested changes. An empty version requests the full
// list.
func (d *ScriptedDiscovery) Calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.fromVersions...)
}

// Close ends all calls and stops the service.
func (d *ScriptedDiscovery) Close() {
	d.stop()
	d.srv.Close()
	<-d.ended
}
