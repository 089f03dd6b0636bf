package boltfile

import (
	"context"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// lockedFile returns a file that is locked until release is called or the test ends.
func lockedFile(t *testing.T) (path string, release func()) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "keys.db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	return path, func() { db.Close() }
}

// TestOpenWaitsForLock checks that Open waits while the file is locked, calls OnWaiting every second, and succeeds after the unlock.
func TestOpenWaitsForLock(t *testing.T) {
	path, release := lockedFile(t)
	notified := 0
	db, err := Open(t.Context(), path, LockWait{Timeout: 20 * time.Second, OnWaiting: func(time.Duration) {
		if notified++; notified == 3 { // after 2 s
			release()
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if notified < 3 {
		t.Errorf("Open returned after %d calls of OnWaiting, want at least 3", notified)
	}
	if err := db.Close(); err != nil {
		t.Error(err)
	}
}

// TestOpenGivesUp checks that Open returns at its timeout, and when its context is canceled, while the file stays locked.
func TestOpenGivesUp(t *testing.T) {
	path, _ := lockedFile(t)
	if _, err := Open(t.Context(), path, LockWait{Timeout: 50 * time.Millisecond}); !errors.Is(err, ErrLocked) {
		t.Errorf("Open with a timeout returned %v, want ErrLocked", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := Open(ctx, path, LockWait{OnWaiting: func(time.Duration) { cancel() }}); !errors.Is(err, context.Canceled) {
		t.Errorf("Open with a canceled context returned %v, want context.Canceled", err)
	}
}
