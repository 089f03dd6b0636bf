package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// nodes has the addresses of upstreams by the upstreams' names. Each upstream answers requests with its name.
type nodes map[string]string

// startNodes starts an upstream for each name. If onRequest is not nil, the upstreams call it for each request.
func startNodes(t testing.TB, onRequest func(name string), names ...string) nodes {
	n := nodes{}
	for _, name := range names {
		n[name] = base.HTTP(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			if onRequest != nil {
				onRequest(name)
			}
			_, _ = w.Write([]byte(name))
		})
	}
	return n
}

// instance returns the registration that a node has in a registry.
func (n nodes) instance(t testing.TB, id, name, status string) fakes.EurekaInstance {
	t.Helper()
	host, port, err := net.SplitHostPort(n[name])
	if err != nil {
		t.Fatal(err)
	}
	number, _ := strconv.Atoi(port)
	return fakes.EurekaInstance{App: "SEATS", ID: id, Host: host, IP: host, Port: number, Status: status}
}

// eurekaFile returns an operator's file with one service. The parameter own lists the service's own endpoints in the form
// "name@address status", and registries has its registries by name.
func eurekaFile(own []string, registries map[string]*fakes.Eureka, settings string) string {
	var b strings.Builder
	b.WriteString("[log]\nlevel = \"error\"\n" + settings + "[[service]]\nname = \"seats\"\n")
	for _, entry := range own {
		name, rest, _ := strings.Cut(entry, "@")
		address, status, _ := strings.Cut(rest, " ")
		fmt.Fprintf(&b, "[[service.endpoint]]\nname = %q\naddress = %q\nstatus = %q\n", name, address, status)
	}
	for name, e := range registries {
		fmt.Fprintf(&b, "[[eureka]]\nservice = \"seats\"\nname = %q\nservers = [%q]\napplications = [\"SEATS\"]\npoll = \"100ms\"\n", name, e.Base)
	}
	return b.String()
}

// requireServedBy waits until the service's instances are exactly the named nodes, and checks that one of these nodes answers each
// request.
func (r *fileRig) requireServedBy(t *testing.T, n nodes, names ...string) {
	t.Helper()
	testutil.Eventually(t, "the service's instances are "+strings.Join(names, " "), func() bool {
		instances := r.d.routing.Load().services["seats"].registry.Instances()
		active := map[string]bool{}
		for _, at := range instances {
			active[at.Address] = true
		}
		for _, name := range names {
			if !active[n[name]] {
				return false
			}
		}
		return len(instances) == len(names)
	})
	for range 20 {
		if status, body := r.request("GET", "/", ""); status != 200 || !slices.Contains(names, body) {
			t.Errorf("GET request: got %d %s, want 200 from one of the nodes %v", status, body, names)
		}
	}
}

// Guards against a node that receives requests although one of two sources reports the node as unavailable, against nodes that are
// removed because a registry fails, and against reloads that do not change a service's sources.
func TestTwoStories(t *testing.T) {
	n := startNodes(t, nil, "a", "b", "c")
	e, other := base.Eureka(t, fakes.EurekaOptions{}), base.Eureka(t, fakes.EurekaOptions{})
	for _, registry := range []*fakes.Eureka{e, other} {
		registry.Put(n.instance(t, "host:a", "a", "UP"))
		registry.Put(n.instance(t, "host:c", "c", "UP"))
	}
	registries := map[string]*fakes.Eureka{"eureka": e}
	entry := func(name, status string) string { return name + "@" + n[name] + " " + status }
	r := startFile(t, eurekaFile([]string{entry("a", "Ready"), entry("b", "Ready")}, registries, ""))
	r.requireServedBy(t, n, "a", "b", "c")

	// Node a drains in the file's list and is up in the registry. Then node a is ready in the file's list and out of service in the registry.
	if err := r.reload(t, eurekaFile([]string{entry("a", "Terminating"), entry("b", "Ready")}, registries, "")); err != nil {
		t.Fatal(err)
	}
	r.requireServedBy(t, n, "b", "c")
	if err := r.reload(t, eurekaFile([]string{entry("a", "Ready"), entry("b", "Ready")}, registries, "")); err != nil {
		t.Fatal(err)
	}
	r.requireServedBy(t, n, "a", "b", "c")
	e.Override("SEATS", "host:a", "OUT_OF_SERVICE")
	r.requireServedBy(t, n, "b", "c")
	e.Override("SEATS", "host:a", "")
	r.requireServedBy(t, n, "a", "b", "c")

	// Two replicas, configured as two registries, disagree: the less available status applies.
	registries["other"] = other
	other.SetStatus("SEATS", "host:c", "DOWN")
	if err := r.reload(t, eurekaFile([]string{entry("a", "Ready"), entry("b", "Ready")}, registries, "")); err != nil {
		t.Fatal(err)
	}
	r.requireServedBy(t, n, "a", "b")
	delete(registries, "other")
	if err := r.reload(t, eurekaFile([]string{entry("a", "Ready"), entry("b", "Ready")}, registries, "")); err != nil {
		t.Fatal(err)
	}
	r.requireServedBy(t, n, "a", "b", "c")

	// The registry restarts empty, and is then unreachable: the service keeps its nodes.
	e.Restart()
	calls := e.Calls("GET /apps/SEATS")
	testutil.Eventually(t, "the restarted registry is polled", func() bool { return e.Calls("GET /apps/SEATS") > calls+2 })
	r.requireServedBy(t, n, "a", "b", "c")
	e.Fault(func(string) fakes.EurekaFault { return fakes.EurekaDown })
	calls = e.Calls("GET /apps/SEATS")
	testutil.Eventually(t, "the unreachable registry is polled", func() bool { return e.Calls("GET /apps/SEATS") > calls+2 })
	r.requireServedBy(t, n, "a", "b", "c")
	e.Fault(nil)

	// A second registration at the same address under another ID is the same node, so that its status OUT_OF_SERVICE applies to the node.
	e.Put(n.instance(t, "host:a", "a", "UP"))
	e.Put(n.instance(t, "host:c", "c", "UP"))
	e.Put(n.instance(t, "host:c:2", "c", "OUT_OF_SERVICE"))
	r.requireServedBy(t, n, "a", "b")

	// The file's own list is removed, so that the registry is the only source. Then another registry replaces it.
	e.Cancel("SEATS", "host:c:2")
	r.requireServedBy(t, n, "a", "b", "c")
	if err := r.reload(t, eurekaFile(nil, registries, "")); err != nil {
		t.Fatal(err)
	}
	r.requireServedBy(t, n, "a", "c")
	registries["eureka"] = other
	other.SetStatus("SEATS", "host:c", "UP")
	other.SetStatus("SEATS", "host:a", "STARTING")
	if err := r.reload(t, eurekaFile(nil, registries, "")); err != nil {
		t.Fatal(err)
	}
	r.requireServedBy(t, n, "c")
}

// Guards against a platform's list that is ignored if a registry is configured too. Nodes that drain in the platform's list are
// removed, the list is requested again when its watch ends, and the nodes that only the registry has are used too.
func TestRegistryBesideThePlatform(t *testing.T) {
	n := startNodes(t, nil, "a", "b", "c")
	e := base.Eureka(t, fakes.EurekaOptions{})
	e.Put(n.instance(t, "host:a", "a", "UP"))
	e.Put(n.instance(t, "host:c", "c", "UP"))
	drain := make(chan struct{})
	var drainSent, watchRepeated atomic.Bool
	d := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		if drainSent.Load() { // the first watch has ended
			watchRepeated.Store(true)
			<-done
			return
		}
		for { // on a slow machine the watch may time out; the sidecar then starts another watch, which also runs this loop
			select {
			case <-drain:
				send(testutil.List(2, false, testutil.Entry("a", n["a"], "Terminating")))
				drainSent.Store(true)
				return
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
				send("")
			}
		}
	})
	c := testutil.Config(t, d.Address, testutil.Entry("a", n["a"], "Ready"), testutil.Entry("b", n["b"], "Ready"))
	p, err := config.ParseBeside(c, fmt.Appendf(nil, "[[eureka]]\nservice = \"platform\"\nservers = [%q]\napplications = [\"SEATS\"]\npoll = \"100ms\"\n", e.Base))
	if err != nil {
		t.Fatal(err)
	}
	sidecar, _ := startPlan(t, p)
	s := sidecar.routing.Load().services[config.Platform]
	servedBy := func(want ...string) func() bool {
		return func() bool {
			got := []string{}
			for name, address := range n {
				for _, at := range s.registry.Instances() {
					if at.Address == address {
						got = append(got, name)
					}
				}
			}
			slices.Sort(got)
			return slices.Equal(got, want)
		}
	}
	testutil.Eventually(t, "a, b and c are active", servedBy("a", "b", "c"))
	close(drain)
	testutil.Eventually(t, "a drains and is removed", servedBy("b", "c"))
	testutil.Eventually(t, "the list is watched again after the watch has ended", watchRepeated.Load)
	if !servedBy("b", "c")() {
		t.Errorf("the end of the watch changed the instances: %v", s.registry.Instances())
	}
}

// Guards against requests that fail when sources are added, removed or replaced under load.
func TestSourcesChangeUnderLoad(t *testing.T) {
	n := startNodes(t, nil, "a", "b")
	e, other := base.Eureka(t, fakes.EurekaOptions{}), base.Eureka(t, fakes.EurekaOptions{})
	for _, registry := range []*fakes.Eureka{e, other} {
		registry.Put(n.instance(t, "host:a", "a", "UP"))
	}
	own := []string{"a@" + n["a"] + " Ready", "b@" + n["b"] + " Ready"}
	r := startFile(t, eurekaFile(own, nil, ""))
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var requests atomic.Int64
	for range 4 {
		clients.Go(func() {
			for ctx.Err() == nil {
				if status, body := r.request("GET", "/", ""); status != 200 {
					t.Errorf("request while sources change: got %d %s, want 200", status, body)
				}
				requests.Add(1)
			}
		})
	}
	for i := range 60 {
		registries := []map[string]*fakes.Eureka{nil, {"eureka": e}, {"eureka": other}, {"eureka": e, "other": other}}[i%4]
		before := requests.Load()
		if err := r.reload(t, eurekaFile(own[:1+i/4%2], registries, "")); err != nil {
			t.Fatal(err)
		}
		testutil.Eventually(t, "12 requests have been answered since the reload", func() bool { return requests.Load() >= before+12 })
	}
	stop()
	clients.Wait()
}

// Guards against requests that reach a node later than 250 ms after the sidecar was notified that the node is out of service,
// with many random changes of status under load. The nodes count requests; the registry knows when it notified the sidecar.
func TestNothingNewAfterAFlip(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	var f *fakes.Flipper
	n := startNodes(t, func(name string) { f.RecordArrival(name) }, names...)
	e := base.Eureka(t, fakes.EurekaOptions{})
	for _, name := range names {
		e.Put(n.instance(t, name, name, "UP"))
	}
	f = fakes.NewFlipper(e, "SEATS", endpoints.DrainGrace, names...)
	r := startFile(t, eurekaFile(nil, map[string]*fakes.Eureka{"eureka": e}, "[membership]\nflaps = 0\n"))
	r.requireServedBy(t, n, names...)
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var served, rejected atomic.Int64 // a request is rejected if changes of status have stopped all of its attempts
	for range 6 {
		clients.Go(func() {
			for ctx.Err() == nil {
				switch status, body := r.request("GET", "/", ""); status {
				case 200:
					served.Add(1)
				case 503:
					rejected.Add(1)
				default:
					t.Errorf("request while nodes change status: got %d %s, want 200 or 503", status, body)
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for range 1000 {
		<-tick.C
		f.Flip(rng)
	}
	stop()
	clients.Wait()
	flips, lastArrivals, lateArrivals := f.Result()
	if len(lateArrivals) > 0 || 1000*rejected.Load() > served.Load() || served.Load() < 1000 || len(lastArrivals) < 50 {
		t.Errorf("%d status changes: %d requests served (want at least 1000), %d rejected (want at most 1 in 1000 served), %d arrived too late (want 0): %v; %d status changes were followed by a request (want at least 50)",
			flips, served.Load(), rejected.Load(), len(lateArrivals), lateArrivals, len(lastArrivals))
	}
}

// refreshCounter is a source that counts the calls of its method Refresh.
type refreshCounter struct{ refreshes atomic.Int64 }

func (a *refreshCounter) Refresh()                                  { a.refreshes.Add(1) }
func (a *refreshCounter) Run(ctx context.Context, _ endpoints.Sink) { <-ctx.Done() }

// Guards against the loss of an engine's request for the list that is made before the service has a source.
func TestListIsAskedForEarly(t *testing.T) {
	s, source := &service{}, &refreshCounter{}
	s.requestRefresh()
	testutil.Eventually(t, "the request for the list is recorded", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.refreshWanted })
	s.follow(source)
	defer s.follow(nil)
	testutil.Eventually(t, "the source has received the early request", func() bool { return source.refreshes.Load() == 1 })
	s.requestRefresh()
	testutil.Eventually(t, "the source has received a second request", func() bool { return source.refreshes.Load() == 2 })
}
