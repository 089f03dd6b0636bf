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

// doors are upstreams that count the connections made to them.
type doors struct {
	mu   sync.Mutex
	made map[string]int
}

func (d *doors) start(t *testing.T, name string) string {
	t.Helper()
	return base.Serve(t, nil, &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(name)) }),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.made[name]++
			}
		}})
}

func (d *doors) of(names ...string) func() bool {
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, name := range names {
			if d.made[name] != 1 {
				return false
			}
		}
		return true
	}
}

// Each upstream has one connection before any request, a first request makes none, one that comes later gets its own, one that
// can't be reached keeps nobody else waiting, and requests are never short of connections for those opened ahead.
func TestKeepWarm(t *testing.T) {
	d := &doors{made: map[string]int{}}
	var entries, names []string
	for i := range 6 {
		name := fmt.Sprint("n", i)
		names = append(names, name)
		entries = append(entries, testutil.Entry(name, d.start(t, name), "Ready"))
	}
	refused := base.FreeAddress(t)
	o := prewarm.Default()
	o.Rate, o.Spread = 1000, units.Duration(50*time.Millisecond)
	const most = 28 // a quarter of them may be opened ahead: 7
	u := New(Options{ConnectTimeout: 2 * time.Second, IdleTimeout: 15 * time.Second, MaxConnections: most, MaxAnswerBytes: maxAnswer,
		Prewarmer: prewarm.New(o, most, rand.New(rand.NewPCG(1, 1)))})
	c := clock.New()
	u.SetRegistry(endpoints.New(c, u.CloseUpstream))
	u.registry.Apply(testutil.EndpointList(t, 1, true, append(entries, testutil.Entry("gone", refused, "Ready"))...))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.Prewarm(ctx, c)
	}()
	defer func() {
		stop()
		<-done
		u.Close()
	}()
	testutil.Eventually(t, "one connection each", d.of(names...))
	testutil.Eventually(t, "they are idle", func() bool { return u.IdleCount() == len(names) })
	for _, name := range names {
		rep := u.Attempt(ctx, name, NewRequest(http.MethodGet, "/", "x", nil, nil), time.Now().Add(testutil.Timeout))
		if rep.Result != balancer.OK || string(rep.Body) != name {
			t.Errorf("%s: %v %q", name, rep.Result, rep.Body)
		}
	}
	if !d.of(names...)() {
		t.Errorf("connections made: %v", d.made)
	}
	u.registry.Apply(testutil.EndpointList(t, 2, false, testutil.Entry("late", d.start(t, "late"), "Ready"), testutil.Entry("later", d.start(t, "later"), "Ready")))
	testutil.Eventually(t, "the seventh", func() bool { return u.IdleCount() == 7 })
	testutil.Eventually(t, "no eighth", func() bool {
		open, total, _ := u.prewarming.snapshot()
		return total == 7 && open["late"]+open["later"] == 1
	})
	u.registry.Apply(testutil.EndpointList(t, 3, false, testutil.Entry("n0", "127.0.0.1:1", "Terminating")))
	testutil.Eventually(t, "room for it", func() bool { return d.of("late", "later")() })
}

// At the limit a connection that was opened ahead and never used goes before one that was used, however long ago.
func TestUnusedGoFirst(t *testing.T) {
	d := &doors{made: map[string]int{}}
	u := testPool(t, 2, testutil.Entry("a", d.start(t, "a"), "Ready"), testutil.Entry("b", d.start(t, "b"), "Ready"), testutil.Entry("c", d.start(t, "c"), "Ready"))
	ask := func(name string) {
		t.Helper()
		if rep := u.Attempt(t.Context(), name, NewRequest(http.MethodGet, "/", "x", nil, nil), time.Time{}); rep.Result != balancer.OK {
			t.Fatalf("%s: %v", name, rep.Result)
		}
	}
	ask("a")
	at, _ := u.registry.Instance("b")
	if !u.openAhead(t.Context(), "b", at) {
		t.Fatal("b can't be had")
	}
	if at, _ := u.registry.Instance("c"); u.openAhead(t.Context(), "c", at) {
		t.Error("opened ahead beyond the limit")
	}
	ask("c") // in place of b's
	ask("a")
	if !d.of("a", "b", "c")() {
		t.Errorf("connections made: %v", d.made)
	}
}
