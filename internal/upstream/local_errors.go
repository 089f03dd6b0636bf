package upstream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// Bounds of the backoff after a connect that failed for lack of resources on this machine. The backoff doubles with each failure.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 32 * time.Millisecond
)

// localErrors are the errors of socket(2) and connect(2) that this machine alone causes: no file descriptor, memory or port is free.
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR}

// isLocalError reports whether a connect failed for a reason that says nothing about the upstream.
func isLocalError(err error) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(localErrors, errno)
}

// awaitResources waits before the next connect. Before the first wait it evicts one connection, but no further ones, since open connections
// can still be used. If ctx ends it returns errSaturated: the attempt counts as not sent, and does not count as a failure of the upstream.
func (p *Pool) awaitResources(ctx context.Context, backoff time.Duration, cause error) error {
	if backoff == minDialBackoff {
		p.evict()
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errSaturated, cause)
	}
}
