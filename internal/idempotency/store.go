package idempotency

import (
	"time"

	"orchiddrift/internal/priorityqueue"
)

// Sizes with which the Store estimates its memory, in bytes, and the bound on remembered attempts.
const (
	entryOverheadBytes = 700 // size of one entry without its ID, attempts and answer
	attemptBytes       = 40  // size of one attempt
	maxAttempts        = 16  // attempts remembered per key; a request with more attempts is never executed again
)

// minRetryAfter is the shortest RetryAfter of a Reject. It gives running requests time to finish.
const minRetryAfter = 250 * time.Millisecond

// state is the state of a known key; the package comment shows the transitions.
type state int8

const (
	running state = iota
	answered
	uncertain
)

// entry is the Store's information about one key.
type entry struct {
	id              ID
	fingerprint     Fingerprint
	state           state
	answer          *Answer   // set in state answered; nil if the answer was too large to store
	attempts        []Attempt // attempts that may have been executed
	attemptsUnknown bool      // attempts is incomplete, so the request is never executed again
	yielded         bool      // the other process of a replacement executes the request, see Store.LookupForPeer
	waiting         int       // number of requests that wait for the running request
	bytes           int       // estimated memory
	expiresAt       time.Duration
	queueIndex      int // index in Store.expiry, or -1 while the entry is running
}

// tenantUsage is the number of one tenant's keys and their estimated memory in bytes.
type tenantUsage struct{ keys, bytes int }

// Store is the state machine of all keys of a service. It is not safe for concurrent use.
type Store struct {
	options        Options
	dedupWindow    func(class string) time.Duration
	entries        map[ID]*entry
	expiry         priorityqueue.Queue[*entry] // all entries that are not running, by expiresAt
	expirySequence uint64                      // orders entries of the same expiresAt by their last event
	bytes          int
	running        int
	tenants        map[string]*tenantUsage
}

// New returns an empty Store. dedupWindow returns how long upstreams drop repeated attempts of a class, counted from the oldest attempt.
func New(options Options, dedupWindow func(class string) time.Duration) *Store {
	return &Store{
		options:     options,
		dedupWindow: dedupWindow,
		entries:     map[ID]*entry{},
		expiry:      priorityqueue.New(func(e *entry) *int { return &e.queueIndex }),
		tenants:     map[string]*tenantUsage{},
	}
}

// Configure replaces the options and deduplication windows. Known keys stay, even if they exceed the new limits.
func (s *Store) Configure(options Options, dedupWindow func(class string) time.Duration) {
	s.options, s.dedupWindow = options, dedupWindow
}

// Len returns the number of known keys.
func (s *Store) Len() int { return len(s.entries) }

// Bytes returns the estimated memory of all known keys, in bytes.
func (s *Store) Bytes() int { return s.bytes }

// Running returns the number of requests that are running.
func (s *Store) Running() int { return s.running }

// Arrive decides on a request. The caller must have called Expire with the same now.
func (s *Store) Arrive(now time.Duration, id ID, fingerprint Fingerprint) Decision {
	e := s.entries[id]
	if e == nil {
		return s.arriveUnknown(now, id, fingerprint)
	}
	if e.fingerprint != fingerprint {
		return Decision{Verdict: Conflict}
	}
	switch e.state {
	case running:
		if e.waiting >= s.options.MaxWaiting {
			return Decision{Verdict: Reject, RetryAfter: minRetryAfter}
		}
		e.waiting++
		return Decision{Verdict: Wait}
	case answered:
		if e.answer == nil {
			return Decision{Verdict: AnswerNotStored}
		}
		return Decision{Verdict: Replay, Answer: e.answer}
	default:
		return s.arriveUncertain(now, e)
	}
}

// arriveUnknown decides on a request whose key is not known.
func (s *Store) arriveUnknown(now time.Duration, id ID, fingerprint Fingerprint) Decision {
	size := entryOverheadBytes + id.bytes()
	full := s.full(id.Tenant, size)
	switch {
	case id.bytes() > maxIDBytes:
		return Decision{Verdict: Conflict} // no retry would succeed
	case full && s.expiry.Len() > 0:
		// If only the tenant's quota is exhausted, the first of the tenant's own keys may expire later than RetryAfter says.
		return Decision{Verdict: Reject, RetryAfter: max(minRetryAfter, s.expiry.First().expiresAt-now)}
	case full || s.running >= s.options.MaxRunning:
		return Decision{Verdict: Reject, RetryAfter: minRetryAfter}
	}
	s.insert(&entry{id: id, fingerprint: fingerprint, queueIndex: -1}, size)
	s.running++
	return Decision{Verdict: Execute}
}

// full reports whether another key of the tenant, of size bytes, would exceed the store's limits or the tenant's quota. A tenant's first
// key is always within its quota, so that a small quota can't exclude the tenant.
func (s *Store) full(tenant string, size int) bool {
	var usage tenantUsage
	if known := s.tenants[tenant]; known != nil {
		usage = *known
	}
	if len(s.entries) >= s.options.MaxKeys || s.bytes+size > s.options.MaxBytes.Bytes() {
		return true
	}
	keyQuota := s.options.TenantFraction * float64(s.options.MaxKeys)
	byteQuota := s.options.TenantFraction * float64(s.options.MaxBytes)
	return float64(usage.keys+1) > max(1, keyQuota) || float64(usage.bytes+size) > max(float64(size), byteQuota)
}

// arriveUncertain decides on a request whose earlier attempts may have been executed. The request may be executed only while upstreams
// would drop it as a repeat of each of these attempts.
func (s *Store) arriveUncertain(now time.Duration, e *entry) Decision {
	if e.attemptsUnknown {
		return Decision{Verdict: Fail}
	}
	window := s.dedupWindow(e.id.Class)
	for _, attempt := range e.attempts {
		if now-attempt.SentAt >= window {
			return Decision{Verdict: Fail}
		}
	}
	if s.running >= s.options.MaxRunning {
		return Decision{Verdict: Reject, RetryAfter: minRetryAfter}
	}
	e.state = running
	s.running++
	s.expiry.Remove(e)
	return Decision{Verdict: Execute, EarlierAttempts: append([]Attempt(nil), e.attempts...)}
}

// AttemptStarted records an attempt of a running request. It must be called before the attempt's first byte is sent.
func (s *Store) AttemptStarted(id ID, attempt Attempt) {
	e := s.entries[id]
	if e == nil || e.state != running {
		return
	}
	if len(e.attempts) == maxAttempts {
		e.attemptsUnknown = true
		return
	}
	e.attempts = append(e.attempts, attempt)
	s.grow(e, attemptBytes)
}

// AttemptNotExecuted removes an attempt of a running request. The attempt must be proved not to have been executed.
func (s *Store) AttemptNotExecuted(id ID, attempt Attempt) {
	e := s.entries[id]
	if e == nil || e.state != running {
		return
	}
	for i := range e.attempts {
		if e.attempts[i] == attempt {
			e.attempts = append(e.attempts[:i], e.attempts[i+1:]...)
			s.grow(e, -attemptBytes)
			return
		}
	}
}

// AdoptAttempts replaces the attempts of a running request with the attempts in a shared store, which include the replaced attempts.
func (s *Store) AdoptAttempts(id ID, attempts []Attempt) {
	e := s.entries[id]
	if e == nil || e.state != running {
		return
	}
	s.grow(e, (len(attempts)-len(e.attempts))*attemptBytes)
	e.attempts = append([]Attempt(nil), attempts...)
}

// Finish records the outcome of a running request and ends all waits for it. answer is used only for Answered. NotExecuted becomes
// MayHaveRun if an earlier attempt may have been executed. Finish returns the outcome that it recorded.
func (s *Store) Finish(now time.Duration, id ID, outcome Outcome, answer *Answer) Outcome {
	e := s.entries[id]
	if e == nil || e.state != running {
		return outcome
	}
	s.running--
	e.waiting = 0
	if outcome == NotExecuted && (len(e.attempts) > 0 || e.attemptsUnknown) {
		outcome = MayHaveRun
	}
	switch outcome {
	case NotExecuted:
		s.remove(e)
		return outcome
	case Answered:
		e.state = answered
		s.grow(e, -len(e.attempts)*attemptBytes)
		e.attempts = nil
		if size := answer.bytes(); s.canStoreAnswer(id.Tenant, size) {
			e.answer = answer
			s.grow(e, size)
		}
	default:
		e.state = uncertain
	}
	s.scheduleExpiry(e, now)
	return outcome
}

// canStoreAnswer reports whether an answer of size bytes is within the limits and the tenant's quota.
func (s *Store) canStoreAnswer(tenant string, size int) bool {
	return size <= s.options.MaxAnswerBytes.Bytes() && s.bytes+size <= s.options.MaxBytes.Bytes() &&
		float64(s.tenants[tenant].bytes+size) <= s.options.TenantFraction*float64(s.options.MaxBytes)
}

// StopWaiting records that a waiting request (one that got the verdict Wait) has ended before the running request finished.
func (s *Store) StopWaiting(id ID) {
	if e := s.entries[id]; e != nil && e.waiting > 0 {
		e.waiting--
	}
}

// Expire removes the keys whose last event was at least Options.Retention ago, and returns their IDs.
func (s *Store) Expire(now time.Duration) (expired []ID) {
	for s.expiry.Len() > 0 && s.expiry.First().expiresAt <= now {
		e := s.expiry.First()
		expired = append(expired, e.id)
		s.remove(e)
	}
	return expired
}

// insert adds an entry of size bytes.
func (s *Store) insert(e *entry, size int) {
	s.entries[e.id] = e
	usage := s.tenants[e.id.Tenant]
	if usage == nil {
		usage = &tenantUsage{}
		s.tenants[e.id.Tenant] = usage
	}
	usage.keys++
	s.grow(e, size)
}

// grow adds bytes, which may be negative, to an entry's size and to all totals.
func (s *Store) grow(e *entry, bytes int) {
	e.bytes += bytes
	s.bytes += bytes
	s.tenants[e.id.Tenant].bytes += bytes
}

// scheduleExpiry sets the expiry time of an entry that is not running, from the time of the entry's last event.
func (s *Store) scheduleExpiry(e *entry, lastEvent time.Duration) {
	s.expirySequence++
	e.expiresAt = lastEvent + s.options.Retention.D()
	s.expiry.Set(e, float64(e.expiresAt), s.expirySequence)
}

// remove deletes an entry and subtracts it from all totals.
func (s *Store) remove(e *entry) {
	s.expiry.Remove(e)
	delete(s.entries, e.id)
	usage := s.tenants[e.id.Tenant]
	usage.keys--
	usage.bytes -= e.bytes
	s.bytes -= e.bytes
	if usage.keys == 0 {
		delete(s.tenants, e.id.Tenant)
	}
}
