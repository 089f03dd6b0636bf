// Package bulkhead shares one limit between services so that none in trouble can take what another needs: a bulkhead, as
// in a ship's hull. bulkhead.go is the rule, free of locks, I/O and clocks; semaphore.go waits by it.
//
// The rule. Of a limit L, the part L·p is set aside, and split by weight: service i is guaranteed
//
//	g_i = floor(L·p·w_i / Σw)
//
// but 1 at least. What is left, C = L − Σ g_i, is common. A service that holds u_i uses max(0, u_i − g_i) of it, and may
// take n more as long as the sum of that over all services stays at most C. So each can always take its g_i, whatever the
// others hold: Σ u_i ≤ Σ g_i + C = L. Where weights change, who holds more than is now its own keeps it until it gives it
// back; the sum may be above C meanwhile, and then nobody takes of the common part.
package bulkhead

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Share is one service's.
type Share struct {
	Name   string
	Weight float64 // above 0
}

// Limiter applies the rule. It is not safe for concurrent use.
type Limiter struct {
	limit, common int64
	over          int64 // held of the common part
	by            map[string]*usage
	part          float64
	shares        []Share
}

type usage struct {
	guaranteed, used int64
	leaving          bool // no share any more, but still holds something
}

func (h *usage) over() int64 { return max(0, h.used-h.guaranteed) }

// New returns one for a limit of which a part, from 0 to 1, is set aside.
func New(limit int64, part float64, shares []Share) (*Limiter, error) {
	l := &Limiter{limit: limit, by: map[string]*usage{}}
	return l, l.Set(part, shares)
}

// Set changes the part and the shares. What is held stays held. An error leaves all as it was.
func (l *Limiter) Set(part float64, shares []Share) error {
	limit := l.limit
	if !(part >= 0 && part <= 1) {
		return fmt.Errorf("%v is not a part of the limit", part)
	}
	sum := 0.0
	for _, s := range shares {
		if !(s.Weight > 0) || math.IsInf(s.Weight, 0) {
			return fmt.Errorf("share of %s: %v is not usable", s.Name, s.Weight)
		}
		sum += s.Weight
	}
	own, set := make(map[string]int64, len(shares)), int64(0)
	for _, s := range shares {
		if _, twice := own[s.Name]; twice {
			return fmt.Errorf("%s has two shares", s.Name)
		}
		own[s.Name] = max(1, int64(float64(limit)*part*s.Weight/sum))
		set += own[s.Name]
	}
	if set > limit {
		return errors.New("the limit is too low for so many services")
	}
	l.common, l.part, l.shares = limit-set, part, slices.Clone(shares)
	for name, h := range l.by {
		if _, stays := own[name]; !stays {
			if h.guaranteed, h.leaving = 0, true; h.used == 0 {
				delete(l.by, name)
			}
		}
	}
	for name, n := range own {
		if l.by[name] == nil {
			l.by[name] = &usage{}
		}
		l.by[name].guaranteed, l.by[name].leaving = n, false
	}
	l.over = 0
	for _, h := range l.by {
		l.over += h.over()
	}
	return nil
}

// Resize changes the limit. What is held stays held, also beyond it. An error leaves all as it was.
func (l *Limiter) Resize(limit int64) error {
	was := l.limit
	l.limit = limit
	err := l.Set(l.part, l.shares)
	if err != nil {
		l.limit = was
	}
	return err
}

// Total is what all services hold.
func (l *Limiter) Total() (n int64) {
	for _, h := range l.by {
		n += h.used
	}
	return n
}

// TryAcquire takes n for a service, or nothing. One that has no share is given nothing.
func (l *Limiter) TryAcquire(name string, n int64) bool {
	h := l.by[name]
	if h == nil || n < 0 || h.leaving {
		return false
	}
	before := h.over()
	after := max(0, h.used+n-h.guaranteed)
	if more := after - before; more > 0 && l.over+more > l.common {
		return false
	}
	h.used += n
	l.over += after - before
	return true
}

// Release gives n back. Giving more than is held is a mistake of the program.
func (l *Limiter) Release(name string, n int64) {
	h := l.by[name]
	if h == nil || n < 0 || n > h.used {
		panic(fmt.Sprintf("bulkhead: %s gives back %d", name, n))
	}
	before := h.over()
	h.used -= n
	l.over += h.over() - before
	if h.leaving && h.used == 0 {
		delete(l.by, name)
	}
}

// Guaranteed is what a service is guaranteed, and Used what it holds.
func (l *Limiter) Guaranteed(name string) int64 {
	if h := l.by[name]; h != nil {
		return h.guaranteed
	}
	return 0
}

// Used is what a service holds.
func (l *Limiter) Used(name string) int64 {
	if h := l.by[name]; h != nil {
		return h.used
	}
	return 0
}

// OverGuarantee lists who holds of the common part.
func (l *Limiter) OverGuarantee() (names []string) {
	for name, h := range l.by {
		if h.over() > 0 {
			names = append(names, name)
		}
	}
	return names
}
