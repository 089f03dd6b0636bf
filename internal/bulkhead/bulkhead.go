// Package bulkhead divides one limit among services, so that a service under load cannot exhaust the capacity that another one needs (the
// bulkhead pattern). Limiter applies the rule below, without locks, I/O and clocks; Semaphore adds locking and waiting.
//
// The rule: the fraction p of a limit L is guaranteed to the services, divided by weight. Service i is guaranteed
//
//	g_i = floor(L·p·w_i / Σw)
//
// but at least 1. The rest, C = L − Σ g_i, is common capacity. A service that uses u_i takes max(0, u_i − g_i) of the common capacity. It
// may acquire more as long as the services together take at most C. So each service can always use its g_i, whatever the others use:
// Σ u_i ≤ Σ g_i + C = L. When weights change, a service that uses more than its new guarantee keeps the excess until it releases it.
// Meanwhile the services may together take more than C; then no service can acquire common capacity.
package bulkhead

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Share is the weight of one service in the division of the guaranteed fraction.
type Share struct {
	Name   string
	Weight float64 // above 0
}

// Limiter applies the rule of the package comment. It is not safe for concurrent use.
type Limiter struct {
	limit      int64
	guaranteed float64 // the fraction of limit that is guaranteed
	shares     []Share
	common     int64 // common capacity
	commonUsed int64
	services   map[string]*usage
}

// usage holds the guarantee of one service and the capacity that it uses.
type usage struct {
	guaranteed int64
	used       int64
	removed    bool // it has no share any more, but still uses some capacity
}

// common returns how much of the common capacity a service uses.
func (u *usage) common() int64 { return max(0, u.used-u.guaranteed) }

// New returns a Limiter with the given limit. The parameter guaranteed is the fraction of the limit, from 0 to 1, that is guaranteed to the
// services.
func New(limit int64, guaranteed float64, shares []Share) (*Limiter, error) {
	l := &Limiter{limit: limit, services: map[string]*usage{}}
	return l, l.Set(guaranteed, shares)
}

// Set changes the guaranteed fraction and the shares. Capacity in use stays in use. If Set returns an error, it has changed nothing.
func (l *Limiter) Set(guaranteed float64, shares []Share) error {
	byService, total, err := guarantees(l.limit, guaranteed, shares)
	if err != nil {
		return err
	}
	l.common, l.guaranteed, l.shares = l.limit-total, guaranteed, slices.Clone(shares)
	for name, u := range l.services {
		if _, hasShare := byService[name]; hasShare {
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

// guarantees divides a fraction of the limit among services by weight.
func guarantees(limit int64, fraction float64, shares []Share) (byService map[string]int64, total int64, err error) {
	if !(fraction >= 0 && fraction <= 1) {
		return nil, 0, fmt.Errorf("guaranteed fraction %v is not from 0 to 1", fraction)
	}
	weights := 0.0
	for _, s := range shares {
		if !(s.Weight > 0) || math.IsInf(s.Weight, 0) {
			return nil, 0, fmt.Errorf("share of service %s: weight %v is not a positive finite number", s.Name, s.Weight)
		}
		weights += s.Weight
	}
	byService = make(map[string]int64, len(shares))
	for _, s := range shares {
		if _, duplicate := byService[s.Name]; duplicate {
			return nil, 0, fmt.Errorf("service %s has more than one share", s.Name)
		}
		byService[s.Name] = max(1, int64(float64(limit)*fraction*s.Weight/weights))
		total += byService[s.Name]
	}
	if total > limit {
		return nil, 0, errors.New("the limit is less than the sum of the guarantees, each of which is at least 1")
	}
	return byService, total, nil
}

// Resize changes the limit. Capacity in use stays in use, even if it exceeds the limit. If Resize returns an error, it has changed nothing.
func (l *Limiter) Resize(limit int64) error {
	before := l.limit
	l.limit = limit
	err := l.Set(l.guaranteed, l.shares)
	if err != nil {
		l.limit = before
	}
	return err
}

// Total returns how much all services use together.
func (l *Limiter) Total() (n int64) {
	for _, u := range l.services {
		n += u.used
	}
	return n
}

// TryAcquire acquires n units of the limit for a service, or none, and reports whether it did. A service without a share gets none.
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

// Release releases n units that a service has acquired. It panics if the service uses less than n, which is a programming error.
func (l *Limiter) Release(name string, n int64) {
	u := l.services[name]
	if u == nil || n < 0 || n > u.used {
		panic(fmt.Sprintf("bulkhead: service %s releases %d, which is negative or more than it uses", name, n))
	}
	before := u.common()
	u.used -= n
	l.commonUsed += u.common() - before
	if u.removed && u.used == 0 {
		delete(l.services, name)
	}
}

// Guaranteed returns how much a service is guaranteed. It returns 0 for a service without a share.
func (l *Limiter) Guaranteed(name string) int64 {
	if u := l.services[name]; u != nil {
		return u.guaranteed
	}
	return 0
}

// Used returns how much a service uses.
func (l *Limiter) Used(name string) int64 {
	if u := l.services[name]; u != nil {
		return u.used
	}
	return 0
}

// OverGuarantee lists the services that use common capacity, in no particular order.
func (l *Limiter) OverGuarantee() (names []string) {
	for name, u := range l.services {
		if u.common() > 0 {
			names = append(names, name)
		}
	}
	return names
}
