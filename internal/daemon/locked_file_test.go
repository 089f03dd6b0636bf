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

// lockedKeyStore returns the settings of an idempotency key store whose file stays locked until unlock is called. The operating system
// keeps such a lock for some time after the process that holds it was killed.
func lockedKeyStore(t *testing.T) (settings string, unlock func()) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys.db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	return fmt.Sprintf("file = %q\n", path), func() { db.Close() }
}

// Guards against a start that fails because a predecessor that was killed still has the file locked. With a slow disk, the operating system
// may release the lock only seconds after the kill.
func TestStartBehindADeadProcess(t *testing.T) {
	p := newPaymentUpstream(t)
	settings, unlock := lockedKeyStore(t)
	time.AfterFunc(1500*time.Millisecond, unlock)
	r := startFile(t, p.file("6s", "20s", settings))
	p.responses <- "paid"
	if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
		t.Errorf("payment: got %d %s, want 200 paid", status, body)
	}
}

// Guards against a process that cannot be stopped while it waits for a locked file, or that ends with an error when it is stopped then.
func TestStopBehindADeadProcess(t *testing.T) {
	settings, _ := lockedKeyStore(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- ServePlan(ctx, plan(t, newPaymentUpstream(t).file("6s", "20s", settings)), l, config.Sources{}, nil, nil)
	}()
	time.AfterFunc(200*time.Millisecond, stop)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testutil.Timeout / 2):
		t.Error("the process did not end after its context was cancelled while it waited for a locked file")
	}
}

// Guards against a reload that blocks for long because another process has locked a file of the new configuration. The reload gives up
// soon, and the process continues to serve.
func TestReloadWithAHeldFile(t *testing.T) {
	p := newPaymentUpstream(t)
	settings, _ := lockedKeyStore(t)
	r := startFile(t, p.file("6s", "20s", ""))
	start := time.Now()
	if err := r.reload(t, p.file("6s", "20s", settings)); err != nil {
		t.Log(err)
	}
	if took := time.Since(start); took > testutil.Timeout/2 {
		t.Errorf("the reload waited for the locked file for %v, want at most half of the test timeout", took)
	}
	p.responses <- "paid"
	if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
		t.Errorf("payment: got %d %s, want 200 paid", status, body)
	}
}
