package priorityqueue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct{ key, id, index int }

// After any sequence of calls, Pop must return the item with the lowest key and tie, and the index that an item
// stores must be the index of its entry in the heap.
func TestQueueMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(func(x *item) *int { return &x.index })
		var model []*item
		for i := range rapid.IntRange(0, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "key")
			switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
			case kind < 2 || len(model) == 0:
				x := &item{key, i, -1}
				model = append(model, x)
				q.Set(x, float64(key), uint64(i))
			case kind == 2:
				x := model[rapid.IntRange(0, len(model)-1).Draw(t, "item")]
				x.key = key
				q.Set(x, float64(key), uint64(x.id))
			case kind == 3:
				n := rapid.IntRange(0, len(model)-1).Draw(t, "item")
				q.Remove(model[n])
				q.Remove(model[n]) // has no effect: the item is no longer in the queue
				model = slices.Delete(model, n, n+1)
			default:
				x := q.Pop()
				model = slices.DeleteFunc(model, func(other *item) bool { return other == x })
				if x.index != -1 || slices.ContainsFunc(model, func(other *item) bool {
					return other.key < x.key || other.key == x.key && other.id < x.id
				}) {
					t.Fatalf("Pop returned item %v, which does not have the lowest key and tie or whose index is not -1", x)
				}
			}
			seen := 0
			q.All(func(x *item) {
				if seen++; q.entries[x.index].item != x {
					t.Fatalf("item %v stores the index of another item's entry", x)
				}
			})
			if seen != len(model) || q.Len() != len(model) {
				t.Fatalf("the queue has %d items, want %d", seen, len(model))
			}
		}
	})
}
