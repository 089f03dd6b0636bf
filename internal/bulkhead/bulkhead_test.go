package bulkhead

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"orchiddrift/internal/testing/testutil/base"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRule holds the Limiter against the rule's own words, whatever is taken, given back and set: the limit is never
// passed while shares stand still, and each can always take what it is guaranteed.
func TestRule(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(3, 60).Draw(t, "limit")
		draw := func() (float64, []Share) {
			shares := []Share{}
			for _, name := range names[:rapid.IntRange(1, 3).Draw(t, "services")] {
				shares = append(shares, Share{name, rapid.Float64Range(0.1, 10).Draw(t, "weight")})
			}
			return rapid.Float64Range(0, 1).Draw(t, "part"), shares
		}
		part, shares := draw()
		l, err := New(limit, part, shares)
		if err != nil {
			t.Skip(err)
		}
		used, changed := map[string]int64{}, false
		sum := func() (all, over, set int64) {
			for _, name := range names {
				all += used[name]
				over += max(0, used[name]-l.Guaranteed(name))
			}
			for _, s := range shares {
				set += l.Guaranteed(s.Name)
			}
			return all, over, set
		}
		has := func(name string) bool {
			for _, s := range shares {
				if s.Name == name {
					return true
				}
			}
			return false
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			n := rapid.Int64Range(0, 8).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if p, s := draw(); l.Set(p, s) == nil {
					part, shares, changed = p, s, true
				}
			case 1, 2, 3:
				if n = min(n, used[name]); n > 0 {
					l.Release(name, n)
					used[name] -= n
				}
			default:
				_, over, set := sum()
				common := limit - set
				more := max(0, used[name]+n-l.Guaranteed(name)) - max(0, used[name]-l.Guaranteed(name))
				want := has(name) && (more == 0 || over+more <= common)
				if got := l.TryAcquire(name, n); got != want {
					t.Fatalf("%s takes %d of %v, own %d, over %d of %d: %v", name, n, used, l.Guaranteed(name), over, common, got)
				} else if got {
					used[name] += n
				}
			}
			all, _, set := sum()
			if !changed && all > limit || set > limit {
				t.Fatalf("%d held and %d set aside of %d", all, set, limit)
			}
			for _, name := range names {
				if l.Used(name) != used[name] {
					t.Fatalf("%s holds %d, and %d by the book", name, l.Used(name), used[name])
				}
			}
		}
		for _, s := range shares { // whatever the others hold
			if n := l.Guaranteed(s.Name) - used[s.Name]; n > 0 && !l.TryAcquire(s.Name, n) {
				t.Fatalf("%s can't take its own %d", s.Name, n)
			}
		}
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
