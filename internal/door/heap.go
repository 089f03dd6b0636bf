package door

// heap is a 4-ary heap whose items know their place in it, so that one in the middle can move or leave in O(log n). Keys
// stand in the heap itself: comparing them touches no item. The place of one that is in no heap is -1.
type heap[T any] struct {
	items []ranked[T]
	place func(T) *int
}

type ranked[T any] struct {
	key float64
	tie uint64 // of equal keys the lower goes first
	of  T
}

const arity = 4

func (h *heap[T]) len() int { return len(h.items) }

// first is the item of the least key; the heap is not empty.
func (h *heap[T]) first() T { return h.items[0].of }

// remove takes out an item, if it is in.
func (h *heap[T]) remove(x T) {
	at := h.place(x)
	i := *at
	if i < 0 {
		return
	}
	*at = -1
	last := len(h.items) - 1
	moved := h.items[last]
	h.items[last] = ranked[T]{}
	h.items = h.items[:last]
	if i < last {
		h.settle(i, moved)
	}
}

// fix puts an item where its key belongs; one that is not in goes in.
func (h *heap[T]) fix(x T, key float64, tie uint64) {
	i := *h.place(x)
	if i < 0 {
		i = len(h.items)
		h.items = append(h.items, ranked[T]{})
	}
	h.settle(i, ranked[T]{key, tie, x})
}

func (a *ranked[T]) before(b *ranked[T]) bool {
	return a.key < b.key || a.key == b.key && a.tie < b.tie
}

// settle puts x into the tree whose place i is free, as near to i as the order allows.
func (h *heap[T]) settle(i int, x ranked[T]) {
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

func (h *heap[T]) put(i int, x ranked[T]) {
	h.items[i] = x
	*h.place(x.of) = i
}
