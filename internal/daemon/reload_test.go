package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// Guards against a reload that loses the endpoint list or follows two discovery services. If the discovery address changes, the sidecar at
// once requests the complete list from the new address, since list versions of the old address mean nothing there, and ends the old watch.
// A malformed file and a repeated signal change nothing.
func TestReload(t *testing.T) {
	logged := testutil.Logged(t)
	firstWatchEnded := make(chan struct{})
	first := testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(testutil.List(40, false))
		<-done
		close(firstWatchEnded)
	})
	s, replacement := testutil.Raw(t, fakes.Says(fakes.OK200("old"))), testutil.Raw(t, fakes.Says(fakes.OK200("new")))
	second := testutil.Discovery(t, func(n int, send func(string), done <-chan struct{}) {
		if n == 1 {
			send(testutil.List(3, true, testutil.Entry("m", replacement.Address, "Ready")))
			return
		}
		send("")
		<-done
	})
	c := testutil.Config(t, first.Address, testutil.Entry("s", s.Address, "Ready"))
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
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, c, l, path, hup, nil) }()
	r := &running{address: l.Addr().String(), client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	testutil.Eventually(t, "the first discovery service is watched from version 1", func() bool { return slices.Equal(first.Calls(), []string{"1"}) })

	write(`{"name":`)
	hup <- syscall.SIGHUP
	testutil.Eventually(t, "the log reports the malformed file", func() bool {
		return strings.Contains(logged(), "the old configuration stays")
	})
	write(testutil.ConfigText(second.Address))
	hup <- syscall.SIGHUP
	select {
	case <-firstWatchEnded:
	case <-time.After(testutil.Timeout):
		t.Fatal("the watch of the old discovery address did not end after the reload")
	}
	testutil.Eventually(t, "the complete list is requested from the new discovery service, which is then watched from version 3", func() bool {
		return slices.Equal(second.Calls(), []string{"", "3"})
	})
	if resp, body := r.do(t, testutil.Request(t, r.address, "search", "")); resp.StatusCode != 200 || body != "new" {
		t.Errorf("after the reload: got %s %q, want 200 and body new", resp.Status, body)
	}
	for range 3 {
		hup <- syscall.SIGHUP
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if len(first.Calls()) != 1 || len(second.Calls()) != 2 {
		t.Errorf("list versions in the calls of the old discovery address: %v, want 1 call; of the new address: %v, want 2 calls", first.Calls(), second.Calls())
	}
	if n := strings.Count(logged(), "the old configuration stays"); n != 1 {
		t.Errorf("the malformed file was logged %d times, want 1", n)
	}
}
