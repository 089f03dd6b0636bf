// Package priorityqueue is a priority queue for simulations and schedulers. Unlike container/heap it keeps the keys beside
// the items, so that comparisons do not touch the items; it does not allocate on each call; and items can be moved and
// removed anywhere in the queue.
package priorityqueue

// Queue is a 4-ary heap of items by ascending key. All calls take O(log n). It is not safe for concurrent use.
type Queue[T any] struct {
	entries []entry[T]
	index   func(T) *int
}

// New returns a Queue. The function index returns a pointer to the field in which an item stores its index in the queue.
// The field is -1 while the item is in no queue. If index is nil, items can only be pushed and popped.
func New[T any](index func(T) *int) Queue[T] { return Queue[T]{index: index} }

// entry is an item with its position in the order.
type entry[T any] struct {
	key  float64
	tie  uint64 // orders entries of equal keys, the lowest first
	item T
}

const arity = 4 // maximum number of an entry's children

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// First returns the item of the lowest key. The queue must not be empty.
func (q *Queue[T]) First() T { return q.entries[0].item }

// FirstKey returns the lowest key. The queue must not be empty.
func (q *Queue[T]) FirstKey() float64 { return q.entries[0].key }

// All calls do for each item, in no particular order. do must not change the queue.
func (q *Queue[T]) All(do func(T)) {
	for i := range q.entries {
		do(q.entries[i].item)
	}
}

// Push adds an item. Among items of equal keys, the one with the lowest tie comes first.
func (q *Queue[T]) Push(item T, key float64, tie uint64) {
	q.entries = append(q.entries, entry[T]{})
	q.place(len(q.entries)-1, entry[T]{key, tie, item})
}

// Pop removes and returns the first item. The queue must not be empty.
func (q *Queue[T]) Pop() T {
	item := q.entries[0].item
	if q.index != nil {
		*q.index(item) = -1
	}
	q.removeAt(0)
	return item
}

// Remove removes an item, if it is in the queue.
func (q *Queue[T]) Remove(item T) {
	index := q.index(item)
	i := *index
	if i < 0 {
		return
	}
	*index = -1
	q.removeAt(i)
}

// Set changes an item's key, or adds an item that is not in the queue.
func (q *Queue[T]) Set(item T, key float64, tie uint64) {
	if i := *q.index(item); i >= 0 {
		q.place(i, entry[T]{key, tie, item})
		return
	}
	q.Push(item, key, tie)
}

func (e *entry[T]) before(other *entry[T]) bool {
	return e.key < other.key || e.key == other.key && e.tie < other.tie
}

// removeAt removes the entry at index i and fills the gap with the last entry.
func (q *Queue[T]) removeAt(i int) {
	last := len(q.entries) - 1
	moved := q.entries[last]
	q.entries[last] = entry[T]{}
	q.entries = q.entries[:last]
	if i < last {
		q.place(i, moved)
	}
}

// place inserts an entry. It starts at index i, which is free, and moves that gap up or down the tree to where the
// entry belongs.
func (q *Queue[T]) place(i int, e entry[T]) {
	for i > 0 {
		parent := (i - 1) / arity
		if !e.before(&q.entries[parent]) {
			break
		}
		q.set(i, q.entries[parent])
		i = parent
	}
	for {
		child := q.firstChild(i)
		if child < 0 || !q.entries[child].before(&e) {
			q.set(i, e)
			return
		}
		q.set(i, q.entries[child])
		i = child
	}
}

// firstChild returns the index of the entry's child that comes first in the order; -1 if the entry has no children.
func (q *Queue[T]) firstChild(i int) int {
	first := -1
	for child := arity*i + 1; child <= arity*i+arity && child < len(q.entries); child++ {
		if first < 0 || q.entries[child].before(&q.entries[first]) {
			first = child
		}
	}
	return first
}

func (q *Queue[T]) set(i int, e entry[T]) {
	q.entries[i] = e
	if q.index != nil {
		*q.index(e.item) = i
	}
}
