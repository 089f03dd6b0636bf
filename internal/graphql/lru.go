package graphql

import (
	"math"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// lru keeps what was used last, within a number of bytes. It is safe for concurrent use.
type lru[V any] struct {
	mu    sync.Mutex
	most  int
	bytes int
	of    *simplelru.LRU[string, sized[V]]
}

type sized[V any] struct {
	v    V
	size int
}

// perEntry is what an entry takes beside its content, about.
const perEntry = 200

func newLRU[V any](most int) *lru[V] {
	l := &lru[V]{most: most}
	// It refuses only sizes under 1: bytes bound it, not a number.
	l.of, _ = simplelru.NewLRU(math.MaxInt32, func(_ string, s sized[V]) { l.bytes -= s.size })
	return l
}

func (l *lru[V]) get(key string) (v V, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.of.Get(key)
	return s.v, ok
}

// put keeps a value; one that is larger than all that may be kept is not.
func (l *lru[V]) put(key string, v V, size int) {
	if size > l.most {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of.Remove(key)
	l.of.Add(key, sized[V]{v, size})
	for l.bytes += size; l.bytes > l.most; {
		l.of.RemoveOldest()
	}
}

// size is the bytes and the entries kept.
func (l *lru[V]) size() (bytes, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes, l.of.Len()
}
