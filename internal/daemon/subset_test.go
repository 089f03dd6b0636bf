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

// Guards against upstreams that no sidecar knows, connections to upstreams that are not a sidecar's own, and a list whose
// changes do not reach its own ones: four daemons over forty nodes.
func TestSubsetsOfFourDaemons(t *testing.T) {
	const sidecars, nodes = 4, 40
	var mu sync.Mutex
	by := map[string]map[string]bool{} // by node: who sent to it
	addresses := make([]string, nodes)
	for i := range nodes {
		addresses[i] = base.HTTP(t, nil, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			at := fmt.Sprint("n", i)
			if by[at] == nil {
				by[at] = map[string]bool{}
			}
			by[at][r.Header.Get("X-Sidecar")] = true
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
	places := func(r *fileRig) []string {
		return slices.Sorted(maps.Keys(r.d.routing.Load().services["seats"].registry.Instances()))
	}
	shared := map[string]int{}
	for i, r := range rigs {
		own := places(r)
		if len(own) < 8 || len(own) > 16 {
			t.Errorf("sidecar %d has %d of its own", i, len(own))
		}
		for _, name := range own {
			shared[name]++
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
	for name, senders := range by {
		for s := range senders {
			if !slices.Contains(places(rigs[s[0]-'0']), name) {
				t.Errorf("sidecar %s sends to %s, which is not its own", s, name)
			}
		}
	}
	mu.Unlock()
	if len(shared) != nodes || slices.Max(slices.Collect(maps.Values(shared))) > 1 {
		t.Errorf("%d nodes are known, by as many: %v", len(shared), shared)
	}
	before := places(rigs[0])
	base.Replace(t, path, list(func(i int) string {
		return map[bool]string{true: "Terminating", false: "Ready"}[fmt.Sprint("n", i) == before[0]]
	}))
	for _, r := range rigs {
		testutil.Eventually(t, "the drain of one", func() bool {
			_, listed := r.d.routing.Load().services["seats"].subsetSink.Size()
			return listed == nodes && !slices.Contains(places(r), before[0])
		})
	}
	moved := 0
	for _, name := range places(rigs[0]) {
		if !slices.Contains(before, name) {
			moved++
		}
	}
	if now := places(rigs[0]); moved > 3 || len(now) < 8 {
		t.Errorf("%d moved: %v, before %v", moved, now, before)
	}
}

// The platform's own service has a part of its list as its own where the operator's file beside its one says so.
func TestSubsetOfThePlatform(t *testing.T) {
	var known []string
	for i := range 30 {
		name := fmt.Sprint("n", i)
		known = append(known, testutil.Entry(name, base.HTTP(t, nil, says(name)), "Ready"))
	}
	c := testutil.Config(t, testutil.Quiet(t).Address, known...)
	if _, err := config.ParseFile([]byte("[[service]]\nname = \"a\"\naddresses = [\"127.0.0.1:1\"]\n[platform.subset]\non = true\n")); err == nil {
		t.Error("taken without a platform")
	}
	p, err := config.ParseBeside(c, []byte("[log]\nlevel = \"error\"\n[platform.subset]\non = true\nleast = 5\nmost = 5\naway = 0.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	d, address := startPlan(t, p)
	own := slices.Sorted(maps.Keys(d.routing.Load().services[config.Platform].registry.Instances()))
	if len(own) != 5 {
		t.Fatalf("its own are %v", own)
	}
	for range 50 {
		resp, err := http.DefaultClient.Do(testutil.Request(t, address, "search", ""))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || !slices.Contains(own, string(body)) {
			t.Fatalf("%s %q, %v; its own are %v", resp.Status, body, err, own)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// A service's upstreams have a connection each before any request where the operator's file says so, and the platform's too.
func TestWarmServices(t *testing.T) {
	var addresses, known []string
	var made [4]atomic.Int64
	for i := range made {
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
				made[i].Add(1)
				t.Cleanup(func() { c.Close() })
			}
		}()
		addresses = append(addresses, l.Addr().String())
		known = append(known, testutil.Entry(fmt.Sprint("n", i), l.Addr().String(), "Ready"))
	}
	all := func(n int64) func() bool {
		return func() bool {
			for i := range made {
				if made[i].Load() != n {
					return false
				}
			}
			return true
		}
	}
	startFile(t, fmt.Sprintf("[log]\nlevel = \"error\"\n[[service]]\nname = \"a\"\naddresses = [%q, %q, %q, %q]\n[service.warm]\non = true\nspread = \"10ms\"\n",
		addresses[0], addresses[1], addresses[2], addresses[3]))
	testutil.Eventually(t, "one connection each", all(1))
	p, err := config.ParseBeside(testutil.Config(t, testutil.Quiet(t).Address, known...), []byte("[log]\nlevel = \"error\"\n[platform.warm]\non = true\nspread = \"10ms\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	startPlan(t, p)
	testutil.Eventually(t, "and of the platform's", all(2))
	for _, bad := range []string{"rate = 0", "each = 0", "part = 2.0"} {
		if _, err := config.ParseFile([]byte("[[service]]\nname = \"a\"\naddresses = [\"127.0.0.1:1\"]\n[service.warm]\n" + bad + "\n")); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}
