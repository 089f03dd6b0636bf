package discovery

import (
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil"
)

func testWatcher(t *testing.T, address string, pushed bool) *Watcher {
	return New(Options{Address: address, Index: 1, ConnectTimeout: 2 * time.Second, Staleness: staleness.Options{Pushed: pushed},
		Log: logging.NewFunc(func(line string) { t.Log(line) })})
}

// watch runs a watcher until the test ends.
func watch(t *testing.T, address string, pushed bool, known ...string) (*endpoints.Registry, *Watcher, chan balancer.EndpointUpdate) {
	t.Helper()
	told := make(chan balancer.EndpointUpdate, 64)
	dir := endpoints.New(clock.New(), nil)
	w := testWatcher(t, address, pushed)
	feed := NewRegistrySink(dir, func(m balancer.EndpointUpdate) { told <- m })
	feed.Apply(testutil.EndpointList(t, 1, true, known...))
	done := make(chan struct{})
	go func() {
		w.Run(t.Context(), feed) // ends before the cleanups
		close(done)
	}()
	t.Cleanup(func() { <-done })
	return dir, w, told
}

func next(t *testing.T, told chan balancer.EndpointUpdate) balancer.EndpointUpdate {
	t.Helper()
	select {
	case m := <-told:
		return m
	case <-time.After(testutil.Timeout):
		t.Fatal("nothing was reported")
		panic("unreachable")
	}
}

// Guards against a list that differs from discovery's: changes apply to what is known, a snapshot replaces it.
func TestWatchFollowsTheList(t *testing.T) {
	d := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(testutil.List(5, false, testutil.Entry("b", "127.0.0.2:2", "Ready"), testutil.Entry("a", "127.0.0.2:1", "Terminating")))
		send("")
		send(`{"index":6,"snapshot":true,"new_field":[1],"endpoints":[` + testutil.Entry("c", "127.0.0.2:3", "Ready") + `]}`)
		<-done
	})
	dir, _, told := watch(t, d.Address, false, testutil.Entry("a", "127.0.0.2:1", "Ready"))
	m := next(t, told)
	if m.Kind != balancer.IncrementalUpdate || len(m.Endpoints) != 2 || m.Endpoints[0].State != balancer.Active ||
		m.Endpoints[1].State != balancer.Draining || m.Endpoints[0].MachineType != "m" || m.Endpoints[0].Zone != "a" {
		t.Errorf("changes told as %+v", m)
	}
	if m = next(t, told); m.Kind != balancer.FullUpdate || len(m.Endpoints) != 1 {
		t.Errorf("snapshot told as %+v", m)
	}
	for name, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ok := dir.Instance(name); ok != want {
			t.Errorf("%s wants requests: %v", name, ok)
		}
	}
	if froms := d.Calls(); !slices.Equal(froms, []string{"1"}) {
		t.Errorf("watches from %v", froms)
	}
}

// Guards against a list lost to a bad line: the last good one stays, and is asked for again from there.
func TestMalformedLines(t *testing.T) {
	for name, bad := range map[string]string{
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
					send(bad)
				}
				<-done
			})
			dir, _, told := watch(t, d.Address, false, testutil.Entry("a", "127.0.0.2:1", "Ready"))
			if m := next(t, told); m.Kind != balancer.IncrementalUpdate {
				t.Errorf("told %+v", m)
			}
			testutil.Eventually(t, "asked again", func() bool { return len(d.Calls()) == 2 })
			if froms := d.Calls(); froms[1] != "7" {
				t.Errorf("asked again from %s", froms[1])
			}
			if _, ok := dir.Instance("a"); !ok {
				t.Error("the good list is lost")
			}
		})
	}
}

// Guards against a watch that is taken for not yet answered because there is no news: an empty line answers it.
func TestWatchWithoutNewsIsAnswered(t *testing.T) {
	d := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		send("")
		send(testutil.List(9, false))
		<-done
	})
	dir, _, told := watch(t, d.Address, false, testutil.Entry("a", "127.0.0.2:1", "Ready"))
	for range 2 { // the answer and the news, nothing for the second empty line
		if m := next(t, told); m.Kind != balancer.IncrementalUpdate || len(m.Endpoints) != 0 {
			t.Errorf("told %+v", m)
		}
	}
	if len(told) != 0 {
		t.Errorf("told %+v too", <-told)
	}
	if _, ok := dir.Instance("a"); !ok {
		t.Error("the known list is lost")
	}
}

// Guards against a list that stands still once its watch has ended: it is watched again by itself, from the version last told.
func TestWatchIsOpenedAgain(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		d := testutil.Discovery(t, func(n int, send func(string), done <-chan struct{}) {
			send(testutil.List(6+n, false))
			if n > 1 {
				<-done
			}
		})
		_, _, told := watch(t, d.Address, pushed)
		for range 2 {
			if m := next(t, told); m.Kind != balancer.IncrementalUpdate {
				t.Errorf("told %+v", m)
			}
		}
		if froms := d.Calls(); !slices.Equal(froms, []string{"1", "7"}) {
			t.Errorf("watches from %v", froms)
		}
	}
}

// Guards against a list that is told late: a new address is asked at once, for the whole list first, whatever the old one did,
// and again soon where it fails at first. The module learns that the list is back.
func TestNewAddressIsAskedAgainSoon(t *testing.T) {
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
	_, w, told := watch(t, "127.0.0.1:1", false)
	w.Redirect(d.Address)
	if m := next(t, told); m.Kind != balancer.FullUpdate {
		t.Errorf("told %+v", m)
	}
	testutil.Eventually(t, "a watch after the list", func() bool { return len(d.Calls()) == 4 })
	w.Refresh()
	if m := next(t, told); m.Kind != balancer.IncrementalUpdate || len(m.Endpoints) != 0 {
		t.Errorf("told %+v", m)
	}
}

// Guards against a drain that is lost to a reload: what the watch at the address before tells counts until the new one has answered, and
// nothing of it afterwards.
func TestTheWatchBeforeAReloadIsFollowed(t *testing.T) {
	moved := make(chan struct{})
	before := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(testutil.List(5, true, testutil.Entry("a", "127.0.0.2:1", "Ready"), testutil.Entry("b", "127.0.0.2:2", "Ready")))
		<-moved
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
	dir, w, told := watch(t, before.Address, false)
	next(t, told)
	w.Redirect(after.Address)
	close(moved)
	if next(t, told); has(dir, "a") || !has(dir, "b") {
		t.Error("the drain at the address before is not heard")
	}
	close(answer)
	if m := next(t, told); m.Kind != balancer.FullUpdate || has(dir, "b") || !has(dir, "c") {
		t.Errorf("the new address's list was told as %+v", m)
	}
	testutil.Eventually(t, "the watch before ends", func() bool { made, failed := w.Calls(); return made == 3 && failed == 0 && w.openCalls() == 1 })
}

// Guards against a drain that is told by the watch at the address before, in the moment in which an older list of the new address is read:
// that watch is followed until the new one's watch has spoken. Only withdrawals are believed then, and the new list is asked for again.
func TestADrainToldBehindTheNewList(t *testing.T) {
	const before, after = "127.0.0.1:1", "127.0.0.1:2"
	a, b := testutil.Entry("a", "127.0.0.2:1", "Ready"), testutil.Entry("b", "127.0.0.2:2", "Ready")
	var lists atomic.Int32
	played(t, staleness.Options{}, func(_ int, _ time.Duration, r *http.Request, send func(string)) {
		switch {
		case r.Host == before:
			send(testutil.List(5, true, a, b) + "\n")
			time.Sleep(2 * time.Second)
			send("\n")
			time.Sleep(2 * time.Second)
			send(testutil.List(6, false, testutil.Entry("a", "127.0.0.2:1", "Terminating"), testutil.Entry("c", "127.0.0.2:3", "Ready")) + "\n")
		case !r.URL.Query().Has("watch"):
			time.Sleep(time.Second) // so that its watch is not asked for at once
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
	}, func(w *Watcher, dir *endpoints.Registry, start time.Time, _ func() string) {
		time.Sleep(2900 * time.Millisecond)
		w.Redirect(after)
		if took := forgets(t, dir, start); took > 4010*time.Millisecond {
			t.Errorf("the drain is heard of after %v", took)
		}
		if !has(dir, "b") || has(dir, "c") {
			t.Errorf("b %v, c %v: only the drain is believed", has(dir, "b"), has(dir, "c"))
		}
		time.Sleep(5 * time.Second)
		if lists.Load() != 2 || w.openCalls() != 1 || has(dir, "a") || !has(dir, "b") {
			t.Errorf("%d lists, %d calls open, a %v, b %v", lists.Load(), w.openCalls(), has(dir, "a"), has(dir, "b"))
		}
	})
}

// openCalls is how many calls have not ended.
func (w *Watcher) openCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

// Guards against a log that an outage fills: of a long row of failures some are warnings.
func TestFailuresInARowAreLoggedSparingly(t *testing.T) {
	warned := 0
	for failures := 1; failures <= 400; failures++ { // a minute of them
		if failureLevel(failures) == slog.LevelWarn {
			warned++
		}
	}
	if failureLevel(1) != slog.LevelWarn || warned > 40 {
		t.Errorf("%d of 400 are warnings", warned)
	}
}
