package bulkhead

import (
	"context"
	"slices"
	"sync"
)

// Semaphore is a Limiter with waiting. It is safe for concurrent use. It holds one entry for each waiter.
type Semaphore struct {
	mu      sync.Mutex
	limiter *Limiter
	waiters []*waiter              // in order of arrival
	reclaim map[string]func() bool // by service, see OnContention
}

// waiter is a call of Acquire that waits.
type waiter struct {
	service  string
	n        int64
	acquired chan struct{} // closed once n is the waiter's
}

// NewSemaphore returns a Semaphore; see New for the arguments.
func NewSemaphore(limit int64, guaranteed float64, shares []Share) (*Semaphore, error) {
	limiter, err := New(limit, guaranteed, shares)
	return &Semaphore{limiter: limiter, reclaim: map[string]func() bool{}}, err
}

// Set is Limiter.Set.
func (s *Semaphore) Set(guaranteed float64, shares []Share) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.limiter.Set(guaranteed, shares)
	s.grantLocked()
	return err
}

// Resize is Limiter.Resize.
func (s *Semaphore) Resize(limit int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.limiter.Resize(limit)
	s.grantLocked()
	return err
}

// Total is Limiter.Total.
func (s *Semaphore) Total() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Total()
}

// OnContention sets the function that releases one unit that a service does not need, and reports whether it did; nil removes it. It is
// called without the lock when an Acquire has to wait: that of the waiting service first, then those of services that use common
// capacity, until one has released something.
func (s *Semaphore) OnContention(service string, reclaim func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reclaim == nil {
		delete(s.reclaim, service)
		return
	}
	s.reclaim[service] = reclaim
}

// TryAcquire takes n for a service, or nothing.
func (s *Semaphore) TryAcquire(service string, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.TryAcquire(service, n)
}

// Acquire takes n for a service. It waits until ctx ends, and returns ctx's error then.
func (s *Semaphore) Acquire(ctx context.Context, service string, n int64) error {
	s.mu.Lock()
	if s.limiter.TryAcquire(service, n) {
		s.mu.Unlock()
		return nil
	}
	w := &waiter{service, n, make(chan struct{})}
	s.waiters = append(s.waiters, w)
	candidates := s.reclaimersLocked(service)
	s.mu.Unlock()
	for _, reclaim := range candidates {
		if reclaim() {
			break
		}
	}
	select {
	case <-w.acquired:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.acquired: // in the same moment as the end of ctx
		return nil
	default:
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(other *waiter) bool { return other == w })
	return ctx.Err()
}

// reclaimersLocked lists who may release something for a service, in the order in which they are called. s.mu is held.
func (s *Semaphore) reclaimersLocked(service string) (candidates []func() bool) {
	if own := s.reclaim[service]; own != nil {
		candidates = append(candidates, own)
	}
	for _, other := range s.limiter.OverGuarantee() {
		if reclaim := s.reclaim[other]; reclaim != nil && other != service {
			candidates = append(candidates, reclaim)
		}
	}
	return candidates
}

// Release returns n.
func (s *Semaphore) Release(service string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Release(service, n)
	s.grantLocked()
}

// grantLocked gives to all waiters that may acquire, in order of arrival. A waiter that may not holds up later ones of its service only.
// s.mu is held.
func (s *Semaphore) grantLocked() {
	if len(s.waiters) == 0 {
		return
	}
	blocked := map[string]bool{}
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		if blocked[w.service] || !s.limiter.TryAcquire(w.service, w.n) {
			blocked[w.service] = true
			return false
		}
		close(w.acquired)
		return true
	})
}

// Used is what a service uses.
func (s *Semaphore) Used(service string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Used(service)
}

// Waiting is the number of calls of Acquire that wait for a service.
func (s *Semaphore) Waiting(service string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiters {
		if w.service == service {
			n++
		}
	}
	return n
}
