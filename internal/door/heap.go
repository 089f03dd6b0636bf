package door

// heap is a binary heap whose items know their place in it, so that one in the middle can move or leave in O(log n).
// The place of one that is in no heap is -1.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

// first is the least item; the heap is not empty.
func (h *heap[T]) first() T { return h.items[0] }

func (h *heap[T]) push(x T) {
	*h.place(x) = len(h.items)
	h.items = append(h.items, x)
	h.up(len(h.items) - 1)
}

// remove takes out an item, if it is in.
func (h *heap[T]) remove(x T) {
	i := *h.place(x)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	if i != last {
		h.swap(i, last)
	}
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.place(x) = -1
	if i != last && !h.down(i) {
		h.up(i)
	}
}

// fix moves an item whose order has changed; one that is not in goes in.
func (h *heap[T]) fix(x T) {
	i := *h.place(x)
	if i < 0 {
		h.push(x)
		return
	}
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]), *h.place(h.items[j]) = i, j
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) (moved bool) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.items) && h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return moved
		}
		h.swap(i, least)
		i, moved = least, true
	}
}
