package upstream

import (
	"context"
	"slices"
)

// evict closes the connection that evictLocked selects, and reports whether it closed one. It is called when all slots are in use and a
// request waits for one.
func (p *Pool) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evictLocked()
}

// evictLocked closes one connection. In order of preference this is a connection that was opened ahead and never used, the connection that
// has been idle longest, or a connection whose request nobody waits for. p.mu is held.
func (p *Pool) evictLocked() bool {
	var candidate *pooledConn
	for _, idle := range p.idle {
		if oldest := idle[0]; candidate == nil || evictBefore(oldest, candidate) {
			candidate = oldest
		}
	}
	if candidate != nil {
		p.setIdleLocked(candidate.name, slices.Delete(p.idle[candidate.name], 0, 1))
		p.discard(candidate)
		return true
	}
	for attempt := range p.abandoned {
		delete(p.abandoned, attempt)
		attempt.Cancel(context.Canceled)
		return true
	}
	return false
}

// evictBefore reports whether idle connection a is evicted before b.
func evictBefore(a, b *pooledConn) bool {
	if a.prewarmed != b.prewarmed {
		return a.prewarmed
	}
	return a.idleSince.Before(b.idleSince)
}

// watchCaller makes an attempt a candidate for eviction once its caller is gone. The returned function ends the watch, and has to be called
// when the attempt has ended.
func (p *Pool) watchCaller(attempt *AttemptOptions) (end func()) {
	stop := context.AfterFunc(attempt.Caller, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if attempt.ended {
			return
		}
		p.abandoned[attempt] = true
		if p.connectionSlots.Waiting(p.service) > 0 {
			p.evictLocked()
		}
	})
	return func() {
		if stop() { // the caller still waits
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		attempt.ended = true
		delete(p.abandoned, attempt)
	}
}
