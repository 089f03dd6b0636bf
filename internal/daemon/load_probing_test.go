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

// Guards against a sidecar with little traffic that sends no load probes, or that sends requests to an upstream that does not answer
// probes. Also guards against a sidecar that sends probes even though its own requests reach each upstream often enough, and against
// a configuration with invalid probe settings that is accepted.
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
	sent := func() (probes int, arrived map[string]int) {
		arrived = map[string]int{}
		for name, c := range ledger.Nodes() {
			probes += c.Probes
			arrived[name] = c.Arrived
		}
		return probes, arrived
	}
	send := func(r *fileRig, n int, want int) {
		t.Helper()
		for i := range n {
			q := testutil.Request(t, r.address, "search", "")
			q.Header.Del("X-Priority-Class")
			if resp, body := r.do(t, q); resp.StatusCode != want {
				t.Fatalf("request %d did not get the expected status: got %s with body %s", i, resp.Status, body)
			}
		}
	}
	r := startFile(t, file+fmt.Sprintf(probe, "0s", "50ms"))
	before, _ := sent()
	send(r, 30, 200)
	probes, arrived := sent()
	if probes-before < 5 || arrived["n5"] > 0 {
		t.Errorf("%d probes, want at least 5; the frozen upstream received %d requests, want 0; requests by upstream: %v", probes-before, arrived["n5"], arrived)
	}
	withoutFrozen := strings.Replace(file, ", "+addresses[5], "", 1)
	if err := r.reload(t, withoutFrozen+fmt.Sprintf(probe, "1h", "50ms")); err != nil {
		t.Fatal(err)
	}
	before, _ = sent()
	send(r, 5, 200)
	if probes, _ := sent(); probes > before {
		t.Errorf("%d probes were sent although requests reach each upstream more often than the sample interval of 1h, want 0", probes-before)
	}
	for _, bad := range []string{"each = 1", "path = \"load\"", "patience = \"0s\""} {
		if _, err := config.ParseFile([]byte(file + "[service.probe]\n" + bad + "\n")); err == nil {
			t.Errorf("invalid probe setting %q was accepted", bad)
		}
	}
	if _, err := config.ParseBeside(testutil.Config(t, "127.0.0.1:1"), []byte("[platform.probe]\non = true\n")); err == nil ||
		!strings.Contains(err.Error(), "allow no probes") {
		t.Errorf("probes are on although the platform's rules allow no probes: got error %v", err)
	}
}
