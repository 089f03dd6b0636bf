package graphql

import (
	"math"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// lru is a least-recently-used cache that is bounded by the size of its entries in bytes. It is safe for
// concurrent use.
type lru[V any] struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	entries  *simplelru.LRU[string, sizedValue[V]]
}

type sizedValue[V any] struct {
	value V
	size  int
}

// bytesPerEntry is the approximate overhead of an entry.
const bytesPerEntry = 200

func newLRU[V any](capacity int) *lru[V] {
	l := &lru[V]{maxBytes: capacity}
	// Its only error is a size below 1. The cache is bounded by bytes, not by the number of entries.
	l.entries, _ = simplelru.NewLRU(math.MaxInt32, func(_ string, s sizedValue[V]) { l.bytes -= s.size })
	return l
}

func (l *lru[V]) get(key string) (v V, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.entries.Get(key)
	return s.value, ok
}

// put adds or replaces a value. A value larger than the whole cache is not added.
func (l *lru[V]) put(key string, v V, size int) {
	if size > l.maxBytes {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries.Remove(key)
	l.entries.Add(key, sizedValue[V]{v, size})
	for l.bytes += size; l.bytes > l.maxBytes; {
		l.entries.RemoveOldest()
	}
}

// size returns the size of all entries in bytes, and their number.
func (l *lru[V]) size() (bytes, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes, l.entries.Len()
}
