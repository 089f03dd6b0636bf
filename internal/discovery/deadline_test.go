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

// Messages of the scripted discoveries.
var (
	drainMessage   = testutil.List(7, false, testutil.Entry("a", "127.0.0.2:1", "Terminating")) + "\n"
	noChange       = testutil.List(6, false) + "\n"
	notificationBy = 6*time.Second + 200*time.Millisecond // after the silence: the protocol's deadline and most of the grace
)

// silenceCases are the ways in which a watch falls silent. Each discovery drains endpoint a.
var silenceCases = []struct {
	name     string
	options  staleness.Options
	silentAt time.Duration // from the start
	script   callScript
}{
	{"before the first byte, behind a call that failed", staleness.Options{FleetSize: 6}, 500 * time.Millisecond,
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
	{"after a heartbeat, the next call refused twice", staleness.Options{FleetSize: 350}, 2 * time.Second,
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
	{"in the middle of a line that goes on for ever", staleness.Options{FleetSize: 350}, 0,
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
	{"the next call late and silent again", staleness.Options{FleetSize: 350}, 0,
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
	{"pushed, the agent's first call silent", staleness.Options{Pushed: true}, -6 * time.Second,
		func(n int, _ time.Duration, r *http.Request, send func(string)) {
			if n > 1 {
				send(drainMessage)
			}
			<-r.Context().Done()
		}},
}

// What a silent call misses counts as notified 6 s after it fell silent, and requests may be sent for 250 ms more.
func TestChangeIsNoticedInTimeAfterSilence(t *testing.T) {
	for _, c := range silenceCases {
		t.Run(c.name, func(t *testing.T) {
			runVirtual(t, c.options, c.script, func(t *testing.T, w *virtualWatcher) {
				if took := w.waitForDrain(t); took > c.silentAt+notificationBy {
					t.Errorf("the drain is noticed %v after the silence", took-c.silentAt)
				}
			})
		})
	}
}

// An answer that was written before an endpoint's drain and is read after it does not bring the endpoint back.
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
				t.Fatalf("it is back %v after the start", time.Since(w.startedAt))
			}
			time.Sleep(time.Millisecond)
		}
		if w.isReady("a") {
			t.Error("it is back")
		}
	})
}

// The age of a list is reported, and logged once when it becomes stale and once when it is current again. A snapshot with a lower version
// is applied.
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
			t.Errorf("after 5 s: age %v, stale %v", age, stale)
		}
		time.Sleep(20 * time.Second)
		if age, stale := w.Age(); age < 24*time.Second || !stale {
			t.Errorf("after 25 s: age %v, stale %v", age, stale)
		}
		for !w.isReady("c") {
			time.Sleep(time.Millisecond)
		}
		if age, stale := w.Age(); age > 100*time.Millisecond || stale || w.isReady("a") {
			t.Errorf("age %v, stale %v, a listed %v", age, stale, w.isReady("a"))
		}
		log := w.log.String()
		for _, line := range []string{"the list may be too old", "the list is current again"} {
			if count := strings.Count(log, line); count != 1 {
				t.Errorf("%q is logged %d times", line, count)
			}
		}
	})
}

// A drain that the watch at the earlier address delivers after an older list of the new address was read is applied, and that list is
// fetched again. Of what the earlier address has only withdrawals are applied then.
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
			time.Sleep(time.Second) // so that its watch is delayed
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
			t.Errorf("the drain is noticed after %v", took)
		}
		if !w.isReady("b") || w.isReady("c") {
			t.Errorf("b %v, c %v: only the drain is to be applied", w.isReady("b"), w.isReady("c"))
		}
		time.Sleep(5 * time.Second)
		if lists.Load() != 2 || w.openCalls() != 1 || w.isReady("a") || !w.isReady("b") {
			t.Errorf("%d lists, %d calls open, a %v, b %v", lists.Load(), w.openCalls(), w.isReady("a"), w.isReady("b"))
		}
	})
}
