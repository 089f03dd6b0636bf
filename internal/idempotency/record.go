package idempotency

import (
	"errors"
	"time"
)

// Record is a key's entry in durable form. A record that is Running belongs to a request that had not finished when it was written:
// if its process ended, the request may have been executed anywhere, and is never executed again.
type Record struct {
	ID              ID
	Fingerprint     Fingerprint
	Running         bool
	Outcome         Outcome // Answered or MayHaveRun, unless Running
	Answer          *Answer // of Answered; nil: it was too large to be stored
	Attempts        []Attempt
	AttemptsUnknown bool          // Attempts is incomplete: the key is never executed again
	UpdatedAt       time.Duration // when the record was written
}

// ErrStoreFull is returned by Load when a record does not fit: the limits are smaller than they were.
var ErrStoreFull = errors.New("repeats: more keys are on record than may be held")

// Load adds a record that an earlier process wrote. now is the time up to which that process's clock went on; records past their
// retention are skipped. Attempts that may have been executed are not retried, since the deduplication windows of the upstreams went on
// while no process ran.
func (s *Store) Load(now time.Duration, r Record) error {
	size := entryOverheadBytes + r.ID.bytes() + len(r.Attempts)*attemptBytes
	if r.Answer != nil {
		size += r.Answer.bytes()
	}
	if s.entries[r.ID] != nil || r.UpdatedAt+s.options.Retention.D() <= now {
		return nil
	}
	if len(s.entries) >= s.options.MaxKeys || s.bytes+size > s.options.MaxBytes.Bytes() {
		return ErrStoreFull
	}
	e := &entry{id: r.ID, fingerprint: r.Fingerprint, queueIndex: -1, attempts: r.Attempts, state: uncertain}
	switch {
	case r.Running || r.Outcome == MayHaveRun:
		e.attemptsUnknown = true
	case r.Outcome == Answered:
		e.state, e.answer, e.attempts = answered, r.Answer, nil
	}
	s.insert(e, size)
	s.scheduleExpiry(e, min(r.UpdatedAt, now))
	return nil
}

// Record returns the record of a key as it is now; false if the key is not known.
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
