// Package boltfile opens bbolt files that another process may have locked. The operating system releases the lock of a killed process only
// after the data that the process was syncing has reached the disk. That may take seconds, and the process that replaces it must wait.
package boltfile

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// LockWait configures how long Open waits for a file that another process has locked.
type LockWait struct {
	Timeout   time.Duration              // longest wait; if it is 0 or less, Open waits until the context ends
	OnWaiting func(waited time.Duration) // if not nil, called at once and then every notifyInterval, with the time waited so far
}

const (
	retryInterval  = 20 * time.Millisecond // time between two attempts to lock the file
	notifyInterval = time.Second           // time between two calls of LockWait.OnWaiting

	// singleAttemptTimeout makes bbolt try only once to lock the file. With a timeout of zero, bbolt would wait forever.
	singleAttemptTimeout = time.Nanosecond

	fileMode os.FileMode = 0o600 // owner only: the files hold clients' idempotency keys and answers
)

// ErrLocked is the error of Open if another process holds the lock for longer than LockWait.Timeout.
var ErrLocked = errors.New("another process holds the file")

// Open opens a file, or creates it. It returns ErrLocked if the file stays locked, or the error of ctx if ctx ends first.
func Open(ctx context.Context, path string, wait LockWait) (*bbolt.DB, error) {
	started := time.Now()
	var notifyAt time.Duration
	for {
		db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: singleAttemptTimeout})
		if !errors.Is(err, bolterrors.ErrTimeout) {
			return db, err
		}
		waited := time.Since(started)
		if wait.Timeout > 0 && waited >= wait.Timeout {
			return nil, fmt.Errorf("%w, for %v by now", ErrLocked, waited.Round(time.Millisecond))
		}
		if wait.OnWaiting != nil && waited >= notifyAt {
			wait.OnWaiting(waited)
			notifyAt += notifyInterval
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(retryInterval):
		}
	}
}
