package upstream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// Bounds of the backoff after a connection attempt that failed for lack of resources on this machine. The backoff doubles with each failure.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 32 * time.Millisecond
)

// localErrors are the errors of socket(2) and connect(2) that only this machine causes, such as a lack of file descriptors, memory or
// ports.
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR}

// isLocalError reports whether a connect failed because of this machine, which is not a failure of the upstream.
func isLocalError(err error) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(localErrors, errno)
}

// awaitResources waits before the next connect. It evicts one connection before the first wait and none before later ones, since open
// connections can still be used. If ctx ends it returns errSaturated: the attempt counts as not sent, and not as a failure of the upstream.
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
