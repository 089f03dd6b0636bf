package idempotency

import (
	"slices"
	"strings"
	"time"
)

// SharedRecord is a Record in a store that several processes share. Its attempts' SentAt are wall-clock times of the process that wrote
// it, since the Unix epoch; UpdatedAt is not used.
type SharedRecord struct {
	Record
	Owner string // the session of the process that wrote it last: a Running request runs only while that session lives
	Claim string // the name of the claim that it was written under; see ClaimName
}

// ClaimName returns the name of a process's nth claim. The shared store assigns process names so that none is used twice.
func ClaimName(process, n string) string { return process + "/" + n }

// SharedRequest is a request that this process would execute and must claim in the shared store first.
type SharedRequest struct {
	ID              ID
	Fingerprint     Fingerprint
	Process         string
	EarlierAttempts []Attempt     // the attempts known to this process; SentAt is their age
	DedupWindow     time.Duration // for which upstreams drop repeated attempts
	MaxClockSkew    time.Duration // bound on the difference of two processes' wall clocks plus a message's delay; 0: unknown
}

// Resolve decides on a request whose key has a record already. ownerAlive reports whether the session of the record's owner
// lives, wall is the wall-clock time since the Unix epoch. Execute means that the request may replace that very record by its own claim;
// EarlierAttempts then holds attempts whose SentAt is their age, at most.
//
// A request that another process runs is waited for. If that process's session has ended, the request may have been executed anywhere
// and is never executed again. A request of uncertain outcome is executed again only if the ages of its attempts are known: by the
// process that sent them all, or by another one if MaxClockSkew bounds the difference of their clocks.
func (r *SharedRequest) Resolve(record *SharedRecord, ownerAlive bool, wall time.Duration) Decision {
	own := strings.HasPrefix(record.Claim, ClaimName(r.Process, ""))
	finished := !record.Running && record.Outcome == Answered
	switch {
	case record.ID != r.ID || record.Fingerprint != r.Fingerprint:
		return Decision{Verdict: Conflict}
	case record.Running && !own && ownerAlive:
		return Decision{Verdict: Wait}
	case finished && record.Answer == nil:
		return Decision{Verdict: AnswerNotStored}
	case finished:
		return Decision{Verdict: Replay, Answer: record.Answer}
	case own && r.knowsAll(record.Attempts): // no other process has claimed it since
		return Decision{Verdict: Execute, EarlierAttempts: r.EarlierAttempts}
	case record.Running || record.AttemptsUnknown || r.MaxClockSkew <= 0 || len(record.Attempts) == 0:
		return Decision{Verdict: Fail}
	}
	return r.resolveByWallClock(record.Attempts, wall)
}

// resolveByWallClock decides on a request whose attempts were sent by other processes, from their wall-clock times. A time in the
// future counts as now; each age is increased by MaxClockSkew, so that it is an upper bound.
func (r *SharedRequest) resolveByWallClock(attempts []Attempt, wall time.Duration) Decision {
	aged := make([]Attempt, len(attempts))
	for i, attempt := range attempts {
		attempt.SentAt = max(0, wall-attempt.SentAt) + r.MaxClockSkew
		if attempt.SentAt >= r.DedupWindow {
			return Decision{Verdict: Fail}
		}
		aged[i] = attempt
	}
	return Decision{Verdict: Execute, EarlierAttempts: aged}
}

// knowsAll reports whether this process knows all attempts of a record. Their times are on different clocks, so it compares their
// groups of upstreams and their number.
func (r *SharedRequest) knowsAll(attempts []Attempt) bool {
	for _, attempt := range attempts {
		known := slices.ContainsFunc(r.EarlierAttempts, func(own Attempt) bool {
			return own.Zone == attempt.Zone && own.Cell == attempt.Cell
		})
		if !known {
			return false
		}
	}
	return len(r.EarlierAttempts) > 0 && len(attempts) <= len(r.EarlierAttempts)
}
