package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/units"
	"orchiddrift/internal/upstream/prewarm"
)

// connectionCounter starts upstreams and counts the connections made to each.
type connectionCounter struct {
	mu          sync.Mutex
	connections map[string]int
}

func (c *connectionCounter) start(t *testing.T, name string) string {
	t.Helper()
	return base.Serve(t, nil, &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(name)) }),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.connections[name]++
			}
		}})
}

func (c *connectionCounter) connectedOnce(names ...string) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, name := range names {
			if c.connections[name] != 1 {
				return false
			}
		}
		return true
	}
}

// Guards against a first request that has to wait for a connection: each upstream, including one that is added later, has to get a
// connection before any request. An unreachable upstream must not delay the others. Connections opened ahead of use have to stay within
// their fraction of the limit, so that requests are not short of connections.
func TestKeepWarm(t *testing.T) {
	counter := &connectionCounter{connections: map[string]int{}}
	var entries, names []string
	for i := range 6 {
		name := fmt.Sprint("n", i)
		names = append(names, name)
		entries = append(entries, testutil.Entry(name, counter.start(t, name), "Ready"))
	}
	refused := base.FreeAddress(t)
	o := prewarm.Default()
	o.Rate, o.Spread = 1000, units.Duration(50*time.Millisecond)
	const maxConnections = 28 // a quarter of them, 7, may be opened ahead of use
	pool := New(Options{ConnectTimeout: 2 * time.Second, IdleTimeout: 15 * time.Second, MaxConnections: maxConnections, MaxAnswerBytes: maxAnswer,
		Prewarmer: prewarm.New(o, maxConnections, rand.New(rand.NewPCG(1, 1)))})
	monotonic := clock.New()
	pool.SetRegistry(endpoints.New(monotonic, pool.CloseUpstream))
	pool.registry.Apply(testutil.EndpointList(t, 1, true, append(entries, testutil.Entry("gone", refused, "Ready"))...))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		pool.Prewarm(ctx, monotonic)
	}()
	defer func() {
		stop()
		<-done
		pool.Close()
	}()
	testutil.Eventually(t, "each upstream has one connection", counter.connectedOnce(names...))
	testutil.Eventually(t, "all connections are idle", func() bool { return pool.IdleCount() == len(names) })
	for _, name := range names {
		response := pool.Attempt(ctx, name, NewRequest(http.MethodGet, "/", "x", nil, nil), time.Now().Add(testutil.Timeout))
		if response.Result != balancer.OK || string(response.Body) != name {
			t.Errorf("request to %s: result %v, body %q, want OK with the upstream's name as the body", name, response.Result, response.Body)
		}
	}
	if !counter.connectedOnce(names...)() {
		t.Errorf("connections made by upstream: %v, want one each", counter.connections)
	}
	pool.registry.Apply(testutil.EndpointList(t, 2, false, testutil.Entry("late", counter.start(t, "late"), "Ready"), testutil.Entry("later", counter.start(t, "later"), "Ready")))
	testutil.Eventually(t, "a seventh connection is open", func() bool { return pool.IdleCount() == 7 })
	testutil.Eventually(t, "seven connections are open in all, one of them to a late upstream", func() bool {
		open, total, _ := pool.prewarming.snapshot()
		return total == 7 && open["late"]+open["later"] == 1
	})
	pool.registry.Apply(testutil.EndpointList(t, 3, false, testutil.Entry("n0", "127.0.0.1:1", "Terminating")))
	testutil.Eventually(t, "both late upstreams have a connection after another upstream has left", func() bool { return counter.connectedOnce("late", "later")() })
}

// Guards against the eviction of a used connection while a connection that was opened ahead and never used is open.
func TestUnusedGoFirst(t *testing.T) {
	counter := &connectionCounter{connections: map[string]int{}}
	pool := testPool(t, 2, testutil.Entry("a", counter.start(t, "a"), "Ready"), testutil.Entry("b", counter.start(t, "b"), "Ready"), testutil.Entry("c", counter.start(t, "c"), "Ready"))
	request := func(name string) {
		t.Helper()
		if response := pool.Attempt(t.Context(), name, NewRequest(http.MethodGet, "/", "x", nil, nil), time.Time{}); response.Result != balancer.OK {
			t.Fatalf("request to %s: result %v, want OK", name, response.Result)
		}
	}
	request("a")
	instance, _ := pool.registry.Instance("b")
	if !pool.openAhead(t.Context(), "b", instance) {
		t.Fatal("the connection to b was not opened ahead of use")
	}
	if instance, _ := pool.registry.Instance("c"); pool.openAhead(t.Context(), "c", instance) {
		t.Error("a connection was opened ahead of use beyond the limit")
	}
	request("c") // evicts the connection to b
	request("a")
	if !counter.connectedOnce("a", "b", "c")() {
		t.Errorf("connections made by upstream: %v, want one each", counter.connections)
	}
}
