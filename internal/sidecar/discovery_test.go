package sidecar

import (
	"slices"
	"strings"
	"testing"
	"time"

	"granitehinge/balancer"
)

// watch runs a watcher as a module would that asks again at once.
func watch(t *testing.T, d *fakeDiscovery, silence time.Duration, known ...string) (*directory, chan balancer.Members) {
	t.Helper()
	told := make(chan balancer.Members, 64)
	u := testUpstreams(t, 4, known...)
	var w *watcher
	w = newWatcher(testConfig(t, d.address, known...), u.dir, func(m balancer.Members) {
		told <- m
		if m.Kind == balancer.Failed {
			w.ask()
		}
	})
	w.silence = silence
	done := make(chan struct{})
	go func() {
		w.run(t.Context(), true) // ends before the cleanups
		close(done)
	}()
	t.Cleanup(func() { <-done })
	w.ask()
	return u.dir, told
}

func next(t *testing.T, told chan balancer.Members) balancer.Members {
	t.Helper()
	select {
	case m := <-told:
		return m
	case <-time.After(patience):
		t.Fatal("nothing was reported")
		panic("unreachable")
	}
}

// Guards against a list that differs from discovery's: changes apply to what is known, a snapshot replaces it.
func TestWatchFollowsTheList(t *testing.T) {
	d := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(list(5, false, entry("b", "127.0.0.2:2", "Ready"), entry("a", "127.0.0.2:1", "Terminating")))
		send("")
		send(`{"index":6,"snapshot":true,"new_field":[1],"endpoints":[` + entry("c", "127.0.0.2:3", "Ready") + `]}`)
		<-done
	})
	dir, told := watch(t, d, patience, entry("a", "127.0.0.2:1", "Ready"))
	m := next(t, told)
	if m.Kind != balancer.Change || len(m.Entries) != 2 || m.Entries[0].State != balancer.Active ||
		m.Entries[1].State != balancer.Leaving || m.Entries[0].Machine != "m" || m.Entries[0].Zone != "a" {
		t.Errorf("changes told as %+v", m)
	}
	if m = next(t, told); m.Kind != balancer.Full || len(m.Entries) != 1 {
		t.Errorf("snapshot told as %+v", m)
	}
	for name, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ok := dir.place(name); ok != want {
			t.Errorf("%s wants requests: %v", name, ok)
		}
	}
	if froms := d.watches(); !slices.Equal(froms, []string{"1"}) {
		t.Errorf("watches from %v", froms)
	}
}

// Guards against a list lost to a bad line: the last good one stays, and is asked for again from there.
func TestMalformedLines(t *testing.T) {
	for name, bad := range map[string]string{
		"not JSON":   `{"index":8,`,
		"no index":   `{"snapshot":true,"endpoints":[]}`,
		"no name":    list(8, true, entry("", "127.0.0.2:2", "Ready")),
		"no address": list(8, true, entry("b", "", "Ready")),
		"a host":     list(8, true, entry("b", "elsewhere.example:80", "Ready")),
		"too long":   list(8, true, entry(strings.Repeat("b", maxLine), "127.0.0.2:2", "Ready")),
	} {
		t.Run(name, func(t *testing.T) {
			d := newDiscovery(t, func(n int, send func(string), done <-chan struct{}) {
				if n == 1 {
					send(list(7, false))
					send(bad)
				}
				<-done
			})
			dir, told := watch(t, d, patience, entry("a", "127.0.0.2:1", "Ready"))
			if m := next(t, told); m.Kind != balancer.Change {
				t.Errorf("told %+v", m)
			}
			if m := next(t, told); m.Kind != balancer.Failed {
				t.Errorf("told %+v", m)
			}
			eventually(t, "asked again", func() bool { return len(d.watches()) == 2 })
			if froms := d.watches(); froms[1] != "7" {
				t.Errorf("asked again from %s", froms[1])
			}
			if _, ok := dir.place("a"); !ok {
				t.Error("the good list is lost")
			}
		})
	}
}

// Guards against a watch that died in silence: the network reports nothing, the empty lines stop.
func TestSilentWatchIsDead(t *testing.T) {
	d := newDiscovery(t, func(n int, send func(string), done <-chan struct{}) {
		send(list(6+n, false))
		<-done
	})
	_, told := watch(t, d, 100*time.Millisecond)
	for _, want := range []balancer.MembersKind{balancer.Change, balancer.Failed, balancer.Change} {
		if m := next(t, told); m.Kind != want {
			t.Fatalf("told %+v, want kind %d", m, want)
		}
	}
}

// Guards against a watch that is taken for not yet answered because there is no news: an empty line answers it.
func TestWatchWithoutNewsIsAnswered(t *testing.T) {
	d := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		send("")
		send(list(9, false))
		<-done
	})
	dir, told := watch(t, d, patience, entry("a", "127.0.0.2:1", "Ready"))
	for range 2 { // the answer and the news, nothing for the second empty line
		if m := next(t, told); m.Kind != balancer.Change || len(m.Entries) != 0 {
			t.Errorf("told %+v", m)
		}
	}
	if len(told) != 0 {
		t.Errorf("told %+v too", <-told)
	}
	if _, ok := dir.place("a"); !ok {
		t.Error("the known list is lost")
	}
}

// Guards against a list that stands still where nobody asks for it: a pushed list is watched again by itself,
// and the module hears of no failure of a call that it did not make.
func TestPushedListIsWatchedAgain(t *testing.T) {
	d := newDiscovery(t, func(n int, send func(string), done <-chan struct{}) {
		send(list(6+n, false))
		if n > 1 {
			<-done
		}
	})
	told := make(chan balancer.Members, 4)
	w := newWatcher(testConfig(t, d.address), testUpstreams(t, 4).dir, func(m balancer.Members) { told <- m })
	done := make(chan struct{})
	go func() {
		w.run(t.Context(), false)
		close(done)
	}()
	t.Cleanup(func() { <-done })
	for range 2 {
		if m := next(t, told); m.Kind != balancer.Change {
			t.Errorf("told %+v", m)
		}
	}
	if froms := d.watches(); !slices.Equal(froms, []string{"1", "7"}) {
		t.Errorf("watches from %v", froms)
	}
}

// Guards against a new process taken for an old one: its age tells the module how warm it is. Also one that
// started before this sidecar did.
func TestSinceIsOnTheSidecarsClock(t *testing.T) {
	clk := newClock()
	if got := clk.unixMs(0); got != 0 {
		t.Errorf("long ago is %v", got)
	}
	since := float64(clk.start.Add(-3 * time.Second).UnixMilli())
	if got := clk.unixMs(since) - clockStart; got > -2900*time.Millisecond || got < -3100*time.Millisecond {
		t.Errorf("3 s before the start is %v", got)
	}
	if got := clk.unixMs(1); got != 0 {
		t.Errorf("1970 is %v", got)
	}
}
