package bulkhead

import (
	"context"
	"slices"
	"sync"
)

// Semaphore is a Limiter whose Acquire waits. It is safe for concurrent use. Its memory grows with the number of waiting calls.
type Semaphore struct {
	mu      sync.Mutex
	limiter *Limiter
	waiters []*waiter              // in order of arrival
	reclaim map[string]func() bool // by service, see OnContention
}

// waiter is a waiting call of Acquire.
type waiter struct {
	service  string
	n        int64
	acquired chan struct{} // closed once n has been acquired for the waiter
}

// NewSemaphore returns a Semaphore; see New for the arguments.
func NewSemaphore(limit int64, guaranteed float64, shares []Share) (*Semaphore, error) {
	limiter, err := New(limit, guaranteed, shares)
	return &Semaphore{limiter: limiter, reclaim: map[string]func() bool{}}, err
}

// Set calls Limiter.Set, and then grants the waiting calls of Acquire that have become possible.
func (s *Semaphore) Set(guaranteed float64, shares []Share) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.limiter.Set(guaranteed, shares)
	s.grantLocked()
	return err
}

// Resize calls Limiter.Resize, and then grants the waiting calls of Acquire that have become possible.
func (s *Semaphore) Resize(limit int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.limiter.Resize(limit)
	s.grantLocked()
	return err
}

// Total calls Limiter.Total.
func (s *Semaphore) Total() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Total()
}

// OnContention sets the reclaim function of a service, or removes it if reclaim is nil. The function releases one unit that the service has
// acquired and does not need, and reports whether it did. When an Acquire has to wait, it calls reclaim functions without the lock until one
// of them has released a unit: first the function of the waiting service, then the functions of the services that use common capacity.
func (s *Semaphore) OnContention(service string, reclaim func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reclaim == nil {
		delete(s.reclaim, service)
		return
	}
	s.reclaim[service] = reclaim
}

// TryAcquire calls Limiter.TryAcquire. It does not wait.
func (s *Semaphore) TryAcquire(service string, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.TryAcquire(service, n)
}

// Acquire acquires n units for a service, and waits until they are available. If ctx ends first, Acquire acquires nothing and returns ctx's
// error.
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
	case <-w.acquired: // the capacity was acquired just as ctx ended
		return nil
	default:
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(other *waiter) bool { return other == w })
	return ctx.Err()
}

// reclaimersLocked returns the reclaim functions to call when a service waits, in the order in which to call them. s.mu must be held.
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

// Release calls Limiter.Release, and then grants the waiting calls of Acquire that have become possible.
func (s *Semaphore) Release(service string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Release(service, n)
	s.grantLocked()
}

// grantLocked acquires capacity for all waiters that may have it, in order of arrival. A waiter that has to wait longer blocks only later
// waiters of the same service. s.mu must be held.
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

// Used calls Limiter.Used.
func (s *Semaphore) Used(service string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Used(service)
}

// Waiting returns the number of calls of Acquire that wait for a service.
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
