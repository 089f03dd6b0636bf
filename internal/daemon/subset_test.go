package daemon

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"orchiddrift/internal/config"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// Guards against upstreams that are in no sidecar's subset, against requests to upstreams outside of a sidecar's subset, and
// against list changes that do not reach the subsets. The test runs four daemons and forty upstreams.
func TestSubsetsOfFourDaemons(t *testing.T) {
	const sidecars, nodes = 4, 40
	var mu sync.Mutex
	sendersOf := map[string]map[string]bool{} // by upstream: the sidecars that sent requests to the upstream
	addresses := make([]string, nodes)
	for i := range nodes {
		addresses[i] = base.HTTP(t, nil, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			at := fmt.Sprint("n", i)
			if sendersOf[at] == nil {
				sendersOf[at] = map[string]bool{}
			}
			sendersOf[at][r.Header.Get("X-Sidecar")] = true
			fmt.Fprint(w, at)
		})
	}
	list := func(status func(i int) string) []byte {
		var entries []string
		for i, a := range addresses {
			entries = append(entries, fmt.Sprintf(`{"name":"n%d","address":%q,"status":%q}`, i, a, status(i)))
		}
		return []byte(`{"endpoints":[` + strings.Join(entries, ",") + `]}`)
	}
	path := base.File(t, "list.json", list(func(int) string { return "Ready" }))
	rigs := make([]*fileRig, sidecars)
	for i := range rigs {
		rigs[i] = startFile(t, fmt.Sprintf("[daemon]\nname = \"s%d\"\n[log]\nlevel = \"error\"\n[[service]]\nname = \"seats\"\nlist_file = %q\n"+
			"[service.subset]\non = true\nsidecars = %d\nindex = %d\nleast = 8\nmost = 16\naway = 0.0\n", i, path, sidecars, i))
	}
	subsetOf := func(r *fileRig) []string {
		return slices.Sorted(maps.Keys(r.d.routing.Load().services["seats"].registry.Instances()))
	}
	knownBy := map[string]int{}
	for i, r := range rigs {
		subset := subsetOf(r)
		if len(subset) < 8 || len(subset) > 16 {
			t.Errorf("sidecar %d has a subset of %d upstreams, want from 8 to 16", i, len(subset))
		}
		for _, name := range subset {
			knownBy[name]++
		}
		for range 100 {
			req, _ := http.NewRequest(http.MethodGet, "http://"+r.address+"/", nil)
			req.Header.Set("X-Sidecar", fmt.Sprint(i))
			resp, err := r.client.Do(req)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatal(resp, err)
			}
			resp.Body.Close()
		}
	}
	mu.Lock()
	for name, senders := range sendersOf {
		for s := range senders {
			if !slices.Contains(subsetOf(rigs[s[0]-'0']), name) {
				t.Errorf("sidecar %s sent a request to %s, which is not in its subset", s, name)
			}
		}
	}
	mu.Unlock()
	if len(knownBy) != nodes || slices.Max(slices.Collect(maps.Values(knownBy))) > 1 {
		t.Errorf("%d upstreams are in a subset, want all 40 upstreams, each in one subset; number of subsets by upstream: %v", len(knownBy), knownBy)
	}
	before := subsetOf(rigs[0])
	base.Replace(t, path, list(func(i int) string {
		return map[bool]string{true: "Terminating", false: "Ready"}[fmt.Sprint("n", i) == before[0]]
	}))
	for _, r := range rigs {
		testutil.Eventually(t, "the list without the draining upstream arrives", func() bool {
			_, listed := r.d.routing.Load().services["seats"].subsetSink.Size()
			return listed == nodes && !slices.Contains(subsetOf(r), before[0])
		})
	}
	added := 0
	for _, name := range subsetOf(rigs[0]) {
		if !slices.Contains(before, name) {
			added++
		}
	}
	if now := subsetOf(rigs[0]); added > 3 || len(now) < 8 {
		t.Errorf("%d upstreams joined the subset after one upstream drained, want at most 3; the subset is %v, want at least 8 upstreams; it was %v", added, now, before)
	}
}

// Guards against a daemon that ignores [platform.subset], with which an operator's file beside the platform's configuration sets the subset
// of the platform's service.
func TestSubsetOfThePlatform(t *testing.T) {
	var known []string
	for i := range 30 {
		name := fmt.Sprint("n", i)
		known = append(known, testutil.Entry(name, base.HTTP(t, nil, respondWith(name)), "Ready"))
	}
	c := testutil.Config(t, testutil.Quiet(t).Address, known...)
	if _, err := config.ParseFile([]byte("[[service]]\nname = \"a\"\naddresses = [\"127.0.0.1:1\"]\n[platform.subset]\non = true\n")); err == nil {
		t.Error("platform.subset was accepted without a platform configuration")
	}
	p, err := config.ParseBeside(c, []byte("[log]\nlevel = \"error\"\n[platform.subset]\non = true\nleast = 5\nmost = 5\naway = 0.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	d, address := startPlan(t, p)
	subset := slices.Sorted(maps.Keys(d.routing.Load().services[config.Platform].registry.Instances()))
	if len(subset) != 5 {
		t.Fatalf("the subset is %v, want 5 upstreams", subset)
	}
	for range 50 {
		resp, err := http.DefaultClient.Do(testutil.Request(t, address, "search", ""))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || !slices.Contains(subset, string(body)) {
			t.Fatalf("request to the platform's service: got %s %q, error %v; want an answer from the subset %v", resp.Status, body, err, subset)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// Guards against services without warm connections. If the operator's file enables warm connections for a service, or for the platform's
// service, each upstream has a connection before the first request.
func TestWarmServices(t *testing.T) {
	var addresses, known []string
	var accepted [4]atomic.Int64
	for i := range accepted {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted[i].Add(1)
				t.Cleanup(func() { c.Close() })
			}
		}()
		addresses = append(addresses, l.Addr().String())
		known = append(known, testutil.Entry(fmt.Sprint("n", i), l.Addr().String(), "Ready"))
	}
	eachAccepted := func(n int64) func() bool {
		return func() bool {
			for i := range accepted {
				if accepted[i].Load() != n {
					return false
				}
			}
			return true
		}
	}
	startFile(t, fmt.Sprintf("[log]\nlevel = \"error\"\n[[service]]\nname = \"a\"\naddresses = [%q, %q, %q, %q]\n[service.warm]\non = true\nspread = \"10ms\"\n",
		addresses[0], addresses[1], addresses[2], addresses[3]))
	testutil.Eventually(t, "each upstream has one connection", eachAccepted(1))
	p, err := config.ParseBeside(testutil.Config(t, testutil.Quiet(t).Address, known...), []byte("[log]\nlevel = \"error\"\n[platform.warm]\non = true\nspread = \"10ms\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	startPlan(t, p)
	testutil.Eventually(t, "each upstream has a second connection, from the platform's service", eachAccepted(2))
	for _, bad := range []string{"rate = 0", "each = 0", "part = 2.0"} {
		if _, err := config.ParseFile([]byte("[[service]]\nname = \"a\"\naddresses = [\"127.0.0.1:1\"]\n[service.warm]\n" + bad + "\n")); err == nil {
			t.Errorf("invalid warm-up setting %q was accepted", bad)
		}
	}
}
