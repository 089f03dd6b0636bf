package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil"
)

// pipeNetwork connects clients and servers with net.Pipe instead of sockets, so that a test can run in virtual time.
type pipeNetwork struct {
	conns chan net.Conn
	close func()
}

func (p pipeNetwork) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipeNetwork) Close() error {
	p.close()
	return nil
}

func (p pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.conns <- server
	return client, nil
}

// lockedLog collects log lines.
type lockedLog struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (l *lockedLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines.WriteString(line + "\n")
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// callScript handles the n-th call to a scripted discovery service, counted from 1. The parameter after is the time from the start until
// the call. The call ends when the script returns.
type callScript func(n int, after time.Duration, r *http.Request, send func(string))

// virtualWatcher is a Watcher that runs in virtual time and starts with endpoint a as ready.
type virtualWatcher struct {
	*Watcher
	registry  *endpoints.Registry
	startedAt time.Time
	log       lockedLog
}

// runVirtual runs a Watcher against a scripted discovery service in virtual time until check returns.
func runVirtual(t *testing.T, o staleness.Options, script callScript, check func(t *testing.T, w *virtualWatcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		conns := make(chan net.Conn, 16)
		network := pipeNetwork{conns, sync.OnceFunc(func() { close(conns) })}
		shutdown := serveScript(network, script)
		w := &virtualWatcher{registry: endpoints.New(clock.New(), nil), startedAt: time.Now()}
		w.Watcher = NewWatcher(WatcherOptions{Address: "127.0.0.1:1", Index: 1, Staleness: o, Log: logging.NewFunc(w.log.add)})
		w.client.Transport.(*http.Transport).DialContext = network.dial
		sink := NewRegistrySink(w.registry, func(balancer.EndpointUpdate) {})
		sink.Apply(testutil.EndpointList(t, 1, true, testutil.Entry("a", "127.0.0.2:1", "Ready")))
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { w.Run(ctx, sink) })
		check(t, w)
		cancel()
		running.Wait()
		shutdown()
	})
}

// serveScript serves a scripted discovery service. The returned function closes the server and waits for its calls.
func serveScript(network pipeNetwork, script callScript) (shutdown func()) {
	var (
		mu     sync.Mutex
		calls  int
		served sync.WaitGroup
	)
	start := time.Now()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1) // the counter is above 0 here, since the goroutine of Serve has not ended
		defer served.Done()
		mu.Lock()
		calls++
		call := calls
		mu.Unlock()
		script(call, time.Since(start), r, func(text string) {
			_, _ = fmt.Fprint(w, text)
			_ = http.NewResponseController(w).Flush()
		})
	})}
	served.Go(func() { _ = server.Serve(network) })
	return func() {
		server.Close()
		served.Wait()
	}
}

// isReady reports whether an endpoint accepts requests.
func isReady(registry *endpoints.Registry, name string) bool {
	_, ok := registry.Instance(name)
	return ok
}

// isReady reports whether an endpoint accepts requests.
func (w *virtualWatcher) isReady(name string) bool { return isReady(w.registry, name) }

// waitForDrain waits until endpoint a is not ready any more, and returns the time since the start.
func (w *virtualWatcher) waitForDrain(t *testing.T) time.Duration {
	t.Helper()
	for w.isReady("a") {
		if time.Since(w.startedAt) > time.Minute {
			t.Fatal("the Watcher did not notice the drain of endpoint a within one minute")
		}
		time.Sleep(time.Millisecond) // of virtual time
	}
	return time.Since(w.startedAt)
}

// openCalls returns how many calls have not ended.
func (w *Watcher) openCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}
