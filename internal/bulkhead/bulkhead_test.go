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

// limiterModel is a Limiter beside the rule in its plainest form: what each service holds.
type limiterModel struct {
	limiter *Limiter
	limit   int64
	shares  []Share
	used    map[string]int64
	changed bool // the shares were set anew: the limit may be exceeded until enough is released
}

var modelServices = []string{"a", "b", "c"}

func drawShares(t *rapid.T) (guaranteedFraction float64, shares []Share) {
	shares = []Share{}
	for _, name := range modelServices[:rapid.IntRange(1, 3).Draw(t, "services")] {
		shares = append(shares, Share{name, rapid.Float64Range(0.1, 10).Draw(t, "weight")})
	}
	return rapid.Float64Range(0, 1).Draw(t, "part"), shares
}

// sums returns what is held, what of it is beyond guarantees, and what is guaranteed to all.
func (m *limiterModel) sums() (held, beyond, guaranteed int64) {
	for _, name := range modelServices {
		held += m.used[name]
		beyond += max(0, m.used[name]-m.limiter.Guaranteed(name))
	}
	for _, s := range m.shares {
		guaranteed += m.limiter.Guaranteed(s.Name)
	}
	return held, beyond, guaranteed
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

// tryAcquire holds TryAcquire against the rule: within the guarantee, or with room in the common part.
func (m *limiterModel) tryAcquire(t *rapid.T, name string, n int64) {
	_, beyond, guaranteed := m.sums()
	common := m.limit - guaranteed
	own := m.limiter.Guaranteed(name)
	more := max(0, m.used[name]+n-own) - max(0, m.used[name]-own)
	want := m.hasShare(name) && (more == 0 || beyond+more <= common)
	got := m.limiter.TryAcquire(name, n)
	if got != want {
		t.Fatalf("%s takes %d of %v, own %d, beyond %d of %d: %v", name, n, m.used, own, beyond, common, got)
	}
	if got {
		m.used[name] += n
	}
}

func (m *limiterModel) check(t *rapid.T) {
	held, _, guaranteed := m.sums()
	if !m.changed && held > m.limit || guaranteed > m.limit {
		t.Fatalf("%d held and %d guaranteed of %d", held, guaranteed, m.limit)
	}
	for _, name := range modelServices {
		if m.limiter.Used(name) != m.used[name] {
			t.Fatalf("%s holds %d, want %d", name, m.limiter.Used(name), m.used[name])
		}
	}
}

// checkGuarantees takes what is left of each guarantee, whatever the other services hold.
func (m *limiterModel) checkGuarantees(t *rapid.T) {
	for _, s := range m.shares {
		if n := m.limiter.Guaranteed(s.Name) - m.used[s.Name]; n > 0 && !m.limiter.TryAcquire(s.Name, n) {
			t.Fatalf("%s can't take its own %d", s.Name, n)
		}
	}
}

// TestRule holds the Limiter against the rule's own words, whatever is acquired, released and set: the limit is never
// exceeded while shares stay as they are, and each service can always take what it is guaranteed.
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
			switch rapid.IntRange(0, 9).Draw(t, "what") {
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

// Guards against a wait that never ends, or that the wrong service holds up: what is given back goes to who may have it,
// in the order of coming, and an idle one of the common part is asked for.
func TestSemaphoreWaits(t *testing.T) {
	s, err := NewSemaphore(4, 0.5, []Share{{"a", 1}, {"b", 1}})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // its own, and all that is common
		if !s.TryAcquire("a", 1) {
			t.Fatal("not given")
		}
	}
	if s.TryAcquire("a", 1) {
		t.Fatal("another's own is given away")
	}
	if !s.TryAcquire("b", 1) {
		t.Fatal("b's own is not given")
	}
	asked := make(chan string, 4)
	give := func(name string, has bool) func() bool {
		return func() bool {
			asked <- name
			if has {
				s.Release(name, 1)
			}
			return has
		}
	}
	s.OnContention("a", give("a", true))
	s.OnContention("b", give("b", false))
	if err := s.Acquire(t.Context(), "b", 1); err != nil { // from a, that holds of the common part
		t.Fatal(err)
	}
	if first, second := <-asked, <-asked; first != "b" || second != "a" || s.Used("a") != 2 || s.Used("b") != 2 {
		t.Errorf("asked %s and %s; a holds %d, b %d", first, second, s.Used("a"), s.Used("b"))
	}
	s.OnContention("a", nil)
	s.OnContention("b", nil)
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := s.Acquire(short, "a", 1); err == nil || s.Waiting("a") != 0 {
		t.Errorf("%v, %d wait", err, s.Waiting("a"))
	}
	var all sync.WaitGroup
	for _, name := range []string{"a", "b"} {
		all.Go(func() {
			if err := s.Acquire(t.Context(), name, 1); err != nil {
				t.Error(err)
			}
		})
		base.Eventually(t, "it waits", func() bool { return s.Waiting(name) == 1 })
	}
	s.Release("b", 1)
	s.Release("a", 1)
	all.Wait()
}
