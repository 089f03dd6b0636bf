package discovery

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/testing/testutil"
)

// Messages of the scripted discovery services, and the time after a watch falls silent within which the Watcher must notice a drain.
var (
	drainMessage      = testutil.List(7, false, testutil.Entry("a", "127.0.0.2:1", "Terminating")) + "\n"
	noChange          = testutil.List(6, false) + "\n"
	notificationLimit = 6*time.Second + 200*time.Millisecond // the notification deadline and most of the drain grace of 250 ms
)

// silenceCases are ways in which a watch falls silent. In each case a later call reports that endpoint a is draining.
var silenceCases = []struct {
	name     string
	options  staleness.Options
	silentAt time.Duration // time from the start until the watch falls silent
	script   callScript
}{
	{"before the first byte, after a failed call", staleness.Options{FleetSize: 6}, 500 * time.Millisecond,
		func(n int, after time.Duration, r *http.Request, send func(string)) {
			switch {
			case n == 1:
				panic(http.ErrAbortHandler)
			case after < 2*time.Second:
				<-r.Context().Done()
			default:
				send(drainMessage)
				<-r.Context().Done()
			}
		}},
	{"after a heartbeat, and the next two calls fail", staleness.Options{FleetSize: 350}, 2 * time.Second,
		func(n int, _ time.Duration, r *http.Request, send func(string)) {
			switch n {
			case 1:
				send(noChange)
				time.Sleep(2 * time.Second)
				send("\n")
			case 2, 3:
				panic(http.ErrAbortHandler)
			default:
				send(drainMessage)
			}
			<-r.Context().Done()
		}},
	{"in the middle of a message that never ends", staleness.Options{FleetSize: 350}, 0,
		func(n int, _ time.Duration, r *http.Request, send func(string)) {
			if n > 1 {
				send(drainMessage)
				<-r.Context().Done()
				return
			}
			send(noChange + drainMessage[:20])
			for r.Context().Err() == nil {
				time.Sleep(time.Second)
				send(" ")
			}
		}},
	{"after a message, the next call silent too and the third one late", staleness.Options{FleetSize: 350}, 0,
		func(n int, _ time.Duration, r *http.Request, send func(string)) {
			switch n {
			case 1:
				send(noChange)
			case 3:
				time.Sleep(time.Second)
				send(drainMessage)
			}
			<-r.Context().Done()
		}},
	{"pushed list, and the first call to the agent silent", staleness.Options{Pushed: true}, -6 * time.Second,
		func(n int, _ time.Duration, r *http.Request, send func(string)) {
			if n > 1 {
				send(drainMessage)
			}
			<-r.Context().Done()
		}},
}

// TestChangeIsNoticedInTimeAfterSilence guards against a drain that is noticed too late because the watch that should report it is silent.
// The balancer must be notified of a missed change within 6 s after the watch fell silent, plus most of the drain grace of 250 ms.
func TestChangeIsNoticedInTimeAfterSilence(t *testing.T) {
	for _, c := range silenceCases {
		t.Run(c.name, func(t *testing.T) {
			runVirtual(t, c.options, c.script, func(t *testing.T, w *virtualWatcher) {
				if took := w.waitForDrain(t); took > c.silentAt+notificationLimit {
					t.Errorf("the drain was noticed %v after the watch fell silent, later than notificationLimit", took-c.silentAt)
				}
			})
		})
	}
}

// TestOlderAnswerDoesNotBringEndpointBack guards against a draining endpoint that becomes ready again. This would happen if the Watcher
// applied a list that the server wrote before the drain but that arrives after it.
func TestOlderAnswerDoesNotBringEndpointBack(t *testing.T) {
	runVirtual(t, staleness.Options{}, func(n int, _ time.Duration, r *http.Request, send func(string)) {
		switch n {
		case 1:
			send(noChange)
			time.Sleep(2700 * time.Millisecond) // another call is opened at 2.5 s
			send(drainMessage)
		case 2:
			time.Sleep(500 * time.Millisecond)
			send(testutil.List(6, true, testutil.Entry("a", "127.0.0.2:1", "Ready")) + "\n")
			time.Sleep(time.Second)
			send(testutil.List(8, false, testutil.Entry("b", "127.0.0.2:2", "Ready")) + "\n")
		}
		<-r.Context().Done()
	}, func(t *testing.T, w *virtualWatcher) {
		w.waitForDrain(t)
		for !w.isReady("b") {
			if w.isReady("a") {
				t.Fatalf("draining endpoint a became ready again %v after the start", time.Since(w.startedAt))
			}
			time.Sleep(time.Millisecond)
		}
		if w.isReady("a") {
			t.Error("draining endpoint a became ready again with the change of endpoint b")
		}
	})
}

// TestAgeAndStalenessAreReported guards against a wrong age of the list, against repeated or missing log lines about a stale list, and
// against a snapshot that is not applied because its version is lower than the known version.
func TestAgeAndStalenessAreReported(t *testing.T) {
	runVirtual(t, staleness.Options{}, func(n int, after time.Duration, r *http.Request, send func(string)) {
		switch {
		case n == 1:
			send(noChange)
		case after > 30*time.Second:
			send(testutil.List(2, true, testutil.Entry("c", "127.0.0.2:3", "Ready")) + "\n")
		}
		<-r.Context().Done()
	}, func(t *testing.T, w *virtualWatcher) {
		time.Sleep(5 * time.Second)
		if age, stale := w.Age(); age < 4*time.Second || stale {
			t.Errorf("after 5 s: age %v, stale %v; want at least 4s, false", age, stale)
		}
		time.Sleep(20 * time.Second)
		if age, stale := w.Age(); age < 24*time.Second || !stale {
			t.Errorf("after 25 s: age %v, stale %v; want at least 24s, true", age, stale)
		}
		for !w.isReady("c") {
			time.Sleep(time.Millisecond)
		}
		if age, stale := w.Age(); age > 100*time.Millisecond || stale || w.isReady("a") {
			t.Errorf("after the new snapshot: age %v, stale %v, endpoint a ready %v; want at most 100ms, false, false", age, stale, w.isReady("a"))
		}
		log := w.log.String()
		for _, line := range []string{"the list may be too old", "the list is current again"} {
			if count := strings.Count(log, line); count != 1 {
				t.Errorf("%q was logged %d times, want 1", line, count)
			}
		}
	})
}

// TestDrainFromSupersededWatchAfterNewList guards against a drain that is lost in a redirect. The watch at the earlier address reports the
// drain after the Watcher has read a list of the new address that does not contain the drain yet. The drain must be applied, and the list
// of the new address must be fetched again. Ready endpoints from the earlier address must not be applied any more.
func TestDrainFromSupersededWatchAfterNewList(t *testing.T) {
	const before, after = "127.0.0.1:1", "127.0.0.1:2"
	a, b := testutil.Entry("a", "127.0.0.2:1", "Ready"), testutil.Entry("b", "127.0.0.2:2", "Ready")
	var lists atomic.Int32
	runVirtual(t, staleness.Options{}, func(_ int, _ time.Duration, r *http.Request, send func(string)) {
		switch {
		case r.Host == before:
			send(testutil.List(5, true, a, b) + "\n")
			time.Sleep(2 * time.Second)
			send("\n")
			time.Sleep(2 * time.Second)
			send(testutil.List(6, false, testutil.Entry("a", "127.0.0.2:1", "Terminating"), testutil.Entry("c", "127.0.0.2:3", "Ready")) + "\n")
		case !r.URL.Query().Has("watch"):
			time.Sleep(time.Second) // a slow answer, which makes the Watcher delay the watch
			if lists.Add(1) == 1 {
				send(testutil.List(5, true, a, b))
			} else {
				send(testutil.List(6, true, b))
			}
			return
		default:
			send("\n")
		}
		<-r.Context().Done()
	}, func(t *testing.T, w *virtualWatcher) {
		time.Sleep(2900 * time.Millisecond)
		w.Redirect(after)
		if took := w.waitForDrain(t); took > 4010*time.Millisecond {
			t.Errorf("the drain was noticed after %v, want at most 4.01s", took)
		}
		if !w.isReady("b") || w.isReady("c") {
			t.Errorf("endpoint b ready %v, endpoint c ready %v; want true, false, since only the drain may be applied", w.isReady("b"), w.isReady("c"))
		}
		time.Sleep(5 * time.Second)
		if lists.Load() != 2 || w.openCalls() != 1 || w.isReady("a") || !w.isReady("b") {
			t.Errorf("%d lists fetched, %d calls open, endpoint a ready %v, endpoint b ready %v; want 2, 1, false, true", lists.Load(), w.openCalls(), w.isReady("a"), w.isReady("b"))
		}
	})
}
