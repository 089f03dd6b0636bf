package daemon

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"orchiddrift/internal/config"
	"orchiddrift/internal/testing/testutil"
)

// heldKeys is the part of a file that names a store of keys, which this test holds until let is called, as the system does for a process
// that was killed.
func heldKeys(t *testing.T) (part string, let func()) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys.db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	return fmt.Sprintf("file = %q\n", path), func() { db.Close() }
}

// Guards against a process that ends as it takes a killed one's place, since the system has not let go of that one's file: a slow disk
// keeps it for seconds.
func TestStartBehindADeadProcess(t *testing.T) {
	p := newPaymentUpstream(t)
	part, let := heldKeys(t)
	time.AfterFunc(1500*time.Millisecond, let)
	r := startFile(t, p.file("6s", "20s", part))
	p.responses <- "paid"
	if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
		t.Errorf("%d %s", status, body)
	}
}

// Guards against a process that can't be ended while it waits for a file, or whose end then counts as a crash.
func TestStopBehindADeadProcess(t *testing.T) {
	part, _ := heldKeys(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- ServePlan(ctx, plan(t, newPaymentUpstream(t).file("6s", "20s", part)), l, config.Sources{}, nil, nil)
	}()
	time.AfterFunc(200*time.Millisecond, stop)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testutil.Timeout / 2):
		t.Error("it does not end")
	}
}

// Guards against a reload that waits long for a file that another process holds: it changes nothing, and the process serves on.
func TestReloadWithAHeldFile(t *testing.T) {
	p := newPaymentUpstream(t)
	part, _ := heldKeys(t)
	r := startFile(t, p.file("6s", "20s", ""))
	begun := time.Now()
	if err := r.reload(t, p.file("6s", "20s", part)); err != nil {
		t.Log(err)
	}
	if took := time.Since(begun); took > testutil.Timeout/2 {
		t.Errorf("it waited for %v", took)
	}
	p.responses <- "paid"
	if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
		t.Errorf("%d %s", status, body)
	}
}
