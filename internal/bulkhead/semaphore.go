package bulkhead

import (
	"context"
	"slices"
	"sync"
)

// Semaphore is a Limiter that can be waited for. It is safe for concurrent use. It holds one entry for each who waits.
type Semaphore struct {
	mu      sync.Mutex
	l       *Limiter
	waiting []*waiter              // in the order of their coming
	wanted  map[string]func() bool // see OnContention
}

type waiter struct {
	name  string
	n     int64
	given chan struct{}
}

// NewSemaphore returns one; see New.
func NewSemaphore(limit int64, part float64, shares []Share) (*Semaphore, error) {
	l, err := New(limit, part, shares)
	return &Semaphore{l: l, wanted: map[string]func() bool{}}, err
}

// Set is Limiter.Set.
func (s *Semaphore) Set(part float64, shares []Share) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.l.Set(part, shares)
	s.grant()
	return err
}

// Resize is Limiter.Resize.
func (s *Semaphore) Resize(limit int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.l.Resize(limit)
	s.grant()
	return err
}

// Total is Limiter.Total.
func (s *Semaphore) Total() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Total()
}

// OnContention names what gives back one that a service holds without need, if it does; nil takes that away. It is called
// without the lock when somebody has to wait: the service's own first, then those of the others that hold of the common
// part, until one has given.
func (s *Semaphore) OnContention(name string, give func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if give == nil {
		delete(s.wanted, name)
		return
	}
	s.wanted[name] = give
}

// TryAcquire takes n for a service, or nothing.
func (s *Semaphore) TryAcquire(name string, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.TryAcquire(name, n)
}

// Acquire takes n for a service, and waits for them until ctx ends.
func (s *Semaphore) Acquire(ctx context.Context, name string, n int64) error {
	s.mu.Lock()
	if s.l.TryAcquire(name, n) {
		s.mu.Unlock()
		return nil
	}
	w := &waiter{name, n, make(chan struct{})}
	s.waiting = append(s.waiting, w)
	own := s.wanted[name]
	var others []func() bool
	for _, of := range s.l.OverGuarantee() {
		if give := s.wanted[of]; give != nil && of != name {
			others = append(others, give)
		}
	}
	s.mu.Unlock()
	if own == nil || !own() {
		for _, give := range others {
			if give() {
				break
			}
		}
	}
	select {
	case <-w.given:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.given: // both at once: it has been given
		return nil
	default:
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
	return ctx.Err()
}

// Release gives n back.
func (s *Semaphore) Release(name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.l.Release(name, n)
	s.grant()
}

// grant gives to all who wait and may have, in the order of their coming; one who may not holds up nobody else's.
func (s *Semaphore) grant() {
	if len(s.waiting) == 0 {
		return
	}
	full := map[string]bool{}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if full[w.name] || !s.l.TryAcquire(w.name, w.n) {
			full[w.name] = true
			return false
		}
		close(w.given)
		return true
	})
}

// Used is what a service holds.
func (s *Semaphore) Used(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Used(name)
}

// Waiting is how many wait for a service's.
func (s *Semaphore) Waiting(name string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiting {
		if w.name == name {
			n++
		}
	}
	return n
}
