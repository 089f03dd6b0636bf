package idempotency

import (
	"errors"
	"time"
)

// Record is the durable form of a key's entry. A record with Running set belongs to a request that had not finished when the record was
// written. If the process that wrote it has ended, an upstream may have executed the request, so the request is never executed again.
type Record struct {
	ID              ID
	Fingerprint     Fingerprint
	Running         bool
	Outcome         Outcome // Answered or MayHaveRun; not used while Running is set
	Answer          *Answer // set for Answered; nil if the answer was too large to store
	Attempts        []Attempt
	AttemptsUnknown bool          // Attempts is incomplete, so the request is never executed again
	UpdatedAt       time.Duration // when the record was written
}

// ErrStoreFull is the error of Load if a record does not fit. This happens if the limits were higher when the record was written.
var ErrStoreFull = errors.New("repeats: the stored records exceed the configured entries or bytes")

// Load adds a record that an earlier process wrote. The parameter now is the last known time of that process's clock. Records past their
// retention are skipped. Requests that may have been executed are not executed again, since the upstreams' deduplication windows may have
// ended while no process ran. So their attempts are not needed any more, and a store that was full fits into the limits again: attempts alone
// may take it beyond them.
func (s *Store) Load(now time.Duration, r Record) error {
	size := entryOverheadBytes + r.ID.bytes() // its attempts are dropped
	if r.Answer != nil {
		size += r.Answer.bytes()
	}
	if s.entries[r.ID] != nil || r.UpdatedAt+s.options.Retention.D() <= now {
		return nil
	}
	if len(s.entries) >= s.options.MaxKeys || s.bytes+size > s.options.MaxBytes.Bytes() {
		return ErrStoreFull
	}
	e := &entry{id: r.ID, fingerprint: r.Fingerprint, queueIndex: -1, state: uncertain}
	switch {
	case r.Running || r.Outcome == MayHaveRun:
		e.attemptsUnknown = true
	case r.Outcome == Answered:
		e.state, e.answer = answered, r.Answer
	}
	s.insert(e, size)
	s.scheduleExpiry(e, min(r.UpdatedAt, now))
	return nil
}

// Record returns the current record of a key, or false if the key is unknown.
func (s *Store) Record(now time.Duration, id ID) (Record, bool) {
	e := s.entries[id]
	if e == nil {
		return Record{}, false
	}
	r := Record{
		ID:              id,
		Fingerprint:     e.fingerprint,
		Running:         e.state == running,
		Answer:          e.answer,
		Attempts:        append([]Attempt(nil), e.attempts...),
		AttemptsUnknown: e.attemptsUnknown,
		UpdatedAt:       now,
	}
	if e.state == uncertain {
		r.Outcome = MayHaveRun
	}
	return r, true
}
