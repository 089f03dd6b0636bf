package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"orchiddrift/internal/engine"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/downstream"
)

// ownPathPrefix begins the paths of the sidecar's own pages.
const ownPathPrefix = "/-/"

// server receives the clients' requests. It is the daemon's http.Handler.
type server struct {
	*lifecycleDriver
	daemon *daemon
	ids    *requestIDs
}

// ServeHTTP answers one request, on net/http's goroutine of its connection.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !downstream.StartRequest(r.Context()) { // the request arrived while its connection was being closed; the client can retry it
		panic(http.ErrAbortHandler)
	}
	if rejection := downstream.HeadRejection(r.Context(), r.Header); rejection != nil {
		s.reject(w, rejection)
		return
	}
	if s.aborted.Load() {
		w.Header().Set("Connection", "close")
		s.writeAnswer(w, engine.Answer{Kind: engine.EngineClosed})
		return
	}
	if strings.HasPrefix(r.URL.Path, ownPathPrefix) {
		s.serveOwn(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c := &clientRequest{server: s, w: w, r: r.WithContext(ctx), cancel: cancel, startedAt: s.daemon.shared.clock.Now()}
	defer c.releaseSpool()
	c.serve()
	c.finishMetrics()
	if c.truncated || downstream.Closed(ctx) {
		panic(http.ErrAbortHandler) // net/http resets the connection; it would keep one that is closed for half a second
	}
}

// serveOwn serves the sidecar's own pages.
func (s *server) serveOwn(w http.ResponseWriter, r *http.Request) {
	s.daemon.shared.yieldAfter(ownAnswerWork)
	switch {
	case r.URL.Path != ownPathPrefix+"ready":
		s.writeText(w, http.StatusNotFound, "no such page")
	case !s.ready.Load() || !s.daemon.ready():
		s.writeText(w, http.StatusServiceUnavailable, "not ready")
	default:
		s.writeText(w, http.StatusOK, "ready")
	}
}

// finishMetrics counts the request, or each of its GraphQL operations, as failed if it has no outcome yet.
func (c *clientRequest) finishMetrics() {
	c.metric.Finish(metrics.Failed)
	for i := range c.entryMetrics {
		c.entryMetrics[i].Finish(metrics.Failed)
	}
}

// requestIDStream separates the random numbers of request IDs from those that other parts derive from the same seed.
const requestIDStream = 0x6f72636869646964

// requestIDs generates IDs for requests that have none. It is safe for concurrent use.
type requestIDs struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRequestIDs(seed uint64) *requestIDs {
	return &requestIDs{rng: rand.New(rand.NewPCG(seed, requestIDStream))}
}

func (i *requestIDs) next() string {
	i.mu.Lock()
	high, low := i.rng.Uint64(), i.rng.Uint64()
	i.mu.Unlock()
	return fmt.Sprintf("%016x%016x", high, low)
}
