package idempotency

import "time"

// While a process is replaced, its predecessor and it know different keys. The methods of this file let each decide with the other's keys.

// LookupForPeer decides on a request that arrived at the other process of a replacement. The verdict is Wait if the request of the key runs
// here. If the key is not known here, the verdict is Execute, and a request of the key that arrives here from then on is not executed. The
// caller must have called Expire with the same now.
func (s *Store) LookupForPeer(now time.Duration, id ID, fingerprint Fingerprint) Decision {
	e := s.entries[id]
	switch {
	case e == nil:
		return s.yield(now, id, fingerprint)
	case e.fingerprint != fingerprint:
		return Decision{Verdict: Conflict}
	case e.state == running:
		return Decision{Verdict: Wait}
	case e.state == answered && e.answer != nil:
		return Decision{Verdict: Replay, Answer: e.answer}
	case e.state == answered:
		return Decision{Verdict: AnswerNotStored}
	}
	return Decision{Verdict: Fail}
}

// yield records that the other process executes the request of a key that is not known here.
func (s *Store) yield(now time.Duration, id ID, fingerprint Fingerprint) Decision {
	size := entryOverheadBytes + id.bytes()
	if s.full(id.Tenant, size) {
		return Decision{Verdict: Reject, RetryAfter: minRetryAfter}
	}
	e := &entry{id: id, fingerprint: fingerprint, state: uncertain, attemptsUnknown: true, yielded: true, queueIndex: -1}
	s.insert(e, size)
	s.scheduleExpiry(e, now)
	return Decision{Verdict: Execute}
}

// ForgetAttempts records that attempts of a running request are not known: if it is not answered, it is never executed again.
func (s *Store) ForgetAttempts(id ID) {
	if e := s.entries[id]; e != nil && e.state == running {
		e.attemptsUnknown = true
	}
}

// Settled calls do with the record of each key whose request does not run. UpdatedAt of each record is the age of the key's last event.
func (s *Store) Settled(now time.Duration, do func(Record)) {
	for id, e := range s.entries {
		if e.state == running {
			continue
		}
		record, _ := s.Record(now, id)
		record.UpdatedAt = now - (e.expiresAt - s.options.Retention.D())
		do(record)
	}
}

// Adopt adds a record of the predecessor, whose UpdatedAt is an age. What has happened here goes first, and the limits do not apply: the keys
// have been accepted. What may have run is not executed again, since its attempts have times on the predecessor's clock.
func (s *Store) Adopt(now time.Duration, r Record) {
	known := s.entries[r.ID]
	if known != nil && !known.yielded || r.UpdatedAt >= s.options.Retention.D() {
		return
	}
	if known != nil {
		s.remove(known)
	}
	size := entryOverheadBytes + r.ID.bytes()
	e := &entry{id: r.ID, fingerprint: r.Fingerprint, queueIndex: -1, state: uncertain, attemptsUnknown: true}
	if r.Outcome == Answered && !r.Running {
		e.state, e.answer, e.attemptsUnknown = answered, r.Answer, false
		if r.Answer != nil {
			size += r.Answer.bytes()
		}
	}
	s.insert(e, size)
	s.scheduleExpiry(e, now-r.UpdatedAt)
}
