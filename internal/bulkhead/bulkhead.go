// Package bulkhead divides one limit among services, so that no service under load can take what another one needs: the bulkhead
// pattern. bulkhead.go is the rule, free of locks, I/O and clocks; semaphore.go waits by it.
//
// The rule. Of a limit L, the fraction p is guaranteed and divided by weight: service i is guaranteed
//
//	g_i = floor(L·p·w_i / Σw)
//
// but 1 at least. The rest, C = L − Σ g_i, is common capacity. A service that uses u_i takes max(0, u_i − g_i) of it, and may acquire n
// more as long as the sum of that over all services stays at most C. So each service can always use its g_i, whatever the others use:
// Σ u_i ≤ Σ g_i + C = L. When weights change, a service that uses more than its new guarantee keeps it until it releases it. The sum may
// exceed C meanwhile; no service can acquire common capacity then.
package bulkhead

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Share is the share of one service.
type Share struct {
	Name   string
	Weight float64 // above 0
}

// Limiter applies the rule. It is not safe for concurrent use.
type Limiter struct {
	limit      int64
	guaranteed float64 // the fraction of limit that is guaranteed
	shares     []Share
	common     int64 // common capacity
	commonUsed int64
	services   map[string]*usage
}

// usage is what one service is guaranteed and uses.
type usage struct {
	guaranteed int64
	used       int64
	removed    bool // it has no share any more, but still uses something
}

// common is how much of the common capacity a service uses.
func (u *usage) common() int64 { return max(0, u.used-u.guaranteed) }

// New returns a Limiter of which a fraction, from 0 to 1, is guaranteed to the services.
func New(limit int64, guaranteed float64, shares []Share) (*Limiter, error) {
	l := &Limiter{limit: limit, services: map[string]*usage{}}
	return l, l.Set(guaranteed, shares)
}

// Set changes the guaranteed fraction and the shares. What is used stays in use. An error leaves everything as it was.
func (l *Limiter) Set(guaranteed float64, shares []Share) error {
	byService, total, err := guarantees(l.limit, guaranteed, shares)
	if err != nil {
		return err
	}
	l.common, l.guaranteed, l.shares = l.limit-total, guaranteed, slices.Clone(shares)
	for name, u := range l.services {
		if _, stays := byService[name]; stays {
			continue
		}
		u.guaranteed, u.removed = 0, true
		if u.used == 0 {
			delete(l.services, name)
		}
	}
	for name, n := range byService {
		u := l.services[name]
		if u == nil {
			u = &usage{}
			l.services[name] = u
		}
		u.guaranteed, u.removed = n, false
	}
	l.commonUsed = 0
	for _, u := range l.services {
		l.commonUsed += u.common()
	}
	return nil
}

// guarantees divides a fraction of the limit by weight.
func guarantees(limit int64, fraction float64, shares []Share) (byService map[string]int64, total int64, err error) {
	if !(fraction >= 0 && fraction <= 1) {
		return nil, 0, fmt.Errorf("%v is not a part of the limit", fraction)
	}
	weights := 0.0
	for _, s := range shares {
		if !(s.Weight > 0) || math.IsInf(s.Weight, 0) {
			return nil, 0, fmt.Errorf("share of %s: %v is not usable", s.Name, s.Weight)
		}
		weights += s.Weight
	}
	byService = make(map[string]int64, len(shares))
	for _, s := range shares {
		if _, twice := byService[s.Name]; twice {
			return nil, 0, fmt.Errorf("%s has two shares", s.Name)
		}
		byService[s.Name] = max(1, int64(float64(limit)*fraction*s.Weight/weights))
		total += byService[s.Name]
	}
	if total > limit {
		return nil, 0, errors.New("the limit is too low for so many services")
	}
	return byService, total, nil
}

// Resize changes the limit. What is used stays in use, even beyond it. An error leaves everything as it was.
func (l *Limiter) Resize(limit int64) error {
	before := l.limit
	l.limit = limit
	err := l.Set(l.guaranteed, l.shares)
	if err != nil {
		l.limit = before
	}
	return err
}

// Total is what all services use.
func (l *Limiter) Total() (n int64) {
	for _, u := range l.services {
		n += u.used
	}
	return n
}

// TryAcquire takes n for a service, or nothing. A service without a share gets nothing.
func (l *Limiter) TryAcquire(name string, n int64) bool {
	u := l.services[name]
	if u == nil || n < 0 || u.removed {
		return false
	}
	before := u.common()
	after := max(0, u.used+n-u.guaranteed)
	if more := after - before; more > 0 && l.commonUsed+more > l.common {
		return false
	}
	u.used += n
	l.commonUsed += after - before
	return true
}

// Release returns n. It panics if the service uses less than n, since that is an error of the program.
func (l *Limiter) Release(name string, n int64) {
	u := l.services[name]
	if u == nil || n < 0 || n > u.used {
		panic(fmt.Sprintf("bulkhead: %s releases %d", name, n))
	}
	before := u.common()
	u.used -= n
	l.commonUsed += u.common() - before
	if u.removed && u.used == 0 {
		delete(l.services, name)
	}
}

// Guaranteed is what a service is guaranteed.
func (l *Limiter) Guaranteed(name string) int64 {
	if u := l.services[name]; u != nil {
		return u.guaranteed
	}
	return 0
}

// Used is what a service uses.
func (l *Limiter) Used(name string) int64 {
	if u := l.services[name]; u != nil {
		return u.used
	}
	return 0
}

// OverGuarantee lists the services that use common capacity, in no order.
func (l *Limiter) OverGuarantee() (names []string) {
	for name, u := range l.services {
		if u.common() > 0 {
			names = append(names, name)
		}
	}
	return names
}
