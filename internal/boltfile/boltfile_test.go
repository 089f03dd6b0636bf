package boltfile

import (
	"context"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

func held(t *testing.T) (path string, release func()) {
	path = filepath.Join(t.TempDir(), "keys.db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	return path, func() { db.Close() }
}

// Guards against a process that ends since the one before it is dead, and its lock is not: it waits, says so, and has the file then.
func TestHeldFileIsWaitedFor(t *testing.T) {
	path, release := held(t)
	said := 0
	db, err := Open(t.Context(), path, LockWait{Timeout: 20 * time.Second, OnWaiting: func(time.Duration) {
		if said++; said == 3 { // 2 s later
			release()
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if said < 3 {
		t.Errorf("it has the file after %d words of it", said)
	}
	if err := db.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against a wait without an end, and one that holds up the end of the process.
func TestHeldFileIsGivenUp(t *testing.T) {
	path, _ := held(t)
	if _, err := Open(t.Context(), path, LockWait{Timeout: 50 * time.Millisecond}); !errors.Is(err, ErrLocked) {
		t.Errorf("%v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := Open(ctx, path, LockWait{OnWaiting: func(time.Duration) { cancel() }}); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}
