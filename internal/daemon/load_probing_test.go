package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// A sidecar that sends little asks before each request, goes to who is idle and not to who is busy with others' requests, waits
// for no one who says nothing, and asks nobody where nothing is set or much is sent.
func TestProbes(t *testing.T) {
	ledger := fakes.NewLedger()
	var addresses []string
	for i := range 6 {
		o := fakes.NodeOptions{Name: fmt.Sprint("n", i), Ledger: ledger, Cores: 64, DefaultServiceTime: time.Millisecond}
		if i == 5 {
			o.Faults = []fakes.Fault{{Kind: fakes.Freeze}}
		}
		n := fakes.NewNode(o)
		t.Cleanup(n.Close)
		at, err := n.ListenHTTP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, fmt.Sprintf("%q", at))
	}
	file := "[log]\nlevel = \"error\"\n[[service]]\nname = \"s\"\naddresses = [" + strings.Join(addresses, ", ") + "]\n"
	probe := "[service.probe]\non = true\neach = 6\nshare = 6.0\nheard = \"%s\"\npatience = \"%s\"\n"
	sent := func() (probes int, to map[string]int) {
		to = map[string]int{}
		for name, c := range ledger.Nodes() {
			probes += c.Probes
			to[name] = c.Arrived
		}
		return probes, to
	}
	ask := func(r *fileRig, n int, want int) {
		t.Helper()
		for i := range n {
			q := testutil.Request(t, r.address, "search", "")
			q.Header.Del("X-Priority-Class")
			if resp, body := r.do(t, q); resp.StatusCode != want {
				t.Fatalf("%d: %s %s", i, resp.Status, body)
			}
		}
	}
	r := startFile(t, file+fmt.Sprintf(probe, "0s", "50ms"))
	before, _ := sent()
	ask(r, 30, 200)
	probes, to := sent()
	if probes-before < 5 || to["n5"] > 0 {
		t.Errorf("%d probes; the one that is frozen got %d of %v", probes-before, to["n5"], to)
	}
	calm := strings.Replace(file, ", "+addresses[5], "", 1)
	if err := r.reload(t, calm+fmt.Sprintf(probe, "1h", "50ms")); err != nil {
		t.Fatal(err)
	}
	before, _ = sent()
	ask(r, 5, 200)
	if probes, _ := sent(); probes > before {
		t.Errorf("%d probes where each is heard often", probes-before)
	}
	for _, bad := range []string{"each = 1", "path = \"load\"", "patience = \"0s\""} {
		if _, err := config.ParseFile([]byte(file + "[service.probe]\n" + bad + "\n")); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	if _, err := config.ParseBeside(testutil.Config(t, "127.0.0.1:1"), []byte("[platform.probe]\non = true\n")); err == nil ||
		!strings.Contains(err.Error(), "allow no probes") {
		t.Errorf("probes that the platform does not allow: %v", err)
	}
}
