package fakes

import (
	"sync"
	"time"
)

// IdempotencyKeys is the store with which a group of nodes deduplicates requests that have an idempotency key. For a
// window after the first execution, a request with the same key gets the stored answer and is not executed. Expired
// keys are removed at most twice per window. The store is safe for concurrent use. A nil *IdempotencyKeys stores
// nothing.
type IdempotencyKeys struct {
	window time.Duration

	mu    sync.Mutex
	keys  map[string]storedAnswer
	swept time.Time
}

type storedAnswer struct {
	at   time.Time
	body []byte
}

// NewIdempotencyKeys returns an empty store whose answers expire after window.
func NewIdempotencyKeys(window time.Duration) *IdempotencyKeys {
	return &IdempotencyKeys{window: window, keys: map[string]storedAnswer{}}
}

// recall returns the answer that is stored under a key, or false if there is none.
func (m *IdempotencyKeys) recall(key string) ([]byte, bool) {
	if m == nil || key == "" {
		return nil, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.keys[key]
	return k.body, ok && time.Since(k.at) <= m.window
}

// claim stores an answer under a key. If the key has a stored answer already, claim returns that answer and true.
func (m *IdempotencyKeys) claim(key string, body []byte) ([]byte, bool) {
	if m == nil || key == "" {
		return nil, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if k, ok := m.keys[key]; ok && now.Sub(k.at) <= m.window {
		return k.body, true
	}
	if now.Sub(m.swept) > m.window/2 {
		m.swept = now
		for key, k := range m.keys {
			if now.Sub(k.at) > m.window {
				delete(m.keys, key)
			}
		}
	}
	m.keys[key] = storedAnswer{now, body}
	return body, false
}
