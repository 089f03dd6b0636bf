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

// referenceKey is what the reference knows of a key: everything that ever happened to it.
type referenceKey struct {
	fingerprint Fingerprint
	running     bool
	answer      *Answer
	attempts    []Attempt
	lastEvent   time.Duration
	waiting     int
}

// reference is a model of a Store that evicts nothing by itself; check and the methods for each call compare the Store with it.
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
			m.t.Fatalf("%v expired: %+v at %v", id, key, m.now)
		}
		delete(m.keys, id)
	}
}

func (m *reference) arrive(id ID, key *referenceKey) {
	fingerprint := Fingerprint{byte(rapid.IntRange(0, 5).Draw(m.t, "print") / 5)}
	d := m.store.Arrive(m.now, id, fingerprint)
	switch {
	case key == nil:
		m.checkUnknown(d)
	case key.fingerprint != fingerprint:
		if d.Verdict != Conflict {
			m.t.Fatalf("another request: %+v", d)
		}
	case key.running:
		if d.Verdict != Wait && !(d.Verdict == Reject && key.waiting >= m.options.MaxWaiting) {
			m.t.Fatalf("while it is running: %+v", d)
		}
		if d.Verdict == Wait {
			key.waiting++
		}
	case key.answer != nil:
		if d.Verdict != Replay && d.Verdict != AnswerNotStored || d.Verdict == Replay && d.Answer != key.answer {
			m.t.Fatalf("after its answer: %+v", d)
		}
	default:
		m.checkUncertain(key, d)
	}
	if d.Verdict != Execute {
		return
	}
	if m.runningKeys() >= m.options.MaxRunning {
		m.t.Fatal("more than MaxRunning are running")
	}
	if key == nil {
		key = &referenceKey{fingerprint: fingerprint}
		m.keys[id] = key
	}
	key.running = true
}

func (m *reference) checkUnknown(d Decision) {
	if d.Verdict != Execute && d.Verdict != Reject || d.Verdict == Execute && len(d.EarlierAttempts) > 0 {
		m.t.Fatalf("a new key: %+v", d)
	}
	if d.Verdict == Reject && d.RetryAfter <= 0 {
		m.t.Fatal("rejected without RetryAfter")
	}
}

func (m *reference) checkUncertain(key *referenceKey, d Decision) {
	oldest := m.now
	for _, attempt := range key.attempts {
		oldest = min(oldest, attempt.SentAt)
	}
	if m.now-oldest >= testDedupWindow("") {
		if d.Verdict != Fail {
			m.t.Fatalf("sent at %v, now %v: %+v", oldest, m.now, d)
		}
		return
	}
	if d.Verdict != Reject && !(d.Verdict == Execute && fmt.Sprint(d.EarlierAttempts) == fmt.Sprint(key.attempts)) {
		m.t.Fatalf("within the window: %+v, attempts %v", d, key.attempts)
	}
}

func (m *reference) startAttempt(id ID, key *referenceKey) {
	attempt := Attempt{Zone: fmt.Sprint(rapid.IntRange(0, 1).Draw(m.t, "zone")), SentAt: m.now}
	m.store.AttemptStarted(id, attempt)
	key.attempts = append(key.attempts, attempt)
}

func (m *reference) takeBackAttempt(id ID, key *referenceKey) {
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
	outcome := Outcome(rapid.IntRange(0, 2).Draw(m.t, "end"))
	got := m.store.Finish(m.now, id, outcome, answer)
	if outcome == NotExecuted && len(key.attempts) > 0 && got != MayHaveRun {
		m.t.Fatalf("it finished as %v", got)
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
		m.t.Fatalf("%d keys (%d), %d running (%d), %d bytes", s.Len(), len(m.keys), s.Running(), m.runningKeys(), s.Bytes())
	}
}

// checkReload loads all records into a new Store, which must know the same, except that what was running is never executed again.
func (m *reference) checkReload() {
	reloaded := New(m.options, testDedupWindow)
	for id, key := range m.keys {
		r, ok := m.store.Record(m.now, id)
		if !ok || reloaded.Load(m.now, r) != nil {
			m.t.Fatalf("%v can't be loaded", id)
		}
		d := reloaded.Arrive(m.now, id, key.fingerprint)
		switch {
		case key.running && d.Verdict != Fail, !key.running && key.answer != nil && d.Verdict != Replay && d.Verdict != AnswerNotStored:
			m.t.Fatalf("after a restart: %+v of %+v", d, key)
		}
		if d.Verdict == Execute {
			reloaded.Finish(m.now, id, MayHaveRun, nil)
		}
	}
}

// TestStoreAgainstReference compares any history with a reference that evicts nothing: no key expires early, none is executed where an
// earlier attempt may have been executed outside its window, no answer belongs to another request, and all limits hold.
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
				m.takeBackAttempt(id, key)
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

// TestFullStoreRejectsNewKeys checks that a full store rejects new keys and evicts none, that one tenant's flood leaves capacity to
// others, and that RetryAfter is the time at which the next key expires.
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
			t.Errorf("%+v", d)
		}
	}
	for i := range 3 {
		if d := arrive("quiet", i); d.Verdict == Execute {
			executed["quiet"]++
		}
	}
	if executed["flood"] != 6 || executed["quiet"] != 3 {
		t.Errorf("executed: %v", executed)
	}
	for i := range executed["flood"] {
		if d := arrive("flood", i); d.Verdict != Replay {
			t.Errorf("key %d: %+v", i, d)
		}
	}
	if expired := s.Expire(time.Hour + o.Retention.D()); len(expired) != 6 || s.Running() != 3 {
		t.Errorf("%v expired, %d are running", expired, s.Running())
	}
	if d := s.Arrive(time.Hour, ID{Key: strings.Repeat("x", maxIDBytes+1)}, Fingerprint{}); d.Verdict != Conflict {
		t.Errorf("a key of %d bytes: %+v", maxIDBytes+1, d)
	}
}

// TestUncertainWithinWindow checks that a key of uncertain outcome is executed again only while the deduplication window of its oldest
// attempt is open.
func TestUncertainWithinWindow(t *testing.T) {
	window := testDedupWindow("")
	for _, c := range []struct {
		name string
		age  time.Duration // of the oldest attempt
		want Verdict
	}{
		{"at once", time.Second, Execute},
		{"just before it closes", window - 1, Execute},
		{"as it closes", window, Fail},
		{"later", 2 * window, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, id := New(testOptions(), testDedupWindow), ID{"t", "c", "k"}
			s.Arrive(0, id, Fingerprint{})
			s.AttemptStarted(id, Attempt{Zone: "a"})
			s.AttemptStarted(id, Attempt{Zone: "b", SentAt: time.Second})
			s.Finish(time.Second, id, MayHaveRun, nil)
			if d := s.Arrive(c.age, id, Fingerprint{}); d.Verdict != c.want || d.Verdict == Execute && len(d.EarlierAttempts) != 2 {
				t.Errorf("%+v", d)
			}
		})
	}
}

// BenchmarkKey is the life of a request with a key: its arrival, an attempt, its answer and a replay.
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
