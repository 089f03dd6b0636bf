package fakes

import (
	"sync"
	"time"
)

// IdempotencyKeys is how a group of nodes drops repeats of keyed requests: for Window after the first run, a repeat gets
// that one's answer and does not run. It is safe for concurrent use; a nil one remembers nothing. It forgets what is
// older than its window, looking through all at most twice a window.
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

// NewIdempotencyKeys returns an empty one.
func NewIdempotencyKeys(window time.Duration) *IdempotencyKeys {
	return &IdempotencyKeys{window: window, keys: map[string]storedAnswer{}}
}

// recall gives a key's answer, if it is remembered.
func (m *IdempotencyKeys) recall(key string) ([]byte, bool) {
	if m == nil || key == "" {
		return nil, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.keys[key]
	return k.body, ok && time.Since(k.at) <= m.window
}

// claim remembers a key's answer, or gives the one that is remembered.
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
