package bulkhead

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"orchiddrift/internal/testing/testutil/base"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// limiterModel checks a Limiter against a model, which records how much each service uses and applies the rule
// directly.
type limiterModel struct {
	limiter *Limiter
	limit   int64
	shares  []Share
	used    map[string]int64
	changed bool // the shares were changed: the limit may be exceeded until enough is released
}

var modelServices = []string{"a", "b", "c"}

func drawShares(t *rapid.T) (guaranteedFraction float64, shares []Share) {
	shares = []Share{}
	for _, name := range modelServices[:rapid.IntRange(1, 3).Draw(t, "services")] {
		shares = append(shares, Share{name, rapid.Float64Range(0.1, 10).Draw(t, "weight")})
	}
	return rapid.Float64Range(0, 1).Draw(t, "guaranteed fraction"), shares
}

// sums returns how much all services use, how much of that exceeds guarantees, and how much is guaranteed.
func (m *limiterModel) sums() (inUse, overGuarantee, guaranteed int64) {
	for _, name := range modelServices {
		inUse += m.used[name]
		overGuarantee += max(0, m.used[name]-m.limiter.Guaranteed(name))
	}
	for _, s := range m.shares {
		guaranteed += m.limiter.Guaranteed(s.Name)
	}
	return inUse, overGuarantee, guaranteed
}

func (m *limiterModel) hasShare(name string) bool {
	return slices.ContainsFunc(m.shares, func(s Share) bool { return s.Name == name })
}

func (m *limiterModel) setShares(t *rapid.T) {
	if fraction, shares := drawShares(t); m.limiter.Set(fraction, shares) == nil {
		m.shares, m.changed = shares, true
	}
}

func (m *limiterModel) release(name string, n int64) {
	if n = min(n, m.used[name]); n > 0 {
		m.limiter.Release(name, n)
		m.used[name] -= n
	}
}

// tryAcquire checks TryAcquire against the rule: the service stays within its guarantee, or the common capacity
// suffices.
func (m *limiterModel) tryAcquire(t *rapid.T, name string, n int64) {
	_, overGuarantee, guaranteed := m.sums()
	common := m.limit - guaranteed
	guarantee := m.limiter.Guaranteed(name)
	more := max(0, m.used[name]+n-guarantee) - max(0, m.used[name]-guarantee)
	want := m.hasShare(name) && (more == 0 || overGuarantee+more <= common)
	got := m.limiter.TryAcquire(name, n)
	if got != want {
		t.Fatalf("service %s acquires %d: used %v, guarantee %d, %d of %d common capacity used: TryAcquire returned the wrong result %v",
			name, n, m.used, guarantee, overGuarantee, common, got)
	}
	if got {
		m.used[name] += n
	}
}

func (m *limiterModel) check(t *rapid.T) {
	inUse, _, guaranteed := m.sums()
	if !m.changed && inUse > m.limit || guaranteed > m.limit {
		t.Fatalf("%d in use and %d guaranteed, at least one of which exceeds the limit %d", inUse, guaranteed, m.limit)
	}
	for _, name := range modelServices {
		if m.limiter.Used(name) != m.used[name] {
			t.Fatalf("service %s uses %d, want %d", name, m.limiter.Used(name), m.used[name])
		}
	}
}

// checkGuarantees checks that each service can acquire the rest of its guarantee, whatever the other services use.
func (m *limiterModel) checkGuarantees(t *rapid.T) {
	for _, s := range m.shares {
		if n := m.limiter.Guaranteed(s.Name) - m.used[s.Name]; n > 0 && !m.limiter.TryAcquire(s.Name, n) {
			t.Fatalf("service %s can't acquire the remaining %d of its guarantee", s.Name, n)
		}
	}
}

// TestRule checks the Limiter against the rule for random calls of TryAcquire, Release and Set: the limit is never
// exceeded while the shares do not change, and each service can always acquire what it is guaranteed.
func TestRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(3, 60).Draw(t, "limit")
		fraction, shares := drawShares(t)
		limiter, err := New(limit, fraction, shares)
		if err != nil {
			t.Skip(err)
		}
		model := &limiterModel{limiter: limiter, limit: limit, shares: shares, used: map[string]int64{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(modelServices).Draw(t, "name")
			n := rapid.Int64Range(0, 8).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				model.setShares(t)
			case 1, 2, 3:
				model.release(name, n)
			default:
				model.tryAcquire(t, name, n)
			}
			model.check(t)
		}
		model.checkGuarantees(t)
	})
}

// TestSemaphoreWaits guards against calls of Acquire that wait forever or behind a waiter of another service. Released
// capacity must go to the waiters that may acquire it, in order of arrival, and a waiting call must reclaim idle common
// capacity.
func TestSemaphoreWaits(t *testing.T) {
	s, err := NewSemaphore(4, 0.5, []Share{{"a", 1}, {"b", 1}})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // the guarantee of 1 and the common capacity of 2
		if !s.TryAcquire("a", 1) {
			t.Fatal("service a could not acquire its guarantee and the common capacity")
		}
	}
	if s.TryAcquire("a", 1) {
		t.Fatal("service a acquired capacity that is guaranteed to service b")
	}
	if !s.TryAcquire("b", 1) {
		t.Fatal("service b could not acquire its guarantee")
	}
	reclaimCalls := make(chan string, 4)
	reclaimer := func(name string, idle bool) func() bool {
		return func() bool {
			reclaimCalls <- name
			if idle {
				s.Release(name, 1)
			}
			return idle
		}
	}
	s.OnContention("a", reclaimer("a", true))
	s.OnContention("b", reclaimer("b", false))
	if err := s.Acquire(t.Context(), "b", 1); err != nil { // reclaimed from a, which uses common capacity
		t.Fatal(err)
	}
	if first, second := <-reclaimCalls, <-reclaimCalls; first != "b" || second != "a" || s.Used("a") != 2 || s.Used("b") != 2 {
		t.Errorf("reclaimed from %s, then %s, want b, then a; a uses %d, b %d, want 2 each", first, second, s.Used("a"), s.Used("b"))
	}
	s.OnContention("a", nil)
	s.OnContention("b", nil)
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := s.Acquire(short, "a", 1); err == nil || s.Waiting("a") != 0 {
		t.Errorf("Acquire whose context ended: error %v, want one; %d calls still wait, want 0", err, s.Waiting("a"))
	}
	var all sync.WaitGroup
	for _, name := range []string{"a", "b"} {
		all.Go(func() {
			if err := s.Acquire(t.Context(), name, 1); err != nil {
				t.Error(err)
			}
		})
		base.Eventually(t, "a call of Acquire waits", func() bool { return s.Waiting(name) == 1 })
	}
	s.Release("b", 1)
	s.Release("a", 1)
	all.Wait()
}
