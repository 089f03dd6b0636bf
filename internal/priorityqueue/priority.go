// Package priorityqueue is a priority queue for simulations and schedulers: container/heap's job with the keys beside the items, so
// that comparing them touches no item, without an allocation a call, and with items that can move or leave from the middle.
package priorityqueue

// Queue is a 4-ary heap. All calls take O(log n). It is not safe for concurrent use.
type Queue[T any] struct {
	items []ranked[T]
	place func(T) *int
}

// New returns a Queue whose items know their place in it: place tells where an item keeps that, -1 while it is in no queue.
// With a nil place items can only be pushed and popped.
func New[T any](place func(T) *int) Queue[T] { return Queue[T]{place: place} }

type ranked[T any] struct {
	key float64
	tie uint64 // of equal keys the lower goes first
	of  T
}

const arity = 4

// Len is how many items are in.
func (h *Queue[T]) Len() int { return len(h.items) }

// First is the item of the least key. The queue is not empty.
func (h *Queue[T]) First() T { return h.items[0].of }

// FirstKey is its key.
func (h *Queue[T]) FirstKey() float64 { return h.items[0].key }

// All calls do for each item, in no order. do must not change the queue.
func (h *Queue[T]) All(do func(T)) {
	for i := range h.items {
		do(h.items[i].of)
	}
}

// Push puts an item in. Of equal keys the lower tie goes first.
func (h *Queue[T]) Push(x T, key float64, tie uint64) {
	h.items = append(h.items, ranked[T]{})
	h.settle(len(h.items)-1, ranked[T]{key, tie, x})
}

// Pop takes out the first item.
func (h *Queue[T]) Pop() T {
	x := h.items[0].of
	if h.place != nil {
		*h.place(x) = -1
	}
	h.cut(0)
	return x
}

// Remove takes out an item, if it is in.
func (h *Queue[T]) Remove(x T) {
	at := h.place(x)
	i := *at
	if i < 0 {
		return
	}
	*at = -1
	h.cut(i)
}

func (h *Queue[T]) cut(i int) {
	last := len(h.items) - 1
	moved := h.items[last]
	h.items[last] = ranked[T]{}
	h.items = h.items[:last]
	if i < last {
		h.settle(i, moved)
	}
}

// Set puts an item where its key belongs; one that is not in goes in.
func (h *Queue[T]) Set(x T, key float64, tie uint64) {
	if i := *h.place(x); i >= 0 {
		h.settle(i, ranked[T]{key, tie, x})
		return
	}
	h.Push(x, key, tie)
}

func (a *ranked[T]) before(b *ranked[T]) bool {
	return a.key < b.key || a.key == b.key && a.tie < b.tie
}

// settle puts x into the tree whose place i is free, as near to i as the order allows.
func (h *Queue[T]) settle(i int, x ranked[T]) {
	for i > 0 {
		parent := (i - 1) / arity
		if !x.before(&h.items[parent]) {
			break
		}
		h.put(i, h.items[parent])
		i = parent
	}
	for {
		least := -1
		for child := arity*i + 1; child <= arity*i+arity && child < len(h.items); child++ {
			if least < 0 || h.items[child].before(&h.items[least]) {
				least = child
			}
		}
		if least < 0 || !h.items[least].before(&x) {
			h.put(i, x)
			return
		}
		h.put(i, h.items[least])
		i = least
	}
}

func (h *Queue[T]) put(i int, x ranked[T]) {
	h.items[i] = x
	if h.place != nil {
		*h.place(x.of) = i
	}
}
