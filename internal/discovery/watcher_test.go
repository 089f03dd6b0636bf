package discovery

import (
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil"
)

// runningWatcher is a Watcher that runs until the test ends.
type runningWatcher struct {
	*Watcher
	registry *endpoints.Registry
	updates  chan balancer.EndpointUpdate // that the balancer got
}

// startWatcher starts a Watcher that knows endpoints at version 1.
func startWatcher(t *testing.T, address string, pushed bool, known ...string) *runningWatcher {
	t.Helper()
	w := &runningWatcher{registry: endpoints.New(clock.New(), nil), updates: make(chan balancer.EndpointUpdate, 64)}
	w.Watcher = NewWatcher(WatcherOptions{Address: address, Index: 1, ConnectTimeout: 2 * time.Second, Staleness: staleness.Options{Pushed: pushed},
		Log: logging.NewFunc(func(line string) { t.Log(line) })})
	sink := NewRegistrySink(w.registry, func(u balancer.EndpointUpdate) { w.updates <- u })
	sink.Apply(testutil.EndpointList(t, 1, true, known...))
	done := make(chan struct{})
	go func() {
		w.Run(t.Context(), sink) // ends before the cleanups
		close(done)
	}()
	t.Cleanup(func() { <-done })
	return w
}

func (w *runningWatcher) isReady(name string) bool { return isReady(w.registry, name) }

// nextUpdate waits for an update of the balancer.
func (w *runningWatcher) nextUpdate(t *testing.T) balancer.EndpointUpdate {
	t.Helper()
	select {
	case u := <-w.updates:
		return u
	case <-time.After(testutil.Timeout):
		t.Fatal("nothing was reported")
		panic("unreachable")
	}
}

// Changes apply to the list that is known, and a snapshot replaces it.
func TestWatchAppliesChangesAndSnapshots(t *testing.T) {
	d := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(testutil.List(5, false, testutil.Entry("b", "127.0.0.2:2", "Ready"), testutil.Entry("a", "127.0.0.2:1", "Terminating")))
		send("")
		send(`{"index":6,"snapshot":true,"new_field":[1],"endpoints":[` + testutil.Entry("c", "127.0.0.2:3", "Ready") + `]}`)
		<-done
	})
	w := startWatcher(t, d.Address, false, testutil.Entry("a", "127.0.0.2:1", "Ready"))
	u := w.nextUpdate(t)
	if u.Kind != balancer.IncrementalUpdate || len(u.Endpoints) != 2 || u.Endpoints[0].State != balancer.Active ||
		u.Endpoints[1].State != balancer.Draining || u.Endpoints[0].MachineType != "m" || u.Endpoints[0].Zone != "a" {
		t.Errorf("changes reported as %+v", u)
	}
	if u = w.nextUpdate(t); u.Kind != balancer.FullUpdate || len(u.Endpoints) != 1 {
		t.Errorf("snapshot reported as %+v", u)
	}
	for name, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if got := w.isReady(name); got != want {
			t.Errorf("%s is ready: %v", name, got)
		}
	}
	if versions := d.Calls(); !slices.Equal(versions, []string{"1"}) {
		t.Errorf("watches from versions %v", versions)
	}
}

// After a malformed message the last good list stays, and the next watch continues from its version.
func TestMalformedMessageKeepsLastGoodList(t *testing.T) {
	for name, malformed := range map[string]string{
		"not JSON":   `{"index":}`,
		"cut":        `{"index":8,` + "\n",
		"no object":  `[8]`,
		"no index":   `{"snapshot":true,"endpoints":[]}`,
		"no name":    testutil.List(8, true, testutil.Entry("", "127.0.0.2:2", "Ready")),
		"no address": testutil.List(8, true, testutil.Entry("b", "", "Ready")),
		"a host":     testutil.List(8, true, testutil.Entry("b", "elsewhere.example:80", "Ready")),
		"too long":   testutil.List(8, true, testutil.Entry(strings.Repeat("b", maxMessageBytes), "127.0.0.2:2", "Ready")),
	} {
		t.Run(name, func(t *testing.T) {
			d := testutil.Discovery(t, func(n int, send func(string), done <-chan struct{}) {
				if n == 1 {
					send(testutil.List(7, false))
					send(malformed)
				}
				<-done
			})
			w := startWatcher(t, d.Address, false, testutil.Entry("a", "127.0.0.2:1", "Ready"))
			if u := w.nextUpdate(t); u.Kind != balancer.IncrementalUpdate {
				t.Errorf("reported %+v", u)
			}
			testutil.Eventually(t, "another call", func() bool { return len(d.Calls()) == 2 })
			if versions := d.Calls(); versions[1] != "7" {
				t.Errorf("the next watch is from version %s", versions[1])
			}
			if !w.isReady("a") {
				t.Error("the good list is lost")
			}
		})
	}
}

// The first heartbeat reports that the known list is current; later ones report nothing.
func TestHeartbeatReportsCurrentList(t *testing.T) {
	d := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		send("")
		send(testutil.List(9, false))
		<-done
	})
	w := startWatcher(t, d.Address, false, testutil.Entry("a", "127.0.0.2:1", "Ready"))
	for range 2 { // the first heartbeat and the change
		if u := w.nextUpdate(t); u.Kind != balancer.IncrementalUpdate || len(u.Endpoints) != 0 {
			t.Errorf("reported %+v", u)
		}
	}
	if len(w.updates) != 0 {
		t.Errorf("reported %+v too", <-w.updates)
	}
	if !w.isReady("a") {
		t.Error("the known list is lost")
	}
}

// A watch that ended is opened again, from the version that it reached.
func TestEndedWatchIsReopenedFromLastVersion(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		d := testutil.Discovery(t, func(n int, send func(string), done <-chan struct{}) {
			send(testutil.List(6+n, false))
			if n > 1 {
				<-done
			}
		})
		w := startWatcher(t, d.Address, pushed)
		for range 2 {
			if u := w.nextUpdate(t); u.Kind != balancer.IncrementalUpdate {
				t.Errorf("reported %+v", u)
			}
		}
		if versions := d.Calls(); !slices.Equal(versions, []string{"1", "7"}) {
			t.Errorf("pushed %v: watches from versions %v", pushed, versions)
		}
	}
}

// A new address is polled for the whole list at once, again soon where that fails, and then watched. Refresh has the balancer notified of the
// next heartbeat.
func TestRedirectFetchesListAndRetries(t *testing.T) {
	d := testutil.Discovery(t, func(n int, send func(string), done <-chan struct{}) {
		if n == 3 {
			send(testutil.List(3, true))
		}
		for n > 3 {
			send("")
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	w := startWatcher(t, "127.0.0.1:1", false)
	w.Redirect(d.Address)
	if u := w.nextUpdate(t); u.Kind != balancer.FullUpdate {
		t.Errorf("reported %+v", u)
	}
	testutil.Eventually(t, "a watch after the list", func() bool { return len(d.Calls()) == 4 })
	w.Refresh()
	if u := w.nextUpdate(t); u.Kind != balancer.IncrementalUpdate || len(u.Endpoints) != 0 {
		t.Errorf("reported %+v", u)
	}
}

// What the watch at the earlier address delivers counts until the new one has answered, and not afterwards.
func TestSupersededWatchIsFollowedAfterRedirect(t *testing.T) {
	redirected := make(chan struct{})
	before := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(testutil.List(5, true, testutil.Entry("a", "127.0.0.2:1", "Ready"), testutil.Entry("b", "127.0.0.2:2", "Ready")))
		<-redirected
		send(testutil.List(6, false, testutil.Entry("a", "127.0.0.2:1", "Terminating")))
		<-done
	})
	answer := make(chan struct{})
	after := testutil.Discovery(t, func(n int, send func(string), done <-chan struct{}) {
		<-answer
		if n == 1 {
			send(testutil.List(2, true, testutil.Entry("c", "127.0.0.2:3", "Ready")))
			return
		}
		send("")
		<-done
	})
	w := startWatcher(t, before.Address, false)
	w.nextUpdate(t)
	w.Redirect(after.Address)
	close(redirected)
	if w.nextUpdate(t); w.isReady("a") || !w.isReady("b") {
		t.Error("the drain at the earlier address is not noticed")
	}
	close(answer)
	if u := w.nextUpdate(t); u.Kind != balancer.FullUpdate || w.isReady("b") || !w.isReady("c") {
		t.Errorf("the new address's list was reported as %+v", u)
	}
	testutil.Eventually(t, "the earlier watch ends", func() bool {
		opened, failed := w.Calls()
		return opened == 3 && failed == 0 && w.openCalls() == 1
	})
}

// Of many consecutive failures some are warnings, and the others are logged as debug.
func TestConsecutiveFailuresAreLoggedSparingly(t *testing.T) {
	const minuteOfFailures = 400
	warned := 0
	for failures := 1; failures <= minuteOfFailures; failures++ {
		if failureLevel(failures) == slog.LevelWarn {
			warned++
		}
	}
	if failureLevel(1) != slog.LevelWarn || warned > 40 {
		t.Errorf("%d of %d are warnings", warned, minuteOfFailures)
	}
}
