package graphql

import (
	"math"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// lru keeps what was used last, within a number of bytes. It is safe for concurrent use.
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

// bytesPerEntry is what an entry takes beside its content, about.
const bytesPerEntry = 200

func newLRU[V any](capacity int) *lru[V] {
	l := &lru[V]{maxBytes: capacity}
	// It refuses only sizes under 1: bytes bound it, not a number.
	l.entries, _ = simplelru.NewLRU(math.MaxInt32, func(_ string, s sizedValue[V]) { l.bytes -= s.size })
	return l
}

func (l *lru[V]) get(key string) (v V, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.entries.Get(key)
	return s.value, ok
}

// put keeps a value; one that is larger than all that may be kept is not.
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

// size is the bytes and the entries kept.
func (l *lru[V]) size() (bytes, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes, l.entries.Len()
}
