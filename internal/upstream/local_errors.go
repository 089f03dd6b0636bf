package upstream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// The wait before a connect is made again that this machine has failed. It doubles from first to most.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 32 * time.Millisecond
)

// localErrors are those of socket(2) and connect(2) that come of this machine alone: no descriptor, memory or port is free.
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR}

// isLocalError tells whether a connect failed for a reason that says nothing of the upstream.
func isLocalError(err error) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(localErrors, errno)
}

// awaitResources waits for what others free; at first it closes the connection that has been idle for longest, and no more of them, since
// those that are open can still be used. At the end of ctx it returns errSaturated, so that the attempt counts as never sent and its
// upstream is not blamed.
func (u *Pool) awaitResources(ctx context.Context, wait time.Duration, cause error) error {
	if wait == minDialBackoff {
		u.evict()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errSaturated, cause)
	}
}
