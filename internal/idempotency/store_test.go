package idempotency

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/units"
)

func testDedupWindow(string) time.Duration { return 6 * time.Second }

func testOptions() Options {
	o := Default()
	o.Retention, o.MaxKeys, o.MaxBytes, o.MaxAnswerBytes, o.MaxRunning, o.MaxWaiting = units.Duration(time.Minute), 12, 14000, 300, 4, 2
	return o
}

// referenceKey is the reference model's state of one key.
type referenceKey struct {
	fingerprint Fingerprint
	running     bool
	answer      *Answer
	attempts    []Attempt
	lastEvent   time.Duration
	waiting     int
}

// reference is a model of a Store. It removes a key only when the Store reports the key as expired. Its methods make a call to the Store
// and compare the result with the model.
type reference struct {
	t       *rapid.T
	options Options
	store   *Store
	now     time.Duration
	keys    map[ID]*referenceKey
}

func (m *reference) runningKeys() (n int) {
	for _, key := range m.keys {
		if key.running {
			n++
		}
	}
	return n
}

func (m *reference) expire() {
	for _, id := range m.store.Expire(m.now) {
		if key := m.keys[id]; key == nil || key.running || m.now-key.lastEvent < m.options.Retention.D() {
			m.t.Fatalf("Expire returned key %v, which is unknown, running or within its retention: %+v at %v", id, key, m.now)
		}
		delete(m.keys, id)
	}
}

func (m *reference) arrive(id ID, key *referenceKey) {
	fingerprint := Fingerprint{byte(rapid.IntRange(0, 5).Draw(m.t, "fingerprint") / 5)}
	d := m.store.Arrive(m.now, id, fingerprint)
	switch {
	case key == nil:
		m.checkUnknown(d)
	case key.fingerprint != fingerprint:
		if d.Verdict != Conflict {
			m.t.Fatalf("decision on a different request with a known key: %+v, want Conflict", d)
		}
	case key.running:
		if d.Verdict != Wait && !(d.Verdict == Reject && key.waiting >= m.options.MaxWaiting) {
			m.t.Fatalf("decision on a repeated request while the first request runs: %+v, want Wait, or Reject beyond MaxWaiting", d)
		}
		if d.Verdict == Wait {
			key.waiting++
		}
	case key.answer != nil:
		if d.Verdict != Replay && d.Verdict != AnswerNotStored || d.Verdict == Replay && d.Answer != key.answer {
			m.t.Fatalf("decision on a repeated request after the answer: %+v, want Replay of that answer or AnswerNotStored", d)
		}
	default:
		m.checkUncertain(key, d)
	}
	if d.Verdict != Execute {
		return
	}
	if m.runningKeys() >= m.options.MaxRunning {
		m.t.Fatal("Arrive returned Execute while MaxRunning requests were running")
	}
	if key == nil {
		key = &referenceKey{fingerprint: fingerprint}
		m.keys[id] = key
	}
	key.running = true
}

func (m *reference) checkUnknown(d Decision) {
	if d.Verdict != Execute && d.Verdict != Reject || d.Verdict == Execute && len(d.EarlierAttempts) > 0 {
		m.t.Fatalf("decision on a request with a new key: %+v, want Execute without earlier attempts, or Reject", d)
	}
	if d.Verdict == Reject && d.RetryAfter <= 0 {
		m.t.Fatal("request with a new key was rejected without RetryAfter")
	}
}

func (m *reference) checkUncertain(key *referenceKey, d Decision) {
	oldest := m.now
	for _, attempt := range key.attempts {
		oldest = min(oldest, attempt.SentAt)
	}
	if m.now-oldest >= testDedupWindow("") {
		if d.Verdict != Fail {
			m.t.Fatalf("oldest attempt sent at %v, now %v, after the deduplication window: decision %+v, want Fail", oldest, m.now, d)
		}
		return
	}
	if d.Verdict != Reject && !(d.Verdict == Execute && fmt.Sprint(d.EarlierAttempts) == fmt.Sprint(key.attempts)) {
		m.t.Fatalf("decision on a repeated request within the deduplication window: %+v, want Reject, or Execute with the attempts %v", d, key.attempts)
	}
}

func (m *reference) startAttempt(id ID, key *referenceKey) {
	attempt := Attempt{Zone: fmt.Sprint(rapid.IntRange(0, 1).Draw(m.t, "zone")), SentAt: m.now}
	m.store.AttemptStarted(id, attempt)
	key.attempts = append(key.attempts, attempt)
}

func (m *reference) removeAttempt(id ID, key *referenceKey) {
	attempt := key.attempts[len(key.attempts)-1]
	m.store.AttemptNotExecuted(id, attempt)
	for i := range key.attempts {
		if key.attempts[i] == attempt {
			key.attempts = append(key.attempts[:i:i], key.attempts[i+1:]...)
			return
		}
	}
}

func (m *reference) finish(id ID, key *referenceKey) {
	answer := &Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 500).Draw(m.t, "body"))}
	outcome := Outcome(rapid.IntRange(0, 2).Draw(m.t, "outcome"))
	got := m.store.Finish(m.now, id, outcome, answer)
	if outcome == NotExecuted && len(key.attempts) > 0 && got != MayHaveRun {
		m.t.Fatalf("request with attempts finished as %v, want MayHaveRun", got)
	}
	key.running, key.waiting, key.lastEvent = false, 0, m.now
	switch got {
	case NotExecuted:
		delete(m.keys, id)
	case Answered:
		key.answer, key.attempts = answer, nil
	}
}

func (m *reference) checkLimits() {
	s, maxBytes := m.store, m.options.MaxBytes.Bytes()+m.options.MaxRunning*maxAttempts*attemptBytes
	if s.Len() != len(m.keys) || s.Len() > m.options.MaxKeys || s.Running() != m.runningKeys() || s.Bytes() > maxBytes {
		m.t.Fatalf("Store has %d keys (model: %d), %d running (model: %d), %d bytes; it differs from the model or exceeds a limit", s.Len(), len(m.keys), s.Running(), m.runningKeys(), s.Bytes())
	}
}

// checkReload loads all records into a new Store. The new Store must replay the same answers and must not execute requests that were
// running.
func (m *reference) checkReload() {
	reloaded := New(m.options, testDedupWindow)
	for id, key := range m.keys {
		r, ok := m.store.Record(m.now, id)
		if !ok || reloaded.Load(m.now, r) != nil {
			m.t.Fatalf("record of key %v can't be loaded into a new Store", id)
		}
		d := reloaded.Arrive(m.now, id, key.fingerprint)
		switch {
		case key.running && d.Verdict != Fail, !key.running && key.answer != nil && d.Verdict != Replay && d.Verdict != AnswerNotStored:
			m.t.Fatalf("after a restart: decision %+v for the key %+v; want Fail for a running key, Replay or AnswerNotStored for an answered key", d, key)
		}
		if d.Verdict == Execute {
			reloaded.Finish(m.now, id, MayHaveRun, nil)
		}
	}
}

// TestStoreAgainstReference makes random calls and compares the Store with a reference model. It guards against keys that expire early,
// requests that are executed again after the deduplication window of an earlier attempt, answers of other requests, and exceeded limits.
func TestStoreAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := testOptions()
		m := &reference{t: t, options: options, store: New(options, testDedupWindow), now: time.Hour, keys: map[ID]*referenceKey{}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			m.expire()
			id := ID{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "tenant")), "c", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			key := m.keys[id]
			switch call := rapid.IntRange(0, 6).Draw(t, "call"); {
			case call <= 2:
				m.arrive(id, key)
			case key == nil || !key.running:
			case call == 3:
				m.startAttempt(id, key)
			case call == 4 && len(key.attempts) > 0:
				m.removeAttempt(id, key)
			case call == 5 && key.waiting > 0:
				m.store.StopWaiting(id)
				key.waiting--
			case call == 6:
				m.finish(id, key)
			}
			m.checkLimits()
		}
		m.checkReload()
	})
}

// TestFullStoreRejectsNewKeys checks that a full store rejects new keys and evicts none, that one tenant with many keys leaves capacity for
// others, and that RetryAfter is the time until the next key expires.
func TestFullStoreRejectsNewKeys(t *testing.T) {
	o := testOptions()
	o.MaxRunning = 100
	s := New(o, testDedupWindow)
	arrive := func(tenant string, key int) Decision {
		return s.Arrive(time.Hour, ID{tenant, "c", fmt.Sprint(key)}, Fingerprint{})
	}
	executed := map[string]int{}
	for i := range 20 {
		if d := arrive("flood", i); d.Verdict == Execute {
			executed["flood"]++
			s.Finish(time.Hour, ID{"flood", "c", fmt.Sprint(i)}, Answered, &Answer{Status: 200})
		} else if d.Verdict != Reject || d.RetryAfter != o.Retention.D() {
			t.Errorf("decision on a key beyond the tenant's quota: %+v, want Reject with RetryAfter until the first key expires", d)
		}
	}
	for i := range 3 {
		if d := arrive("quiet", i); d.Verdict == Execute {
			executed["quiet"]++
		}
	}
	if executed["flood"] != 6 || executed["quiet"] != 3 {
		t.Errorf("requests executed per tenant: %v, want 6 of tenant flood and 3 of tenant quiet", executed)
	}
	for i := range executed["flood"] {
		if d := arrive("flood", i); d.Verdict != Replay {
			t.Errorf("decision on the answered key %d in a full store: %+v, want Replay", i, d)
		}
	}
	if expired := s.Expire(time.Hour + o.Retention.D()); len(expired) != 6 || s.Running() != 3 {
		t.Errorf("expired keys: %v, running requests: %d; want 6 expired and 3 running", expired, s.Running())
	}
	if d := s.Arrive(time.Hour, ID{Key: strings.Repeat("x", maxIDBytes+1)}, Fingerprint{}); d.Verdict != Conflict {
		t.Errorf("decision on a key of %d bytes, over the limit: %+v, want Conflict", maxIDBytes+1, d)
	}
}

// TestUncertainWithinWindow checks that a key of uncertain outcome is executed again only while the deduplication window of its oldest
// attempt is open.
func TestUncertainWithinWindow(t *testing.T) {
	window := testDedupWindow("")
	for _, c := range []struct {
		name string
		age  time.Duration // age of the oldest attempt
		want Verdict
	}{
		{"well before the window closes", time.Second, Execute},
		{"just before the window closes", window - 1, Execute},
		{"when the window closes", window, Fail},
		{"long after the window", 2 * window, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, id := New(testOptions(), testDedupWindow), ID{"t", "c", "k"}
			s.Arrive(0, id, Fingerprint{})
			s.AttemptStarted(id, Attempt{Zone: "a"})
			s.AttemptStarted(id, Attempt{Zone: "b", SentAt: time.Second})
			s.Finish(time.Second, id, MayHaveRun, nil)
			if d := s.Arrive(c.age, id, Fingerprint{}); d.Verdict != c.want || d.Verdict == Execute && len(d.EarlierAttempts) != 2 {
				t.Errorf("decision on the repeated request: %+v, not the verdict of this case, or Execute without both attempts", d)
			}
		})
	}
}

// BenchmarkKey measures one request with a key: its arrival, an attempt, its answer and a replay.
func BenchmarkKey(b *testing.B) {
	o := Default()
	o.Retention = units.Duration(time.Second)
	s := New(o, testDedupWindow)
	answer := &Answer{Status: 200, Body: make([]byte, 200)}
	now := time.Hour
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 20 * time.Microsecond
		id := ID{"tenant", "record", fmt.Sprint(i)}
		s.Expire(now)
		s.Arrive(now, id, Fingerprint{})
		s.AttemptStarted(id, Attempt{Zone: "a", SentAt: now})
		s.Finish(now, id, Answered, answer)
		s.Arrive(now, id, Fingerprint{})
	}
}
