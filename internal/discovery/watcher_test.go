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
	updates  chan balancer.EndpointUpdate // updates that were passed to the balancer
}

// startWatcher starts a Watcher whose initial list has version 1 and the known endpoints.
func startWatcher(t *testing.T, address string, pushed bool, known ...string) *runningWatcher {
	t.Helper()
	w := &runningWatcher{registry: endpoints.New(clock.New(), nil), updates: make(chan balancer.EndpointUpdate, 64)}
	w.Watcher = NewWatcher(WatcherOptions{Address: address, Index: 1, ConnectTimeout: 2 * time.Second, Staleness: staleness.Options{Pushed: pushed},
		Log: logging.NewFunc(func(line string) { t.Log(line) })})
	sink := NewRegistrySink(w.registry, func(u balancer.EndpointUpdate) { w.updates <- u })
	sink.Apply(testutil.EndpointList(t, 1, true, known...))
	done := make(chan struct{})
	go func() {
		w.Run(t.Context(), sink) // returns before the cleanups, since t.Context is canceled before them
		close(done)
	}()
	t.Cleanup(func() { <-done })
	return w
}

func (w *runningWatcher) isReady(name string) bool { return isReady(w.registry, name) }

// nextUpdate waits for the next update to the balancer.
func (w *runningWatcher) nextUpdate(t *testing.T) balancer.EndpointUpdate {
	t.Helper()
	select {
	case u := <-w.updates:
		return u
	case <-time.After(testutil.Timeout):
		t.Fatal("the balancer received no update before the timeout")
		panic("unreachable")
	}
}

// TestWatchAppliesChangesAndSnapshots checks that incremental changes are applied to the known list, and that a snapshot replaces the list.
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
		t.Errorf("update for the incremental changes is %+v, want b active in zone a with machine type m, and a draining", u)
	}
	if u = w.nextUpdate(t); u.Kind != balancer.FullUpdate || len(u.Endpoints) != 1 {
		t.Errorf("update for the snapshot is %+v, want a full update with one endpoint", u)
	}
	for name, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if got := w.isReady(name); got != want {
			t.Errorf("endpoint %s: ready is %v after the snapshot; want only endpoint c to be ready", name, got)
		}
	}
	if versions := d.Calls(); !slices.Equal(versions, []string{"1"}) {
		t.Errorf("watches were opened from versions %v, want only one watch from version 1", versions)
	}
}

// TestMalformedMessageKeepsLastGoodList checks that a malformed message does not replace the last valid list, and that the next watch
// continues from the version of the last valid list.
func TestMalformedMessageKeepsLastGoodList(t *testing.T) {
	for name, malformed := range map[string]string{
		"not JSON":   `{"index":}`,
		"truncated":  `{"index":8,` + "\n",
		"not object": `[8]`,
		"no index":   `{"snapshot":true,"endpoints":[]}`,
		"no name":    testutil.List(8, true, testutil.Entry("", "127.0.0.2:2", "Ready")),
		"no address": testutil.List(8, true, testutil.Entry("b", "", "Ready")),
		"host name":  testutil.List(8, true, testutil.Entry("b", "elsewhere.example:80", "Ready")),
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
				t.Errorf("update before the malformed message is %+v, want an incremental update", u)
			}
			testutil.Eventually(t, "the watch is opened again after the malformed message", func() bool { return len(d.Calls()) == 2 })
			if versions := d.Calls(); versions[1] != "7" {
				t.Errorf("the next watch is from version %s, want 7", versions[1])
			}
			if !w.isReady("a") {
				t.Error("endpoint a of the last valid list is not ready any more")
			}
		})
	}
}

// TestHeartbeatReportsCurrentList checks that the first heartbeat reports the known list as current, and that later heartbeats report
// nothing.
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
			t.Errorf("update after a heartbeat or an empty change is %+v, want an incremental update without endpoints", u)
		}
	}
	if len(w.updates) != 0 {
		t.Errorf("the second heartbeat caused a third update %+v, want two updates", <-w.updates)
	}
	if !w.isReady("a") {
		t.Error("endpoint a of the known list is not ready any more")
	}
}

// TestEndedWatchIsReopenedFromLastVersion checks that a watch that ended is opened again, from the last received version.
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
				t.Errorf("update from a watch is %+v, want an incremental update", u)
			}
		}
		if versions := d.Calls(); !slices.Equal(versions, []string{"1", "7"}) {
			t.Errorf("pushed list %v: watches were opened from versions %v, want 1 and 7", pushed, versions)
		}
	}
}

// TestRedirectFetchesListAndRetries checks that, after a redirect, the Watcher fetches the complete list of the new address, retries failed
// polls, and watches the list afterwards. After Refresh the next heartbeat must be reported to the balancer.
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
		t.Errorf("update after the redirect is %+v, want a full update", u)
	}
	testutil.Eventually(t, "a watch is opened after the list was fetched", func() bool { return len(d.Calls()) == 4 })
	w.Refresh()
	if u := w.nextUpdate(t); u.Kind != balancer.IncrementalUpdate || len(u.Endpoints) != 0 {
		t.Errorf("update after Refresh is %+v, want an incremental update without endpoints", u)
	}
}

// TestSupersededWatchIsFollowedAfterRedirect guards against a drain that is lost during a redirect. Changes from the watch at the earlier
// address must be applied until the new address has answered. After that the watch must be closed.
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
		t.Error("the drain of endpoint a from the earlier address was not applied, or endpoint b is not ready any more")
	}
	close(answer)
	if u := w.nextUpdate(t); u.Kind != balancer.FullUpdate || w.isReady("b") || !w.isReady("c") {
		t.Errorf("the new address's list was not applied as a snapshot; the update is %+v", u)
	}
	testutil.Eventually(t, "the watch at the earlier address is closed and only the new one is open", func() bool {
		opened, failed := w.Calls()
		return opened == 3 && failed == 0 && w.openCalls() == 1
	})
}

// TestConsecutiveFailuresAreLoggedSparingly guards against a log that fills with warnings during a long outage. At most 40 of 400
// consecutive failures may be logged as warnings.
func TestConsecutiveFailuresAreLoggedSparingly(t *testing.T) {
	const failuresInMinute = 400
	warned := 0
	for failures := 1; failures <= failuresInMinute; failures++ {
		if failureLevel(failures) == slog.LevelWarn {
			warned++
		}
	}
	if failureLevel(1) != slog.LevelWarn || warned > 40 {
		t.Errorf("%d of %d consecutive failures are logged as warnings, want the first failure and at most 40 in total", warned, failuresInMinute)
	}
}
