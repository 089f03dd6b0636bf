// Package boltfile opens bbolt files that another process may still hold. The system lets go of a killed process's lock only once what
// it was syncing is on the disk, which may be seconds after the process is gone; a process that takes its place waits for that.
package boltfile

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// LockWait is how a file that is held is waited for.
type LockWait struct {
	Timeout   time.Duration             // at most, if over 0
	OnWaiting func(since time.Duration) // is told at once and then every sayEvery; nil: nobody is
}

const (
	tryEvery = 20 * time.Millisecond
	sayEvery = time.Second
)

// ErrLocked is the error where a file was held for longer than it could be waited for.
var ErrLocked = errors.New("another process holds the file")

// Open opens a file, or makes it. It ends early with ctx.
func Open(ctx context.Context, path string, wait LockWait) (*bbolt.DB, error) {
	begun := time.Now()
	var says time.Duration
	for {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 1}) // it tries once
		if !errors.Is(err, bolterrors.ErrTimeout) {
			return db, err
		}
		waited := time.Since(begun)
		if wait.Timeout > 0 && waited >= wait.Timeout {
			return nil, fmt.Errorf("%w, for %v by now", ErrLocked, waited.Round(time.Millisecond))
		}
		if wait.OnWaiting != nil && waited >= says {
			wait.OnWaiting(waited)
			says += sayEvery
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(tryEvery):
		}
	}
}
