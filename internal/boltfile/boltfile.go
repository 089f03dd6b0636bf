// Package boltfile opens bbolt files that another process may have locked. The system releases the lock of a killed process only once what
// it was syncing is on the disk, which may be seconds after the process is gone; the process that takes its place has to wait for that.
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

// LockWait says how long to wait for a file that another process has locked.
type LockWait struct {
	Timeout   time.Duration              // the longest wait; 0 or less: until the context ends
	OnWaiting func(waited time.Duration) // if not nil, called at once and then every notifyInterval, with the time waited so far
}

const (
	retryInterval  = 20 * time.Millisecond // between two tries to lock the file
	notifyInterval = time.Second           // between two calls of LockWait.OnWaiting

	// singleTry is a timeout for which bbolt tries once to lock the file. Zero would wait forever.
	singleTry = time.Nanosecond

	fileMode os.FileMode = 0o600 // the files hold clients' keys and answers
)

// ErrLocked is returned when another process held the lock for LockWait.Timeout.
var ErrLocked = errors.New("another process holds the file")

// Open opens a file, or creates it. It returns ErrLocked if the file stays locked, or the error of ctx once that ends.
func Open(ctx context.Context, path string, wait LockWait) (*bbolt.DB, error) {
	started := time.Now()
	var notifyAt time.Duration
	for {
		db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: singleTry})
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
