package sidecar

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"granitehinge/balancer"
)

// logged collects what is logged while a test runs.
func logged(t *testing.T) func() string {
	t.Helper()
	var mu sync.Mutex
	var text bytes.Buffer
	log.SetOutput(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return text.Write(p)
	}))
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return text.String()
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against a reload that loses the list or follows two: a new address is asked for the whole list at once,
// since its versions are its own, and the old watch ends. A malformed file and a repeated signal change nothing.
func TestReload(t *testing.T) {
	said := logged(t)
	ended := make(chan struct{})
	first := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(list(40, false))
		<-done
		close(ended)
	})
	s, moved := newUpstream(t, says(ok200("old"))), newUpstream(t, says(ok200("new")))
	second := newDiscovery(t, func(n int, send func(string), done <-chan struct{}) {
		if n == 1 {
			send(list(3, true, entry("m", moved.address, "Ready")))
			return
		}
		send("")
		<-done
	})
	c := testConfig(t, first.address, entry("s", s.address, "Ready"))
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hup := make(chan os.Signal)
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() { over <- serve(ctx, c, l, path, hup) }()
	r := &running{address: l.Addr().String(), client: &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}}
	eventually(t, "the first watch", func() bool { return slices.Equal(first.watches(), []string{"1"}) })

	write(`{"name":`)
	hup <- syscall.SIGHUP
	eventually(t, "the malformed file is reported", func() bool {
		return strings.Contains(said(), "the old configuration stays")
	})
	write(testConfigText(second.address))
	hup <- syscall.SIGHUP
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the old watch goes on")
	}
	eventually(t, "the whole list, then a watch from its version", func() bool {
		return slices.Equal(second.watches(), []string{"", "3"})
	})
	if resp, body := r.do(t, request(t, r.address, "search", "")); resp.StatusCode != 200 || body != "new" {
		t.Errorf("after the reload: %s %q", resp.Status, body)
	}
	for range 3 {
		hup <- syscall.SIGHUP
	}
	cancel()
	if err := <-over; err != nil {
		t.Error(err)
	}
	if len(first.watches()) != 1 || len(second.watches()) != 2 {
		t.Errorf("watches %v and %v", first.watches(), second.watches())
	}
	if n := strings.Count(said(), "the old configuration stays"); n != 1 {
		t.Errorf("the malformed file took %d lines", n)
	}
}

// Guards against a list that is told late: a new address that fails at first is asked again soon, and not when
// the module's growing wait is over. The module learns that the list is back, also when it did not ask.
func TestNewAddressIsAskedAgainSoon(t *testing.T) {
	d := newDiscovery(t, func(n int, send func(string), done <-chan struct{}) {
		if n == 3 {
			send(list(3, true))
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
	told := make(chan balancer.Members, 64)
	u := testUpstreams(t, 4)
	w := newWatcher(testConfig(t, "127.0.0.1:1"), u.dir, func(m balancer.Members) { told <- m })
	done := make(chan struct{})
	go func() {
		w.run(t.Context(), true)
		close(done)
	}()
	t.Cleanup(func() { <-done })
	w.ask()
	if m := next(t, told); m.Kind != balancer.Failed {
		t.Errorf("told %+v", m)
	}
	w.redirect(d.address) // and nobody asks
	if m := next(t, told); m.Kind != balancer.Full {
		t.Errorf("told %+v", m)
	}
	eventually(t, "a watch after the list", func() bool { return len(d.watches()) == 4 })
	w.ask()
	if m := next(t, told); m.Kind != balancer.Change || len(m.Entries) != 0 {
		t.Errorf("told %+v", m)
	}
}
