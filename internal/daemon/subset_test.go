package daemon

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"orchiddrift/internal/testkit"
	"orchiddrift/internal/testkit/base"
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
		return slices.Sorted(maps.Keys(r.d.routing.Load().services["seats"].dir.Places()))
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
		testkit.Eventually(t, "the drain of one", func() bool {
			_, listed := r.d.routing.Load().services["seats"].narrow.Size()
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
