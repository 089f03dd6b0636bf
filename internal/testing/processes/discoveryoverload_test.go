package processes

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
)

// Guards against requests to draining servers because a sidecar with an overdue endpoint list polls discovery too rarely.
//
// The failure was seen with six sidecars. Requests still went to a draining server 0.31 s after the time by which every sidecar should
// have learned of the drain. Discovery was down for 13 s. Some seconds after it was up again, servers began to drain, and each sidecar was
// reloaded four times in 1.6 s, each time to another discovery address. Discovery was up, but rejected most of the sidecars' list calls at
// once. It rejected every list call of one sidecar until 8.9 s after the drain.
//
// The cause was that the wait between list calls was shortened only before the list's deadline. After the deadline it was the longest
// possible wait, so that the sidecar with the oldest list called least often. This is the log of that sidecar, whose list was 18 s old:
//
//	90.041 reload discovery=127.12.0.1:8504
//	90.048 watch ended reason="discovery answered 503 Service Unavailable"
//	90.432 watch ended reason="discovery answered 503 Service Unavailable"
//	91.053 watch ended reason="discovery answered 503 Service Unavailable"
//	92.943 watch ended reason="discovery answered 503 Service Unavailable"
//	94.982 watch ended reason="discovery answered 503 Service Unavailable"
//
// The drain began at 88.86 s, so every sidecar should have learned of it by 94.86 s. In this time, sidecars whose list was 1 to 3 s old
// called every 0.2 to 0.4 s.
//
// In this test each discovery address rejects its first calls, so that each sidecar gets the same number of rejections whatever the
// others do.
func TestAnOverdueListIsAskedForUntilItIsHad(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 17 s")
	}
	const (
		sidecars  = 6
		upstreams = 8
		rejected  = 5 // number of calls that each address rejects
		outage    = 8 * time.Second
	)
	reloads := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond, 1800 * time.Millisecond}
	r := New(t, 1)
	discovery := fakes.NewDiscovery()
	f := startFleet(t, r, sidecars, upstreams, false, discovery, 20)
	discovery.Down(true)
	sleepUntil(time.Now().Add(outage))
	discovery.RejectNext(rejected)
	drained := f.names[:upstreams/4]
	discovery.Drain(drained...)
	begun := time.Now()
	due := begun.Add(6 * time.Second)
	discovery.Down(false)
	var reloading sync.WaitGroup
	for i, p := range f.daemons {
		reloading.Go(func() {
			for n, at := range reloads {
				sleepUntil(begun.Add(at))
				if err := reloadWithNewAddress(p, discovery, i, sidecars); err != nil {
					t.Errorf("reload %d of sidecar %d failed: %v", n, i, err)
				}
			}
		})
	}
	reloading.Wait()
	current := f.awaitCurrentList(t, 30*time.Second)
	sleepUntil(due.Add(time.Second))
	worst, late := f.lateRequests(drained, due, drainGrace+schedulingSlack)
	t.Logf("all sidecars had the current list %v after the drain; %d requests reached draining upstreams too late", current.Sub(begun).Round(time.Millisecond), late)
	if late > 0 {
		t.Errorf("%d requests went to draining upstreams, the last one %v after all sidecars had to know of the drain", late, worst)
	}
	if f.served.Load() == 0 || f.failed.Load() > f.served.Load()/100 {
		t.Errorf("%d requests succeeded and %d failed: want at least one success, and at most one failure per 100 successes", f.served.Load(), f.failed.Load())
	}
}

// reloadWithNewAddress writes a configuration that contains a new address of the same discovery, and makes a daemon reload it.
func reloadWithNewAddress(p *Process, discovery *fakes.Discovery, i, sidecars int) error {
	address, err := discovery.Join()
	if err != nil {
		return err
	}
	text := configuration(p.Name(), i+1, sidecars, address, false)
	listen := fmt.Sprintf("listen = %q", p.Address())
	control := fmt.Sprintf("control = %q", p.ControlAddress())
	text = strings.Replace(text, `listen = "127.0.0.1:0"`, listen, 1) // a reload cannot change the addresses of the listeners
	text = strings.Replace(text, `control = "127.0.0.1:0"`, control, 1)
	if err := os.WriteFile(filepath.Join(p.Dir, "web.toml"), []byte(text), 0o600); err != nil {
		return err
	}
	return p.Signal(syscall.SIGHUP)
}
