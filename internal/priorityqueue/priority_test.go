package priorityqueue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct{ key, id, at int }

// Any order of calls gives what a sorted slice gives, and places that are true.
func TestLikeASlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(func(x *item) *int { return &x.at })
		var all []*item
		for i := range rapid.IntRange(0, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "key")
			switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
			case kind < 2 || len(all) == 0:
				x := &item{key, i, -1}
				all = append(all, x)
				q.Set(x, float64(key), uint64(i))
			case kind == 2:
				x := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				x.key = key
				q.Set(x, float64(key), uint64(x.id))
			case kind == 3:
				n := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				q.Remove(all[n])
				q.Remove(all[n]) // is out already
				all = slices.Delete(all, n, n+1)
			default:
				x := q.Pop()
				all = slices.DeleteFunc(all, func(o *item) bool { return o == x })
				if x.at != -1 || slices.ContainsFunc(all, func(o *item) bool { return o.key < x.key || o.key == x.key && o.id < x.id }) {
					t.Fatalf("%v is not the first", x)
				}
			}
			seen := 0
			q.All(func(x *item) {
				if seen++; q.items[x.at].of != x {
					t.Fatalf("%v is elsewhere", x)
				}
			})
			if seen != len(all) || q.Len() != len(all) {
				t.Fatalf("%d in, of %d", seen, len(all))
			}
		}
	})
}
