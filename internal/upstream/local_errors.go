package upstream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// Backoff of a connect that failed for lack of resources on this machine. It doubles from the first to the second.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 32 * time.Millisecond
)

// localErrors of socket(2) and connect(2) are caused by this machine alone: no descriptor, memory or port is free.
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR}

// isLocalError reports whether a connect failed for a reason that says nothing of the upstream.
func isLocalError(err error) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(localErrors, errno)
}

// awaitResources waits before the next connect. The first time it closes the connection of least use, but no further ones, since open
// connections can still be used. If ctx ends it returns errSaturated: the attempt counts as not sent, and the upstream is not blamed.
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
