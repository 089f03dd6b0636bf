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

// Symptom: requests went to a draining server 0.31 s and more after its drain counted as told, with six sidecars.
//
// Sequence: discovery was down for 13 s. Some seconds behind its return servers began to drain, and each sidecar was reloaded four times
// within 1.6 s, to another discovery address each time. Discovery was up, but turned away at once most of the calls that came then. One
// sidecar was turned away each time until 8.9 s behind the drain.
//
// Cause: the wait between calls for a list was shortened only while the list's deadline was still ahead. Once it had passed the wait was
// the longest that there is, so that the sidecar with the oldest list called least. The log of that sidecar, whose list was 18 s old:
//
//	90.041 reload discovery=127.12.0.1:8504
//	90.048 watch ended reason="discovery answered 503 Service Unavailable"
//	90.432 watch ended reason="discovery answered 503 Service Unavailable"
//	91.053 watch ended reason="discovery answered 503 Service Unavailable"
//	92.943 watch ended reason="discovery answered 503 Service Unavailable"
//	94.982 watch ended reason="discovery answered 503 Service Unavailable"
//
// The drain of 88.86 counted as told at 94.86; sidecars with a list 1 to 3 s old called every 0.2 to 0.4 s meanwhile.
//
// Here each address turns away its first calls, so that each sidecar meets the same refusals, whatever the others do.
func TestAnOverdueListIsAskedForUntilItIsHad(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 17 s")
	}
	const (
		sidecars   = 6
		upstreams  = 8
		turnedAway = 5 // calls at each address
		outage     = 8 * time.Second
	)
	reloads := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond, 1800 * time.Millisecond}
	r := New(t, 1)
	disco := fakes.NewDiscovery()
	f := watch(t, r, sidecars, upstreams, false, disco, 20)
	disco.Down(true)
	settled(time.Now().Add(outage))
	disco.RejectNext(turnedAway)
	drained := f.names[:upstreams/4]
	disco.Drain(drained...)
	begun := time.Now()
	due := begun.Add(6 * time.Second)
	disco.Down(false)
	var reloading sync.WaitGroup
	for i, p := range f.daemons {
		reloading.Go(func() {
			for n, at := range reloads {
				settled(begun.Add(at))
				if err := redirect(p, disco, i, sidecars); err != nil {
					t.Errorf("reload %d of sidecar %d: %v", n, i, err)
				}
			}
		})
	}
	reloading.Wait()
	current := f.current(t, 30*time.Second)
	settled(due.Add(time.Second))
	worst, late := f.late(drained, due, ruleGrace+readSlack)
	t.Logf("all watch again %v after the drain, %d late requests", current.Sub(begun).Round(time.Millisecond), late)
	if late > 0 {
		t.Errorf("%d requests went to upstreams that drain, the last %v after that counted as told", late, worst)
	}
	if f.served.Load() == 0 || f.failed.Load() > f.served.Load()/100 {
		t.Errorf("%d served, %d not", f.served.Load(), f.failed.Load())
	}
}

// redirect gives a daemon a file that names another address of the same discovery, and has it read.
func redirect(p *Process, disco *fakes.Discovery, i, sidecars int) error {
	address, err := disco.Join()
	if err != nil {
		return err
	}
	text := configuration(p.Name(), i+1, sidecars, address, false)
	listen := fmt.Sprintf("listen = %q", p.Address())
	control := fmt.Sprintf("control = %q", p.ControlAddress())
	text = strings.Replace(text, `listen = "127.0.0.1:0"`, listen, 1) // listeners stay as they are in a reload
	text = strings.Replace(text, `control = "127.0.0.1:0"`, control, 1)
	if err := os.WriteFile(filepath.Join(p.Dir, "web.toml"), []byte(text), 0o600); err != nil {
		return err
	}
	return p.Signal(syscall.SIGHUP)
}
